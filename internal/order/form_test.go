package order_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// newFormingFleet returns a testFleet whose empty journals form a fleet.
func newFormingFleet(t *testing.T) *testFleet {
	f := newTestFleet(t)
	for i, id := range f.ids {
		f.loseDisk(id, false, uint64(1000*i))
	}
	return f
}

// votingJournals returns the journals that can vote.
func (f *testFleet) votingJournals() (ids []model.HostID) {
	for _, id := range f.ids {
		if f.journals[id].CanVote() {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestDiskLostWhileCreateFleetIsSet guards against an order that runs twice because a journal
// lost its disk while create_fleet was still true and votes without its records.
func TestDiskLostWhileCreateFleetIsSet(t *testing.T) {
	f := newTestFleet(t)
	f.down["j2"] = true
	f.start("a", "o", 1)
	f.finish("a", false, "")
	require.Equal(t, []string{"a reserved"}, f.outcomes)
	f.advance(15 * time.Second) // the last resend of each message is over
	f.loseDisk("j1", false, 99)
	f.down["j2"], f.down["j0"] = false, true
	f.advance(time.Second)
	f.start("b", "o", 1)
	f.advance(200 * time.Millisecond)
	require.NotContains(t, f.outcomes, "b reserved")
	f.down["j0"] = false
	f.advance(time.Second)
	require.Equal(t, f.ids, f.votingJournals())
	f.start("c", "o", 1)
	f.advance(200 * time.Millisecond)
	require.Equal(t, "c stopped 1", f.outcomes[len(f.outcomes)-1])
}

// TestFormingNeedsAllJournals guards against journals that vote before all of them are known
// to be empty, and against a journal that takes its own disk for lost because another journal
// was formed first.
func TestFormingNeedsAllJournals(t *testing.T) {
	f := newFormingFleet(t)
	f.down["j2"] = true
	f.advance(time.Second)
	require.Empty(t, f.votingJournals(), "one journal has not replied")
	f.down["j2"] = false
	// j0 forms alone: no other journal gets a reply.
	f.dropMessage = func(_ model.HostID, m order.Send) bool {
		_, ok := m.Msg.(proto.JournalFormReply)
		return ok && m.To != "j0"
	}
	f.advance(time.Second)
	require.Equal(t, []model.HostID{"j0"}, f.votingJournals())
	// j2 loses its disk after j0 counted it. j1 completes, since j0 lists its disk; j2 must
	// copy from both.
	f.loseDisk("j2", false, 5000)
	f.dropMessage = nil
	f.advance(50 * time.Millisecond)
	require.Equal(t, []model.HostID{"j0", "j1"}, f.votingJournals())
	f.advance(time.Second)
	require.Equal(t, f.ids, f.votingJournals())
}

// TestDiskIDIsSyncedBeforeUse guards against a journal that sends the ID of its disk before
// the ID is synced: after a restart another journal would list a disk that does not exist.
func TestDiskIDIsSyncedBeforeUse(t *testing.T) {
	j := order.NewJournal("j0", []model.HostID{"j0", "j1", "j2"}, order.RecoveredState{}, false)
	p := j.Step(1, order.Tick{})[0].(order.Persist)
	ask := order.Received{From: "j1", Msg: proto.JournalFormAsk{Nonce: 7, JournalsDigest: order.JournalListDigest([]model.HostID{"j0", "j1", "j2"})}}
	require.Empty(t, j.Step(2, ask))
	require.Empty(t, j.Step(model.Instant(time.Minute), order.Tick{}))
	require.Len(t, j.Step(3, order.Persisted{Seq: p.Seq}), 1)
	again := order.NewJournal("j0", []model.HostID{"j0", "j1", "j2"}, order.RecoveredState{StateRecords: p.Records}, true)
	require.Equal(t, j.Step(4, ask), again.Step(4, ask), "the number survives a restart, also with create_fleet false")
}

// TestFormingJournalAsksAgain guards against a journal that never learns that another one was
// formed, because that one had replied earlier that it was forming.
func TestFormingJournalAsksAgain(t *testing.T) {
	f := newFormingFleet(t)
	f.advance(100 * time.Millisecond)
	// j2 asks first.
	f.loseDisk("j0", false, 4000)
	f.loseDisk("j1", false, 4500)
	f.dropMessage = func(from model.HostID, m order.Send) bool {
		reply, ok := m.Msg.(proto.JournalFormReply)
		return ok && m.To == "j2" && (from == "j0" || reply.State != proto.JournalForming)
	}
	f.advance(time.Second)
	require.Equal(t, []model.HostID{"j0", "j1"}, f.votingJournals())
	f.loseDisk("j0", false, 5000)
	f.advance(time.Second)
	require.Equal(t, []model.HostID{"j1"}, f.votingJournals(), "j0 waits for j2")
	f.dropMessage = nil
	f.advance(time.Second)
	require.Equal(t, f.ids, f.votingJournals())
}

// TestFormingWaitsForRecoveryDelay guards against a journal that completes forming while a
// vote from its lost disk can still complete a majority.
func TestFormingWaitsForRecoveryDelay(t *testing.T) {
	f := newFormingFleet(t)
	asked := false
	f.dropMessage = func(_ model.HostID, m order.Send) bool {
		_, ok := m.Msg.(proto.JournalFormAsk)
		asked = asked || ok
		return false
	}
	f.advance(simTiming().RecoveryDelay - 5*time.Millisecond)
	require.False(t, asked, "a reply from before the end of RecoveryDelay may be out of date at its end")
	f.advance(20 * time.Millisecond)
	require.Equal(t, f.ids, f.votingJournals())
}
