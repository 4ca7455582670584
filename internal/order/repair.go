package order

import (
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// repair copies the records of other journals after the loss of a disk.
type repair struct {
	// since is when the repair began, or 0 before the first event.
	since   model.Instant
	started bool
	sources map[model.HostID]*source
	// seen holds, for each order key, one record of each holder that occurred.
	seen map[string][]proto.JournalRecord
	// markSeq is the Persist with the copied records, or 0 before it.
	markSeq uint64
}

// source is the state of copying from one journal.
type source struct {
	nonce uint64
	after string
	asked model.Instant
	done  bool
}

// newRepair begins with what an interrupted repair left on the disk.
func newRepair(left map[string]entry) *repair {
	r := &repair{sources: map[model.HostID]*source{}, seen: map[string][]proto.JournalRecord{}}
	for _, key := range slices.Sorted(maps.Keys(left)) {
		r.add(left[key].rec)
	}
	return r
}

// add keeps the most advanced record of a holder: an answer, then freed, then held.
func (r *repair) add(rec proto.JournalRecord) {
	key := cursor(rec.Workspace, rec.OrderKey)
	for i, old := range r.seen[key] {
		if old.Holder != rec.Holder {
			continue
		}
		if old.Answer == nil && (rec.Answer != nil || rec.Freed) {
			r.seen[key][i] = rec
		}
		return
	}
	r.seen[key] = append(r.seen[key], rec)
}

// resolve returns the record that stands for an order key. If several holders
// may have a majority, the record belongs to none of them, so that this journal
// votes for neither.
func resolve(seen []proto.JournalRecord) proto.JournalRecord {
	var live []proto.JournalRecord
	for _, rec := range seen {
		if rec.Answer != nil {
			return rec
		}
		if !rec.Freed {
			live = append(live, rec)
		}
	}
	switch len(live) {
	case 0:
		return seen[0]
	case 1:
		return live[0]
	}
	blocked := proto.JournalRecord{Workspace: live[0].Workspace, OrderKey: live[0].OrderKey}
	for _, rec := range live {
		blocked.UnixMilli = max(blocked.UnixMilli, rec.UnixMilli)
	}
	return blocked
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

func (j *Journal) copied(now model.Instant, from model.HostID, m proto.JournalCopyReply) []Effect {
	src := j.repair.sources[from]
	if src == nil || src.done || src.nonce != m.Nonce || j.repair.markSeq != 0 {
		return nil
	}
	for _, rec := range m.Records {
		j.repair.add(rec)
		src.after = max(src.after, cursor(rec.Workspace, rec.OrderKey))
	}
	src.done = m.Done
	if !src.done {
		return j.askCopy(now, from, src)
	}
	return j.complete()
}

// complete stores the copied records once enough journals gave theirs. At most
// the total less a majority lack a record that a majority held, so one more
// than that always includes a journal that has it.
func (j *Journal) complete() []Effect {
	done := 0
	for _, src := range j.repair.sources {
		if src.done {
			done++
		}
	}
	if done <= j.total-model.Majority(j.total) {
		return nil
	}
	var out []proto.JournalRecord
	for _, key := range slices.Sorted(maps.Keys(j.repair.seen)) {
		rec := resolve(j.repair.seen[key])
		j.records[key] = entry{rec: rec, seq: j.seq + 1}
		out = append(out, rec)
	}
	effs := j.persist(append(out, proto.JournalRecord{Holder: completeHolder})...)
	j.marked = true
	j.repair.markSeq = j.seq
	return effs
}

func (j *Journal) askCopy(now model.Instant, to model.HostID, src *source) []Effect {
	src.nonce = j.nextNonce()
	src.asked = now
	return []Effect{Send{To: to, Msg: proto.JournalCopyAsk{Nonce: src.nonce, After: src.after}}}
}

func (j *Journal) tickRepair(now model.Instant) []Effect {
	r := j.repair
	if !r.started {
		r.started, r.since = true, now
	}
	if now.Sub(r.since) < j.timing.Silence || r.markSeq != 0 {
		return nil
	}
	var out []Effect
	for _, h := range j.others {
		src := r.sources[h]
		if src == nil {
			src = &source{}
			r.sources[h] = src
			out = append(out, j.askCopy(now, h, src)...)
		} else if !src.done && now.Sub(src.asked) >= j.timing.Resend {
			out = append(out, j.askCopy(now, h, src)...)
		}
	}
	return out
}
