package node

import (
	"context"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/member"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// membership drives the membership planner of a control host that joins the fleet
// automatically.
type membership struct {
	control *controlHost
	planner *member.Planner
	core    *runner[member.Event, member.Effect]
}

const (
	// stopNoticeTime is how long a host that stops waits for its notice to be sent.
	stopNoticeTime = 50 * time.Millisecond
	// maxHandoverTime bounds how long a leader that stops waits to be replaced.
	maxHandoverTime = time.Second
)

func newMembership(c *controlHost, seeds []model.HostID, size int) *membership {
	m := &membership{control: c, planner: member.NewPlanner(c.self, seeds, size)}
	m.core = newRunner(c.clock, m.planner.Step, m.apply)
	return m
}

func (m *membership) apply(f member.Effect) {
	switch f := f.(type) {
	case member.Send:
		m.control.send(f.To, f.Msg)
	case member.CandidateLocated:
		m.control.learnMembers([]proto.Member{f.Member})
	case member.Propose:
		m.control.background(func() { m.propose(f.Proposal) })
	}
}

// propose submits a change of the control hosts or seats and logs its result.
func (m *membership) propose(p model.Proposal) {
	ctx, cancel := context.WithTimeout(context.Background(), ctrl.DefaultTiming().ProposeTimeout)
	defer cancel()
	result, err := m.control.propose(ctx, p)
	if err != nil {
		m.control.log.Error(err, "cannot change the members of control", "change_id", p.ID)
		return
	}
	m.control.log.Info("members of control changed", "change_id", p.ID, "change", p.Change, "result", int(result.Kind), "version", result.Version, "cause", result.Message)
}

func (m *membership) receive(ask proto.JoinAsk) {
	m.core.post(member.JoinRequested{View: m.view(), Ask: ask})
}

func (m *membership) tick() { m.core.post(member.Tick{View: m.view()}) }

// announceStop tells the leader that this host is about to stop, so that a host that
// asks to join takes its place at once. A leader waits until it is replaced if there
// is such a host.
func (m *membership) announceStop() {
	m.core.post(member.Stopping{})
	m.tick()
	time.Sleep(stopNoticeTime)
	for end := time.Now().Add(maxHandoverTime); time.Now().Before(end) && m.handsOver(); {
		m.tick()
		time.Sleep(stopNoticeTime)
	}
}

// handsOver reports whether this host leads and a host asks to join.
func (m *membership) handsOver() bool {
	if !m.view().IsLeader {
		return false
	}
	waits := false
	m.core.read(func(now model.Instant) { waits = m.planner.HasCandidate(now) })
	return waits
}

// view returns a copy of what the planner needs, because the consensus core is
// not safe for concurrent use.
func (m *membership) view() member.View {
	var v member.View
	lastReplies := map[model.HostID]model.Instant{}
	m.control.core.read(func(now model.Instant) {
		v.IsLeader = m.control.node.ConfirmLeadership(now).OK
		v.Leader = m.control.node.Status().Leader
		v.Config = m.control.node.Config()
		for _, host := range v.Config.Controls {
			if at, ok := m.control.node.LastReplyAt(host); ok {
				lastReplies[host] = at
			}
		}
	})
	v.LastHeardAt = func(host model.HostID) (model.Instant, bool) {
		at, ok := lastReplies[host]
		return at, ok
	}
	return v
}

// syncedCopies returns the number of synced copies that an accepted change has,
// and whether this host is one of the control hosts.
func (c *controlHost) syncedCopies() (n int, isMember bool) {
	cfg := c.appliedConfig()
	return model.Majority(len(cfg.Controls)), slices.Contains(cfg.Controls, c.self.Host)
}
