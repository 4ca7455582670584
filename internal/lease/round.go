package lease

import (
	"hash/fnv"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// keptRounds covers the longest useful age of a reply, Fresh, at several asks per interval.
const keptRounds = 64

// rounds numbers asks and remembers when they were sent.
type rounds struct {
	// base differs between the runs of a host and between its cores, so that a
	// reply to an earlier run or to another core matches no round of this one.
	base  uint64
	count uint64
	sent  [keptRounds]model.Instant
}

func newRounds(core string, self model.HostID, run model.Incarnation) rounds {
	return rounds{base: mix(hashString(core) ^ mix(hashString(string(self))^mix(uint64(run))))}
}

func (r *rounds) next(now model.Instant) uint64 {
	nonce := r.base + r.count
	r.sent[r.count%keptRounds] = now
	r.count++
	return nonce
}

func (r *rounds) sentAt(nonce uint64) (model.Instant, bool) {
	i := nonce - r.base
	if i >= r.count || r.count-i > keptRounds {
		return 0, false
	}
	return r.sent[i%keptRounds], true
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
