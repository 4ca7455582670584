package admin

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of wrong tokens from one source address. A token of 16 random bytes
// cannot be guessed at this rate; the bound keeps the log and the processor
// free, and protects tokens that were chosen badly.
const (
	// wrongPerSecond is how many wrong tokens a second are looked at.
	wrongPerSecond = 1
	// wrongBurst is how many are looked at before that.
	wrongBurst = 20
	// maxSources bounds the addresses remembered, about 100 bytes each.
	maxSources = 4096
	// forgetAmong is how many of them are compared to forget one. Comparing all
	// took 31 s for 4096 new addresses under the race detector.
	forgetAmong = 32
	// sourceBits6 groups IPv6 addresses, since one host has a whole /64 to draw from.
	sourceBits6 = 64
)

// failures bounds wrong tokens by source address. It is safe for concurrent use.
type failures struct {
	mu sync.Mutex
	// sources holds the addresses that presented a wrong token; one whose
	// limiter is full again may be forgotten.
	sources map[netip.Prefix]*rate.Limiter
}

func newFailures() *failures { return &failures{sources: map[netip.Prefix]*rate.Limiter{}} }

// try runs check unless the source has presented too many wrong tokens. A
// sound token costs nothing, but is not looked at either while the source is
// limited, since the answer would tell a guesser that it is sound. The lock is
// held meanwhile, so that concurrent guesses do not share one allowance.
func (f *failures) try(remote string, now time.Time, check func() bool) (sound, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	source := sourceOf(remote)
	limiter := f.sources[source]
	if limiter != nil && limiter.TokensAt(now) < 1 {
		return false, true
	}
	if check() {
		return true, false
	}
	if limiter == nil {
		limiter = rate.NewLimiter(wrongPerSecond, wrongBurst)
		f.makeRoom(now)
		f.sources[source] = limiter
	}
	limiter.AllowN(now, 1)
	return false, false
}

// makeRoom forgets, of a few sources in random order, the one that is closest to a full allowance.
func (f *failures) makeRoom(now time.Time) {
	if len(f.sources) < maxSources {
		return
	}
	var fullest netip.Prefix
	most, looked := -1.0, 0
	for source, limiter := range f.sources {
		if tokens := limiter.TokensAt(now); tokens > most {
			fullest, most = source, tokens
		}
		if looked++; looked == forgetAmong {
			break
		}
	}
	delete(f.sources, fullest)
}

// sourceOf returns the address of a connection without its port. Headers that
// name another address are ignored, since anyone can send them. Addresses that
// cannot be read share one allowance.
func sourceOf(remote string) netip.Prefix {
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Prefix{}
	}
	addr := ap.Addr().Unmap().WithZone("")
	bits := addr.BitLen()
	if addr.Is6() {
		bits = sourceBits6
	}
	return netip.PrefixFrom(addr, bits).Masked()
}
