package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// entryLog is the part of the replicated log that a host holds in memory.
type entryLog struct {
	// firstIndex is the index of entries[0], or the next index if there are
	// none.
	firstIndex uint64
	// prevTerm is the term of the entry before firstIndex.
	prevTerm model.Term
	entries  []proto.LogEntry
}

// newEntryLog returns an empty log that continues a snapshot.
func newEntryLog(snapshotIndex uint64, snapshotTerm model.Term) entryLog {
	return entryLog{firstIndex: snapshotIndex + 1, prevTerm: snapshotTerm}
}

// lastIndex returns the index of the last entry, or of the entry before
// firstIndex if there are none.
func (l *entryLog) lastIndex() uint64 { return l.firstIndex - 1 + uint64(len(l.entries)) }

// lastTerm returns the term of the entry at lastIndex.
func (l *entryLog) lastTerm() model.Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at an index, and false for an index before
// the log or after its end. The entry before firstIndex counts as part of the
// log.
func (l *entryLog) term(index uint64) (model.Term, bool) {
	switch {
	case index+1 == l.firstIndex:
		return l.prevTerm, true
	case index < l.firstIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.firstIndex].Term, true
	}
}

// entriesFrom returns at most n entries from an index on. The slice is a copy.
func (l *entryLog) entriesFrom(index uint64, n int) []proto.LogEntry {
	if index < l.firstIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.firstIndex:]
	return slices.Clone(rest[:min(n, len(rest))])
}

// batch returns at most n entries from an index on for one message. It always
// includes the first of them, and others only while the estimated length stays
// within maxAppendBytes. The slice is a copy.
func (l *entryLog) batch(index uint64, n int) []proto.LogEntry {
	entries := l.entriesFrom(index, n)
	size := 0
	for i, e := range entries {
		if e.Proposal != nil {
			size += e.Proposal.EstimatedSize()
		}
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// entry returns the entry at an index, which the log must hold.
func (l *entryLog) entry(index uint64) proto.LogEntry { return l.entries[index-l.firstIndex] }

// append adds an entry, whose index must be the one after lastIndex.
func (l *entryLog) append(e proto.LogEntry) { l.entries = append(l.entries, e) }

// truncateFrom removes the entries from an index on, which the log must hold.
func (l *entryLog) truncateFrom(index uint64) { l.entries = l.entries[:index-l.firstIndex] }

// compact drops the entries up to an index, except for the last keep of them,
// so that a follower that is a little behind needs no snapshot.
func (l *entryLog) compact(index uint64, keep uint64) {
	if index < l.firstIndex+keep {
		return
	}
	drop := index - keep - l.firstIndex + 1
	l.prevTerm = l.entries[drop-1].Term
	l.entries = slices.Clone(l.entries[drop:])
	l.firstIndex += drop
}
