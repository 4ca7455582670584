package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// entryLog is the part of the replicated log that a host holds in memory.
type entryLog struct {
	// first is the index of entries[0], or the next index if there are none.
	first uint64
	// prevTerm is the term of the entry before first.
	prevTerm model.Term
	entries  []proto.LogEntry
}

func newEntryLog(snapshotIndex uint64, snapshotTerm model.Term) entryLog {
	return entryLog{first: snapshotIndex + 1, prevTerm: snapshotTerm}
}

func (l *entryLog) last() uint64 { return l.first - 1 + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() model.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns false for an index before the log or after its end.
func (l *entryLog) term(index uint64) (model.Term, bool) {
	switch {
	case index+1 == l.first:
		return l.prevTerm, true
	case index < l.first || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.first].Term, true
	}
}

// from returns at most n entries from an index on. The result is not shared with the log.
func (l *entryLog) from(index uint64, n int) []proto.LogEntry {
	if index < l.first || index > l.last() {
		return nil
	}
	rest := l.entries[index-l.first:]
	return slices.Clone(rest[:min(n, len(rest))])
}

// batch returns at most n entries from an index on, and after the first one no
// more than have maxAppendBytes together. The result is not shared with the log.
func (l *entryLog) batch(index uint64, n int) []proto.LogEntry {
	entries := l.from(index, n)
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

func (l *entryLog) at(index uint64) proto.LogEntry { return l.entries[index-l.first] }

func (l *entryLog) append(e proto.LogEntry) { l.entries = append(l.entries, e) }

func (l *entryLog) truncateFrom(index uint64) { l.entries = l.entries[:index-l.first] }

// compact drops entries up to an index but keeps the newest of them, so that a
// follower that is a little behind needs no snapshot.
func (l *entryLog) compact(index uint64, keep uint64) {
	if index < l.first+keep {
		return
	}
	drop := index - keep - l.first + 1
	l.prevTerm = l.entries[drop-1].Term
	l.entries = slices.Clone(l.entries[drop:])
	l.first += drop
}
