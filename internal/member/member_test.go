package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func controlMember(host model.HostID) proto.Member {
	return proto.Member{Host: host, Role: proto.RoleControl, Addr: "10.0.0.1:1", Incarnation: 1}
}

// newView returns a view in which host a leads and all control hosts were heard at now.
func newView(leads bool, now model.Instant, controls, seats []model.HostID) View {
	cfg := model.NewConfig(controls, seats)
	cfg.Version = 5
	return View{IsLeader: leads, Leader: "a", Config: cfg, LastHeardAt: func(model.HostID) (model.Instant, bool) { return now, true }}
}

// proposedChange returns the change of the first Propose effect, or nil.
func proposedChange(t *testing.T, out []Effect) model.Change {
	t.Helper()
	for _, f := range out {
		if p, ok := f.(Propose); ok {
			require.EqualValues(t, 5, p.Proposal.Base)
			return p.Proposal.Change
		}
	}
	return nil
}

// Guards against a fleet whose control hosts stay those of the settings because the
// leader ignores hosts that ask to join, and against seats that differ from the
// control hosts.
func TestLeaderAddsHostsThatAsk(t *testing.T) {
	p := NewPlanner(controlMember("a"), []model.HostID{"a", "b", "c"}, 5)
	now := model.Instant(time.Second)
	controls := []model.HostID{"a", "b", "c"}
	view := newView(true, now, controls, controls)
	require.Nil(t, proposedChange(t, p.Step(now, Tick{View: view})), "nobody asks")

	out := p.Step(now, JoinRequested{View: view, Ask: proto.JoinAsk{Member: controlMember("d")}})
	require.Equal(t, []Effect{CandidateLocated{Member: controlMember("d")}}, out)
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "d"}}, proposedChange(t, p.Step(now, Tick{View: view})))
	require.Nil(t, proposedChange(t, p.Step(now, Tick{View: view})), "one proposal at a time")

	now = now.Add(2 * proposalInterval)
	four := append(controls, "d")
	require.Nil(t, proposedChange(t, p.Step(now, Tick{View: newView(true, now, four, controls)})), "an even number of seats tolerates no more")
	five := append(four, "e")
	require.Equal(t, model.SetSeats{Seats: five}, proposedChange(t, p.Step(now, Tick{View: newView(true, now, five, controls)})))
}

// Guards against a JoinAsk that is lost because it reaches a follower, and against
// followers that forward it to each other endlessly.
func TestFollowersPassAsksOnOnce(t *testing.T) {
	p := NewPlanner(controlMember("b"), nil, 5)
	view := newView(false, 0, []model.HostID{"a", "b", "c"}, nil)
	ask := proto.JoinAsk{Member: controlMember("d")}
	out := p.Step(0, JoinRequested{View: view, Ask: ask})
	ask.Forwarded = true
	require.Equal(t, []Effect{Send{To: "a", Msg: ask}}, out)
	require.Empty(t, p.Step(0, JoinRequested{View: view, Ask: ask}))
}

// lostFixture is a planner of five control hosts, of which d is lost from the start.
type lostFixture struct {
	t *testing.T
	*Planner
	start model.Instant
	view  View
	// lostAt is when d was last heard from.
	lostAt model.Instant
}

func newLostFixture(t *testing.T) *lostFixture {
	start := model.Instant(time.Minute)
	return &lostFixture{t: t, Planner: NewPlanner(controlMember("a"), nil, 5), start: start, lostAt: start}
}

// ask delivers a JoinAsk of host f at a time after the start, and returns the change
// that is then proposed.
func (l *lostFixture) ask(after time.Duration) model.Change {
	now := l.start.Add(after)
	controls := []model.HostID{"a", "b", "c", "d", "e"}
	l.view = newView(true, now, controls, controls)
	l.view.LastHeardAt = func(h model.HostID) (model.Instant, bool) {
		if h == "d" {
			return l.lostAt, true
		}
		return now, true
	}
	l.Step(now, JoinRequested{View: l.view, Ask: proto.JoinAsk{Member: controlMember("f")}})
	return proposedChange(l.t, l.Step(now, Tick{View: l.view}))
}

// Guards against a host that is gone and counts among the control hosts until long
// after its successor has started, and against the removal of a host that is heard.
func TestNewcomerReplacesLostHost(t *testing.T) {
	l := newLostFixture(t)
	require.Nil(t, l.ask(0))
	require.Nil(t, l.ask(newcomerTimeout))
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "e"}}, l.ask(newcomerTimeout+time.Millisecond))
	l.lostAt = l.start.Add(2 * time.Second)
	require.Nil(t, l.ask(2*time.Second), "the host is back")
}

