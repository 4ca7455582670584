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
	// shareMemory is how long the use of a share is remembered after an owner answered.
	shareMemory = 10 * time.Second
	// hostsMemory is how long the number of hosts may only grow: a host that is
	// cut off with some others sees fewer.
	hostsMemory = 10 * time.Second
	// firstShare is the part of its bucket that a share begins with. The lost
	// owner may have granted the burst just before.
	firstShare = 0.5
)

// share is a host's own part of a workspace's rate and burst, used while no
// owner answers: the bucket divided by the number of entry hosts. All shares
// together admit what one bucket admits.
//
// It answers the load of a fleet whose owners are all lost for seconds, or of a
// host that is cut off from them, so that requests within the rate go on.
type share struct {
	// began is set while or shortly after the share was used.
	began  bool
	tokens float64
	at     model.Instant
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

// take uses a token of the share if it has one. The chance decides whether the
// part of a token that a share begins with counts as a whole one, so that the
// shares of all hosts together begin with firstShare of the burst.
func (s *share) take(now model.Instant, l model.Limits, hosts int, chance float64) bool {
	capacity := max(1, l.Burst/float64(hosts))
	if !s.began || now.Sub(s.at) > shareMemory {
		first := firstShare * l.Burst / float64(hosts)
		whole := float64(int(first))
		if chance < first-whole {
			whole++
		}
		*s = share{began: true, tokens: whole, at: now}
	}
	s.tokens = min(capacity, s.tokens+l.Rate/float64(hosts)*now.Sub(s.at).Seconds())
	s.at = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// wait returns how long it takes until the share has a token.
func (s *share) wait(l model.Limits, hosts int) time.Duration {
	missing := max(0, 1-s.tokens)
	return time.Duration(missing * float64(hosts) / l.Rate * float64(time.Second))
}

// orphaned reports whether a host uses its own share of a workspace: its shard
// has no owner, or the owner does not answer.
func (w *Wallet) orphaned(now model.Instant, p *purse) bool {
	if !w.shares || w.hosts.n == 0 {
		return false
	}
	if w.owners[p.shard] == "" {
		return true
	}
	return p.silentSince != 0 && now.Sub(p.silentSince) >= silence
}

// serveShare admits waiting requests from the host's own share.
func (w *Wallet) serveShare(now model.Instant, p *purse) {
	n := 0
	for n < len(p.waiting) && p.share.take(now, w.cfg.LimitsFor(p.workspace), w.hosts.n, p.chance) {
		w.out = append(w.out, Admitted{Request: p.waiting[n].request})
		delete(w.waiting, p.waiting[n].request)
		n++
	}
	p.waiting = append(p.waiting[:0], p.waiting[n:]...)
}

// shareTooLate reports whether a request has waited long enough for the share.
func shareTooLate(now model.Instant, x waiter) bool {
	return now >= x.deadline || now.Sub(x.arrived) >= shareWait
}

// refuseShare refuses a request for which the share had no token in time.
func (w *Wallet) refuseShare(p *purse, id model.RequestID) {
	after := max(p.share.wait(w.cfg.LimitsFor(p.workspace), w.hosts.n), rateWait)
	w.out = append(w.out, Limited{Request: id, RetryAfter: after, NoOwner: true})
}
