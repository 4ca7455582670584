package order

import (
	"hash/fnv"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// JournalListDigest returns a digest of a list of journals, whatever their order.
// Majorities of two different lists need not have a journal in common, so a
// journal answers only hosts that have the same list.
func JournalListDigest(journals []model.HostID) uint64 {
	h := fnv.New64a()
	for _, id := range slices.Sorted(slices.Values(journals)) {
		_, _ = h.Write([]byte(id))
		_, _ = h.Write([]byte{0}) // host names contain no NUL
	}
	return h.Sum64()
}

// askerListDigest returns the digest of the sender's list of journals, and false
// if the message does not carry one.
func askerListDigest(msg proto.Message) (uint64, bool) {
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

// refuseListMismatch denies the vote to a host that has another list of journals
// and reports the host.
func (j *Journal) refuseListMismatch(ev Received) []Effect {
	return append(j.replyUnavailable(ev), JournalListMismatch{From: ev.From})
}
