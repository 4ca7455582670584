package pool

import (
	"math/bits"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// hostTrust tells whether the failures that an entry host reports are its own.
// A host that is cut off from the targets, perhaps in one direction only, fails
// at every target, while a failing target fails for every host.
type hostTrust struct {
	// inUse counts the slots that the host holds.
	inUse int
	// failed and late hold, by target number, the targets at which the host's
	// attempts failed or stay unfinished since it last reported a response.
	failed   uint64
	late     uint64
	answered model.Instant
}

const (
	// distrustTargets is the number of targets at which a host must fail
	// without any response before its reports are set aside.
	distrustTargets = 3
	// distrustSlots bounds the slots of such a host, so that its attempts that
	// hang until their deadlines do not use up the service.
	distrustSlots = 3
	// lateRatio and lateLeast define an unfinished attempt that counts as a failure.
	lateRatio = 5
	lateLeast = 100 * time.Millisecond
	// sameHostWeight is the weight of an error reported by the host that
	// reported the target's last one, where several hosts use the target.
	sameHostWeight = 0.1
	severalHosts   = 3
)

func (s *service) trust(host int32) *hostTrust {
	for int(host) >= len(s.hosts) {
		s.hosts = append(s.hosts, hostTrust{})
	}
	return &s.hosts[host]
}

func (h *hostTrust) distrusted() bool {
	return bits.OnesCount64(h.failed|h.late) >= distrustTargets
}

func (t *target) bit() uint64 { return 1 << (t.number % 64) }

// noteEnd records what an attempt says about the connection of its host.
func (h *hostTrust) noteEnd(now model.Instant, t *target, end model.AttemptEnd) {
	switch end {
	case model.AttemptOK, model.AttemptError, model.AttemptShed, model.AttemptInvalid:
		h.failed = 0
		h.late = 0
		h.answered = now
	case model.AttemptNotSent, model.AttemptBroken, model.AttemptTimeout:
		h.failed |= t.bit()
	case model.AttemptCanceled:
	}
}

// noteLate records the attempts that are unfinished for far longer than usual.
func (s *service) noteLate(now model.Instant) {
	for i := range s.hosts {
		s.hosts[i].late = 0
	}
	least := max(lateLeast, lateRatio*s.base.typical())
	for _, t := range s.targets {
		for _, l := range t.busy {
			h := s.trust(l.host)
			if !l.restored && now.Sub(l.start) > least && l.start > h.answered {
				h.late |= t.bit()
			}
		}
	}
}

// errorWeight returns how much a failed connection reported by a host counts
// against a target.
func (s *service) errorWeight(t *target, host int32) float64 {
	if s.trust(host).distrusted() {
		return 0
	}
	same := t.errorHost == host
	t.errorHost = host
	if same && t.givenTo >= severalHosts {
		return sameHostWeight
	}
	return 1
}
