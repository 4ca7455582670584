package order

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// completeHolder marks, in a record without an order key, that the records are complete.
const completeHolder model.RequestID = "complete"

// Journal keeps the reservations of one disk host. It sends a reply about a
// record only once that record is synced. In memory it holds an index; a record
// is read from the disk when a message needs more than its state.
type Journal struct {
	settings
	self   model.HostID
	others []model.HostID
	total  int
	// list is the digest of all journals.
	list uint64
	// run is the number of this run of the process.
	run   uint64
	index *Index
	// pending holds the newest copy of each record that is not synced yet.
	pending map[Digest]entry
	// writes are the Persist effects that are not synced, in the order of seq.
	writes []write
	// seq numbers Persist effects; synced is the last one that is durable.
	seq    uint64
	synced uint64
	// waiting holds replies until their record is synced, in the order of seq.
	waiting []deferred
	// reads and pages are under way; readOf finds the read of a record.
	readSeq uint64
	reads   map[uint64]*reading
	readOf  map[Digest]uint64
	pages   map[uint64]page
	// failed journals neither vote nor copy: a disk that failed a sync is never trusted again.
	failed bool
	swept  model.Instant
	// repair and forming are nil on a journal whose records are complete.
	repair  *repair
	forming *forming
	// formed holds the disks with which the journals were formed. It is empty on a repaired journal.
	formed []proto.JournalDisk
	// marked is set once the record of completeness was written.
	marked bool
}

// entry is a record and the Persist that makes it durable, or 0 if it is.
type entry struct {
	rec proto.JournalRecord
	seq uint64
}

type write struct {
	seq     uint64
	records []written
}

// written is what the index needs of a record that is being written.
type written struct {
	key       Digest
	holder    uint64
	unixMilli int64
	state     RecordState
}

type deferred struct {
	seq  uint64
	send Send
}

// RecoveredState is what the disk of a journal holds.
type RecoveredState struct {
	// Index may be nil if there are no records.
	Index *Index
	// StateRecords holds the records without a workspace.
	StateRecords []proto.JournalRecord
}

// NewJournal returns the journal of a disk host. empty is set when an empty
// disk counts as lost; it is not set while a fleet is formed. A journal that is
// not marked as complete forms the journals together with all others, or copies
// the records from them, before it votes. A single journal forms at once; if its
// disk counts as lost, it never votes again.
func NewJournal(self model.HostID, journals []model.HostID, rec RecoveredState, empty bool, opts ...Option) *Journal {
	j := &Journal{
		settings: newSettings(opts), self: self, total: len(journals), list: JournalListDigest(journals), index: rec.Index,
		pending: map[Digest]entry{}, reads: map[uint64]*reading{}, readOf: map[Digest]uint64{}, pages: map[uint64]page{},
	}
	j.run = j.nonce
	if j.index == nil {
		j.index = NewIndex()
	}
	for _, h := range slices.Sorted(slices.Values(journals)) {
		if h != self {
			j.others = append(j.others, h)
		}
	}
	disk := uint64(0)
	for _, s := range rec.StateRecords {
		if host, d, ok := diskOf(s); ok {
			j.formed = append(j.formed, proto.JournalDisk{Host: host, DiskID: d})
			if host == self {
				disk = d
			}
		}
		j.marked = j.marked || isMark(s)
	}
	switch {
	case j.marked:
	case j.index.Len() > 0 || (empty && disk == 0):
		j.repair = newRepair()
	case len(j.others) > 0:
		j.forming = newForming(disk)
	}
	return j
}

// CanVote reports whether the journal takes part in reservations.
func (j *Journal) CanVote() bool { return j.repair == nil && j.forming == nil && !j.failed }

// RecordCount returns the number of records in memory.
func (j *Journal) RecordCount() int { return j.index.Len() }

