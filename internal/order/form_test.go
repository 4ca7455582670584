package order_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// forms returns a trio of empty journals that form a fleet.
func forms(t *testing.T) *trio {
	f := newTrio(t)
	for i, id := range f.ids {
		f.lose(id, false, uint64(1000*i))
	}
	return f
}

func (f *trio) voting() (ids []model.HostID) {
	for _, id := range f.ids {
		if f.journals[id].CanVote() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against an order that runs twice because a journal whose disk was
// lost while create_fleet is still true votes with empty records.
func TestLostDiskWhileTheFleetIsCreated(t *testing.T) {
	f := newTrio(t)
	f.down["j2"] = true
	f.start("a", "o", 1)
	f.finish("a", false, "")
	require.Equal(t, []string{"a reserved"}, f.results)
	f.advance(15 * time.Second) // no copy of a message is under way any more
	f.lose("j1", false, 99)
	f.down["j2"], f.down["j0"] = false, true
	f.advance(time.Second)
	f.start("b", "o", 1)
	f.advance(200 * time.Millisecond)
	require.NotContains(t, f.results, "b reserved")
	f.down["j0"] = false
	f.advance(time.Second)
	require.Equal(t, f.ids, f.voting())
	f.start("c", "o", 1)
	f.advance(200 * time.Millisecond)
	require.Equal(t, "c stopped 1", f.results[len(f.results)-1])
}

// Guards against journals that vote before all of them are known to be empty,
// and against journals that take a peer that formed first for a sign of a lost disk.
func TestJournalsForm(t *testing.T) {
	f := forms(t)
	f.down["j2"] = true
	f.advance(time.Second)
	require.Empty(t, f.voting(), "one journal has not replied")
	f.down["j2"] = false
	// j0 forms alone: no other journal gets a reply.
	f.drop = func(_ model.HostID, m order.Send) bool {
		_, ok := m.Msg.(proto.JournalFormReply)
		return ok && m.To != "j0"
	}
	f.advance(time.Second)
	require.Equal(t, []model.HostID{"j0"}, f.voting())
	// j2 loses its disk. j1, which j0 counted, is complete; j2 copies from both.
	f.lose("j2", false, 5000)
	f.drop = nil
	f.advance(50 * time.Millisecond)
	require.Equal(t, []model.HostID{"j0", "j1"}, f.voting())
	f.advance(time.Second)
	require.Equal(t, f.ids, f.voting())
}

// Guards against a journal that uses the number of its disk before it is
// synced: after a restart another journal would count a disk that does not exist.
func TestDiskNumberIsSyncedFirst(t *testing.T) {
	j := order.NewJournal("j0", []model.HostID{"j0", "j1", "j2"}, order.RecoveredState{}, false)
	p := j.Step(1, order.Tick{})[0].(order.Persist)
	ask := order.Received{From: "j1", Msg: proto.JournalFormAsk{Nonce: 7, JournalsDigest: order.JournalListDigest([]model.HostID{"j0", "j1", "j2"})}}
	require.Empty(t, j.Step(2, ask))
	require.Empty(t, j.Step(model.Instant(time.Minute), order.Tick{}))
	require.Len(t, j.Step(3, order.Persisted{Seq: p.Seq}), 1)
	again := order.NewJournal("j0", []model.HostID{"j0", "j1", "j2"}, order.RecoveredState{StateRecords: p.Records}, true)
	require.Equal(t, j.Step(4, ask), again.Step(4, ask), "the number survives a restart, also with create_fleet false")
}

// Guards against a journal that never hears that another one was formed,
// because that one had replied earlier that it was forming.
func TestFormingJournalAsksAgain(t *testing.T) {
	f := forms(t)
	f.advance(100 * time.Millisecond)
	// j2 asks first.
	f.lose("j0", false, 4000)
	f.lose("j1", false, 4500)
	f.drop = func(from model.HostID, m order.Send) bool {
		reply, ok := m.Msg.(proto.JournalFormReply)
		return ok && m.To == "j2" && (from == "j0" || reply.State != proto.JournalForming)
	}
	f.advance(time.Second)
	require.Equal(t, []model.HostID{"j0", "j1"}, f.voting())
	f.lose("j0", false, 5000)
	f.advance(time.Second)
	require.Equal(t, []model.HostID{"j1"}, f.voting(), "j0 waits for j2")
	f.drop = nil
	f.advance(time.Second)
	require.Equal(t, f.ids, f.voting())
}

// Guards against a journal that forms while a vote from the disk that it lost
// can still complete a majority.
func TestFormingJournalsAreSilentFirst(t *testing.T) {
	f := forms(t)
	asked := false
	f.drop = func(_ model.HostID, m order.Send) bool {
		_, ok := m.Msg.(proto.JournalFormAsk)
		asked = asked || ok
		return false
	}
	f.advance(simTiming().RecoveryDelay - 5*time.Millisecond)
	require.False(t, asked, "an answer from before the end of the silence may be out of date at its end")
	f.advance(20 * time.Millisecond)
	require.Equal(t, f.ids, f.voting())
}
