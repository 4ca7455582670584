package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// ownerSilenceTimeout is how long an owner may leave draws without an answer
	// before a host uses its local share. A draw is repeated twice in that time.
	ownerSilenceTimeout = 3 * resendInterval
	// shareWaitTimeout is how long a request waits for a token of the local share.
	shareWaitTimeout = 600 * time.Millisecond
	// maxShareRetryAfter bounds the Retry-After of a request for which the local
	// share had no token.
	maxShareRetryAfter = 500 * time.Millisecond
	// hostCountHoldTime is how long a lower number of entry hosts is ignored. The
	// hosts that left the list may be cut off and use their shares as long as
	// owners withhold them.
	hostCountHoldTime = absentHostTimeout
	// shareBurstFraction is the fraction of the burst that all local shares together
	// hold at any time. The rest covers hosts whose tokens become due together by chance.
	shareBurstFraction = 0.8
)

// share is the local share of a workspace's rate and burst that a host uses
// while no owner answers. It lets requests within the rate go on when all
// owners are lost for seconds or when the host is cut off from them.
//
// Each host gets one token per period of its shareSchedule, and the times
// differ between hosts. The period is such that all hosts together get the
// rate, and an unused token expires so early that all hosts together hold
// shareBurstFraction of the burst. A bucket of one token at each host would
// hold more than the burst of a small workspace.
//
// Tokens that were due while the owner answered are void. The owner granted the
// rate of that time itself, so a single late answer to each host would
// otherwise add a burst.
type share struct {
	// lastUsed is the number of the newest token that was used, if anyUsed is set.
	lastUsed int64
	anyUsed  bool
}

// hostCount is the number of entry hosts among which a bucket is divided.
type hostCount struct {
	n int
	// setAt is when n was last set or confirmed.
	setAt model.Instant
}

// update sets the number of entry hosts. A lower number than before is ignored
// during hostCountHoldTime.
func (c *hostCount) update(now model.Instant, n int) {
	if n >= c.n || now.Sub(c.setAt) > hostCountHoldTime {
		c.n, c.setAt = n, now
	}
}

// shareSchedule defines when the tokens of a local share are due. They are
// numbered from 0.
type shareSchedule struct {
	// period is the time between two tokens.
	period time.Duration
	// validity is how long a token may be used after it is due.
	validity time.Duration
	// firstAt is when token 0 is due.
	firstAt model.Instant
}

// newShareSchedule returns the schedule of one of several hosts. The phase,
// from 0 to 1, differs between hosts and spreads their tokens over a period.
func newShareSchedule(l model.Limits, hosts int, phase float64) shareSchedule {
	period := time.Duration(float64(hosts) / l.Rate * float64(time.Second))
	return shareSchedule{
		period:   period,
		validity: time.Duration(shareBurstFraction * l.Burst / l.Rate * float64(time.Second)),
		firstAt:  model.Instant(phase * float64(period)),
	}
}

// newestDue returns the number of the newest token that is due at an instant,
// or -1 if none is.
func (s shareSchedule) newestDue(at model.Instant) int64 {
	since := at.Sub(s.firstAt)
	if since < 0 {
		return -1
	}
	return int64(since / s.period)
}

// take uses the oldest token that is valid and became due after an instant. It
// reports whether there was one.
func (s *share) take(now, after model.Instant, schedule shareSchedule) bool {
	next := s.nextUsable(now, after, schedule)
	if next > schedule.newestDue(now) {
		return false
	}
	s.lastUsed, s.anyUsed = next, true
	return true
}

// nextUsable returns the number of the first token that may be used now or later,
// among those that became due after an instant.
func (s *share) nextUsable(now, after model.Instant, schedule shareSchedule) int64 {
	next := max(schedule.newestDue(now.Add(-schedule.validity)), schedule.newestDue(after)) + 1
	if s.anyUsed {
		next = max(next, s.lastUsed+1)
	}
	return next
}

// dueAt returns the instant at which a token is due.
func (s shareSchedule) dueAt(token int64) model.Instant {
	return s.firstAt.Add(time.Duration(token) * s.period)
}

// timeToNextToken returns the time until the next token is due.
func (s shareSchedule) timeToNextToken(now model.Instant) time.Duration {
	return s.dueAt(s.newestDue(now) + 1).Sub(now)
}

// shareScheduleOf returns the schedule of this host's share of a workspace.
func (l *Limiter) shareScheduleOf(p *tokenPool) shareSchedule {
	return newShareSchedule(l.cfg.LimitsFor(p.workspace), l.entryHosts.n, p.sharePhase)
}

// usesShare reports whether this host uses its local share of a workspace, as
// the shard has no owner or the owner does not answer.
func (l *Limiter) usesShare(now model.Instant, p *tokenPool) bool {
	if !l.sharesEnabled || l.entryHosts.n == 0 {
		return false
	}
	if l.owners[p.shard] == "" {
		return true
	}
	return p.unansweredSince != 0 && now.Sub(p.unansweredSince) >= ownerSilenceTimeout
}

// noOwnerSince returns since when no owner answers: since the first draw
// without an answer was sent or, if the shard lost its owner earlier, since then.
// It returns 0 if the shard never had an owner.
func (l *Limiter) noOwnerSince(p *tokenPool) model.Instant {
	since := l.ownerlessSince[p.shard]
	if l.owners[p.shard] != "" || p.unansweredSince != 0 && p.unansweredSince < since {
		return p.unansweredSince
	}
	return since
}

// admitFromShare admits waiting requests with the tokens of the local share.
func (l *Limiter) admitFromShare(now model.Instant, p *tokenPool) {
	n := 0
	schedule, after := l.shareScheduleOf(p), l.noOwnerSince(p)
	for n < len(p.waiting) && p.share.take(now, after, schedule) {
		l.effects = append(l.effects, Admitted{Request: p.waiting[n].request})
		delete(l.poolOfRequest, p.waiting[n].request)
		n++
	}
	p.waiting = append(p.waiting[:0], p.waiting[n:]...)
}

// waitedTooLongForShare reports whether a request that waits for the local
// share is to be refused.
func (l *Limiter) waitedTooLongForShare(now model.Instant, p *tokenPool, r waitingRequest) bool {
	wait := shareWaitTimeout
	if l.isSettling(now, p) {
		wait = settleWaitTimeout
	}
	return now >= r.deadline || now.Sub(r.arrivedAt) >= wait
}

// refuseWithoutShare refuses a request for which the local share had no token
// in time. Its Retry-After is short although the next token of this host may be
// due in many seconds: another host may reach the owner, and a lost owner is
// replaced in about a second.
func (l *Limiter) refuseWithoutShare(now model.Instant, p *tokenPool, id model.RequestID) {
	after := min(max(l.shareScheduleOf(p).timeToNextToken(now), tokenWaitTimeout), maxShareRetryAfter)
	l.effects = append(l.effects, Limited{Request: id, RetryAfter: after, NoOwner: true})
}