// Step advances the journal by one event.
func (j *Journal) Step(now model.Instant, ev Event) []Effect {
	if j.failed {
		return j.unavailable(ev)
	}
	switch ev := ev.(type) {
	case Received:
		return j.receive(now, ev)
	case Persisted:
		return j.persisted(now, ev)
	case ReadDone:
		return j.readDone(now, ev)
	case ReadPageDone:
		return j.pageRead(ev)
	case DiskFailed:
		j.failed = true
		j.waiting = nil
		return nil
	case Tick:
		return j.tick(now)
	default:
		return nil
	}
}

// unavailable answers the questions that a journal without a vote gets.
func (j *Journal) unavailable(ev Event) []Effect {
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
	if list, ok := listOf(ev.Msg); ok && list != j.list {
		return j.refuseList(ev)
	}
	if j.repair != nil {
		return j.receiveInRepair(now, ev.From, ev.Msg)
	}
	if j.forming != nil {
		return j.receiveForming(ev.From, ev.Msg)
	}
	switch m := ev.Msg.(type) {
	case proto.ReserveAsk:
		return j.find(now, DigestOf(m.Workspace, m.OrderKey), ev)
	case proto.ReserveFree:
		return j.find(now, DigestOf(m.Workspace, m.OrderKey), ev)
	case proto.AnswerSave:
		return j.find(now, DigestOf(m.Workspace, m.OrderKey), ev)
	case proto.JournalCopyAsk:
		return j.copyPage(ev.From, m)
	case proto.JournalFormAsk:
		return []Effect{j.formReply(ev.From, m)}
	default:
		return nil
	}
}

