package node

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// journalFolder is the folder of the order journal below the data folder.
const journalFolder = "journal"

// journalHost drives the order journal of a disk host.
type journalHost struct {
	log  logr.Logger
	send func(model.HostID, proto.Message)
	core *runner[order.Event, order.Effect]
	file *store.Segments
	disk *persister[*journalWrite]
	// reads and pages read in the background; a page for a repairing journal does not delay the reads.
	reads *persister[order.Read]
	pages *persister[order.ReadPage]
	// state holds the records without a workspace, by key. It is used by disk alone after the start.
	state map[string]proto.JournalRecord
}

// journalWrite is an order.Persist or an order.Drop, carried out in the order of the effects.
type journalWrite struct {
	persist order.Persist
	// at holds the positions of the written records.
	at []order.Position
	// drop is a segment to delete, or 0.
	drop uint32
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
	dir := filepath.Join(s.dataDir, journalFolder)
	if err := importLog(dir, s.log); err != nil {
		return nil, nil, err
	}
	j := &journalHost{log: s.log, send: s.send}
	index := order.NewIndex()
	file, contents, closeFile, err := store.OpenSegments(dir, func(p store.Position, data []byte) error {
		return addToIndex(index, order.Position(p), data)
	})
	if err != nil {
		return nil, nil, err
	}
	j.file = file
	if j.state, err = decodeState(contents.State); err != nil {
		_ = closeFile()
		return nil, nil, err
	}
	c := newClock()
	core := order.NewJournal(s.self.Host, s.journals, order.RecoveredState{Index: index, StateRecords: stateList(j.state)}, !s.create,
		order.WithNonceBase(uint64(s.self.Incarnation)), order.WithWallClock(time.Now().UnixMilli(), c.now()))
	j.core = newRunner(c, loggedStep(s.log, core), j.apply)
	j.disk = newPersister(j.write, j.written, j.fail)
	j.reads = newPersister(j.read, func(order.Read) {}, j.fail)
	j.pages = newPersister(j.readPages, func(order.ReadPage) {}, j.fail)
	return j, closeFile, nil
}

// loggedStep reports when the journal starts to vote, so that operators know
// when the next host may be replaced.
func loggedStep(log logr.Logger, core *order.Journal) func(model.Instant, order.Event) []order.Effect {
	voting := false
	return func(now model.Instant, ev order.Event) []order.Effect {
		effs := core.Step(now, ev)
		if core.CanVote() && !voting {
			voting = true
			log.Info("the order journal votes", "records", core.RecordCount())
		}
		return effs
	}
}

func (j *journalHost) apply(f order.Effect) {
	switch f := f.(type) {
	case order.Send:
		j.send(f.To, f.Msg)
	case order.JournalListMismatch:
		j.log.Info("refused a host with another list of journals; give all hosts the same [fleet] journals", "host", f.From)
	case order.Persist:
		j.disk.add(&journalWrite{persist: f})
	case order.DropSegments:
		j.disk.add(&journalWrite{drop: f.Segment})
	case order.Read:
		j.reads.add(f)
	case order.ReadPage:
		j.pages.add(f)
	default:
	}
}

// segmentNow returns the number of the segment of this hour.
func segmentNow() uint32 { return uint32(time.Now().Unix() / int64(time.Hour/time.Second)) }

// write syncs a batch: first records, then the journal's own state, which may
// say that the records are complete, then deletions.
func (j *journalHost) write(batch []*journalWrite) error {
	var encoded [][]byte
	var state []proto.JournalRecord
	var drop uint32
	for _, w := range batch {
		drop = max(drop, w.drop)
		for _, rec := range w.persist.Records {
			if rec.Workspace == "" {
				state = append(state, rec)
				continue
			}
			data, err := encodeStored(rec)
			if err != nil {
				return err
			}
			encoded = append(encoded, data)
			w.at = append(w.at, order.Position{})
		}
	}
	if len(encoded) > 0 {
		at, err := j.file.Append(segmentNow(), encoded)
		if err != nil {
			return err
		}
		for _, w := range batch {
			for i := range w.at {
				w.at[i] = order.Position(at[i])
				if err := checkPosition(w.at[i]); err != nil {
					return err
				}
			}
			at = at[len(w.at):]
		}
	}
	if err := j.writeState(state); err != nil || drop == 0 {
		return err
	}
	return j.file.RemoveThrough(drop)
}

func (j *journalHost) writeState(records []proto.JournalRecord) error {
	if len(records) == 0 {
		return nil
	}
	for _, rec := range records {
		j.state[rec.OrderKey] = rec
	}
	data, err := encodeState(j.state)
	if err != nil {
		return err
	}
	return j.file.SetState(data)
}

func (j *journalHost) written(w *journalWrite) {
	if w.drop == 0 {
		j.core.post(order.Persisted{Seq: w.persist.Seq, Positions: w.at})
	}
}

func (j *journalHost) read(batch []order.Read) error {
	for _, r := range batch {
		data, err := j.file.Read(store.Position(r.At))
		if err != nil {
			return err
		}
		rec, err := decodeStored(data)
		if err != nil {
			return err
		}
		j.core.post(order.ReadDone{ID: r.ID, Record: rec})
	}
	return nil
}

func (j *journalHost) readPages(batch []order.ReadPage) error {
	for _, p := range batch {
		raw, next, done, err := j.file.Scan(parseCursor(p.After), p.Bytes)
		if err != nil {
			return err
		}
		records := make([]proto.JournalRecord, 0, len(raw))
		for _, data := range raw {
			rec, err := decodeStored(data)
			if err != nil {
				return err
			}
			records = append(records, rec)
		}
		j.core.post(order.ReadPageDone{ID: p.ID, Records: records, Next: formatCursor(next), Done: done})
	}
	return nil
}

// Places in the segments, as text. Text that is not a place stands for the start.

func formatCursor(c store.Cursor) string {
	return fmt.Sprintf("%d.%d.%d", c.Segment, c.Offset, c.Frame)
}

func parseCursor(text string) store.Cursor {
	var c store.Cursor
	if _, err := fmt.Sscanf(text, "%d.%d.%d", &c.Segment, &c.Offset, &c.Frame); err != nil {
		return store.Cursor{}
	}
	return c
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
