package pool

import (
	"math/bits"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// hostConnectivity holds the evidence on whether the failures that an entry host
// reports are caused by its own connection. A host that is cut off from the targets, perhaps in one
// direction only, fails at every target, while a failing target fails for every
// host.
type hostConnectivity struct {
	// slotsInUse counts the slots that the host holds.
	slotsInUse int
	// failedTargets and lateTargets are bit sets, by target number, of the targets
	// at which the host's attempts failed or are late since the host last reported
	// a response.
	failedTargets uint64
	lateTargets   uint64
	// lastResponseAt is when the host last reported a response, or 0.
	lastResponseAt model.Instant
}

const (
	// minCutOffTargets is the number of targets at which a host must fail without
	// any response before its reports are ignored.
	minCutOffTargets = 3
	// maxCutOffSlots bounds the slots of a host that is cut off, so that its
	// attempts, which hang until their deadlines, do not use up the service.
	maxCutOffSlots = 3
	// lateLatencyFactor and minLateTime define a late attempt, which counts as
	// failed: it is unfinished after this multiple of the median latency and after
	// this time.
	lateLatencyFactor = 5
	minLateTime       = 100 * time.Millisecond
	// sameHostWeight is the weight of an error reported by the host that also
	// reported the target's previous error, if at least minSeveralHosts hosts use
	// the target.
	sameHostWeight  = 0.1
	minSeveralHosts = 3
)

// connectivity returns the state of an entry host at this service.
func (s *service) connectivity(host int32) *hostConnectivity {
	for int(host) >= len(s.hosts) {
		s.hosts = append(s.hosts, hostConnectivity{})
	}
	return &s.hosts[host]
}

// isCutOff reports whether the host is taken to have lost its own connection.
func (h *hostConnectivity) isCutOff() bool {
	return bits.OnesCount64(h.failedTargets|h.lateTargets) >= minCutOffTargets
}

// bit returns the bit of the target in the sets of hostConnectivity. Targets whose
// numbers differ by a multiple of 64 share a bit.
func (t *target) bit() uint64 { return 1 << (t.number % 64) }

// recordEnd updates the host's failed targets by the end of an attempt.
func (h *hostConnectivity) recordEnd(now model.Instant, t *target, end model.AttemptEnd) {
	switch end {
	case model.AttemptOK, model.AttemptError, model.AttemptShed, model.AttemptInvalid:
		h.failedTargets = 0
		h.lateTargets = 0
		h.lastResponseAt = now
	case model.AttemptNotSent, model.AttemptBroken, model.AttemptTimeout:
		h.failedTargets |= t.bit()
	case model.AttemptCanceled:
	}
}

// updateLateTargets finds the attempts of each host that are unfinished for much longer than usual.
func (s *service) updateLateTargets(now model.Instant) {
	for i := range s.hosts {
		s.hosts[i].lateTargets = 0
	}
	minAge := max(minLateTime, lateLatencyFactor*s.base.medianLatency())
	for _, t := range s.targets {
		for _, l := range t.busySlots {
			h := s.connectivity(l.host)
			if !l.restored && now.Sub(l.startedAt) > minAge && l.startedAt > h.lastResponseAt {
				h.lateTargets |= t.bit()
			}
		}
	}
}

// errorWeight returns the weight with which a failed connection that the host
// reported counts against the target.
func (s *service) errorWeight(t *target, host int32) float64 {
	if s.connectivity(host).isCutOff() {
		return 0
	}
	same := t.lastErrorHost == host
	t.lastErrorHost = host
	if same && t.hostCount >= minSeveralHosts {
		return sameHostWeight
	}
	return 1
}
