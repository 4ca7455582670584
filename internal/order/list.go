package order

import (
	"hash/fnv"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// JournalListDigest identifies a list of journals in any order. Majorities of two
// lists need not have a journal in common, so a journal answers only askers
// that have its own list.
func JournalListDigest(journals []model.HostID) uint64 {
	h := fnv.New64a()
	for _, id := range slices.Sorted(slices.Values(journals)) {
		_, _ = h.Write([]byte(id))
		_, _ = h.Write([]byte{0}) // host names contain no NUL
	}
	return h.Sum64()
}

// listOf returns the digest of the asker's list of journals.
func listOf(msg proto.Message) (uint64, bool) {
	switch m := msg.(type) {
	case proto.ReserveAsk:
		return m.JournalsDigest, true
	case proto.JournalCopyAsk:
		return m.JournalsDigest, true
	case proto.JournalFormAsk:
		return m.JournalsDigest, true
	default:
		return 0, false
	}
}

// refuseList answers an asker with another list of journals.
func (j *Journal) refuseList(ev Received) []Effect {
	return append(j.unavailable(ev), JournalListMismatch{From: ev.From})
}
