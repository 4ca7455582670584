package order

import (
	"strconv"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxPendingReads is the maximum number of records that are read at the same
	// time. A message that would need one more is dropped; its sender repeats it.
	maxPendingReads = 1024
	// maxWaitingMessages is the maximum number of messages that wait for one record.
	maxWaitingMessages = 64
	// maxPendingPages is the maximum number of pages that are read at the same time
	// for repairing journals.
	maxPendingPages = 16
)

// pendingRead is a record that is being read and the messages that wait for it.
type pendingRead struct {
	key      Digest
	position Position
	waiting  []Received
	// forRepair is set if a repair reads the record to write it again.
	forRepair bool
}

// pendingPage is the repairing journal that gets a page, and the nonce of its query.
type pendingPage struct {
	to    model.HostID
	nonce uint64
}

// readThenHandle reads a record and handles the message once the record is there.
// Messages that need the same record share one read.
func (j *Journal) readThenHandle(key Digest, at Position, msg Received) []Effect {
	if id, ok := j.readByKey[key]; ok {
		r := j.pendingReads[id]
		if len(r.waiting) < maxWaitingMessages {
			r.waiting = append(r.waiting, msg)
		}
		return nil
	}
	if len(j.pendingReads) >= maxPendingReads {
		return nil
	}
	return j.startRead(&pendingRead{key: key, position: at, waiting: []Received{msg}})
}

// startRead returns the effect that reads a record, and keeps the messages that
// wait for it.
func (j *Journal) startRead(r *pendingRead) []Effect {
	j.readSeq++
	j.pendingReads[j.readSeq] = r
	j.readByKey[r.key] = j.readSeq
	return []Effect{Read{ID: j.readSeq, At: r.position}}
}

// handleReadDone handles the messages that waited for a record. If one of them
// changes the record, the later ones see the change.
func (j *Journal) handleReadDone(now model.Instant, ev ReadDone) []Effect {
	r := j.pendingReads[ev.ID]
	if r == nil {
		return nil
	}
	delete(j.pendingReads, ev.ID)
	delete(j.readByKey, r.key)
	if r.forRepair {
		return j.rewriteStale(ev.Record)
	}
	var out []Effect
	for _, m := range r.waiting {
		newer, isNewer := j.unsynced[r.key]
		s, ok := j.index.entries[r.key]
		switch {
		case isNewer:
			out = append(out, j.handleWithRecord(now, m, &newer)...)
		case ok && s.position() == r.position && s.unixMilli() >= j.expiryCutoff(now):
			out = append(out, j.handleWithRecord(now, m, &recordCopy{rec: ev.Record})...)
		default:
			// During the read the record expired, or expired and was replaced.
			out = append(out, j.handleRecordMessage(now, r.key, m)...)
		}
	}
	return out
}

// isReadingSegment reports whether a record of the segment is being read.
func (j *Journal) isReadingSegment(segment uint32) bool {
	for _, r := range j.pendingReads {
		if r.position.Segment == segment {
			return true
		}
	}
	return false
}

// readCopyPage reads the next page for a repairing journal. The cursors that other
// journals get begin with runNumber. A cursor from before a restart may point
// nowhere, since the disk may have been lost, so the copy then starts over.
func (j *Journal) readCopyPage(from model.HostID, m proto.JournalCopyAsk) []Effect {
	if len(j.pendingPages) >= maxPendingPages {
		return nil
	}
	run, after, _ := strings.Cut(m.After, ":")
	if run != strconv.FormatUint(j.runNumber, 36) {
		after = ""
	}
	j.readSeq++
	j.pendingPages[j.readSeq] = pendingPage{to: from, nonce: m.Nonce}
	return []Effect{ReadPage{ID: j.readSeq, After: after, Bytes: j.pageBytes}}
}

// handleReadPageDone sends a page to a repairing journal. The page holds synced
// records in the order in which they were written, including older copies.
func (j *Journal) handleReadPageDone(ev ReadPageDone) []Effect {
	p, ok := j.pendingPages[ev.ID]
	if !ok {
		return nil
	}
	delete(j.pendingPages, ev.ID)
	next := strconv.FormatUint(j.runNumber, 36) + ":" + ev.Next
	return []Effect{Send{To: p.to, Msg: proto.JournalCopyReply{Nonce: p.nonce, Records: ev.Records, Next: next, Done: ev.Done}}}
}
