package warm

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxTurnAge is how long a host may use its turn at a target. Unused turns expire,
	// so that the hosts do not use many of them at once.
	maxTurnAge = time.Second
	// maxTurnInterval bounds the time between two turns, for rates close to 0.
	maxTurnInterval = 24 * time.Hour
)

// Turn is the next moment at which one host may send a request to a target without
// the owner. The turns of all hosts follow each other at random and make up the rate
// together. The zero value has to be drawn.
type Turn struct {
	at model.Instant
	// drawnAt is when the turn was drawn, or 0. interval is the interval of that draw.
	drawnAt  model.Instant
	interval time.Duration
}

// TurnInterval returns the time between the turns of one of the hosts at a target, or
// false if it has none.
func TurnInterval(hosts int, perSecond float64) (time.Duration, bool) {
	if hosts == 0 || perSecond <= 0 {
		return 0, false
	}
	interval := float64(hosts) / (HostShare * perSecond) * float64(time.Second)
	return time.Duration(min(max(interval, 1), float64(maxTurnInterval))), true
}

// IsDue reports whether the host may use its turn. A turn that was drawn before
// answeredAt, when the owner last answered, is drawn anew by random, which returns a
// number from 0 to 1; so is one that was drawn for another interval.
func (t *Turn) IsDue(now, answeredAt model.Instant, interval time.Duration, random func() float64) bool {
	if t.drawnAt == 0 || t.drawnAt < answeredAt || t.interval != interval {
		t.drawnAt, t.interval, t.at = now, interval, now.Add(time.Duration(random()*float64(interval)))
	}
	if late := now.Sub(t.at); late > min(interval, maxTurnAge) {
		t.at = t.at.Add(late - late%interval + interval)
	}
	return now >= t.at
}

// Take uses the turn.
func (t *Turn) Take(now model.Instant, interval time.Duration) {
	t.at = max(t.at, now).Add(interval)
}
