package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/warm"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A target in need names in its answers how many requests per second it takes from
// the whole fleet. Package warm divides that rate between the owner of the service and
// the hosts that decide without one.

const (
	// minNamedRate is the rate, in requests per second, at which a target is asked
	// that names a lower one. Its answer tells when it takes requests again.
	minNamedRate = 0.1
	// namedRateGrace is how long after a rate was named an answer without one is
	// ignored: it may have been sent before.
	namedRateGrace = time.Second
)

// namedRate is the rate that a target names, at the owner of its service. The zero
// value allows everything.
type namedRate struct {
	limited bool
	// named is the rate as the target names it. The bucket has the owner's share of it.
	named  float64
	bucket warm.Bucket
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
	perSecond := warm.OwnerShare * max(rate, minNamedRate)
	if r.limited {
		r.bucket = r.bucket.WithRate(now, perSecond)
	} else {
		r.bucket = warm.NewBucket(now, perSecond)
	}
	r.limited, r.named = true, rate
}

// allows reports whether the target takes a request now.
func (r *namedRate) allows(now model.Instant) bool { return !r.limited || r.bucket.Allows(now) }

// take counts a request that is assigned to the target.
func (r *namedRate) take(now model.Instant) {
	if r.limited {
		r.bucket.Take(now)
	}
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
