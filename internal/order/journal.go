package order

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// completionHolder is the holder in the completion record, which says that the
// records of a journal are complete.
const completionHolder model.RequestID = "complete"

// Journal stores the reservations of order keys on one disk host and votes on new
// ones. A reply about a record is sent only once the record is synced. Memory
// holds an index; a record is read from the disk only when a message needs more
// than its state.
type Journal struct {
	settings
	self         model.HostID
	others       []model.HostID
	journalCount int
	// listDigest is the JournalListDigest of all journals.
	listDigest uint64
	// runNumber identifies this run of the process in cursors of copied pages.
	runNumber uint64
	index     *Index
	// unsynced holds the newest copy of each record that is not synced yet.
	unsynced map[Digest]recordCopy
	// pendingWrites holds the Persist effects that are not synced yet, in the order of seq.
	pendingWrites []pendingWrite
	// seq is the number of the last Persist effect, synced that of the last synced one.
	seq    uint64
	synced uint64
	// deferredSends holds replies that wait until their record is synced, in the order of seq.
	deferredSends []deferredSend
	// readSeq is the ID of the last Read or ReadPage effect. pendingReads and
	// pendingPages hold the unfinished ones by ID; readByKey holds the ID of the
	// unfinished read of a record.
	readSeq      uint64
	pendingReads map[uint64]*pendingRead
	readByKey    map[Digest]uint64
	pendingPages map[uint64]pendingPage
	// diskFailed is set after a failure of the disk. The journal then neither votes
	// nor gives its records to others until a restart, since a disk that failed a
	// sync cannot be trusted.
	diskFailed  bool
	lastSweepAt model.Instant
	// repair and forming are both nil on a journal whose records are complete.
	repair  *repair
	forming *forming
	// formedDisks holds the disks of all journals at the time when the journals were
	// formed. It is empty on a repaired journal.
	formedDisks []proto.JournalDisk
	// completionWritten is set once the completion record was passed to Persist or
	// found on the disk.
	completionWritten bool
}

// recordCopy is a record and the number of the Persist effect that writes it, or 0
// if the record was read from the disk.
type recordCopy struct {
	rec proto.JournalRecord
	seq uint64
}

// pendingWrite is a Persist effect that is not synced yet. Its records leave out
// those without a workspace, which are not in the index.
type pendingWrite struct {
	seq     uint64
	records []indexUpdate
}

// indexUpdate is the part of a record that the index and a repair need once the
// record is written. holder is the holderHash of its holder.
type indexUpdate struct {
	key       Digest
	holder    uint64
	unixMilli int64
	state     RecordState
}

// deferredSend is a message that is sent once the Persist effect seq is synced.
type deferredSend struct {
	seq  uint64
	send Send
}

// RecoveredState is the content of a journal's disk at the start of the process.
type RecoveredState struct {
	// Index holds the reservations. It may be nil if there are none.
	Index *Index
	// StateRecords holds the records without a workspace, which describe the journal itself.
	StateRecords []proto.JournalRecord
}

// NewJournal returns the journal of a disk host. With emptyMeansLost an empty disk
// is taken for one that replaced a lost disk; it must be false while a fleet is
// formed. A journal without a completion record does not vote before it has formed
// the journals together with all others or has copied the records from them. A
// single journal forms at once; if its disk counts as lost, it never votes.
func NewJournal(self model.HostID, journals []model.HostID, rec RecoveredState, emptyMeansLost bool, opts ...Option) *Journal {
	j := &Journal{
		settings: newSettings(opts), self: self, journalCount: len(journals), listDigest: JournalListDigest(journals), index: rec.Index,
		unsynced: map[Digest]recordCopy{}, pendingReads: map[uint64]*pendingRead{}, readByKey: map[Digest]uint64{}, pendingPages: map[uint64]pendingPage{},
	}
	j.runNumber = j.nonce
	if j.index == nil {
		j.index = NewIndex()
	}
	for _, h := range slices.Sorted(slices.Values(journals)) {
		if h != self {
			j.others = append(j.others, h)
		}
	}
	diskID := uint64(0)
	for _, s := range rec.StateRecords {
		if host, d, ok := parseDiskRecord(s); ok {
			j.formedDisks = append(j.formedDisks, proto.JournalDisk{Host: host, DiskID: d})
			if host == self {
				diskID = d
			}
		}
		j.completionWritten = j.completionWritten || isCompletionRecord(s)
	}
	switch {
	case j.completionWritten:
	case j.index.Len() > 0 || (emptyMeansLost && diskID == 0):
		j.repair = newRepair()
	case len(j.others) > 0:
		j.forming = newForming(diskID)
	}
	return j
}

// CanVote reports whether the journal takes part in reservations.
func (j *Journal) CanVote() bool { return j.repair == nil && j.forming == nil && !j.diskFailed }

// RecordCount returns the number of records in the index.
func (j *Journal) RecordCount() int { return j.index.Len() }

