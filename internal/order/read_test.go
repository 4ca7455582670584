package order_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestCopyStartsOverAfterARestart guards against a copy that continues in the middle of the
// records of a journal that was restarted, possibly with another disk.
func TestCopyStartsOverAfterARestart(t *testing.T) {
	ids := []model.HostID{"j0", "j1", "j2"}
	open := func(nonce uint64) *order.Journal {
		return order.NewJournal("j0", ids, formedDisk().recovered(), false, order.WithNonceBase(nonce))
	}
	ask := func(j *order.Journal, after string) order.ReadPage {
		return j.Step(1, order.Received{From: "j1", Msg: proto.JournalCopyAsk{Nonce: 7, After: after, JournalsDigest: order.JournalListDigest(ids)}})[0].(order.ReadPage)
	}
	j := open(1)
	first := ask(j, "")
	require.Empty(t, first.After)
	reply := j.Step(2, order.ReadPageDone{ID: first.ID, Next: "12"})[0].(order.Send).Msg.(proto.JournalCopyReply)
	require.Equal(t, "12", ask(j, reply.Next).After)
	require.Empty(t, ask(open(2), reply.Next).After)
}

// TestRecordExpiresDuringARead guards against an order that is refused or answered because of
// a record that expired while it was read, and against a segment that is deleted during a read.
func TestRecordExpiresDuringARead(t *testing.T) {
	d := formedDisk()
	d.write(0, []proto.JournalRecord{{Workspace: "ws", OrderKey: "o", Holder: "a"}})
	d.write(1, []proto.JournalRecord{{Workspace: "ws", OrderKey: "other", Holder: "a", UnixMilli: 3_600_000}})
	j := order.NewJournal("j0", []model.HostID{"j0"}, d.recovered(), false)
	ask := order.Received{From: "e0", Msg: proto.ReserveAsk{Nonce: 1, Workspace: "ws", OrderKey: "o", Holder: "b", JournalsDigest: order.JournalListDigest([]model.HostID{"j0"})}}
	day := model.Instant(24 * time.Hour)
	read := j.Step(day-1, ask)[0].(order.Read)
	late := day.Add(2 * time.Minute)
	require.Empty(t, j.Step(late, order.Tick{}), "the segment is being read")
	effs := j.Step(late, order.ReadDone{ID: read.ID, Record: d.read(read.At)})
	require.Equal(t, model.RequestID("b"), effs[0].(order.Persist).Records[0].Holder)
	later := late.Add(2 * time.Minute)
	require.Equal(t, []order.Effect{order.DropSegments{Segment: 0}}, j.Step(later, order.Tick{}))
}

// TestCollidingDigestsGetNoVote guards against a journal that votes on an order key whose
// digest is that of another key's record.
func TestCollidingDigestsGetNoVote(t *testing.T) {
	d := formedDisk()
	d.write(0, []proto.JournalRecord{{Workspace: "ws", OrderKey: "o", Holder: "a"}})
	j := order.NewJournal("j0", []model.HostID{"j0"}, d.recovered(), false)
	read := j.Step(1, order.Received{From: "e0", Msg: proto.ReserveAsk{Nonce: 1, Workspace: "ws", OrderKey: "o", Holder: "a", JournalsDigest: order.JournalListDigest([]model.HostID{"j0"})}})[0].(order.Read)
	effs := j.Step(2, order.ReadDone{ID: read.ID, Record: proto.JournalRecord{Workspace: "ws", OrderKey: "x", Holder: "a"}})
	require.Equal(t, proto.ReserveUnavailable, effs[0].(order.Send).Msg.(proto.ReserveReply).Status)
}
