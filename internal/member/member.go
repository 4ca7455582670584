// Package member decides which hosts are control hosts and seats when the
// settings name only a few addresses of the fleet. A host that is not a control
// host asks to join; the leader adds it while there is room, and replaces a
// control host that was lost by one that asks. It is a pure state machine.
package member

import (
	"fmt"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// askEvery is the interval at which a host asks to join. Five hosts form
	// within 3 s, less than half of the time before the first callers arrive.
	askEvery = 300 * time.Millisecond
	// askedFor is how long a host that asked counts as wanting to join: three lost asks.
	askedFor = 4 * askEvery
	// retryEvery bounds how often the leader proposes a change of the lists.
	retryEvery = 400 * time.Millisecond
	// LostTimeout is how long a control host is out of reach before a host that
	// asks to join replaces it. It exceeds a restart and the time to catch up.
	LostTimeout = 8 * time.Second
)

// Event is an input of a Planner. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets the planner act on elapsed time.
	Tick struct{ View View }
	// JoinRequested delivers a JoinAsk.
	JoinRequested struct {
		View View
		Ask  proto.JoinAsk
	}
)

// View is what the consensus core of this host knows at the time of an event.
type View struct {
	// IsLeader is set while this host leads with a live quorum.
	IsLeader bool
	Leader   model.HostID
	Config   model.Config
	// LastHeardAt returns when a control host was last heard, for the leader.
	LastHeardAt func(model.HostID) (model.Instant, bool)
}

// Effect is an output of a Planner. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message; loss is allowed.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Propose asks for a change of the lists.
	Propose struct{ Proposal model.Proposal }
	// CandidateLocated tells where a host that asks to join is.
	CandidateLocated struct{ Member proto.Member }
)

func (Tick) isEvent()              {}
func (JoinRequested) isEvent()     {}
func (Send) isEffect()             {}
func (Propose) isEffect()          {}
func (CandidateLocated) isEffect() {}

// Planner is the membership state machine of one control host.
type Planner struct {
	self proto.Member
	// seeds are the hosts to ask while the lists are not known.
	seeds []model.HostID
	// size is the number of control hosts to keep: 1, 3 or 5.
	size int

	asked map[model.HostID]candidate
	// leadsSince is when this host began to lead, or 0.
	leadsSince model.Instant
	nextAsk    model.Instant
	nextPlan   model.Instant
	proposals  uint64
}

// candidate is a host that asked to join.
type candidate struct {
	member proto.Member
	at     model.Instant
}

// NewPlanner returns the planner of a host that keeps size control hosts.
func NewPlanner(self proto.Member, seeds []model.HostID, size int) *Planner {
	return &Planner{self: self, seeds: slices.Clone(seeds), size: size, asked: map[model.HostID]candidate{}}
}

// Step handles one event.
func (p *Planner) Step(now model.Instant, ev Event) []Effect {
	switch ev := ev.(type) {
	case JoinRequested:
		return p.onAsk(now, ev)
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
	if !slices.Contains(v.Config.Controls, p.self.Host) {
		return p.ask(now, v)
	}
	if !v.IsLeader || now < p.nextPlan {
		return nil
	}
	change := p.plan(now, v)
	if change == nil {
		return nil
	}
	p.nextPlan = now.Add(retryEvery)
	p.proposals++
	return []Effect{Propose{Proposal: model.Proposal{
		ID:     model.ChangeID(fmt.Sprintf("member-%s-%d-%d", p.self.Host, uint64(p.self.Incarnation), p.proposals)),
		Base:   v.Config.Version,
		Actor:  "membership",
		Reason: "keeps the number of control hosts and seats",
		Change: change,
	}}}
}

// ask asks the hosts of the settings, and those of the last known list, to join.
func (p *Planner) ask(now model.Instant, v View) []Effect {
	if now < p.nextAsk {
		return nil
	}
	p.nextAsk = now.Add(askEvery)
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

func (p *Planner) onAsk(now model.Instant, ev JoinRequested) []Effect {
	host := ev.Ask.Member.Host
	if host == "" || slices.Contains(ev.View.Config.Controls, host) {
		return nil
	}
	if ev.View.IsLeader {
		p.asked[host] = candidate{member: ev.Ask.Member, at: now}
		return []Effect{CandidateLocated{Member: ev.Ask.Member}}
	}
	if ev.Ask.Forwarded || ev.View.Leader == "" || ev.View.Leader == p.self.Host {
		return nil
	}
	ask := ev.Ask
	ask.Forwarded = true
	return []Effect{Send{To: ev.View.Leader, Msg: ask}}
}

// plan returns the next change of the lists, or nil if they are as they should be.
func (p *Planner) plan(now model.Instant, v View) model.Change {
	controls := v.Config.Controls
	next := p.newest(now, controls)
	switch {
	case next != "" && len(controls) < p.size:
		return model.SetControls{Controls: append(slices.Clone(controls), next)}
	case next != "":
		if lost := p.lost(now, v); lost != "" {
			return model.SetControls{Controls: slices.DeleteFunc(slices.Clone(controls), func(h model.HostID) bool { return h == lost })}
		}
	}
	if len(controls)%2 == 1 && !sameHosts(controls, v.Config.Seats) {
		return model.SetSeats{Seats: slices.Clone(controls)}
	}
	return nil
}

// newest returns the first host by name that asks to join.
func (p *Planner) newest(now model.Instant, controls []model.HostID) model.HostID {
	var first model.HostID
	for host, c := range p.asked {
		if now.Sub(c.at) > askedFor || slices.Contains(controls, host) {
			delete(p.asked, host)
			continue
		}
		if first == "" || host < first {
			first = host
		}
	}
	return first
}

// lost returns the control host that has been out of reach for longest, if
// that is more than LostAfter. A new leader first waits for as long.
func (p *Planner) lost(now model.Instant, v View) model.HostID {
	if now.Sub(p.leadsSince) < LostTimeout {
		return ""
	}
	var lost model.HostID
	oldest := now.Add(-LostTimeout)
	for _, host := range v.Config.Controls {
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
