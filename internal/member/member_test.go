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

// Guards against a full fleet that ignores a host that asks to join: the host must
// replace a control host that was lost, but not one that is only restarting.
func TestLostHostIsReplaced(t *testing.T) {
	controls := []model.HostID{"a", "b", "c", "d", "e"}
	p := NewPlanner(controlMember("a"), nil, 5)
	start := model.Instant(time.Second)
	heard := func(model.HostID) (model.Instant, bool) { return 0, false }
	step := func(now model.Instant) model.Change {
		view := newView(true, now, controls, controls)
		view.LastHeardAt = func(h model.HostID) (model.Instant, bool) {
			if h == "d" {
				return heard(h)
			}
			return now, true
		}
		p.Step(now, JoinRequested{View: view, Ask: proto.JoinAsk{Member: controlMember("f")}})
		return proposedChange(t, p.Step(now, Tick{View: view}))
	}
	require.Nil(t, step(start))
	require.Nil(t, step(start.Add(LostTimeout-time.Millisecond)))
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "e"}}, step(start.Add(LostTimeout+time.Second)))

	heard = func(model.HostID) (model.Instant, bool) { return start.Add(LostTimeout + time.Second), true }
	require.Nil(t, step(start.Add(LostTimeout+2*time.Second)), "the host is back")
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
