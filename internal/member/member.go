// Package member decides which hosts are control hosts and seats when the
// settings name only a few addresses of the fleet. A host that is not a control
// host asks to join. The leader adds it while control hosts are missing, and
// removes a control host that stops or is unreachable to make room for a host that
// asks. The Planner is a pure state machine.
//
// A host that has begun to ask is a sign that another one is gone for good, so an
// unreachable control host is then replaced within a second. While no host has begun
// to ask, one that pauses or is cut off stays a control host for LostTimeout, and
// without a host that asks it stays one. The leader cannot tell which one of several
// unreachable hosts is gone. If it removes another one, that one asks to join when it
// returns and takes the place of the one that is gone. Either way the lists hold at
// most as many unreachable hosts as have failed and not yet returned.
package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// askInterval is the interval at which a host asks to join. It is short enough
	// for five hosts to form a fleet within 3 s, less than half of the time before
	// the first callers arrive.
	askInterval = 300 * time.Millisecond
	// candidateTimeout is how long a host stays a candidate after a JoinAsk. Three
	// consecutive JoinAsk may be lost.
	candidateTimeout = 4 * askInterval
	// leaveNoticeValidity is how long a host counts as stopping after its LeaveNotice.
	// A host that has restarted meanwhile is no longer stopping.
	leaveNoticeValidity = 4 * askInterval
	// proposalInterval is the minimum interval between two changes of the lists that
	// the leader proposes.
	proposalInterval = 400 * time.Millisecond
	// LostTimeout is how long a control host may be unreachable before a host that
	// has asked to join for longer than this replaces it. It exceeds the time of a
	// restart and of catching up.
	LostTimeout = 8 * time.Second
	// newcomerTimeout is how long a control host may be unreachable before a host that
	// has begun to ask within LostTimeout replaces it.
	newcomerTimeout = time.Second
)

// Event is an input of a Planner. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets the planner act on elapsed time.
	Tick struct{ View View }
	// JoinRequested delivers a JoinAsk to the planner of a control host.
	JoinRequested struct {
		View View
		Ask  proto.JoinAsk
	}
	// LeaveAnnounced delivers a LeaveNotice to the planner of a control host.
	LeaveAnnounced struct{ Notice proto.LeaveNotice }
	// Stopping tells the planner that its host is about to stop.
	Stopping struct{}
)

// View is the state of the consensus core of this host at the time of an event.
type View struct {
	// IsLeader is set while this host is the leader and a quorum answers it.
	IsLeader bool
	Leader   model.HostID
	Config   model.Config
	// LastHeardAt returns when the leader last received a message of a control host,
	// or false if it received none. It is used on the leader only.
	LastHeardAt func(model.HostID) (model.Instant, bool)
}

// Effect is an output of a Planner. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message. The message may be lost.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Propose proposes a change of the lists of control hosts or seats.
	Propose struct{ Proposal model.Proposal }
	// CandidateLocated publishes the member, with its address, that asks to join.
	CandidateLocated struct{ Member proto.Member }
)

func (Tick) isEvent()              {}
func (JoinRequested) isEvent()     {}
func (LeaveAnnounced) isEvent()    {}
func (Stopping) isEvent()          {}
func (Send) isEffect()             {}
func (Propose) isEffect()          {}
func (CandidateLocated) isEffect() {}

// Planner is the membership state machine of one host. It asks to join while the
// host is not a control host, and plans changes of the lists while it is the leader.
type Planner struct {
	self proto.Member
	// seeds are the hosts of the settings, which are asked to join.
	seeds []model.HostID
	// size is the number of control hosts to keep: 1, 3 or 5.
	size int

	candidates map[model.HostID]candidate
	// leavingAt holds when control hosts last announced that they stop.
	leavingAt map[model.HostID]model.Instant
	// stopping is set once this host is about to stop.
	stopping bool
	// leadsSince is when this host became the leader, or 0 while it is not.
	leadsSince model.Instant
	nextAsk    model.Instant
	nextPlan   model.Instant
	proposals  uint64
}

// candidate is a host that asks to join.
type candidate struct {
	member proto.Member
	// since is when this host got the first of its present asks, askedAt the last.
	since   model.Instant
	askedAt model.Instant
	// proposedAt is when this host last proposed to add it, or 0.
	proposedAt model.Instant
}

// NewPlanner returns a planner that keeps size control hosts: 1, 3 or 5.
func NewPlanner(self proto.Member, seeds []model.HostID, size int) *Planner {
	return &Planner{self: self, seeds: slices.Clone(seeds), size: size, candidates: map[model.HostID]candidate{}, leavingAt: map[model.HostID]model.Instant{}}
}

// Step handles one event and returns the resulting effects.
func (p *Planner) Step(now model.Instant, ev Event) []Effect {
	switch ev := ev.(type) {
	case JoinRequested:
		return p.handleJoin(now, ev)
	case LeaveAnnounced:
		p.leavingAt[ev.Notice.Host] = now
		return nil
	case Stopping:
		p.stopping, p.nextAsk = true, 0
		return nil
	case Tick:
		return p.tick(now, ev.View)
	default:
		return nil
	}
}

