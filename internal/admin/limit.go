package admin

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of wrong tokens by source address. A token of 16 random bytes cannot be
// guessed at any rate that a process serves; the limits keep guessers from
// filling the log and the processor, and protect weak tokens.
const (
	// wrongTokensPerSecond is how many wrong tokens a source may send per second.
	wrongTokensPerSecond = 1
	// wrongTokenBurst is how many wrong tokens a source may send at once.
	wrongTokenBurst = 20
	// maxSources is the largest number of tracked sources, about 100 bytes each.
	maxSources = 4096
	// evictionSample is how many sources are compared to choose the one to evict.
	// Comparing all of them took 31 s for 4096 new addresses under the race detector.
	evictionSample = 32
	// ipv6PrefixBits is the prefix length by which IPv6 addresses are grouped, since
	// a single host usually controls a whole /64.
	ipv6PrefixBits = 64
)

// wrongTokenLimiter limits the rate of wrong tokens by source address. It is safe for concurrent use.
type wrongTokenLimiter struct {
	mu sync.Mutex
	// sources holds a limiter for each source that has sent a wrong token. A
	// source whose limiter is full again can be evicted without effect.
	sources map[netip.Prefix]*rate.Limiter
}

func newWrongTokenLimiter() *wrongTokenLimiter {
	return &wrongTokenLimiter{sources: map[netip.Prefix]*rate.Limiter{}}
}

// checkToken calls check, which reports whether the token of a request is valid,
// unless the remote address has sent too many wrong tokens. A valid token does not
// count towards the limit. While the source is limited, a valid token is refused
// too, since accepting it would tell a guesser that it is valid. The lock is held
// during check, so that concurrent guesses cannot use the same allowance twice.
func (f *wrongTokenLimiter) checkToken(remote string, now time.Time, check func() bool) (valid, limited bool) {
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
		limiter = rate.NewLimiter(wrongTokensPerSecond, wrongTokenBurst)
		f.evictSource(now)
		f.sources[source] = limiter
	}
	limiter.AllowN(now, 1)
	return false, false
}

// evictSource removes a source if maxSources are tracked. It compares
// evictionSample random sources and removes the source whose limiter is closest to
// full, which has sent the fewest wrong tokens lately. The caller holds mu.
func (f *wrongTokenLimiter) evictSource(now time.Time) {
	if len(f.sources) < maxSources {
		return
	}
	var fullest netip.Prefix
	maxTokens, examined := -1.0, 0
	for source, limiter := range f.sources {
		if tokens := limiter.TokensAt(now); tokens > maxTokens {
			fullest, maxTokens = source, tokens
		}
		if examined++; examined == evictionSample {
			break
		}
	}
	delete(f.sources, fullest)
}

// sourceOf returns the prefix by which the remote address of a connection is
// limited: the whole IPv4 address or the /64 of an IPv6 address. Headers that
// name another address are ignored, since any client can send them. Remote
// addresses that cannot be parsed share the zero prefix.
func sourceOf(remote string) netip.Prefix {
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Prefix{}
	}
	addr := ap.Addr().Unmap().WithZone("")
	bits := addr.BitLen()
	if addr.Is6() {
		bits = ipv6PrefixBits
	}
	return netip.PrefixFrom(addr, bits).Masked()
}
