package order

import (
	"strconv"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxReads bounds the records that are read at once. A message beyond it is
	// dropped; its sender repeats it.
	maxReads = 1024
	// maxParked bounds the messages that wait for one record.
	maxParked = 64
	// maxPages bounds the pages that are read for repairing journals at once.
	maxPages = 16
)

// reading is a record that is being read, with the messages that need it.
type reading struct {
	key    Digest
	at     Position
	parked []Received
	// rewrite is set if a repair needs the record.
	rewrite bool
}

// page is a read for a repairing journal.
type page struct {
	to    model.HostID
	nonce uint64
}

// read asks for a record, and handles a message once it is there.
func (j *Journal) read(key Digest, at Position, msg Received) []Effect {
	if id, ok := j.readOf[key]; ok {
		r := j.reads[id]
		if len(r.parked) < maxParked {
			r.parked = append(r.parked, msg)
		}
		return nil
	}
	if len(j.reads) >= maxReads {
		return nil
	}
	return j.startRead(&reading{key: key, at: at, parked: []Received{msg}})
}

func (j *Journal) startRead(r *reading) []Effect {
	j.readSeq++
	j.reads[j.readSeq] = r
	j.readOf[r.key] = j.readSeq
	return []Effect{Read{ID: j.readSeq, At: r.at}}
}

// readDone handles the messages that waited for a record. One of them may
// change it; the later ones then see the change.
func (j *Journal) readDone(now model.Instant, ev ReadDone) []Effect {
	r := j.reads[ev.ID]
	if r == nil {
		return nil
	}
	delete(j.reads, ev.ID)
	delete(j.readOf, r.key)
	if r.rewrite {
		return j.rewritten(ev.Record)
	}
	var out []Effect
	for _, m := range r.parked {
		newer, isNewer := j.pending[r.key]
		s, ok := j.index.slots[r.key]
		switch {
		case isNewer:
			out = append(out, j.handle(now, m, &newer)...)
		case ok && s.at() == r.at && s.unixMilli() >= j.oldest(now):
			out = append(out, j.handle(now, m, &entry{rec: ev.Record})...)
		default:
			// The record expired, or was replaced after it expired, during the read.
			out = append(out, j.find(now, r.key, m)...)
		}
	}
	return out
}

// readsFrom reports whether a record of a segment is being read.
func (j *Journal) readsFrom(segment uint32) bool {
	for _, r := range j.reads {
		if r.at.Segment == segment {
			return true
		}
	}
	return false
}

// Places in the records of a journal, as other journals know them, begin with
// the number of the run of its process: a place from before a restart may not
// exist any more, since the disk may have been lost, and the copy starts over.

func (j *Journal) copyPage(from model.HostID, m proto.JournalCopyAsk) []Effect {
	if len(j.pages) >= maxPages {
		return nil
	}
	run, after, _ := strings.Cut(m.After, ":")
	if run != strconv.FormatUint(j.run, 36) {
		after = ""
	}
	j.readSeq++
	j.pages[j.readSeq] = page{to: from, nonce: m.Nonce}
	return []Effect{ReadPage{ID: j.readSeq, After: after, Bytes: j.pageBytes}}
}

// pageRead answers a repairing journal. The page holds what is synced, in the
// order in which it was written, earlier copies of records included.
func (j *Journal) pageRead(ev ReadPageDone) []Effect {
	p, ok := j.pages[ev.ID]
	if !ok {
		return nil
	}
	delete(j.pages, ev.ID)
	next := strconv.FormatUint(j.run, 36) + ":" + ev.Next
	return []Effect{Send{To: p.to, Msg: proto.JournalCopyReply{Nonce: p.nonce, Records: ev.Records, Next: next, Done: ev.Done}}}
}
