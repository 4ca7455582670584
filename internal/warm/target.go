package warm

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Source tells from where it is known that a target is cold.
type Source int

// Sources, in ascending order of what they are worth.
const (
	// SourceNone means that the target is not cold.
	SourceNone Source = iota
	// SourceAssumed means that nothing is known of a target that has just started.
	SourceAssumed
	// SourceList is the list of known targets, which holds no remaining time.
	SourceList
	// SourceHeartbeat is a heartbeat of the target, which may arrive seconds late.
	SourceHeartbeat
	// SourceAnswer is an answer of the target to a request or a health check.
	SourceAnswer
)

// Target holds, at the owner of its service, until when one target is cold and how
// many requests it takes meanwhile. The zero value is a warm target without a rate.
type Target struct {
	// source is SourceNone while the target is warm. until ends the cold time, which
	// lasts until Tick has seen that.
	source Source
	until  model.Instant
	// warmAt is when the last cold time ended, or 0.
	warmAt model.Instant
	// isListed is set if the list said last that the target is cold, or will say so.
	isListed bool
	// isKnown is set once the target or the list said whether the target is cold.
	isKnown bool
	// rate is the warm-up rate of the service, or 0 without a bound. bucket has the
	// owner's share of it.
	rate   float64
	bucket Bucket
}

// Restarted returns the state of the target after a start of its process, of which
// nothing is known.
func (t *Target) Restarted() Target { return Target{rate: t.rate} }

// SetRate sets the warm-up rate of the service, which applies at once.
func (t *Target) SetRate(now model.Instant, rate float64) {
	if rate == t.rate {
		return
	}
	t.rate = rate
	t.bucket = t.bucket.WithRate(now, OwnerShare*rate)
}

// Report takes over how much longer the target says that it is cold; 0 says that it
// is warm. A heartbeat does not end a cold time of which an answer told, since it may
// have been sent before.
func (t *Target) Report(now model.Instant, remaining time.Duration, source Source) {
	t.isKnown = true
	if remaining > 0 {
		t.isListed = true
		t.begin(now, now.Add(min(remaining, MaxRemaining)), source)
		return
	}
	t.isListed = false
	if source >= SourceAnswer || t.source < SourceAnswer {
		t.end(now)
	}
}

// Listing is what the list of known targets says of a target.
type Listing struct {
	Cold bool
	// Age is the time since the list first heard of this run of the target.
	Age time.Duration
	// ColdStart is how long targets of the service are cold after their start.
	ColdStart time.Duration
}

// List takes over what the list says. A target that has just become cold there is
// cold for ColdStart, as the list holds no remaining time. A repeated message, or one
// that contradicts the target itself, changes nothing. A target that started less
// than ColdStart ago and of which nothing else is known is taken as cold, if there is
// a warm-up rate: the list may not have heard of it yet.
func (t *Target) List(now model.Instant, l Listing) {
	wasListed, wasKnown := t.isListed, t.isKnown
	t.isListed, t.isKnown = l.Cold, true
	switch {
	case l.Cold && !wasListed && t.source == SourceNone && l.ColdStart > 0:
		t.begin(now, now.Add(l.ColdStart), SourceList)
	case !l.Cold && t.source == SourceList:
		t.end(now)
	case !l.Cold && !wasKnown && t.rate > 0 && l.Age < l.ColdStart:
		t.begin(now, now.Add(l.ColdStart-l.Age), SourceAssumed)
	}
}

// begin starts a cold time, without requests saved up, or changes the end of the
// present one.
func (t *Target) begin(now, until model.Instant, source Source) {
	if t.source == SourceNone {
		t.bucket = NewBucket(now, OwnerShare*t.rate)
	}
	t.source, t.until = source, until
}

func (t *Target) end(now model.Instant) {
	if t.source != SourceNone {
		t.source, t.warmAt = SourceNone, now
	}
}

// Tick ends the cold time when it has passed.
func (t *Target) Tick(now model.Instant) {
	if now >= t.until {
		t.end(now)
	}
}

// IsCold reports whether the target is cold.
func (t *Target) IsCold() bool { return t.source != SourceNone }

// IsAssumed reports whether the target is only assumed to be cold.
func (t *Target) IsAssumed() bool { return t.source == SourceAssumed }

// IsBounded reports whether the target takes requests only at the warm-up rate.
func (t *Target) IsBounded() bool { return t.IsCold() && t.rate > 0 }

// Remaining returns how much longer the target is cold.
func (t *Target) Remaining(now model.Instant) time.Duration {
	if !t.IsCold() {
		return 0
	}
	return max(0, t.until.Sub(now))
}

// RanCold reports whether an attempt that began at the given instant ran on a cold
// target, at least for a part of its time. Its latency says nothing of the target.
func (t *Target) RanCold(began model.Instant) bool { return t.IsCold() || began < t.warmAt }

// Allows reports whether the target takes a request now.
func (t *Target) Allows(now model.Instant) bool { return !t.IsBounded() || t.bucket.Allows(now) }

// Take counts a request that is assigned to the target.
func (t *Target) Take(now model.Instant) {
	if t.IsBounded() {
		t.bucket.Take(now)
	}
}

// Wait returns the time until the target takes a request, and PerSecond the rate at
// which it takes them, while it IsBounded.
func (t *Target) Wait(now model.Instant) time.Duration { return t.bucket.Wait(now, 1) }

// PerSecond returns the owner's share of the warm-up rate.
func (t *Target) PerSecond() float64 { return t.bucket.PerSecond() }