// Guards against a control host that pauses and is replaced by one that has asked to
// join for long, and against one that is lost for good and never replaced.
func TestPausedHostStaysWithoutNewcomer(t *testing.T) {
	l := newLostFixture(t)
	const asked = LostTimeout + time.Second
	for at := time.Duration(0); at <= asked; at += askInterval {
		l.lostAt = l.start.Add(at)
		require.Nil(t, l.ask(at))
	}
	lost := l.lostAt.Sub(l.start)
	for at := lost; at <= lost+LostTimeout; at += askInterval {
		require.Nil(t, l.ask(at), "%s after it was heard", at-lost)
	}
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "e"}}, l.ask(lost+LostTimeout+askInterval))
}

// Guards against a control host that stops for good and, since it is still heard, is
// not replaced by a host that has asked before, whether it leads or follows.
func TestHostThatStopsIsReplacedAtOnce(t *testing.T) {
	l := newLostFixture(t)
	require.Nil(t, l.ask(0))
	l.Step(l.start, LeaveAnnounced{Notice: proto.LeaveNotice{Host: "c"}})
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "d", "e"}}, l.ask(100*time.Millisecond))

	leader := newLostFixture(t)
	require.Nil(t, leader.ask(0))
	leader.Step(leader.start, Stopping{})
	require.Equal(t, model.SetControls{Controls: []model.HostID{"b", "c", "d", "e"}}, leader.ask(100*time.Millisecond))

	follower := NewPlanner(controlMember("b"), []model.HostID{"a"}, 5)
	follower.Step(0, Stopping{})
	view := newView(false, 0, []model.HostID{"a", "b", "c"}, nil)
	require.Equal(t, []Effect{Send{To: "a", Msg: proto.LeaveNotice{Host: "b"}}}, follower.Step(1, Tick{View: view}))
	view.Config.Controls = []model.HostID{"a", "c"}
	require.Empty(t, follower.Step(model.Instant(time.Second), Tick{View: view}), "a host that stops does not ask to join")
}

// Guards against a host that asks to join but hears nothing, and is proposed again and
// again while another one waits.
func TestCandidatesTakeTurns(t *testing.T) {
	p := NewPlanner(controlMember("a"), nil, 5)
	view := newView(true, 1, []model.HostID{"a", "b", "c", "d"}, nil)
	propose := func(now model.Instant) model.Change {
		for _, host := range []model.HostID{"x", "y"} {
			p.Step(now, JoinRequested{View: view, Ask: proto.JoinAsk{Member: controlMember(host)}})
		}
		return proposedChange(t, p.Step(now, Tick{View: view}))
	}
	now := model.Instant(time.Second)
	for _, want := range []model.HostID{"x", "y", "x", "y"} {
		require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "d", want}}, propose(now))
		now = now.Add(proposalInterval)
	}
}

// Guards against a host that was removed while it was unreachable, takes itself for a
// control host and never asks to join.
func TestHostWithoutLeaderAsksToJoin(t *testing.T) {
	p := NewPlanner(controlMember("b"), []model.HostID{"a"}, 5)
	view := newView(false, 0, []model.HostID{"a", "b"}, nil)
	require.Empty(t, p.Step(0, Tick{View: view}), "it follows a leader")
	view.Leader = ""
	require.Equal(t, []Effect{Send{To: "a", Msg: proto.JoinAsk{Member: controlMember("b")}}}, p.Step(0, Tick{View: view}))
}

// Guards against a host that cannot join because all hosts of its settings are gone:
// it must also ask the last known control hosts.
func TestHostAsksSeedsAndLastKnownHosts(t *testing.T) {
	p := NewPlanner(controlMember("x"), []model.HostID{"a", "x"}, 5)
	view := newView(false, 0, []model.HostID{"b", "a"}, nil)
	var to []model.HostID
	for _, f := range p.Step(0, Tick{View: view}) {
		to = append(to, f.(Send).To)
	}
	require.Equal(t, []model.HostID{"a", "b"}, to)
	require.Empty(t, p.Step(0, Tick{View: view}))
	require.NotEmpty(t, p.Step(model.Instant(askInterval), Tick{View: view}))
}
