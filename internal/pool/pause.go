package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A target that turns a request away may ask the host that it answered to pause. It
// then gets no request from that host until the pause ends. Other hosts go on.

// hostPause is a pause that a target asked this host for.
type hostPause struct {
	incarnation model.Incarnation
	until       model.Instant
}

// recordPause keeps the pause that the answer to an attempt of this host asks for.
func (s *pickerService) recordPause(now model.Instant, a model.Attempt) {
	if a.Notice.Pause <= 0 {
		return
	}
	if s.pauses == nil {
		s.pauses = map[model.TargetID]hostPause{}
	}
	p := hostPause{incarnation: a.Incarnation, until: now.Add(a.Notice.Pause)}
	if old := s.pauses[a.Target]; old.incarnation == p.incarnation {
		p.until = max(p.until, old.until)
	}
	s.pauses[a.Target] = p
}

// pauseLeft returns how long this host sends a target no requests.
func (s *pickerService) pauseLeft(now model.Instant, id model.TargetID, inc model.Incarnation) time.Duration {
	p, ok := s.pauses[id]
	if !ok || p.incarnation != inc {
		return 0
	}
	return max(0, p.until.Sub(now))
}

// leastPause returns the shortest pause among the targets that are not excluded. It
// is 0 if one of them asked for none.
func (s *pickerService) leastPause(now model.Instant, usable []proto.TargetView, exclude []model.TargetID) time.Duration {
	least := time.Duration(0)
	for _, v := range usable {
		if slices.Contains(exclude, v.Target) {
			continue
		}
		left := s.pauseLeft(now, v.Target, v.Incarnation)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// recordPause keeps at the owner the pause that the target asked a host for.
func (t *target) recordPause(now model.Instant, host int32, a model.Attempt) {
	if a.Notice.Pause <= 0 || a.Incarnation != t.incarnation {
		return
	}
	if t.hostPauses == nil {
		t.hostPauses = map[int32]model.Instant{}
	}
	t.hostPauses[host] = max(t.hostPauses[host], now.Add(a.Notice.Pause))
}

// pauseLeft returns how long the target gets no requests of a host.
func (t *target) pauseLeft(now model.Instant, host int32) time.Duration {
	return max(0, t.hostPauses[host].Sub(now))
}

// hasPauses reports whether a target asked any host to pause. Queries then differ in
// the targets that they may be assigned to.
func (s *service) hasPauses() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return len(t.hostPauses) > 0 })
}

// pauseWait returns the time until a target takes a query of a host, if all targets
// that it may be sent to asked the host to pause, and 0 otherwise.
func (s *service) pauseWait(now model.Instant, host int32, exclude []model.TargetID) time.Duration {
	least, _ := s.leastWait(exclude, func(t *target) (time.Duration, bool) {
		left := t.pauseLeft(now, host)
		return left, left > 0
	})
	return least
}
