package order

import (
	"bytes"
	"hash/fnv"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// repair is the state of a journal that lost its disk and copies the records of
// other journals. Records are written as they arrive, so that memory holds only
// their states.
type repair struct {
	// startedAt is the time of the first tick, if hasStarted.
	startedAt  model.Instant
	hasStarted bool
	sources    map[model.HostID]*source
	// copies holds the copies of each order key that were received.
	copies map[Digest]*candidateSet
	// staleKeys holds the order keys whose copy written last is not the valid one.
	staleKeys map[Digest]bool
	// isRewriting is set once enough journals gave their records. pendingRewrites is
	// the number of stale records that are still being read to be written again.
	isRewriting     bool
	pendingRewrites int
	// completionSeq is the number of the Persist effect with the completion record,
	// or 0 before that effect.
	completionSeq uint64
}

// source is the progress of copying from one journal.
type source struct {
	// nonce is that of the last query, cursor the start of the next page.
	nonce       uint64
	cursor      string
	lastAskedAt model.Instant
	// writeSeq is the number of the Persist effect that writes the last page, or 0
	// if that page is synced or has no new records.
	writeSeq uint64
	// done is set once the last page of the journal was received.
	done bool
}

// candidateSet holds the copies of one order key, one candidate for each holder that
// was seen.
type candidateSet struct {
	list []candidate
	// lastWritten is the index in list of the candidate that was written last, or
	// noHolder.
	lastWritten int
	// unixMilli is the latest creation time of all copies, in Unix milliseconds.
	unixMilli int64
}

// candidate is the most advanced copy of one holder and its position on the disk.
// Holders are compared by a hash of 64 bits, which is enough because their IDs are
// random numbers that the fleet's own hosts draw.
type candidate struct {
	holder   uint64
	state    RecordState
	position Position
}

// noHolder is used instead of the index of a candidate for a record without a holder.
// With such a record the journal votes for no request.
const noHolder = -1

func newRepair() *repair {
	return &repair{sources: map[model.HostID]*source{}, copies: map[Digest]*candidateSet{}, staleKeys: map[Digest]bool{}}
}

// holderHash returns the 64-bit hash by which the holders of copies are
// compared.
func holderHash(id model.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// add merges a copy of a record into the candidates and returns the records that must be written.
func (r *repair) add(key Digest, rec proto.JournalRecord) []proto.JournalRecord {
	c := r.copies[key]
	if c == nil {
		c = &candidateSet{lastWritten: noHolder}
		r.copies[key] = c
	}
	i, changed := c.add(rec)
	if !changed {
		return nil
	}
	var out []proto.JournalRecord
	winner := c.resolve(i)
	if winner == i || (winner == noHolder && c.list[i].state == RecordHeld) {
		out = append(out, rec)
		c.lastWritten = i
	}
	if winner == noHolder && c.lastWritten != noHolder {
		out = append(out, proto.JournalRecord{Workspace: rec.Workspace, OrderKey: rec.OrderKey, UnixMilli: c.unixMilli})
		c.lastWritten = noHolder
	}
	delete(r.staleKeys, key)
	if c.lastWritten != winner {
		r.staleKeys[key] = true
	}
	return out
}

// add merges a copy if the copy is more advanced than the known copy of the same holder.
// It returns the index of the candidate and whether the candidate changed.
func (c *candidateSet) add(rec proto.JournalRecord) (int, bool) {
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

// resolve returns the index of the candidate whose copy is valid after the candidate
// changed was added or updated. An answered copy takes precedence over a held one,
// and a held one over freed ones. If several holders hold the key, any of them may
// have a majority, so the result is noHolder and this journal votes for none.
func (c *candidateSet) resolve(changed int) int {
	winner, heldCount := c.lastWritten, 0
	for i, x := range c.list {
		switch x.state {
		case RecordAnswered:
			return i
		case RecordHeld:
			winner = i
			heldCount++
		default:
		}
	}
	switch {
	case heldCount > 1:
		return noHolder
	case heldCount == 0 && winner == noHolder:
		return changed
	}
	return winner
}

// setPosition sets the position at which the copy of a candidate was written.
func (r *repair) setPosition(rec indexUpdate, at Position) {
	c := r.copies[rec.key]
	if c == nil {
		return
	}
	for i := range c.list {
		if c.list[i].holder == rec.holder {
			c.list[i].position = at
		}
	}
}

func (j *Journal) receiveWhileRepairing(now model.Instant, from model.HostID, msg proto.Message) []Effect {
	switch m := msg.(type) {
	case proto.ReserveAsk:
		return j.replyUnavailable(Received{From: from, Msg: m})
	case proto.JournalCopyReply:
		return j.handleCopyReply(now, from, m)
	case proto.JournalFormAsk:
		return []Effect{j.formReply(from, m)}
	default:
		// Other repairing journals get no reply, since the records here are not complete.
		return nil
	}
}

// handleCopyReply writes those records of a page that are new. The next page is
// requested once they are synced.
func (j *Journal) handleCopyReply(now model.Instant, from model.HostID, m proto.JournalCopyReply) []Effect {
	src := j.repair.sources[from]
	if src == nil || src.done || src.writeSeq != 0 || src.nonce != m.Nonce || j.repair.isRewriting {
		return nil
	}
	src.cursor, src.done = m.Next, m.Done
	var records []proto.JournalRecord
	for _, rec := range m.Records {
		if isStateRecord(rec) || rec.UnixMilli < j.expiryCutoff(now) {
			continue
		}
		records = append(records, j.repair.add(DigestOf(rec.Workspace, rec.OrderKey), rec)...)
	}
	if len(records) == 0 {
		return j.continueCopy(now, from, src)
	}
	out := j.persist(records...)
	src.writeSeq = j.seq
	return out
}

// continueCopy requests the next page from a journal whose last page is synced, or
// finishes if that was the last page of all.
func (j *Journal) continueCopy(now model.Instant, from model.HostID, src *source) []Effect {
	src.writeSeq = 0
	if !src.done {
		return j.askCopy(now, from, src)
	}
	return j.finishCopy()
}

// advanceRepair takes the next step of the repair after records were synced.
func (j *Journal) advanceRepair(now model.Instant) []Effect {
	r := j.repair
	var out []Effect
	for _, h := range j.others {
		if src := r.sources[h]; src != nil && src.writeSeq != 0 && j.synced >= src.writeSeq {
			out = append(out, j.continueCopy(now, h, src)...)
		}
	}
	switch {
	case r.completionSeq != 0 && j.synced >= r.completionSeq:
		j.repair = nil
	case r.isRewriting && r.completionSeq == 0:
		out = append(out, j.writeCompletion()...)
	case !r.isRewriting:
		out = append(out, j.finishCopy()...)
	}
	return out
}

// finishCopy ends the copying once enough journals gave their records. Of n journals
// at most n minus a majority lack a record that a majority held, so one more than
// that always includes a journal that has the record. For each stale key the valid
// copy is read and written again, so that it is the newest copy on the disk.
func (j *Journal) finishCopy() []Effect {
	done := 0
	for _, src := range j.repair.sources {
		if src.done && src.writeSeq == 0 {
			done++
		}
	}
	r := j.repair
	if r.isRewriting || len(j.pendingWrites) > 0 || done <= j.journalCount-model.Majority(j.journalCount) {
		return nil
	}
	r.isRewriting = true
	keys := make([]Digest, 0, len(r.staleKeys))
	for key := range r.staleKeys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	var out []Effect
	for _, key := range keys {
		c := r.copies[key]
		r.pendingRewrites++
		out = append(out, j.startRead(&pendingRead{key: key, position: c.list[c.resolve(0)].position, forRepair: true})...)
	}
	return append(out, j.writeCompletion()...)
}

// rewriteStale writes the valid copy of a stale key again.
func (j *Journal) rewriteStale(rec proto.JournalRecord) []Effect {
	if j.repair == nil {
		return nil
	}
	j.repair.pendingRewrites--
	return j.persist(rec)
}

// writeCompletion writes the completion record once all records are synced and no
// stale one is left.
func (j *Journal) writeCompletion() []Effect {
	r := j.repair
	if r.completionSeq != 0 || r.pendingRewrites > 0 || len(j.pendingWrites) > 0 {
		return nil
	}
	out := j.persist(proto.JournalRecord{Holder: completionHolder})
	j.completionWritten = true
	r.completionSeq = j.seq
	return out
}

func (j *Journal) askCopy(now model.Instant, to model.HostID, src *source) []Effect {
	src.nonce = j.nextNonce()
	src.lastAskedAt = now
	return []Effect{Send{To: to, Msg: proto.JournalCopyAsk{Nonce: src.nonce, After: src.cursor, JournalsDigest: j.listDigest}}}
}

func (j *Journal) tickRepair(now model.Instant) []Effect {
	r := j.repair
	if !r.hasStarted {
		r.hasStarted, r.startedAt = true, now
	}
	if now.Sub(r.startedAt) < j.timing.RecoveryDelay || r.isRewriting {
		return nil
	}
	var out []Effect
	for _, h := range j.others {
		src := r.sources[h]
		if src == nil {
			src = &source{}
			r.sources[h] = src
			out = append(out, j.askCopy(now, h, src)...)
		} else if !src.done && src.writeSeq == 0 && now.Sub(src.lastAskedAt) >= j.timing.ResendInterval {
			out = append(out, j.askCopy(now, h, src)...)
		}
	}
	return out
}
