package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// silence is how long an owner may leave draws without an answer before a
	// host uses its own share: two repeats of a draw.
	silence = 3 * resendAfter
	// shareWait is how long a request waits for a token of the host's own share.
	shareWait = 600 * time.Millisecond
	// shareReturn is the greatest Retry-After of a request that found no token of the share.
	shareReturn = 500 * time.Millisecond
	// hostsMemory is how long the number of hosts may only grow: a host that is
	// cut off with some others sees fewer.
	hostsMemory = 10 * time.Second
	// shareBurst is the part of the burst that all shares together hold at any
	// time. The rest covers hosts whose tokens happen to become due together.
	shareBurst = 0.8
)

// share is a host's own part of a workspace's rate and burst, used while no
// owner answers. Each host gets a token at regular times that differ between
// hosts, so often that all hosts together get the rate, and a token ends unused
// after so long that all hosts together hold a part of the burst. A bucket of
// one token at each host would hold more than the burst of a small workspace.
// Tokens that were due while the owner answered are void: the owner granted the
// rate of that time, so with them one late answer to each host would add a burst.
//
// It answers the load of a fleet whose owners are all lost for seconds, or of a
// host that is cut off from them, so that requests within the rate go on.
type share struct {
	// used is the number of the newest token that was used.
	used int64
	some bool
}

// hostCount is the number of entry hosts that divide a bucket.
type hostCount struct {
	n  int
	at model.Instant
}

func (c *hostCount) note(now model.Instant, n int) {
	if n >= c.n || now.Sub(c.at) > hostsMemory {
		c.n, c.at = n, now
	}
}

// shareTimes are the times of the tokens of one host.
type shareTimes struct {
	period time.Duration
	// valid is how long a token may be used.
	valid time.Duration
	// first is when the token with the number 0 is due.
	first model.Instant
}

// timesOf spreads the tokens of the hosts by a chance from 0 to 1 that differs between them.
func timesOf(l model.Limits, hosts int, chance float64) shareTimes {
	period := time.Duration(float64(hosts) / l.Rate * float64(time.Second))
	return shareTimes{
		period: period,
		valid:  time.Duration(shareBurst * l.Burst / l.Rate * float64(time.Second)),
		first:  model.Instant(chance * float64(period)),
	}
}

// newest returns the number of the newest token that is due at an instant.
func (t shareTimes) newest(at model.Instant) int64 {
	since := at.Sub(t.first)
	if since < 0 {
		return -1
	}
	return int64(since / t.period)
}

// take uses the oldest token that is still valid and was due after an instant.
func (s *share) take(now, after model.Instant, t shareTimes) bool {
	next := max(t.newest(now.Add(-t.valid)), t.newest(after)) + 1
	if s.some {
		next = max(next, s.used+1)
	}
	if next > t.newest(now) {
		return false
	}
	s.used, s.some = next, true
	return true
}

// wait returns how long it takes until the next token is due.
func (t shareTimes) wait(now model.Instant) time.Duration {
	return t.first.Add(time.Duration(t.newest(now)+1) * t.period).Sub(now)
}

// times returns the times of this host's tokens of a workspace.
func (w *Limiter) times(p *purse) shareTimes {
	return timesOf(w.cfg.LimitsFor(p.workspace), w.hosts.n, p.chance)
}

// orphaned reports whether a host uses its own share of a workspace: its shard
// has no owner, or the owner does not answer.
func (w *Limiter) orphaned(now model.Instant, p *purse) bool {
	if !w.shares || w.hosts.n == 0 {
		return false
	}
	if w.owners[p.shard] == "" {
		return true
	}
	return p.silentSince != 0 && now.Sub(p.silentSince) >= silence
}

// lostOwner returns since when no owner has answered: since the first draw
// without an answer, or since the shard has no owner.
func (w *Limiter) lostOwner(p *purse) model.Instant {
	since := w.ownerless[p.shard]
	if w.owners[p.shard] != "" || p.silentSince != 0 && p.silentSince < since {
		return p.silentSince
	}
	return since
}

// serveShare admits waiting requests from the host's own share.
func (w *Limiter) serveShare(now model.Instant, p *purse) {
	n := 0
	times, after := w.times(p), w.lostOwner(p)
	for n < len(p.waiting) && p.share.take(now, after, times) {
		w.out = append(w.out, Admitted{Request: p.waiting[n].request})
		delete(w.waiting, p.waiting[n].request)
		n++
	}
	p.waiting = append(p.waiting[:0], p.waiting[n:]...)
}

// shareTooLate reports whether a request has waited long enough for the share.
func (w *Limiter) shareTooLate(now model.Instant, p *purse, x waiter) bool {
	wait := shareWait
	if w.settling(now, p) {
		wait = settleWait
	}
	return now >= x.deadline || now.Sub(x.arrived) >= wait
}

// refuseShare refuses a request for which the share had no token in time. The
// next token of this host may be due in many seconds, but another host may reach
// the owner, and a lost owner is replaced in about a second.
func (w *Limiter) refuseShare(now model.Instant, p *purse, id model.RequestID) {
	after := min(max(w.times(p).wait(now), rateWait), shareReturn)
	w.out = append(w.out, Limited{Request: id, RetryAfter: after, NoOwner: true})
}