// Step advances the journal by one event.
func (j *Journal) Step(now model.Instant, ev Event) []Effect {
	if j.diskFailed {
		return j.replyUnavailable(ev)
	}
	switch ev := ev.(type) {
	case Received:
		return j.receive(now, ev)
	case Persisted:
		return j.handlePersisted(now, ev)
	case ReadDone:
		return j.handleReadDone(now, ev)
	case ReadPageDone:
		return j.handleReadPageDone(ev)
	case DiskFailed:
		j.diskFailed = true
		j.deferredSends = nil
		return nil
	case Tick:
		return j.tick(now)
	default:
		return nil
	}
}

// replyUnavailable replies to a ReserveAsk that the journal cannot vote and returns
// nil for other events.
func (j *Journal) replyUnavailable(ev Event) []Effect {
	r, ok := ev.(Received)
	if !ok {
		return nil
	}
	ask, ok := r.Msg.(proto.ReserveAsk)
	if !ok {
		return nil
	}
	return []Effect{Send{To: r.From, Msg: proto.ReserveReply{Nonce: ask.Nonce, Status: proto.ReserveUnavailable}}}
}

func (j *Journal) receive(now model.Instant, ev Received) []Effect {
	if digest, ok := askerListDigest(ev.Msg); ok && digest != j.listDigest {
		return j.refuseListMismatch(ev)
	}
	if j.repair != nil {
		return j.receiveWhileRepairing(now, ev.From, ev.Msg)
	}
	if j.forming != nil {
		return j.receiveWhileForming(ev.From, ev.Msg)
	}
	switch m := ev.Msg.(type) {
	case proto.ReserveAsk:
		return j.handleRecordMessage(now, DigestOf(m.Workspace, m.OrderKey), ev)
	case proto.ReserveFree:
		return j.handleRecordMessage(now, DigestOf(m.Workspace, m.OrderKey), ev)
	case proto.AnswerSave:
		return j.handleRecordMessage(now, DigestOf(m.Workspace, m.OrderKey), ev)
	case proto.JournalCopyAsk:
		return j.readCopyPage(ev.From, m)
	case proto.JournalFormAsk:
		return []Effect{j.formReply(ev.From, m)}
	default:
		return nil
	}
}

// handleRecordMessage handles a message about the record of an order key. The record
// is read from the disk first if memory holds only its index entry and the state in
// that entry does not decide the outcome.
func (j *Journal) handleRecordMessage(now model.Instant, key Digest, ev Received) []Effect {
	if e, ok := j.unsynced[key]; ok {
		return j.handleWithRecord(now, ev, &e)
	}
	s, ok := j.index.entries[key]
	if !ok || s.unixMilli() < j.expiryCutoff(now) {
		return j.handleWithRecord(now, ev, nil)
	}
	switch ev.Msg.(type) {
	case proto.ReserveFree:
		if s.state() != RecordHeld {
			return nil
		}
	case proto.AnswerSave:
		if s.state() == RecordAnswered {
			return nil
		}
	}
	return j.readThenHandle(key, s.position(), ev)
}

// expiryCutoff returns the creation time, in Unix milliseconds, before which records have expired.
func (j *Journal) expiryCutoff(now model.Instant) int64 {
	return j.wallUnixMilli(now) - j.timing.Retention.Milliseconds()
}

// handleWithRecord handles a message about the record e, or nil if there is no such
// record. A record of another key means that the digests of the two keys collide;
// the message then gets no vote.
func (j *Journal) handleWithRecord(now model.Instant, ev Received, e *recordCopy) []Effect {
	switch m := ev.Msg.(type) {
	case proto.ReserveAsk:
		if e != nil && !matchesKey(e.rec, m.Workspace, m.OrderKey) {
			return j.replyUnavailable(ev)
		}
		return j.reserve(now, ev.From, m, e)
	case proto.ReserveFree:
		if e != nil && !matchesKey(e.rec, m.Workspace, m.OrderKey) {
			return nil
		}
		return j.free(now, m, e)
	case proto.AnswerSave:
		if e != nil && !matchesKey(e.rec, m.Workspace, m.OrderKey) {
			return nil
		}
		return j.saveAnswer(now, m, e)
	default:
		return nil
	}
}

func matchesKey(rec proto.JournalRecord, ws model.WorkspaceID, key string) bool {
	return rec.Workspace == ws && rec.OrderKey == key
}

func (j *Journal) reserve(now model.Instant, from model.HostID, m proto.ReserveAsk, e *recordCopy) []Effect {
	var out []Effect
	if e == nil || (e.rec.Freed && e.rec.Holder != m.Holder) {
		rec := proto.JournalRecord{
			Workspace: m.Workspace, OrderKey: m.OrderKey, BodyHash: m.BodyHash, Holder: m.Holder, UnixMilli: j.wallUnixMilli(now),
		}
		out = j.persist(rec)
		e = &recordCopy{rec: rec, seq: j.seq}
	}
	reply := proto.ReserveReply{Nonce: m.Nonce, Status: proto.ReserveTaken, Holder: e.rec.Holder, BodyHash: e.rec.BodyHash, Answer: e.rec.Answer}
	switch {
	case e.rec.Holder == m.Holder && !e.rec.Freed:
		reply.Status = proto.ReserveHeld
	case e.rec.Freed:
		// The asker has given up this reservation; the message arrived late.
		reply.Status = proto.ReserveUnavailable
	}
	return append(out, j.sendAfterSync(e.seq, Send{To: from, Msg: reply})...)
}

