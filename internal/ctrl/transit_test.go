package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// wholeConfig returns a change with so many routes and a document of its usual length.
func wholeConfig(revision model.Revision, routes int) model.ReplaceContent {
	ch := model.ReplaceContent{Revision: revision, Document: make([]byte, 160*routes)}
	ch.Content.Services = []model.Service{{Name: "stock"}}
	for i := range routes {
		name := fmt.Sprintf("route-%05d", i)
		ch.Content.Routes = append(ch.Content.Routes, model.Route{Name: model.RouteName(name), Host: "shop.example", PathPrefix: "/" + name + "/", Service: "stock"})
	}
	return ch
}

// ready returns a leader whose followers and seats hold all there is.
func ready(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	r.lead()
	r.ack("c1", 1, 0)
	r.ack("c2", 1, 0)
	r.ackSeats(0)
	require.Equal(t, uint64(1), r.n.commit)
	return r
}

// ackSeats lets all seats reply to the newest round.
func (r *rig) ackSeats(have model.Version) []Effect {
	var out []Effect
	for _, id := range []model.HostID{"s0", "s1", "s2"} {
		out = append(out, r.receive(id, proto.SeatStageReply{Term: r.n.term, HeldVersion: have, Incarnation: 1, Round: r.n.lead.stage.round})...)
	}
	return out
}

func withEntries(list []proto.Append) int {
	n := 0
	for _, m := range list {
		if len(m.Entries) > 0 {
			n++
		}
	}
	return n
}

func withChanges(list []proto.SeatStage) int {
	n := 0
	for _, m := range list {
		if len(m.Changes) > 0 || len(m.Snapshot) > 0 {
			n++
		}
	}
	return n
}

// Guards against a configuration of 1,400 routes that is refused for its length
// (grown Rodopi, trouble-2: 326,306 bytes, at most 262,144).
func TestLargeConfigurationIsAccepted(t *testing.T) {
	for _, routes := range []int{1400, 10_000} {
		r := ready(t)
		r.propose("big", wholeConfig(1, routes))
		r.ack("c1", r.n.log.last(), 0)
		require.Equal(t, model.Revision(1), r.n.state.cfg.Revision)
	}
}

// Guards against a large entry that is sent again at each heartbeat while it is
// on its way over a slow link, and so delays itself and all other messages; and
// against one that was lost and is not sent again.
func TestEntryOnItsWayIsSentOnce(t *testing.T) {
	r := ready(t)
	early := r.n.lead.round
	sends := withEntries(sent[proto.Append](r.propose("big", wholeConfig(1, 1400)), "c1"))
	for range 5 {
		sends += withEntries(sent[proto.Append](r.wait(100*time.Millisecond), "c1"))
	}
	require.Equal(t, 1, sends)

	reject := func(round uint64) int {
		return withEntries(sent[proto.Append](r.receive("c1", proto.AppendReply{Term: r.n.term, MatchIndex: 1, Round: round}), "c1"))
	}
	require.Zero(t, reject(early-1), "a reply to a message before the entry says nothing about it")
	require.Equal(t, 1, reject(r.n.lead.round), "the entry was lost")
	require.Zero(t, reject(r.n.lead.round-1), "the entry was sent again meanwhile")
}

// Guards against an entry that is lost without a trace and never sent again.
func TestEntryWithoutReplyIsSentAgain(t *testing.T) {
	r := ready(t)
	r.propose("big", wholeConfig(1, 1400))
	sends := 0
	for range 15 {
		sends += withEntries(sent[proto.Append](r.wait(100*time.Millisecond), "c1"))
		// c2 keeps the leader in office.
		r.ack("c2", 1, 0)
	}
	require.Equal(t, 1, sends)
}

// Guards against a change that is staged to a seat again and again while it is on its way.
func TestChangeOnItsWayToASeatIsSentOnce(t *testing.T) {
	r := ready(t)
	r.propose("big", wholeConfig(1, 1400))
	effects := r.ack("c1", r.n.log.last(), 0)
	late := r.n.lead.stage.round
	for range 9 {
		effects = append(effects, r.wait(100*time.Millisecond)...)
		r.ack("c1", r.n.log.last(), 0)
	}
	require.Equal(t, 1, withChanges(sent[proto.SeatStage](effects, "s0")))
	require.Less(t, model.Version(0), r.n.state.cfg.Version)

	// The replies to the message with the change arrive late; those to later
	// messages, which carried none, make it accepted.
	for _, id := range []model.HostID{"s0", "s1", "s2"} {
		reply := proto.SeatStageReply{Term: r.n.term, HeldVersion: r.n.state.cfg.Version, Incarnation: 1, Round: late}
		require.Zero(t, withChanges(sent[proto.SeatStage](r.receive(id, reply), id)))
	}
	r.ackSeats(r.n.state.cfg.Version)
	require.Equal(t, r.n.state.cfg.Version, r.n.accepted)
}

// Guards against messages longer than a frame when several large
// configurations follow each other: the link drops them, each time.
func TestSeveralLargeConfigurationsFitIntoFrames(t *testing.T) {
	r := ready(t)
	for i := range 20 {
		r.propose(fmt.Sprint("big-", i), wholeConfig(model.Revision(i+1), 5000+i))
	}
	r.n.lead.peer("c1").transit = transit{}
	for range 20 {
		for _, m := range sent[proto.Append](r.wait(100*time.Millisecond), "c1") {
			size := 0
			for _, e := range m.Entries {
				data, err := codec.EncodeLogEntry(e)
				require.NoError(t, err)
				size += len(data)
			}
			require.Less(t, size, 4<<20)
		}
		r.ack("c1", min(r.n.log.last(), r.n.lead.peer("c1").match+1), 0)
	}
	data, err := codec.EncodeControlState(r.n.controlState())
	require.NoError(t, err)
	require.Less(t, len(data), 4<<20, "the history keeps what changed")
}
