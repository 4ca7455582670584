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

const (
	// grownRoutes is the number of routes of a configuration that has grown.
	grownRoutes = 1400
	// maxLogBytes is the number of encoded bytes that the log of such a
	// configuration may hold: what leads to a snapshot, and what is not committed.
	maxLogBytes = DefaultSnapshotBytes + maxUncommittedBytes
)

// encodedSize returns the length of the encoded entries.
func encodedSize(t *testing.T, entries []proto.LogEntry) int {
	t.Helper()
	size := 0
	for _, e := range entries {
		if e.Proposal == nil {
			continue
		}
		data, err := codec.EncodeProposal(*e.Proposal)
		require.NoError(t, err)
		size += len(data)
	}
	return size
}

// recordsAfter returns the records on a disk that holds records and takes the
// Persist effects.
func recordsAfter(t *testing.T, records [][]byte, effects []Effect) [][]byte {
	t.Helper()
	for _, e := range effects {
		p, ok := e.(Persist)
		if !ok {
			continue
		}
		data, isSnapshot, err := EncodePersist(p)
		require.NoError(t, err)
		if isSnapshot {
			records = nil
		}
		records = append(records, data)
	}
	return records
}

func sizeOf(records [][]byte) int {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	return size
}

// measuredHost is a host whose disk is measured. Its runtime encodes large states
// slowly: the result is delivered after the next encodeDelay changes.
type measuredHost struct {
	*harness
	records   [][]byte
	encodings []Encode
}

// encodeDelay is the number of changes that a host handles while a state is encoded.
const encodeDelay = 3

// take records the effects of a change and delivers an encoding that is due.
func (h *measuredHost) take(effects []Effect) {
	h.records = recordsAfter(h.t.(*testing.T), h.records, effects)
	for _, e := range effects {
		if e, ok := e.(Encode); ok {
			h.encodings = append(h.encodings, e)
		}
	}
	if len(h.encodings) < encodeDelay {
		h.encodings = append(h.encodings, Encode{})
		return
	}
	due := h.encodings[0]
	h.encodings = h.encodings[1:]
	if due.ID == 0 {
		return
	}
	data, err := codec.EncodeControlState(due.State)
	require.NoError(h.t, err)
	h.records = recordsAfter(h.t.(*testing.T), h.records, h.step(Encoded{ID: due.ID, Data: data}))
}

// TestLogOfWholeConfigurationsIsBoundedInBytes guards against a leader and a
// follower that keep hundreds of whole configurations in memory and on disk: the
// log was compacted after 1,000 entries of any size, and control hosts exceeded
// their memory, also after each restart.
func TestLogOfWholeConfigurationsIsBoundedInBytes(t *testing.T) {
	for _, size := range []struct{ routes, changes int }{{grownRoutes, 60}, {5000, 24}} {
		leader, follower := &measuredHost{harness: newReadyLeader(t)}, &measuredHost{harness: newHarness(t)}
		follower.receive("c1", proto.Append{Term: leader.node.term, Entries: leader.node.log.entriesFrom(1, 1), CommitIndex: 1})
		for i := 1; i <= size.changes; i++ {
			effects := leader.propose(fmt.Sprintf("change-%d", i), newReplaceContent(model.Revision(i), size.routes))
			last := leader.node.log.lastIndex()
			entry := leader.node.log.entry(last)
			leader.take(append(effects, leader.ackAppend("c1", last, 0)...))
			follower.take(follower.receive("c1", proto.Append{
				Term: leader.node.term, PrevIndex: last - 1, PrevTerm: leader.node.term, Entries: []proto.LogEntry{entry}, CommitIndex: last,
			}))
			if i%4 != 0 {
				continue
			}
			for name, h := range map[string]*measuredHost{"leader": leader, "follower": follower} {
				require.Equal(t, last, h.node.appliedIndex, name)
				require.LessOrEqual(t, encodedSize(t, h.node.log.entries), maxLogBytes, "%s after %d changes of %d routes", name, i, size.routes)
				require.LessOrEqual(t, sizeOf(h.records), maxLogBytes+2*len(h.node.snapshot.Data), "disk of the %s", name)
			}
		}
		require.Equal(t, model.Revision(size.changes), follower.node.state.cfg.Revision)
	}
}

