package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Targets that go on failing. A target in a long episode is tried by one
// request each time its doubt ends, and a request that must not be repeated is
// lost to each try. The wait doubles with each try that fails, for a bounded
// part of the targets of a service: the others are tried as soon as before, so
// that the sound ones among them carry load.
//
// It answers the load of a service of which some targets fail most requests for
// many seconds while their health checks succeed.

const (
	// restShare bounds the part of a service's ready targets that rest at a time.
	// The users' rules ask that 0.7 of the sound targets get requests within 2 s.
	restShare = 0.2
	// restFailing is the share of requests that targets fail at which none rests.
	// The users' floor holds while more than a tenth of a service's requests is not
	// served, and counts only targets that nothing disturbs, which may be few.
	restFailing = 0.08
	// restHalfLife is that of the counts behind this share.
	restHalfLife = time.Second
	// restSteps bounds the doublings of the wait: 1.8 s becomes 7.2 s.
	restSteps = 2
	// restMemory is how long after its last failure a target's earlier ones count.
	restMemory = 20 * time.Second
	// restStep is how many failed tries one success takes back.
	restStep = 2
)

// lately counts the requests of a service that ended, and those that their
// targets failed, with less weight the longer ago.
type lately struct {
	ended  float64
	failed float64
	at     model.Instant
}

// note counts the end of an attempt. Final is set if the request failed with it.
func (l *lately) note(now model.Instant, final, failed bool) {
	weight := math.Exp2(-now.Sub(l.at).Seconds() / restHalfLife.Seconds())
	l.ended, l.failed, l.at = l.ended*weight, l.failed*weight, now
	if !failed {
		l.ended++
	} else if final {
		l.ended++
		l.failed++
	}
}

// failing reports whether too many requests fail for a target to rest.
func (l *lately) failing() bool { return l.failed > restFailing*max(1, l.ended) }

// noteTry counts a failed or successful attempt that began after the last failure.
func (t *target) noteTry(now, began model.Instant, failed bool) {
	switch {
	case t.doubtedAt != 0 && began <= t.doubtedAt:
		// It was under way when the failure was reported.
	case !failed:
		t.failedTries = max(0, t.failedTries-restStep)
	case now.Sub(t.failedAt) > restMemory:
		t.failedTries = 1
	default:
		t.failedTries++
	}
	if failed {
		t.failedAt = now
	}
}

// restWait lengthens the time for which a target is doubted while it rests.
func (t *target) restWait(wait time.Duration) time.Duration {
	if !t.resting {
		return wait
	}
	return wait << min(t.failedTries-1, restSteps)
}

// rest chooses the targets that are tried less often: those with the most
// failed tries in a row.
func (s *service) rest(now model.Instant) {
	ready := 0
	candidates := s.restScratch[:0]
	for _, t := range s.targets {
		t.resting = false
		if t.ready() {
			ready++
		}
		if now.Sub(t.failedAt) > restMemory {
			t.failedTries = 0
		}
		if t.failedTries > 1 && t.ready() {
			candidates = append(candidates, t)
		}
	}
	s.restScratch = candidates
	most := min(int(restShare*float64(ready)), s.spare(now))
	if s.lately.failing() {
		most = 0
	}
	if len(candidates) > most {
		slices.SortStableFunc(candidates, func(a, b *target) int {
			return cmp.Or(cmp.Compare(b.failedTries, a.failedTries), cmp.Compare(b.failedAt, a.failedAt))
		})
		candidates = candidates[:most]
	}
	for _, t := range candidates {
		t.resting = true
	}
}
