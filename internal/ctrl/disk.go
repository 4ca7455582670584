package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// diskState tracks which records are durable, and collects the record of the
// current step. A step emits at most one record.
type diskState struct {
	// lastSeq is the sequence number of the newest record, syncedSeq that of
	// the newest durable one.
	lastSeq   uint64
	syncedSeq uint64
	// syncedIndex is the last log index that is durable.
	syncedIndex uint64
	// pendingRecords lists the records that are not durable yet, oldest first.
	pendingRecords []pendingRecord

	// hardStateChanged and the next three fields make up the record of this
	// step. hardStateChanged is set when the term, the vote or the learner ID
	// changed, writeSnapshot when the record is to hold the snapshot.
	hardStateChanged bool
	truncateFrom     uint64
	entries          []proto.LogEntry
	writeSnapshot    bool

	// newSends holds the messages of this step that wait for its record,
	// heldSends those that wait for records of earlier steps.
	newSends  []Send
	heldSends []heldSend
}

// pendingRecord is a record that is not durable yet. lastIndex is the last log
// index that is durable once the record is.
type pendingRecord struct {
	seq       uint64
	lastIndex uint64
}

// heldSend is a message that is sent once the record with the number seq is
// durable.
type heldSend struct {
	seq  uint64
	send Send
}

// sendAfterSync sends a message once the whole state of this host is durable.
// The receiver relies on this host to remember that state after a crash.
func (n *Node) sendAfterSync(to model.HostID, msg proto.Message) {
	n.disk.newSends = append(n.disk.newSends, Send{To: to, Msg: msg})
}

// appendEntry adds an entry to the log and to the record of this step.
func (n *Node) appendEntry(e proto.LogEntry) {
	n.log.append(e)
	n.latest, _ = n.latest.next(e)
	n.disk.entries = append(n.disk.entries, e)
}

// truncateFrom removes the entries from an index on, in the log and by the
// record of this step.
func (n *Node) truncateFrom(index uint64) {
	n.log.truncateFrom(index)
	n.disk.truncateFrom = index
	n.disk.syncedIndex = min(n.disk.syncedIndex, index-1)
	for i := range n.disk.pendingRecords {
		n.disk.pendingRecords[i].lastIndex = min(n.disk.pendingRecords[i].lastIndex, index-1)
	}
	n.recomputeLatest()
}

// flush emits the record of this step, and those of its messages that need not
// wait for a record.
func (n *Node) flush() {
	d := &n.disk
	if d.hardStateChanged || d.truncateFrom != 0 || len(d.entries) > 0 || d.writeSnapshot {
		n.emitRecord()
	}
	for _, s := range d.newSends {
		if d.syncedSeq == d.lastSeq {
			n.emit(s)
			continue
		}
		d.heldSends = append(d.heldSends, heldSend{seq: d.lastSeq, send: s})
	}
	d.newSends = nil
}

// emitRecord emits the collected changes as a Persist effect and clears them.
func (n *Node) emitRecord() {
	d := &n.disk
	d.lastSeq++
	p := Persist{
		Seq:          d.lastSeq,
		Term:         n.term,
		VotedFor:     n.votedFor,
		TruncateFrom: d.truncateFrom,
		Entries:      d.entries,
		LearnerID:    n.learnerID,
	}
	if d.writeSnapshot {
		s := n.snapshot
		p.Snapshot = &s
		p.TruncateFrom = 0
		p.Entries = n.log.entriesFrom(s.Index+1, len(n.log.entries))
	}
	n.emit(p)
	d.pendingRecords = append(d.pendingRecords, pendingRecord{seq: d.lastSeq, lastIndex: n.log.lastIndex()})
	d.hardStateChanged, d.truncateFrom, d.entries, d.writeSnapshot = false, 0, nil, false
}

// onPersisted marks a record and all earlier ones as durable, and sends the
// messages that waited for them.
func (n *Node) onPersisted(seq uint64) {
	d := &n.disk
	d.syncedSeq = max(d.syncedSeq, seq)
	for len(d.pendingRecords) > 0 && d.pendingRecords[0].seq <= seq {
		d.syncedIndex = d.pendingRecords[0].lastIndex
		d.pendingRecords = d.pendingRecords[1:]
	}
	released := 0
	for released < len(d.heldSends) && d.heldSends[released].seq <= seq {
		n.emit(d.heldSends[released].send)
		released++
	}
	d.heldSends = slices.Delete(d.heldSends, 0, released)
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}
