package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// entryLog is the part of the replicated log that a host holds in memory. It is
// bounded in bytes, not only in entries, since an entry may hold a whole
// configuration. Node.isSnapshotDue ends what was applied since the snapshot,
// Node.hasFullLog refuses changes while too much is not committed or the snapshot
// is late, and maxLogTailBytes limits what stays before the snapshot. The log on
// the disk, which a restart decodes, holds only what follows the snapshot.
type entryLog struct {
	// firstIndex is the index of entries[0], or the next index if there are
	// none.
	firstIndex uint64
	// prevTerm is the term of the entry before firstIndex.
	prevTerm model.Term
	entries  []proto.LogEntry
	// sizes holds the estimated length of each entry in bytes.
	sizes []int
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
	for i := range entries {
		size += l.sizes[index-l.firstIndex+uint64(i)]
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// size returns the estimated length in bytes of the entries from first to last,
// which the log must hold. It is 0 if last is before first.
func (l *entryLog) size(first, last uint64) int {
	size := 0
	for i := first; i <= last; i++ {
		size += l.sizes[i-l.firstIndex]
	}
	return size
}

// tailStart returns the first index of the longest run of entries up to last that
// has at most n entries of together at most maxBytes bytes.
func (l *entryLog) tailStart(last uint64, n, maxBytes int) uint64 {
	first := last + 1
	for ; first > l.firstIndex && n > 0; n-- {
		if maxBytes -= l.sizes[first-1-l.firstIndex]; maxBytes < 0 {
			break
		}
		first--
	}
	return first
}

// entry returns the entry at an index, which the log must hold.
func (l *entryLog) entry(index uint64) proto.LogEntry { return l.entries[index-l.firstIndex] }

// append adds an entry, whose index must be the one after lastIndex.
func (l *entryLog) append(e proto.LogEntry) {
	l.entries = append(l.entries, e)
	size := 0
	if e.Proposal != nil {
		size = e.Proposal.EstimatedSize()
	}
	l.sizes = append(l.sizes, size)
}

// truncateFrom removes the entries from an index on, which the log must hold.
func (l *entryLog) truncateFrom(index uint64) {
	kept := index - l.firstIndex
	clear(l.entries[kept:])
	l.entries, l.sizes = l.entries[:kept], l.sizes[:kept]
}

// dropBefore drops the entries before an index, if the log holds any.
func (l *entryLog) dropBefore(index uint64) {
	if index <= l.firstIndex {
		return
	}
	drop := index - l.firstIndex
	l.prevTerm = l.entries[drop-1].Term
	l.entries, l.sizes = slices.Clone(l.entries[drop:]), slices.Clone(l.sizes[drop:])
	l.firstIndex = index
}
