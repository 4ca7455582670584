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

// newReplaceContent returns a change to a configuration with this number of
// routes and a document of the usual length for it.
func newReplaceContent(revision model.Revision, routes int) model.ReplaceContent {
	ch := model.ReplaceContent{Revision: revision, Document: make([]byte, 160*routes)}
	ch.Content.Services = []model.Service{{Name: "stock"}}
	for i := range routes {
		name := fmt.Sprintf("route-%05d", i)
		ch.Content.Routes = append(ch.Content.Routes, model.Route{Name: model.RouteName(name), Host: "shop.example", PathPrefix: "/" + name + "/", Service: "stock"})
	}
	return ch
}

// newReadyLeader returns a leader whose entry of the term is committed and
// whose followers and seats are up to date.
func newReadyLeader(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.becomeLeader()
	h.ackAppend("c1", 1, 0)
	h.ackAppend("c2", 1, 0)
	h.ackSeats(0)
	require.Equal(t, uint64(1), h.node.commitIndex)
	return h
}

// ackSeats delivers a reply of each seat to the newest staging round.
func (h *harness) ackSeats(have model.Version) []Effect {
	var out []Effect
	for _, id := range []model.HostID{"s0", "s1", "s2"} {
		out = append(out, h.receive(id, proto.SeatStageReply{Term: h.node.term, HeldVersion: have, Incarnation: 1, Round: h.node.leadership.staging.round})...)
	}
	return out
}

// countWithEntries returns how many of the messages carry entries.
func countWithEntries(list []proto.Append) int {
	n := 0
	for _, m := range list {
		if len(m.Entries) > 0 {
			n++
		}
	}
	return n
}

// countWithChanges returns how many of the messages carry changes or a
// snapshot.
func countWithChanges(list []proto.SeatStage) int {
	n := 0
	for _, m := range list {
		if len(m.Changes) > 0 || len(m.Snapshot) > 0 {
			n++
		}
	}
	return n
}

// TestLargeConfigurationIsAccepted guards against refusing a configuration of
// 1,400 routes for its length: such a configuration has 326,306 bytes, and the
// limit was 262,144.
func TestLargeConfigurationIsAccepted(t *testing.T) {
	for _, routes := range []int{1400, 10_000} {
		h := newReadyLeader(t)
		h.propose("big", newReplaceContent(1, routes))
		h.ackAppend("c1", h.node.log.lastIndex(), 0)
		require.Equal(t, model.Revision(1), h.node.state.cfg.Revision)
	}
}

// TestEntryInFlightIsSentOnce guards against sending a large entry again with
// each heartbeat while it is in flight on a slow link, which delays it and all
// other messages; and against not sending it again when it was lost.
func TestEntryInFlightIsSentOnce(t *testing.T) {
	h := newReadyLeader(t)
	early := h.node.leadership.round
	sends := countWithEntries(sentTo[proto.Append](h.propose("big", newReplaceContent(1, 1400)), "c1"))
	for range 5 {
		sends += countWithEntries(sentTo[proto.Append](h.advance(100*time.Millisecond), "c1"))
	}
	require.Equal(t, 1, sends)

	reject := func(round uint64) int {
		return countWithEntries(sentTo[proto.Append](h.receive("c1", proto.AppendReply{Term: h.node.term, MatchIndex: 1, Round: round}), "c1"))
	}
	require.Zero(t, reject(early-1), "a reply to a message before the entry says nothing about it")
	require.Equal(t, 1, reject(h.node.leadership.round), "the entry was lost")
	require.Zero(t, reject(h.node.leadership.round-1), "the entry was sent again meanwhile")
}

// TestEntryWithoutReplyIsSentAgain guards against never sending an entry again
// when neither the entry nor any later message is answered.
func TestEntryWithoutReplyIsSentAgain(t *testing.T) {
	h := newReadyLeader(t)
	h.propose("big", newReplaceContent(1, 1400))
	sends := 0
	for range 15 {
		sends += countWithEntries(sentTo[proto.Append](h.advance(100*time.Millisecond), "c1"))
		// Without the replies of c2 the leader would step down.
		h.ackAppend("c2", 1, 0)
	}
	require.Equal(t, 1, sends)
}

// TestChangeInFlightToASeatIsSentOnce guards against staging a change to a seat
// again while it is in flight.
func TestChangeInFlightToASeatIsSentOnce(t *testing.T) {
	h := newReadyLeader(t)
	h.propose("big", newReplaceContent(1, 1400))
	effects := h.ackAppend("c1", h.node.log.lastIndex(), 0)
	late := h.node.leadership.staging.round
	for range 9 {
		effects = append(effects, h.advance(100*time.Millisecond)...)
		h.ackAppend("c1", h.node.log.lastIndex(), 0)
	}
	require.Equal(t, 1, countWithChanges(sentTo[proto.SeatStage](effects, "s0")))
	require.Less(t, model.Version(0), h.node.state.cfg.Version)

	// The replies to the message with the change arrive late; those to later
	// messages, which carried none, make it accepted.
	for _, id := range []model.HostID{"s0", "s1", "s2"} {
		reply := proto.SeatStageReply{Term: h.node.term, HeldVersion: h.node.state.cfg.Version, Incarnation: 1, Round: late}
		require.Zero(t, countWithChanges(sentTo[proto.SeatStage](h.receive(id, reply), id)))
	}
	h.ackSeats(h.node.state.cfg.Version)
	require.Equal(t, h.node.state.cfg.Version, h.node.acceptedVersion)
}

// TestSeveralLargeConfigurationsFitIntoFrames guards against messages longer
// than a frame when several large configurations follow each other. The link
// would drop such a message each time it is sent.
func TestSeveralLargeConfigurationsFitIntoFrames(t *testing.T) {
	h := newReadyLeader(t)
	for i := range 20 {
		h.propose(fmt.Sprint("big-", i), newReplaceContent(model.Revision(i+1), 5000+i))
	}
	h.node.leadership.peer("c1").inflight = inflight{}
	for range 20 {
		for _, m := range sentTo[proto.Append](h.advance(100*time.Millisecond), "c1") {
			size := 0
			for _, e := range m.Entries {
				data, err := codec.EncodeLogEntry(e)
				require.NoError(t, err)
				size += len(data)
			}
			require.Less(t, size, 4<<20)
		}
		h.ackAppend("c1", min(h.node.log.lastIndex(), h.node.leadership.peer("c1").matchIndex+1), 0)
	}
	data, err := codec.EncodeControlState(h.node.controlState())
	require.NoError(t, err)
	require.Less(t, len(data), 4<<20, "the history keeps what changed")
}