func (p *Planner) tick(now model.Instant, v View) []Effect {
	if !v.IsLeader {
		p.leadsSince = 0
	} else if p.leadsSince == 0 {
		p.leadsSince = now
	}
	switch {
	case v.IsLeader && p.stopping:
		p.leavingAt[p.self.Host] = now
	case p.stopping:
		return p.announceLeave(now, v)
	case !v.IsLeader && (v.Leader == "" || !slices.Contains(v.Config.Controls, p.self.Host)):
		// A host that was removed while it was unreachable does not know it.
		return p.ask(now, v)
	}
	if !v.IsLeader || now < p.nextPlan {
		return nil
	}
	change := p.plan(now, v)
	if change == nil {
		return nil
	}
	p.nextPlan = now.Add(proposalInterval)
	p.proposals++
	return []Effect{Propose{Proposal: model.Proposal{
		ID:     model.ChangeID(fmt.Sprintf("member-%s-%d-%d", p.self.Host, uint64(p.self.Incarnation), p.proposals)),
		Base:   v.Config.Version,
		Actor:  "membership",
		Reason: "keeps the number of control hosts and seats",
		Change: change,
	}}}
}

// ask sends a JoinAsk to the seeds and the last known control hosts.
func (p *Planner) ask(now model.Instant, v View) []Effect {
	if now < p.nextAsk {
		return nil
	}
	p.nextAsk = now.Add(askInterval)
	hosts := slices.Clone(p.seeds)
	for _, h := range v.Config.Controls {
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	var out []Effect
	for _, h := range hosts {
		if h != p.self.Host {
			out = append(out, Send{To: h, Msg: proto.JoinAsk{Member: p.self}})
		}
	}
	return out
}

// announceLeave tells the leader that this host is about to stop.
func (p *Planner) announceLeave(now model.Instant, v View) []Effect {
	if now < p.nextAsk || v.Leader == "" || !slices.Contains(v.Config.Controls, p.self.Host) {
		return nil
	}
	p.nextAsk = now.Add(askInterval)
	return []Effect{Send{To: v.Leader, Msg: proto.LeaveNotice{Host: p.self.Host}}}
}

// handleJoin records a candidate on the leader. Other control hosts forward the ask
// to the leader once.
func (p *Planner) handleJoin(now model.Instant, ev JoinRequested) []Effect {
	host := ev.Ask.Member.Host
	if host == "" || slices.Contains(ev.View.Config.Controls, host) {
		return nil
	}
	if ev.View.IsLeader {
		c, ok := p.candidates[host]
		if !ok || now.Sub(c.askedAt) > candidateTimeout {
			c.since = now
		}
		c.member, c.askedAt = ev.Ask.Member, now
		p.candidates[host] = c
		return []Effect{CandidateLocated{Member: ev.Ask.Member}}
	}
	if ev.Ask.Forwarded || ev.View.Leader == "" || ev.View.Leader == p.self.Host {
		return nil
	}
	ask := ev.Ask
	ask.Forwarded = true
	return []Effect{Send{To: ev.View.Leader, Msg: ask}}
}

// plan returns the next change of the lists, or nil if none is needed.
func (p *Planner) plan(now model.Instant, v View) model.Change {
	controls := v.Config.Controls
	next := p.nextCandidate(now, controls)
	switch {
	case next != "" && len(controls) < p.size:
		c := p.candidates[next]
		c.proposedAt = now
		p.candidates[next] = c
		return model.SetControls{Controls: append(slices.Clone(controls), next)}
	case next != "":
		if lost := p.replaceable(now, v, p.replaceTimeout(now)); lost != "" {
			return model.SetControls{Controls: slices.DeleteFunc(slices.Clone(controls), func(h model.HostID) bool { return h == lost })}
		}
	}
	if len(controls)%2 == 1 && !sameHosts(controls, v.Config.Seats) {
		return model.SetSeats{Seats: slices.Clone(controls)}
	}
	return nil
}

// HasCandidate reports whether a host asks to join.
func (p *Planner) HasCandidate(now model.Instant) bool {
	for _, c := range p.candidates {
		if now.Sub(c.askedAt) <= candidateTimeout {
			return true
		}
	}
	return false
}

// nextCandidate returns the candidate that was least recently proposed, by host name
// among equals, or "", and drops the candidates that no longer ask or have joined. A
// host that is heard but hears nothing asks and cannot be added.
func (p *Planner) nextCandidate(now model.Instant, controls []model.HostID) model.HostID {
	var next model.HostID
	for host, c := range p.candidates {
		if now.Sub(c.askedAt) > candidateTimeout || slices.Contains(controls, host) {
			delete(p.candidates, host)
			continue
		}
		best := p.candidates[next].proposedAt
		if next == "" || c.proposedAt < best || c.proposedAt == best && host < next {
			next = host
		}
	}
	return next
}

// replaceTimeout returns how long a control host must be unreachable for a candidate
// to replace it.
func (p *Planner) replaceTimeout(now model.Instant) time.Duration {
	for _, c := range p.candidates {
		if now.Sub(c.since) <= LostTimeout {
			return newcomerTimeout
		}
	}
	return LostTimeout
}

// replaceable returns a control host that is about to stop or, if there is none, the
// one that has been unreachable for the longest time beyond timeout, or "".
func (p *Planner) replaceable(now model.Instant, v View, timeout time.Duration) model.HostID {
	maps.DeleteFunc(p.leavingAt, func(_ model.HostID, at model.Instant) bool { return now.Sub(at) > leaveNoticeValidity })
	var lost model.HostID
	oldest := now.Add(-timeout)
	for _, host := range v.Config.Controls {
		if _, ok := p.leavingAt[host]; ok {
			return host
		}
		if host == p.self.Host {
			continue
		}
		at, ok := v.LastHeardAt(host)
		if !ok {
			at = p.leadsSince
		}
		if at < oldest {
			lost, oldest = host, at
		}
	}
	return lost
}

// sameHosts reports whether two lists contain the same hosts in any order.
func sameHosts(a, b []model.HostID) bool {
	if len(a) != len(b) {
		return false
	}
	for _, h := range a {
		if !slices.Contains(b, h) {
			return false
		}
	}
	return true
}
