package node

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// singleJournal is an open journal of a fleet with one journal host.
type singleJournal struct {
	*journalHost
	replies chan proto.ReserveReply
}

// openSingle opens a journal and returns it with a function that stops it. The
// test fails if the journal cannot be opened.
func openSingle(t testing.TB, dir string) (*singleJournal, func()) {
	j, stop, err := tryOpenSingle(dir)
	require.NoError(t, err)
	return j, stop
}

// tryOpenSingle is like openSingle, but returns the error.
func tryOpenSingle(dir string) (*singleJournal, func(), error) {
	j := &singleJournal{replies: make(chan proto.ReserveReply, 1<<16)}
	host, closeFile, err := openJournal(journalSetup{
		dataDir: dir, self: proto.Member{Host: "j1", Incarnation: newIncarnation()}, journals: []model.HostID{"j1"}, createFleet: true, log: logr.Discard(),
		send: func(_ model.HostID, m proto.Message) { j.replies <- m.(proto.ReserveReply) },
	})
	if err != nil {
		return nil, nil, err
	}
	j.journalHost = host
	tree, stop := super.New("journal")
	for name, run := range map[string]func(context.Context) error{"disk": host.writes.run, "reads": host.reads.run, "pages": host.pageReads.run} {
		tree.Go(name, run)
	}
	host.tick()
	return j, func() { stop(); _ = closeFile() }, nil
}

// ask requests the reservation of an order and waits for the reply.
func (j *singleJournal) ask(key, holder string) proto.ReserveReply {
	j.receive("e1", proto.ReserveAsk{Nonce: 1, Workspace: "shop-7", OrderKey: key, Holder: model.RequestID(holder), JournalsDigest: order.JournalListDigest([]model.HostID{"j1"})})
	return <-j.replies
}

// save stores the answer to an order. The journal sends no reply.
func (j *singleJournal) save(key, holder, answer string) {
	j.receive("e1", proto.AnswerSave{Workspace: "shop-7", OrderKey: key, Holder: model.RequestID(holder), Answer: proto.StoredAnswer{Status: 201, Body: []byte(answer)}})
}

// Guards against a reservation or an answer that is lost on its way from memory
// to the segments, or by a restart.
func TestJournalRecordsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	j, stop := openSingle(t, dir)
	require.Equal(t, proto.ReserveHeld, j.ask("o1", "a").Status)
	require.Equal(t, proto.ReserveTaken, j.ask("o1", "b").Status)
	j.save("o1", "a", "two pallets")
	require.Equal(t, proto.ReserveHeld, j.ask("o2", "a").Status)
	for range 2 {
		got := j.ask("o1", "b")
		require.Equal(t, proto.ReserveTaken, got.Status)
		require.Equal(t, "two pallets", string(got.Answer.Body))
		require.Equal(t, model.RequestID("a"), got.Holder)
		require.Nil(t, j.ask("o2", "b").Answer)
		stop()
		j, stop = openSingle(t, dir)
	}
	stop()
}

// Guards against reservations that are lost by an upgrade, also if the conversion
// is interrupted, and against records of an unknown format that are skipped.
func TestJournalConversionAndUnknownFormat(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, journalFolder)
	log, _, closeLog, err := store.Open(folder)
	require.NoError(t, err)
	record := func(key, holder string, freed bool) []byte {
		data, err := codec.EncodeJournalRecord(proto.JournalRecord{Workspace: "shop-7", OrderKey: key, Holder: model.RequestID(holder), Freed: freed, UnixMilli: time.Now().UnixMilli()})
		require.NoError(t, err)
		return data
	}
	mark, err := codec.EncodeJournalRecord(proto.JournalRecord{Holder: "complete"})
	require.NoError(t, err)
	snapshot, err := cbor.Marshal([][]byte{mark, record("o1", "a", false), record("o2", "a", false)})
	require.NoError(t, err)
	require.NoError(t, log.Snapshot(snapshot))
	require.NoError(t, log.Append(record("o2", "a", true)))
	require.NoError(t, closeLog())

	// An interrupted conversion leaves records behind, but no state.
	file, _, closeFile, err := store.OpenSegments(folder, nil)
	require.NoError(t, err)
	old, err := encodeRecord(proto.JournalRecord{Workspace: "shop-7", OrderKey: "o2", Holder: "z", UnixMilli: time.Now().UnixMilli()})
	require.NoError(t, err)
	_, err = file.Append(currentSegment(), [][]byte{old})
	require.NoError(t, err)
	require.NoError(t, closeFile())

	j, stop := openSingle(t, dir)
	require.Equal(t, proto.ReserveTaken, j.ask("o1", "b").Status)
	require.Equal(t, proto.ReserveHeld, j.ask("o2", "b").Status, "the reservation was freed")
	_, err = j.file.Append(currentSegment(), [][]byte{{recordFormat + 1}})
	require.NoError(t, err)
	stop()
	names, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, n := range names {
		require.NotContains(t, n.Name(), "log-")
		require.NotEqual(t, "snapshot", n.Name())
	}
	_, _, err = tryOpenSingle(dir)
	require.True(t, IsErrJournalFormat(err), "%v", err)
	require.ErrorContains(t, err, "start the version of tarragongauge that wrote it")
}
