package order

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// completeHolder marks, in a record without an order key, that the records are complete.
	completeHolder model.RequestID = "complete"
	// sweepEvery is the interval at which expired records are removed.
	sweepEvery = time.Minute
	// recordOverhead estimates the bytes of a copied record besides its texts and answer.
	recordOverhead = 128
)

// Journal keeps the reservations of one disk host. It sends a reply about a
// record only once that record is synced.
type Journal struct {
	settings
	self    model.HostID
	others  []model.HostID
	total   int
	records map[string]entry
	// seq numbers Persist effects; synced is the last one that is durable.
	seq    uint64
	synced uint64
	// waiting holds replies until their record is synced, in the order of seq.
	waiting []deferred
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

// entry is a record and the Persist that makes it durable.
type entry struct {
	rec proto.JournalRecord
	seq uint64
}

type deferred struct {
	seq  uint64
	send Send
}

// NewJournal returns the journal of a disk host. records are those on its disk.
// empty is set when an empty disk counts as lost; it is not set while a fleet
// is formed. A journal that is not marked as complete forms the journals
// together with all others, or copies the records from them, before it votes.
// A single journal forms at once; if its disk counts as lost, it never votes again.
func NewJournal(self model.HostID, journals []model.HostID, records []proto.JournalRecord, empty bool, opts ...Option) *Journal {
	j := &Journal{settings: newSettings(opts), self: self, total: len(journals), records: map[string]entry{}}
	for _, h := range slices.Sorted(slices.Values(journals)) {
		if h != self {
			j.others = append(j.others, h)
		}
	}
	disk := uint64(0)
	for _, rec := range records {
		if host, d, ok := diskOf(rec); ok {
			j.formed = append(j.formed, proto.JournalDisk{Host: host, Disk: d})
			if host == self {
				disk = d
			}
		}
		j.marked = j.marked || isMark(rec)
		if !isState(rec) {
			j.records[cursor(rec.Workspace, rec.OrderKey)] = entry{rec: rec}
		}
	}
	switch {
	case j.marked:
	case len(j.records) > 0 || (empty && disk == 0):
		j.repair = newRepair(j.records)
		j.records = map[string]entry{}
	case len(j.others) > 0:
		j.forming = newForming(disk)
	}
	return j
}

// cursor orders records for copying. Workspace names contain no NUL.
func cursor(ws model.WorkspaceID, key string) string { return string(ws) + "\x00" + key }

// Voting reports whether the journal takes part in reservations.
func (j *Journal) Voting() bool { return j.repair == nil && j.forming == nil && !j.failed }

// Records returns all reservations in a fixed order, with the mark of completeness.
func (j *Journal) Records() []proto.JournalRecord {
	var out []proto.JournalRecord
	for _, key := range slices.Sorted(maps.Keys(j.records)) {
		out = append(out, j.records[key].rec)
	}
	if j.marked {
		out = append(out, proto.JournalRecord{Holder: completeHolder})
	}
	return out
}

// Step advances the journal by one event.
func (j *Journal) Step(now model.Instant, ev Event) []Effect {
	if j.failed {
		return j.unavailable(ev)
	}
	switch ev := ev.(type) {
	case Received:
		return j.receive(now, ev.From, ev.Msg)
	case Persisted:
		return j.persisted(ev.Seq)
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

func (j *Journal) receive(now model.Instant, from model.HostID, msg proto.Message) []Effect {
	if j.repair != nil {
		return j.receiveInRepair(now, from, msg)
	}
	if j.forming != nil {
		return j.receiveForming(from, msg)
	}
	switch m := msg.(type) {
	case proto.ReserveAsk:
		return j.reserve(now, from, m)
	case proto.ReserveFree:
		return j.free(now, m)
	case proto.AnswerSave:
		return j.save(now, m)
	case proto.JournalCopyAsk:
		return j.copyPage(from, m)
	case proto.JournalFormAsk:
		return []Effect{j.formReply(from, m)}
	default:
		return nil
	}
}

func (j *Journal) reserve(now model.Instant, from model.HostID, m proto.ReserveAsk) []Effect {
	key := cursor(m.Workspace, m.OrderKey)
	e, ok := j.records[key]
	var out []Effect
	if !ok || (e.rec.Freed && e.rec.Holder != m.Holder) {
		out = j.put(proto.JournalRecord{
			Workspace: m.Workspace, OrderKey: m.OrderKey, Body: m.Body, Holder: m.Holder, UnixMilli: j.wall(now),
		})
		e = j.records[key]
	}
	reply := proto.ReserveReply{Nonce: m.Nonce, Status: proto.ReserveTaken, Holder: e.rec.Holder, Body: e.rec.Body, Answer: e.rec.Answer}
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
func (j *Journal) free(now model.Instant, m proto.ReserveFree) []Effect {
	e, ok := j.records[cursor(m.Workspace, m.OrderKey)]
	if ok && (e.rec.Holder != m.Holder || e.rec.Freed || e.rec.Answer != nil) {
		return nil
	}
	rec := e.rec
	rec.Workspace, rec.OrderKey, rec.Holder, rec.Freed = m.Workspace, m.OrderKey, m.Holder, true
	if !ok {
		rec.UnixMilli = j.wall(now)
	}
	return j.put(rec)
}

// save stores the first answer of the holder. A journal that missed the
// reservation, or held one that was given up, takes it from the answer: only a
// holder with a majority has one.
func (j *Journal) save(now model.Instant, m proto.AnswerSave) []Effect {
	e, ok := j.records[cursor(m.Workspace, m.OrderKey)]
	rec := e.rec
	if !ok || (rec.Freed && rec.Holder != m.Holder) {
		rec = proto.JournalRecord{Workspace: m.Workspace, OrderKey: m.OrderKey, Body: m.Body, Holder: m.Holder, UnixMilli: j.wall(now)}
	}
	if rec.Holder != m.Holder || rec.Freed || rec.Answer != nil {
		return nil
	}
	answer := m.Answer
	rec.Answer = &answer
	return j.put(rec)
}

// put stores a record and makes it durable.
func (j *Journal) put(rec proto.JournalRecord) []Effect {
	out := j.persist(rec)
	j.records[cursor(rec.Workspace, rec.OrderKey)] = entry{rec: rec, seq: j.seq}
	return out
}

// persist makes records durable, all of them or none.
func (j *Journal) persist(records ...proto.JournalRecord) []Effect {
	j.seq++
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

func (j *Journal) persisted(seq uint64) []Effect {
	j.synced = max(j.synced, seq)
	var out []Effect
	j.waiting = slices.DeleteFunc(j.waiting, func(d deferred) bool {
		if d.seq > j.synced {
			return false
		}
		out = append(out, d.send)
		return true
	})
	if j.repair != nil && j.repair.markSeq != 0 && j.synced >= j.repair.markSeq {
		j.repair = nil
	}
	if j.forming != nil && j.forming.markSeq != 0 && j.synced >= j.forming.markSeq {
		j.forming = nil
	}
	return out
}

// copyPage answers a repairing journal with the records after a cursor. Records
// that are not synced are included: an earlier, synced state of the same record
// may count towards a majority.
func (j *Journal) copyPage(from model.HostID, m proto.JournalCopyAsk) []Effect {
	keys := slices.Collect(maps.Keys(j.records))
	keys = slices.DeleteFunc(keys, func(k string) bool { return k <= m.After })
	slices.Sort(keys)
	reply := proto.JournalCopyReply{Nonce: m.Nonce, Done: true}
	size := 0
	for _, k := range keys {
		rec := j.records[k].rec
		if size > 0 && size+recordSize(rec) > j.pageBytes {
			reply.Done = false
			break
		}
		size += recordSize(rec)
		reply.Records = append(reply.Records, rec)
	}
	return []Effect{Send{To: from, Msg: reply}}
}

func recordSize(rec proto.JournalRecord) int {
	n := recordOverhead + len(rec.Workspace) + len(rec.OrderKey) + len(rec.Holder)
	if rec.Answer == nil {
		return n
	}
	for name, values := range rec.Answer.Header {
		n += len(name) + len(strings.Join(values, ""))
	}
	return n + len(rec.Answer.Body)
}

func (j *Journal) tick(now model.Instant) []Effect {
	if j.repair != nil {
		return j.tickRepair(now)
	}
	if j.forming != nil {
		return j.tickForming(now)
	}
	if now.Sub(j.swept) >= sweepEvery {
		j.swept = now
		oldest := j.wall(now) - j.timing.Keep.Milliseconds()
		maps.DeleteFunc(j.records, func(_ string, e entry) bool { return e.rec.UnixMilli < oldest })
	}
	if j.marked {
		return nil
	}
	j.marked = true
	return j.persist(proto.JournalRecord{Holder: completeHolder})
}