// TestChangesWithoutAMajorityAreBoundedInBytes guards against a leader that keeps
// 256 whole configurations while too few disks hold them, and against a host that
// keeps 1,024 of them for a leader that does not answer.
func TestChangesWithoutAMajorityAreBoundedInBytes(t *testing.T) {
	h := newReadyLeader(t)
	refused := 0
	for i := 1; i <= 100; i++ {
		for _, e := range h.propose(fmt.Sprintf("change-%d", i), newReplaceContent(model.Revision(i), grownRoutes)) {
			if r, ok := e.(Reply); ok {
				require.Equal(t, model.ResultNotLeader, r.Result.Kind, "a change that is not taken may be sent again")
				refused++
			}
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, encodedSize(t, h.node.log.entries), maxLogBytes)

	f := newHarness(t)
	f.receive("c1", proto.Append{Term: 2, PrevIndex: 0, PrevTerm: 0})
	refused = 0
	for i := 1; i <= 100; i++ {
		effects := f.step(Proposed{Nonce: uint64(i), Proposal: model.Proposal{ID: model.ChangeID(fmt.Sprintf("change-%d", i)), Change: newReplaceContent(model.Revision(i), grownRoutes)}})
		for _, e := range effects {
			if _, ok := e.(Reply); ok {
				refused++
			}
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, f.node.pending.forwardedBytes(), maxForwardedBytes+maxProposalBytes)
}

// TestHistoryKeepsChangesOfContentWithinTheirBound guards against 32 whole
// differences of a large configuration in the history, which each snapshot holds
// too, although a host that lacks more than maxChangeBytes is sent a snapshot.
func TestHistoryKeepsChangesOfContentWithinTheirBound(t *testing.T) {
	h := newReadyLeader(t)
	for i := 1; i <= 2*maxContentChanges; i++ {
		change := newReplaceContent(model.Revision(i), grownRoutes)
		for j := range change.Content.Routes {
			change.Content.Routes[j].Timeout = time.Duration(i) * time.Millisecond
		}
		h.propose(fmt.Sprintf("change-%d", i), change)
		h.ackAppend("c1", h.node.log.lastIndex(), 0)
		kept := 0
		for _, o := range h.node.history.outcomes {
			kept += o.Committed.EstimatedSize()
		}
		require.LessOrEqual(t, kept, maxChangeBytes+changeOverhead*len(h.node.history.outcomes))
	}
	_, ok := h.node.Changes(h.node.state.cfg.Version - 1)
	require.True(t, ok, "the newest change is kept")
}

// changeOverhead is the estimated size of an outcome without its change, in bytes.
const changeOverhead = 512

// TestEstimatedSizeFollowsEncodedSize guards against a bound in bytes that long
// names, prefixes, splits or removed items pass unseen.
func TestEstimatedSizeFollowsEncodedSize(t *testing.T) {
	long := string(make([]byte, 2000))
	routes := newReplaceContent(1, 200)
	for i := range routes.Content.Routes {
		routes.Content.Routes[i].PathPrefix = "/" + long
		routes.Content.Routes[i].Split = []model.Share{{Service: "stock", Weight: 1}, {Service: "other", Weight: 2}}
	}
	removed := model.EditContent{Revision: 1}
	for i := range 200 {
		removed.RemovedRoutes = append(removed.RemovedRoutes, model.RouteName(fmt.Sprint(long, i)))
	}
	for _, ch := range []model.Change{
		newReplaceContent(1, grownRoutes), routes, removed,
		model.EditContent{Routes: routes.Content.Routes},
		model.PutRoute{Route: routes.Content.Routes[0]},
	} {
		p := model.Proposal{ID: "id", Change: ch}
		data, err := codec.EncodeProposal(p)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), p.EstimatedSize()+p.EstimatedSize()/4, "%T", ch)
		require.GreaterOrEqual(t, len(data), p.EstimatedSize()/3, "%T", ch)
	}
}
