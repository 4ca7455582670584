package lease

import (
	"hash/fnv"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxKeptRounds is the number of asks whose send time is kept. It covers the longest
// useful age of a reply, FreshnessDuration, at several asks per AskInterval.
const maxKeptRounds = 64

// rounds assigns a nonce to each ask and keeps when the latest asks were sent.
type rounds struct {
	// firstNonce differs between the runs of a host and between its cores, so that a
	// reply to an earlier run or to another core matches no ask of this one.
	firstNonce uint64
	count      uint64
	sent       [maxKeptRounds]model.Instant
}

func newRounds(core string, self model.HostID, run model.Incarnation) rounds {
	return rounds{firstNonce: mix(hashString(core) ^ mix(hashString(string(self))^mix(uint64(run))))}
}

// next returns the nonce of an ask that is sent now.
func (r *rounds) next(now model.Instant) uint64 {
	nonce := r.firstNonce + r.count
	r.sent[r.count%maxKeptRounds] = now
	r.count++
	return nonce
}

// sentAt returns when the ask with a nonce was sent, or false if this core did not send
// it or no longer keeps it.
func (r *rounds) sentAt(nonce uint64) (model.Instant, bool) {
	i := nonce - r.firstNonce
	if i >= r.count || r.count-i > maxKeptRounds {
		return 0, false
	}
	return r.sent[i%maxKeptRounds], true
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
