package node

import (
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// journalFolder is the folder of the order journal below the data folder.
	journalFolder = "journal"
	// journalCompaction is how many records are appended between two snapshots.
	journalCompaction = 100_000
	// journalKeep is how long a record is kept.
	journalKeep = 24 * time.Hour
)

// journalKey names a reservation.
type journalKey struct {
	workspace model.WorkspaceID
	order     string
}

// journalHost drives the order journal of a disk host.
type journalHost struct {
	log  logr.Logger
	send func(model.HostID, proto.Message)
	core *runner[order.Event, order.Effect]
	disk *persister[order.Persist]
	file store.Store

	// live holds the newest record of each reservation, for snapshots. It is
	// used by the persister alone after the start.
	live map[journalKey]proto.JournalRecord
	// appended counts records since the last snapshot.
	appended int
}

// journalSetup is what an order journal is made from.
type journalSetup struct {
	dataDir  string
	self     proto.Member
	journals []model.HostID
	// create is set while a fleet is formed. Without it, a folder without a
	// complete journal counts as a lost disk, and the journal copies from others
	// before it votes.
	create bool
	log    logr.Logger
	send   func(model.HostID, proto.Message)
}

// openJournal opens the journal below a data folder and returns its clean-up function.
func openJournal(s journalSetup) (*journalHost, func() error, error) {
	file, contents, closeFile, err := store.Open(filepath.Join(s.dataDir, journalFolder))
	if err != nil {
		return nil, nil, err
	}
	j := &journalHost{log: s.log, send: s.send, file: file, live: map[journalKey]proto.JournalRecord{}}
	records, err := j.load(contents)
	if err != nil {
		_ = closeFile()
		return nil, nil, err
	}
	j.appended = len(contents.Records)
	c := newClock()
	core := order.NewJournal(s.self.Host, s.journals, records, !s.create,
		order.WithNonces(uint64(s.self.Incarnation)), order.WithClock(time.Now().UnixMilli(), c.now()))
	j.core = newRunner(c, loggedStep(s.log, core), j.apply)
	j.disk = newPersister(j.write, func(p order.Persist) { j.core.post(order.Persisted{Seq: p.Seq}) }, j.fail)
	return j, closeFile, nil
}

// loggedStep reports when the journal starts to vote, so that operators know
// when the next host may be replaced.
func loggedStep(log logr.Logger, core *order.Journal) func(model.Instant, order.Event) []order.Effect {
	voting := false
	return func(now model.Instant, ev order.Event) []order.Effect {
		effs := core.Step(now, ev)
		if core.Voting() && !voting {
			voting = true
			log.Info("the order journal votes")
		}
		return effs
	}
}

func (j *journalHost) load(contents store.Contents) ([]proto.JournalRecord, error) {
	var raw [][]byte
	if contents.Snapshot != nil {
		if err := cbor.Unmarshal(contents.Snapshot, &raw); err != nil {
			return nil, eris.Wrap(err, "decode the snapshot of the order journal")
		}
	}
	for _, data := range append(raw, contents.Records...) {
		rec, err := codec.DecodeRecord(data)
		if err != nil {
			return nil, eris.Wrap(err, "decode a record of the order journal")
		}
		j.keep(rec)
	}
	records := make([]proto.JournalRecord, 0, len(j.live))
	for _, rec := range j.live {
		records = append(records, rec)
	}
	return records, nil
}

func (j *journalHost) keep(rec proto.JournalRecord) {
	j.live[journalKey{rec.Workspace, rec.OrderKey}] = rec
}

func (j *journalHost) apply(f order.Effect) {
	switch f := f.(type) {
	case order.Send:
		j.send(f.To, f.Msg)
	case order.Persist:
		j.disk.add(f)
	default:
	}
}

// write syncs the records of a batch.
func (j *journalHost) write(batch []order.Persist) error {
	var encoded [][]byte
	for _, p := range batch {
		for _, rec := range p.Records {
			data, err := codec.EncodeRecord(rec)
			if err != nil {
				return err
			}
			encoded = append(encoded, data)
			j.keep(rec)
		}
	}
	if len(encoded) == 0 {
		return nil
	}
	if err := j.file.Append(encoded...); err != nil {
		return err
	}
	j.appended += len(encoded)
	if j.appended < journalCompaction {
		return nil
	}
	return j.compact()
}

// compact replaces the records by a snapshot of those that are still needed.
func (j *journalHost) compact() error {
	oldest := time.Now().Add(-journalKeep).UnixMilli()
	raw := make([][]byte, 0, len(j.live))
	for key, rec := range j.live {
		// Records without a workspace hold the state of the journal; they are kept whatever their age.
		if rec.UnixMilli < oldest && key.workspace != "" {
			delete(j.live, key)
			continue
		}
		data, err := codec.EncodeRecord(rec)
		if err != nil {
			return err
		}
		raw = append(raw, data)
	}
	data, err := cbor.Marshal(raw)
	if err != nil {
		return eris.Wrap(err, "encode a snapshot of the order journal")
	}
	j.appended = 0
	return j.file.Snapshot(data)
}

func (j *journalHost) fail(err error) {
	j.log.Error(err, "the order journal's disk failed; this host does not vote on orders until it is restarted on a sound disk")
	j.core.post(order.DiskFailed{})
}

// receive takes messages of order reservations and reports whether it did.
func (j *journalHost) receive(from model.HostID, m proto.Message) bool {
	switch m.(type) {
	case proto.ReserveAsk, proto.ReserveFree, proto.AnswerSave, proto.JournalCopyAsk, proto.JournalCopyReply,
		proto.JournalFormAsk, proto.JournalFormReply:
		j.core.post(order.Received{From: from, Msg: m})
		return true
	default:
		return false
	}
}

func (j *journalHost) tick() { j.core.post(order.Tick{}) }
