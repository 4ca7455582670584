package pool

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A target in need names in its answers how many requests per second it takes from
// the whole fleet. The owner of the service assigns within the first of these shares
// of that rate, and hosts that decide without an owner within the second one
// together, so that both keep the rate while some hosts hear the owner and others
// do not.
const (
	ownerRateShare = 0.8
	hostRateShare  = 1 - ownerRateShare
)

const (
	// namedRateBurstTime is the time for which requests are saved up for a target
	// that names a rate, one request at least.
	namedRateBurstTime = 100 * time.Millisecond
	// minNamedRate is the rate, in requests per second, at which a target is asked
	// that names a lower one. Its answer tells when it takes requests again.
	minNamedRate = 0.1
	// namedRateGrace is how long after a rate was named an answer without one is
	// ignored: it may have been sent before.
	namedRateGrace = time.Second
)

// namedRate is the rate that a target names, at the owner of its service. It is a
// token bucket; the zero value allows everything.
type namedRate struct {
	limited bool
	// named is the rate as the target names it, perSecond that of the bucket.
	named      float64
	perSecond  float64
	tokens     float64
	refilledAt model.Instant
	// namedAt is when an answer with the rate was last reported.
	namedAt model.Instant
}

// record takes over what an answer of the target says of its rate.
func (r *namedRate) record(now model.Instant, a model.Attempt) {
	switch {
	case a.Notice.Limited:
		r.set(now, a.Notice.Rate)
		r.namedAt = now
	case r.limited && a.End.HasAnswer() && now.Sub(r.namedAt) >= namedRateGrace:
		*r = namedRate{}
	}
}

// set limits the target to a rate from now on.
func (r *namedRate) set(now model.Instant, rate float64) {
	if r.limited {
		r.tokens = r.level(now)
	}
	r.limited, r.named, r.perSecond, r.refilledAt = true, rate, ownerRateShare*max(rate, minNamedRate), now
}

// level returns the number of requests saved up.
func (r *namedRate) level(now model.Instant) float64 {
	burst := max(1, r.perSecond*namedRateBurstTime.Seconds())
	return min(burst, r.tokens+r.perSecond*now.Sub(r.refilledAt).Seconds())
}

// allows reports whether the target takes a request now.
func (r *namedRate) allows(now model.Instant) bool { return !r.limited || r.level(now) >= 1 }

// take counts a request that is assigned to the target.
func (r *namedRate) take(now model.Instant) {
	if r.limited {
		r.tokens, r.refilledAt = r.level(now)-1, now
	}
}

// wait returns the time until the target takes the n-th request from now.
func (r *namedRate) wait(now model.Instant, n int) time.Duration {
	missing := max(0, float64(n)-r.level(now))
	return time.Duration(missing / r.perSecond * float64(time.Second))
}

// namedRateWait returns the time until a target takes a query that comes after those
// that wait, if all targets that it may be sent to name rates, and 0 otherwise.
func (s *service) namedRateWait(now model.Instant, exclude []model.TargetID) time.Duration {
	least := time.Duration(math.MaxInt64)
	limited := 0
	for _, t := range s.targets {
		if !t.usable() || slices.Contains(exclude, t.id) {
			continue
		}
		if !t.rate.limited {
			return 0
		}
		limited++
		least = min(least, t.rate.wait(now, 1))
	}
	if limited == 0 {
		return 0
	}
	return least + time.Duration(float64(s.waitingCount)/s.namedRateSum()*float64(time.Second))
}

// namedRateSum returns the sum of the rates of the usable targets that name one.
func (s *service) namedRateSum() float64 {
	sum := 0.0
	for _, t := range s.targets {
		if t.usable() && t.rate.limited {
			sum += t.rate.perSecond
		}
	}
	return max(sum, minNamedRate)
}

// rateListInterval is the time after which the rates are listed to a host again.
const rateListInterval = 20 * time.Second

// rateList says which list of the named rates a host got, and when.
type rateList struct {
	version  uint64
	listedAt model.Instant
}

// listRates adds the rates of all targets to a reply, if its host does not have them
// yet, so that it keeps to them also without an owner.
func (s *service) listRates(now model.Instant, host int32, m *proto.SlotReply) {
	for int(host) >= len(s.rateLists) {
		s.rateLists = append(s.rateLists, rateList{})
	}
	known := &s.rateLists[host]
	if known.version == s.rateVersion && (s.limitedTargets == 0 || now.Sub(known.listedAt) < rateListInterval) {
		return
	}
	*known = rateList{version: s.rateVersion, listedAt: now}
	m.ListsRates = true
	for _, t := range s.targets {
		if t.rate.limited {
			m.NamedRates = append(m.NamedRates, proto.NamedRate{Target: t.id, Incarnation: t.incarnation, Rate: t.rate.named})
		}
	}
}

// countRates counts the targets that name a rate, and notes whether any rate changed.
func (s *service) countRates(before namedRate, t *target) {
	if before.limited == t.rate.limited && before.named == t.rate.named {
		return
	}
	s.rateVersion++
	if before.limited {
		s.limitedTargets--
	}
	if t.rate.limited {
		s.limitedTargets++
	}
}

// liftRate ends the limit of a target.
func (s *service) liftRate(t *target) {
	before := t.rate
	t.rate = namedRate{}
	s.countRates(before, t)
}

// restoreRates takes over the rates that a host learned from targets, for which this
// owner may not have an answer yet.
func (o *Owner) restoreRates(now model.Instant, s *service, list []proto.NamedRate) {
	for _, n := range list {
		t := s.targetOrPlaceholder(now, n.Target)
		if t.announced() && t.incarnation != n.Incarnation || t.rate.limited {
			continue
		}
		before := t.rate
		t.rate.set(now, n.Rate)
		s.countRates(before, t)
		t.rateIncarnation = n.Incarnation
		t.rate.namedAt = now
	}
}