// find handles a message about a record, at once if the record is not on the
// disk only, or if its state is enough.
func (j *Journal) find(now model.Instant, key Digest, ev Received) []Effect {
	if e, ok := j.pending[key]; ok {
		return j.handle(now, ev, &e)
	}
	s, ok := j.index.slots[key]
	if !ok || s.unixMilli() < j.oldest(now) {
		return j.handle(now, ev, nil)
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
	return j.read(key, s.at(), ev)
}

// oldest returns the time of creation before which records have expired.
func (j *Journal) oldest(now model.Instant) int64 {
	return j.wall(now) - j.timing.Retention.Milliseconds()
}

// handle acts on a message about a record, which is nil if there is none.
func (j *Journal) handle(now model.Instant, ev Received, e *entry) []Effect {
	switch m := ev.Msg.(type) {
	case proto.ReserveAsk:
		if e != nil && !names(e.rec, m.Workspace, m.OrderKey) {
			return j.unavailable(ev)
		}
		return j.reserve(now, ev.From, m, e)
	case proto.ReserveFree:
		if e != nil && !names(e.rec, m.Workspace, m.OrderKey) {
			return nil
		}
		return j.free(now, m, e)
	case proto.AnswerSave:
		if e != nil && !names(e.rec, m.Workspace, m.OrderKey) {
			return nil
		}
		return j.save(now, m, e)
	default:
		return nil
	}
}

func names(rec proto.JournalRecord, ws model.WorkspaceID, key string) bool {
	return rec.Workspace == ws && rec.OrderKey == key
}

func (j *Journal) reserve(now model.Instant, from model.HostID, m proto.ReserveAsk, e *entry) []Effect {
	var out []Effect
	if e == nil || (e.rec.Freed && e.rec.Holder != m.Holder) {
		rec := proto.JournalRecord{
			Workspace: m.Workspace, OrderKey: m.OrderKey, BodyHash: m.BodyHash, Holder: m.Holder, UnixMilli: j.wall(now),
		}
		out = j.persist(rec)
		e = &entry{rec: rec, seq: j.seq}
	}
	reply := proto.ReserveReply{Nonce: m.Nonce, Status: proto.ReserveTaken, Holder: e.rec.Holder, BodyHash: e.rec.BodyHash, Answer: e.rec.Answer}
	switch {
	case e.rec.Holder == m.Holder && !e.rec.Freed:
		reply.Status = proto.ReserveHeld
	case e.rec.Freed:
		// A late copy of a question whose asker has given up.
		reply.Status = proto.ReserveUnavailable
	}
	return append(out, j.after(e.seq, Send{To: from, Msg: reply})...)
}

// free marks a reservation as given up. The mark also stands when the question
// has not arrived yet, so that the late question reserves nothing.
func (j *Journal) free(now model.Instant, m proto.ReserveFree, e *entry) []Effect {
	rec := proto.JournalRecord{UnixMilli: j.wall(now)}
	if e != nil {
		rec = e.rec
		if rec.Holder != m.Holder || rec.Freed || rec.Answer != nil {
			return nil
		}
	}
	rec.Workspace, rec.OrderKey, rec.Holder, rec.Freed = m.Workspace, m.OrderKey, m.Holder, true
	return j.persist(rec)
}

// save stores the first answer of the holder. A journal that missed the
// reservation, or held one that was given up, takes it from the answer: only a
// holder with a majority has one.
func (j *Journal) save(now model.Instant, m proto.AnswerSave, e *entry) []Effect {
	rec := proto.JournalRecord{Workspace: m.Workspace, OrderKey: m.OrderKey, BodyHash: m.BodyHash, Holder: m.Holder, UnixMilli: j.wall(now)}
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

// persist makes records durable, in their order.
func (j *Journal) persist(records ...proto.JournalRecord) []Effect {
	j.seq++
	w := write{seq: j.seq}
	for _, rec := range records {
		if isState(rec) {
			continue
		}
		key := DigestOf(rec.Workspace, rec.OrderKey)
		w.records = append(w.records, written{key: key, holder: holderHash(rec.Holder), unixMilli: rec.UnixMilli, state: StateOf(rec)})
		if j.repair == nil {
			j.pending[key] = entry{rec: rec, seq: j.seq}
		}
	}
	j.writes = append(j.writes, w)
	return []Effect{Persist{Seq: j.seq, Records: records}}
}

// after sends a message once a Persist is durable.
func (j *Journal) after(seq uint64, send Send) []Effect {
	if seq <= j.synced {
		return []Effect{send}
	}
	j.waiting = append(j.waiting, deferred{seq: seq, send: send})
	return nil
}

func (j *Journal) persisted(now model.Instant, ev Persisted) []Effect {
	for len(j.writes) > 0 && j.writes[0].seq <= ev.Seq {
		j.enter(j.writes[0], ev.Positions)
		j.writes = j.writes[1:]
	}
	j.synced = max(j.synced, ev.Seq)
	var out []Effect
	j.waiting = slices.DeleteFunc(j.waiting, func(d deferred) bool {
		if d.seq > j.synced {
			return false
		}
		out = append(out, d.send)
		return true
	})
	if j.repair != nil {
		out = append(out, j.repairPersisted(now)...)
	}
	if j.forming != nil && j.forming.markSeq != 0 && j.synced >= j.forming.markSeq {
		j.forming = nil
	}
	return out
}

// enter moves the records of a Persist from memory to the index.
func (j *Journal) enter(w write, at []Position) {
	for i, rec := range w.records {
		j.index.Add(rec.key, at[i], rec.unixMilli, rec.state)
		if e, ok := j.pending[rec.key]; ok && e.seq == w.seq {
			delete(j.pending, rec.key)
		}
		if j.repair != nil {
			j.repair.entered(rec, at[i])
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
	if j.marked {
		return out
	}
	j.marked = true
	return append(out, j.persist(proto.JournalRecord{Holder: completeHolder})...)
}

// sweep deletes segments whose records have all expired, except while one of them is being read.
func (j *Journal) sweep(now model.Instant) []Effect {
	if now.Sub(j.swept) < j.timing.SweepInterval {
		return nil
	}
	j.swept = now
	var out []Effect
	for {
		segment, ok := j.index.expired(j.oldest(now))
		if !ok || j.readsFrom(segment) {
			return out
		}
		j.index.drop()
		out = append(out, DropSegments{Segment: segment})
	}
}
