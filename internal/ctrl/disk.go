package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// disk tracks what is durable. Each step emits at most one record.
type disk struct {
	// seq numbers the newest record, synced the newest durable one.
	seq    uint64
	synced uint64
	// syncedIndex is the last log index that is durable.
	syncedIndex uint64
	marks       []mark

	// dirty is set when the hard state changed in this step.
	dirty        bool
	truncateFrom uint64
	entries      []proto.LogEntry
	snapshot     bool

	// fresh holds the messages of this step that wait for its record, held those of earlier steps.
	fresh []Send
	held  []heldSend
}

// mark tells the last log index that is durable once a record is.
type mark struct {
	seq  uint64
	last uint64
}

type heldSend struct {
	seq  uint64
	send Send
}

// sendSynced sends a message once everything this host knows is durable, since
// the message promises that it remembers.
func (n *Node) sendSynced(to model.HostID, msg proto.Message) {
	n.disk.fresh = append(n.disk.fresh, Send{To: to, Msg: msg})
}

// appendEntry adds an entry to the log and to the record of this step.
func (n *Node) appendEntry(e proto.LogEntry) {
	n.log.append(e)
	n.tip, _ = n.tip.next(e)
	n.disk.entries = append(n.disk.entries, e)
}

func (n *Node) truncateFrom(index uint64) {
	n.log.truncateFrom(index)
	n.disk.truncateFrom = index
	n.disk.syncedIndex = min(n.disk.syncedIndex, index-1)
	for i := range n.disk.marks {
		n.disk.marks[i].last = min(n.disk.marks[i].last, index-1)
	}
	n.retip()
}

// flush emits the record of this step and the messages that need not wait.
func (n *Node) flush() {
	d := &n.disk
	if d.dirty || d.truncateFrom != 0 || len(d.entries) > 0 || d.snapshot {
		n.emitRecord()
	}
	for _, s := range d.fresh {
		if d.synced == d.seq {
			n.emit(s)
			continue
		}
		d.held = append(d.held, heldSend{seq: d.seq, send: s})
	}
	d.fresh = nil
}

func (n *Node) emitRecord() {
	d := &n.disk
	d.seq++
	p := Persist{
		Seq:          d.seq,
		Term:         n.term,
		VotedFor:     n.votedFor,
		TruncateFrom: d.truncateFrom,
		Entries:      d.entries,
		LearnerID:    n.learner,
	}
	if d.snapshot {
		s := n.snapshot
		p.Snapshot = &s
		p.TruncateFrom = 0
		p.Entries = n.log.from(s.Index+1, len(n.log.entries))
	}
	n.emit(p)
	d.marks = append(d.marks, mark{seq: d.seq, last: n.log.last()})
	d.dirty, d.truncateFrom, d.entries, d.snapshot = false, 0, nil, false
}

// persisted notes that a record and those before it are durable.
func (n *Node) persisted(seq uint64) {
	d := &n.disk
	d.synced = max(d.synced, seq)
	for len(d.marks) > 0 && d.marks[0].seq <= seq {
		d.syncedIndex = d.marks[0].last
		d.marks = d.marks[1:]
	}
	released := 0
	for released < len(d.held) && d.held[released].seq <= seq {
		n.emit(d.held[released].send)
		released++
	}
	d.held = slices.Delete(d.held, 0, released)
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}