// free marks a reservation as given up. The mark is also written if the ReserveAsk
// has not arrived yet, so that it reserves nothing when it arrives late.
func (j *Journal) free(now model.Instant, m proto.ReserveFree, e *recordCopy) []Effect {
	rec := proto.JournalRecord{UnixMilli: j.wallUnixMilli(now)}
	if e != nil {
		rec = e.rec
		if rec.Holder != m.Holder || rec.Freed || rec.Answer != nil {
			return nil
		}
	}
	rec.Workspace, rec.OrderKey, rec.Holder, rec.Freed = m.Workspace, m.OrderKey, m.Holder, true
	return j.persist(rec)
}

// saveAnswer stores the first answer of the holder. A journal that has no record, or
// only the freed one of another holder, creates the reservation from the answer.
// That is safe, since only a holder that had a majority has an answer.
func (j *Journal) saveAnswer(now model.Instant, m proto.AnswerSave, e *recordCopy) []Effect {
	rec := proto.JournalRecord{Workspace: m.Workspace, OrderKey: m.OrderKey, BodyHash: m.BodyHash, Holder: m.Holder, UnixMilli: j.wallUnixMilli(now)}
	if e != nil && (!e.rec.Freed || e.rec.Holder == m.Holder) {
		rec = e.rec
	}
	if rec.Holder != m.Holder || rec.Freed || rec.Answer != nil {
		return nil
	}
	answer := m.Answer
	rec.Answer = &answer
	return j.persist(rec)
}

// persist returns the effect that writes the records and notes them for the index.
// During a repair they are not kept in memory.
func (j *Journal) persist(records ...proto.JournalRecord) []Effect {
	j.seq++
	w := pendingWrite{seq: j.seq}
	for _, rec := range records {
		if isStateRecord(rec) {
			continue
		}
		key := DigestOf(rec.Workspace, rec.OrderKey)
		w.records = append(w.records, indexUpdate{key: key, holder: holderHash(rec.Holder), unixMilli: rec.UnixMilli, state: StateOf(rec)})
		if j.repair == nil {
			j.unsynced[key] = recordCopy{rec: rec, seq: j.seq}
		}
	}
	j.pendingWrites = append(j.pendingWrites, w)
	return []Effect{Persist{Seq: j.seq, Records: records}}
}

// sendAfterSync sends a message once the Persist effect seq is synced.
func (j *Journal) sendAfterSync(seq uint64, send Send) []Effect {
	if seq <= j.synced {
		return []Effect{send}
	}
	j.deferredSends = append(j.deferredSends, deferredSend{seq: seq, send: send})
	return nil
}

func (j *Journal) handlePersisted(now model.Instant, ev Persisted) []Effect {
	for len(j.pendingWrites) > 0 && j.pendingWrites[0].seq <= ev.Seq {
		j.addToIndex(j.pendingWrites[0], ev.Positions)
		j.pendingWrites = j.pendingWrites[1:]
	}
	j.synced = max(j.synced, ev.Seq)
	var out []Effect
	j.deferredSends = slices.DeleteFunc(j.deferredSends, func(d deferredSend) bool {
		if d.seq > j.synced {
			return false
		}
		out = append(out, d.send)
		return true
	})
	if j.repair != nil {
		out = append(out, j.advanceRepair(now)...)
	}
	if j.forming != nil && j.forming.completionSeq != 0 && j.synced >= j.forming.completionSeq {
		j.forming = nil
	}
	return out
}

// addToIndex adds the records of a synced Persist effect to the index and drops
// those copies in memory that no later effect replaces.
func (j *Journal) addToIndex(w pendingWrite, at []Position) {
	for i, rec := range w.records {
		j.index.Add(rec.key, at[i], rec.unixMilli, rec.state)
		if e, ok := j.unsynced[rec.key]; ok && e.seq == w.seq {
			delete(j.unsynced, rec.key)
		}
		if j.repair != nil {
			j.repair.setPosition(rec, at[i])
		}
	}
}

func (j *Journal) tick(now model.Instant) []Effect {
	if j.repair != nil {
		return j.tickRepair(now)
	}
	if j.forming != nil {
		return j.tickForming(now)
	}
	out := j.sweep(now)
	if j.completionWritten {
		return out
	}
	j.completionWritten = true
	return append(out, j.persist(proto.JournalRecord{Holder: completionHolder})...)
}

// sweep deletes segments whose records have all expired. It stops at a segment from
// which a record is being read.
func (j *Journal) sweep(now model.Instant) []Effect {
	if now.Sub(j.lastSweepAt) < j.timing.SweepInterval {
		return nil
	}
	j.lastSweepAt = now
	var out []Effect
	for {
		segment, ok := j.index.expiredSegment(j.expiryCutoff(now))
		if !ok || j.isReadingSegment(segment) {
			return out
		}
		j.index.dropOldestSegment()
		out = append(out, DropSegments{Segment: segment})
	}
}
