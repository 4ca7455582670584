package order

import (
	"bytes"
	"hash/fnv"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// repair copies the records of other journals after the loss of a disk. Records
// are written as they arrive, so that only their states are held in memory.
type repair struct {
	// since is when the repair began.
	since   model.Instant
	started bool
	sources map[model.HostID]*source
	seen    map[Digest]*candidates
	// stale holds the keys whose newest copy on the disk is not the one that stands.
	stale map[Digest]bool
	// rewriting is set once enough was copied; rewrites counts the stale records that are being read.
	rewriting bool
	rewrites  int
	// markSeq is the Persist of the mark of completeness, or 0 before it.
	markSeq uint64
}

// source is the state of copying from one journal.
type source struct {
	nonce uint64
	after string
	asked model.Instant
	// writeSeq is the Persist of the last page, or 0 if none is awaited.
	writeSeq uint64
	done     bool
}

// candidates holds the copies of one order key, one for each holder that occurred.
type candidates struct {
	list []candidate
	// newest is the one that was written last, or blocked.
	newest int
	// unixMilli is the latest creation of them.
	unixMilli int64
}

// candidate is the most advanced copy of one holder. Holders are compared by a
// hash of 64 bits; they are random numbers of the fleet's own hosts.
type candidate struct {
	holder uint64
	state  RecordState
	at     Position
}

// blocked stands for a record that belongs to no holder.
const blocked = -1

func newRepair() *repair {
	return &repair{sources: map[model.HostID]*source{}, seen: map[Digest]*candidates{}, stale: map[Digest]bool{}}
}

func holderHash(id model.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// add takes a copy of a record and returns what has to be written.
func (r *repair) add(key Digest, rec proto.JournalRecord) []proto.JournalRecord {
	c := r.seen[key]
	if c == nil {
		c = &candidates{newest: blocked}
		r.seen[key] = c
	}
	i, changed := c.add(rec)
	if !changed {
		return nil
	}
	var out []proto.JournalRecord
	stands := c.resolve(i)
	if stands == i || (stands == blocked && c.list[i].state == RecordHeld) {
		out = append(out, rec)
		c.newest = i
	}
	if stands == blocked && c.newest != blocked {
		out = append(out, proto.JournalRecord{Workspace: rec.Workspace, OrderKey: rec.OrderKey, UnixMilli: c.unixMilli})
		c.newest = blocked
	}
	delete(r.stale, key)
	if c.newest != stands {
		r.stale[key] = true
	}
	return out
}

// add keeps the most advanced copy of a holder: an answer, then freed, then held.
func (c *candidates) add(rec proto.JournalRecord) (int, bool) {
	c.unixMilli = max(c.unixMilli, rec.UnixMilli)
	holder, state := holderHash(rec.Holder), StateOf(rec)
	for i := range c.list {
		if c.list[i].holder != holder {
			continue
		}
		if c.list[i].state >= state {
			return i, false
		}
		c.list[i].state = state
		return i, true
	}
	c.list = append(c.list, candidate{holder: holder, state: state})
	return len(c.list) - 1, true
}

// resolve returns the candidate that stands after a change of one. If several
// holders may have a majority, none of them does, so that this journal votes
// for neither.
func (c *candidates) resolve(changed int) int {
	live, count := c.newest, 0
	for i, x := range c.list {
		switch x.state {
		case RecordAnswered:
			return i
		case RecordHeld:
			live = i
			count++
		default:
		}
	}
	switch {
	case count > 1:
		return blocked
	case count == 0 && live == blocked:
		return changed
	}
	return live
}

// entered notes where a candidate was written.
func (r *repair) entered(rec written, at Position) {
	c := r.seen[rec.key]
	if c == nil {
		return
	}
	for i := range c.list {
		if c.list[i].holder == rec.holder {
			c.list[i].at = at
		}
	}
}

func (j *Journal) receiveInRepair(now model.Instant, from model.HostID, msg proto.Message) []Effect {
	switch m := msg.(type) {
	case proto.ReserveAsk:
		return j.unavailable(Received{From: from, Msg: m})
	case proto.JournalCopyReply:
		return j.copied(now, from, m)
	case proto.JournalFormAsk:
		return []Effect{j.formReply(from, m)}
	default:
		// Other repairing journals get no reply: these records are not complete.
		return nil
	}
}

// copied writes the records of a page that are new. The next page is asked for
// once they are synced.
func (j *Journal) copied(now model.Instant, from model.HostID, m proto.JournalCopyReply) []Effect {
	src := j.repair.sources[from]
	if src == nil || src.done || src.writeSeq != 0 || src.nonce != m.Nonce || j.repair.rewriting {
		return nil
	}
	src.after, src.done = m.Next, m.Done
	var records []proto.JournalRecord
	for _, rec := range m.Records {
		if isState(rec) || rec.UnixMilli < j.oldest(now) {
			continue
		}
		records = append(records, j.repair.add(DigestOf(rec.Workspace, rec.OrderKey), rec)...)
	}
	if len(records) == 0 {
		return j.pageWritten(now, from, src)
	}
	out := j.persist(records...)
	src.writeSeq = j.seq
	return out
}

func (j *Journal) pageWritten(now model.Instant, from model.HostID, src *source) []Effect {
	src.writeSeq = 0
	if !src.done {
		return j.askCopy(now, from, src)
	}
	return j.finishCopy()
}

func (j *Journal) repairPersisted(now model.Instant) []Effect {
	r := j.repair
	var out []Effect
	for _, h := range j.others {
		if src := r.sources[h]; src != nil && src.writeSeq != 0 && j.synced >= src.writeSeq {
			out = append(out, j.pageWritten(now, h, src)...)
		}
	}
	switch {
	case r.markSeq != 0 && j.synced >= r.markSeq:
		j.repair = nil
	case r.rewriting && r.markSeq == 0:
		out = append(out, j.mark()...)
	case !r.rewriting:
		out = append(out, j.finishCopy()...)
	}
	return out
}

// finishCopy ends the copying once enough journals gave their records. At most
// the total less a majority lack a record that a majority held, so one more
// than that always includes a journal that has it. Records that do not stand as
// they were written last are read and written again.
func (j *Journal) finishCopy() []Effect {
	done := 0
	for _, src := range j.repair.sources {
		if src.done && src.writeSeq == 0 {
			done++
		}
	}
	r := j.repair
	if r.rewriting || len(j.writes) > 0 || done <= j.total-model.Majority(j.total) {
		return nil
	}
	r.rewriting = true
	keys := make([]Digest, 0, len(r.stale))
	for key := range r.stale {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	var out []Effect
	for _, key := range keys {
		c := r.seen[key]
		r.rewrites++
		out = append(out, j.startRead(&reading{key: key, at: c.list[c.resolve(0)].at, rewrite: true})...)
	}
	return append(out, j.mark()...)
}

// rewritten writes a stale record again.
func (j *Journal) rewritten(rec proto.JournalRecord) []Effect {
	if j.repair == nil {
		return nil
	}
	j.repair.rewrites--
	return j.persist(rec)
}

// mark completes the records once all of them are written as they stand.
func (j *Journal) mark() []Effect {
	r := j.repair
	if r.markSeq != 0 || r.rewrites > 0 || len(j.writes) > 0 {
		return nil
	}
	out := j.persist(proto.JournalRecord{Holder: completeHolder})
	j.marked = true
	r.markSeq = j.seq
	return out
}

func (j *Journal) askCopy(now model.Instant, to model.HostID, src *source) []Effect {
	src.nonce = j.nextNonce()
	src.asked = now
	return []Effect{Send{To: to, Msg: proto.JournalCopyAsk{Nonce: src.nonce, After: src.after, JournalsDigest: j.list}}}
}

func (j *Journal) tickRepair(now model.Instant) []Effect {
	r := j.repair
	if !r.started {
		r.started, r.since = true, now
	}
	if now.Sub(r.since) < j.timing.RecoveryDelay || r.rewriting {
		return nil
	}
	var out []Effect
	for _, h := range j.others {
		src := r.sources[h]
		if src == nil {
			src = &source{}
			r.sources[h] = src
			out = append(out, j.askCopy(now, h, src)...)
		} else if !src.done && src.writeSeq == 0 && now.Sub(src.asked) >= j.timing.ResendInterval {
			out = append(out, j.askCopy(now, h, src)...)
		}
	}
	return out
}
