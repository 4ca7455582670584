package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func memberOf(host model.HostID) proto.Member {
	return proto.Member{Host: host, Role: proto.RoleControl, Addr: "10.0.0.1:1", Incarnation: 1}
}

// viewOf is the view of a host that leads, with the control hosts heard just now.
func viewOf(leads bool, now model.Instant, controls, seats []model.HostID) View {
	cfg := model.NewConfig(controls, seats)
	cfg.Version = 5
	return View{IsLeader: leads, Leader: "a", Config: cfg, LastHeardAt: func(model.HostID) (model.Instant, bool) { return now, true }}
}

func proposed(t *testing.T, out []Effect) model.Change {
	t.Helper()
	for _, f := range out {
		if p, ok := f.(Propose); ok {
			require.EqualValues(t, 5, p.Proposal.Base)
			return p.Proposal.Change
		}
	}
	return nil
}

// Guards against a fleet that stays at the hosts of the settings, and against
// seats that are not those of all control hosts.
func TestLeaderAddsHostsThatAsk(t *testing.T) {
	p := NewPlanner(memberOf("a"), []model.HostID{"a", "b", "c"}, 5)
	now := model.Instant(time.Second)
	controls := []model.HostID{"a", "b", "c"}
	view := viewOf(true, now, controls, controls)
	require.Nil(t, proposed(t, p.Step(now, Tick{View: view})), "nobody asks")

	out := p.Step(now, JoinRequested{View: view, Ask: proto.JoinAsk{Member: memberOf("d")}})
	require.Equal(t, []Effect{CandidateLocated{Member: memberOf("d")}}, out)
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "d"}}, proposed(t, p.Step(now, Tick{View: view})))
	require.Nil(t, proposed(t, p.Step(now, Tick{View: view})), "one proposal at a time")

	now = now.Add(2 * retryEvery)
	four := append(controls, "d")
	require.Nil(t, proposed(t, p.Step(now, Tick{View: viewOf(true, now, four, controls)})), "an even number of seats tolerates no more")
	five := append(four, "e")
	require.Equal(t, model.SetSeats{Seats: five}, proposed(t, p.Step(now, Tick{View: viewOf(true, now, five, controls)})))
}

// Guards against an ask that reaches only a follower, and against one that circulates.
func TestFollowersPassAsksOnOnce(t *testing.T) {
	p := NewPlanner(memberOf("b"), nil, 5)
	view := viewOf(false, 0, []model.HostID{"a", "b", "c"}, nil)
	ask := proto.JoinAsk{Member: memberOf("d")}
	out := p.Step(0, JoinRequested{View: view, Ask: ask})
	ask.Forwarded = true
	require.Equal(t, []Effect{Send{To: "a", Msg: ask}}, out)
	require.Empty(t, p.Step(0, JoinRequested{View: view, Ask: ask}))
}

// Guards against a host that a full fleet forgets: it takes the place of a lost
// control host, but not of one that is only restarting.
func TestLostHostIsReplaced(t *testing.T) {
	controls := []model.HostID{"a", "b", "c", "d", "e"}
	p := NewPlanner(memberOf("a"), nil, 5)
	start := model.Instant(time.Second)
	heard := func(model.HostID) (model.Instant, bool) { return 0, false }
	step := func(now model.Instant) model.Change {
		view := viewOf(true, now, controls, controls)
		view.LastHeardAt = func(h model.HostID) (model.Instant, bool) {
			if h == "d" {
				return heard(h)
			}
			return now, true
		}
		p.Step(now, JoinRequested{View: view, Ask: proto.JoinAsk{Member: memberOf("f")}})
		return proposed(t, p.Step(now, Tick{View: view}))
	}
	require.Nil(t, step(start))
	require.Nil(t, step(start.Add(LostTimeout-time.Millisecond)))
	require.Equal(t, model.SetControls{Controls: []model.HostID{"a", "b", "c", "e"}}, step(start.Add(LostTimeout+time.Second)))

	heard = func(model.HostID) (model.Instant, bool) { return start.Add(LostTimeout + time.Second), true }
	require.Nil(t, step(start.Add(LostTimeout+2*time.Second)), "the host is back")
}

// Guards against a host that asks nobody because the hosts of its settings are gone.
func TestHostAsksSeedsAndLastKnownHosts(t *testing.T) {
	p := NewPlanner(memberOf("x"), []model.HostID{"a", "x"}, 5)
	view := viewOf(false, 0, []model.HostID{"b", "a"}, nil)
	var to []model.HostID
	for _, f := range p.Step(0, Tick{View: view}) {
		to = append(to, f.(Send).To)
	}
	require.Equal(t, []model.HostID{"a", "b"}, to)
	require.Empty(t, p.Step(0, Tick{View: view}))
	require.NotEmpty(t, p.Step(model.Instant(askEvery), Tick{View: view}))
}
