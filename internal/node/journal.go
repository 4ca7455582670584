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

// journalFolder is the name of the order journal's folder in the data folder.
const journalFolder = "journal"

// journalHost drives the order journal of a host with a disk.
type journalHost struct {
	log    logr.Logger
	send   func(model.HostID, proto.Message)
	core   *runner[order.Event, order.Effect]
	file   *store.Segments
	writes *diskQueue[*journalWrite]
	// reads and pageReads read in the background. They are separate so that a
	// page for a journal under repair does not delay the reads of single records.
	reads     *diskQueue[order.Read]
	pageReads *diskQueue[order.ReadPage]
	// stateRecords holds the records without a workspace, by order key. After the
	// start it is used only by the goroutine that runs writes.
	stateRecords map[string]proto.JournalRecord
}

// journalWrite is an order.Persist or an order.DropSegments. Both are in one
// queue so that they are carried out in the order of the effects.
type journalWrite struct {
	persist order.Persist
	// positions holds the positions of the written records.
	positions []order.Position
	// dropSegment is the number of a segment to delete, or 0.
	dropSegment uint32
}

// journalSetup holds the parameters of openJournal.
type journalSetup struct {
	dataDir  string
	self     proto.Member
	journals []model.HostID
	// createFleet is set while a fleet is being created. If it is not set, a
	// folder without a complete journal is treated as a lost disk, and the
	// journal copies the records of other journals before it votes.
	createFleet bool
	log         logr.Logger
	send        func(model.HostID, proto.Message)
}

// openJournal opens the journal in the data folder. It returns the journal host
// and a function that closes the files.
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
	if j.stateRecords, err = decodeState(contents.State); err != nil {
		_ = closeFile()
		return nil, nil, err
	}
	c := newClock()
	core := order.NewJournal(s.self.Host, s.journals, order.RecoveredState{Index: index, StateRecords: sortedState(j.stateRecords)}, !s.createFleet,
		order.WithNonceBase(uint64(s.self.Incarnation)), order.WithWallClock(time.Now().UnixMilli(), c.now()))
	j.core = newRunner(c, logWhenVoting(s.log, core), j.apply)
	j.writes = newDiskQueue(j.write, j.handleWritten, j.handleDiskError)
	j.reads = newDiskQueue(j.read, func(order.Read) {}, j.handleDiskError)
	j.pageReads = newDiskQueue(j.readPages, func(order.ReadPage) {}, j.handleDiskError)
	return j, closeFile, nil
}

// logWhenVoting returns the core's step function, which it extends to log when
// the journal starts to vote. Operators then know that they may replace the next
// host.
func logWhenVoting(log logr.Logger, core *order.Journal) func(model.Instant, order.Event) []order.Effect {
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
		j.writes.add(&journalWrite{persist: f})
	case order.DropSegments:
		j.writes.add(&journalWrite{dropSegment: f.Segment})
	case order.Read:
		j.reads.add(f)
	case order.ReadPage:
		j.pageReads.add(f)
	default:
	}
}

// currentSegment returns the number of the segment of the current hour.
func currentSegment() uint32 { return uint32(time.Now().Unix() / int64(time.Hour/time.Second)) }

// write writes and syncs a batch: first the records, then the journal's own
// state, then the deletions. The state follows the records because it may say
// that they are complete.
func (j *journalHost) write(batch []*journalWrite) error {
	var encoded [][]byte
	var state []proto.JournalRecord
	var drop uint32
	for _, w := range batch {
		drop = max(drop, w.dropSegment)
		for _, rec := range w.persist.Records {
			if rec.Workspace == "" {
				state = append(state, rec)
				continue
			}
			data, err := encodeRecord(rec)
			if err != nil {
				return err
			}
			encoded = append(encoded, data)
			w.positions = append(w.positions, order.Position{})
		}
	}
	if len(encoded) > 0 {
		at, err := j.file.Append(currentSegment(), encoded)
		if err != nil {
			return err
		}
		for _, w := range batch {
			for i := range w.positions {
				w.positions[i] = order.Position(at[i])
				if err := checkPosition(w.positions[i]); err != nil {
					return err
				}
			}
			at = at[len(w.positions):]
		}
	}
	if err := j.writeState(state); err != nil || drop == 0 {
		return err
	}
	return j.file.RemoveThrough(drop)
}

// writeState adds records without a workspace to stateRecords and writes all of
// stateRecords to the disk.
func (j *journalHost) writeState(records []proto.JournalRecord) error {
	if len(records) == 0 {
		return nil
	}
	for _, rec := range records {
		j.stateRecords[rec.OrderKey] = rec
	}
	data, err := encodeState(j.stateRecords)
	if err != nil {
		return err
	}
	return j.file.SetState(data)
}

// handleWritten reports written records to the core. The deletion of a segment
// is not reported.
func (j *journalHost) handleWritten(w *journalWrite) {
	if w.dropSegment == 0 {
		j.core.post(order.Persisted{Seq: w.persist.Seq, Positions: w.positions})
	}
}

// read reads single records and passes them to the core.
func (j *journalHost) read(batch []order.Read) error {
	for _, r := range batch {
		data, err := j.file.Read(store.Position(r.At))
		if err != nil {
			return err
		}
		rec, err := decodeRecord(data)
		if err != nil {
			return err
		}
		j.core.post(order.ReadDone{ID: r.ID, Record: rec})
	}
	return nil
}

// readPages reads pages of records and passes them to the core.
func (j *journalHost) readPages(batch []order.ReadPage) error {
	for _, p := range batch {
		raw, next, done, err := j.file.Scan(parseCursor(p.After), p.Bytes)
		if err != nil {
			return err
		}
		records := make([]proto.JournalRecord, 0, len(raw))
		for _, data := range raw {
			rec, err := decodeRecord(data)
			if err != nil {
				return err
			}
			records = append(records, rec)
		}
		j.core.post(order.ReadPageDone{ID: p.ID, Records: records, Next: formatCursor(next), Done: done})
	}
	return nil
}

// formatCursor encodes a position in the segments as text.
func formatCursor(c store.Cursor) string {
	return fmt.Sprintf("%d.%d.%d", c.Segment, c.Offset, c.Frame)
}

// parseCursor decodes text of formatCursor. Other text stands for the start of
// the segments.
func parseCursor(text string) store.Cursor {
	var c store.Cursor
	if _, err := fmt.Sscanf(text, "%d.%d.%d", &c.Segment, &c.Offset, &c.Frame); err != nil {
		return store.Cursor{}
	}
	return c
}

// handleDiskError reports a disk failure to the core, which does not vote on
// orders until the process is restarted.
func (j *journalHost) handleDiskError(err error) {
	j.log.Error(err, "the order journal's disk failed; this host does not vote on orders until it is restarted on a sound disk")
	j.core.post(order.DiskFailed{})
}

// receive passes a message about order reservations to the core. It returns false
// for other messages.
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
