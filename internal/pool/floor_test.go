package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// ejectRange tries to eject the targets from first up to, but not including, last.
// It returns how many of all targets are ejected.
func (h *ownerHarness) ejectRange(first, last int) int {
	s := h.owner.services[testService]
	for n := first; n < last; n++ {
		if t := s.targetByID[targetID(n)]; !t.ejected {
			h.owner.eject(h.now, s, finding{target: t, cause: model.CauseErrors, excess: 1}, "test", h.now)
		}
	}
	out := 0
	for _, t := range s.targets {
		if t.ejected {
			out++
		}
	}
	return out
}

// advance lets time pass while the targets from first up to, but not including,
// last announce themselves.
func (h *ownerHarness) advance(d time.Duration, first, last int) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(500 * time.Millisecond)
		for n := first; n < last; n++ {
			h.announce(n, 1, model.TargetReady)
		}
		h.step(Tick{})
	}
}

// TestFloorHoldsOverSettledTargets guards against a floor that counts targets which
// have just started. While the targets of a service are replaced one after the
// other, too many of the older targets could then be ejected: 5 of 13 targets got
// no request for 2 s.
func TestFloorHoldsOverSettledTargets(t *testing.T) {
	h := newOwnerHarness(t, 10)
	h.advance(8*time.Second, 0, 10)
	h.advance(time.Second, 0, 15)
	require.Equal(t, 3, h.ejectRange(0, 10), "3 of 10 settled ones, not 4 of 15")

	// Once the five new targets are settled, one of them may be ejected.
	h.advance(8*time.Second, 0, 15)
	require.LessOrEqual(t, h.ejectRange(0, 15), 4)
}

// TestFloorIsKeptWhenSettledTargetsLeave guards against targets that stay ejected
// after others left, although the remaining ones fall below the floor.
func TestFloorIsKeptWhenSettledTargetsLeave(t *testing.T) {
	h := newOwnerHarness(t, 10)
	h.advance(8*time.Second, 0, 10)
	require.Equal(t, 3, h.ejectRange(0, 3))
	for n := 6; n < 10; n++ {
		h.announce(n, 1, model.TargetDraining)
		h.announce(n+10, 1, model.TargetReady)
	}
	require.Equal(t, 1, h.ejectRange(0, 0), "1 of 6 settled ones")
}

// TestExtendedCooldownsAndEjectionsTogetherKeepTheFloor guards against extended
// cooldowns in addition to ejections, so that together more targets than the floor
// allows get no requests.
func TestExtendedCooldownsAndEjectionsTogetherKeepTheFloor(t *testing.T) {
	h := newOwnerHarness(t, 10)
	h.advance(8*time.Second, 0, 10)
	require.Equal(t, 2, h.ejectRange(0, 2))
	s := h.owner.services[testService]
	for n := 2; n < 6; n++ {
		s.targetByID[targetID(n)].failedAttempts, s.targetByID[targetID(n)].lastFailureAt = 3, h.now
	}
	s.extendCooldowns(h.now)
	extended := 0
	for _, x := range s.targets {
		if x.hasExtendedCooldown {
			extended++
		}
	}
	require.Equal(t, 1, extended)
}

// TestFloorHoldsOverTargetsThatDoNotFail guards against ejected targets that, once they
// have recovered, are too large a share of the targets without a fault. In a fleet of 102
// hosts, 4 of 13 such targets got nothing for 2 s while two others failed.
func TestFloorHoldsOverTargetsThatDoNotFail(t *testing.T) {
	l := newEpisodeLoad(t, 15, CautiousTuning())
	h := l.harness
	s := h.owner.service(h.now, testService)
	for _, target := range s.targets[:4] {
		target.ejected, target.ejectedUntil = true, h.now.Add(time.Minute)
	}
	h.owner.enforceFloor(h.now, s)
	require.Equal(t, 4, ejectedTargets(s), "11 of 15 targets are in use")
	for _, target := range s.targets[4:6] {
		target.failedAttempts, target.lastFailureAt, target.cooldownFrom = 2, h.now, h.now
	}
	h.owner.enforceFloor(h.now, s)
	require.Equal(t, 3, ejectedTargets(s), "10 of the 13 targets that do not fail are in use")
}

// TestEjectionThatTheFloorEndsDoesNotCount guards against an ejection that lasts twice as
// long since the floor had ended the one before it at once: 13 s instead of 6 s.
func TestEjectionThatTheFloorEndsDoesNotCount(t *testing.T) {
	l := newEpisodeLoad(t, 5, CautiousTuning())
	h := l.harness
	s := h.owner.services[testService]
	bad := s.targets[0]
	h.ejectRange(0, 1)
	for n := 1; n < 5; n++ {
		h.announce(n, 1, model.TargetDraining)
	}
	require.False(t, bad.ejected, "the floor ends the ejection")
	for n := 1; n < 5; n++ {
		h.announce(n, 2, model.TargetReady)
	}
	require.Equal(t, 1, h.ejectRange(0, 1))
	require.Less(t, bad.ejectedUntil.Sub(h.now), 3*CautiousTuning().BackoffBase/2)
}

// TestFailingTargetIsEjectedWithinTheFloor guards against a floor that keeps the only
// failing target in service because the target counts for neither side before it is
// ejected: of three targets one may be ejected with a floor of 0.6.
func TestFailingTargetIsEjectedWithinTheFloor(t *testing.T) {
	l := newEpisodeLoad(t, 3, CautiousTuning())
	s := l.harness.owner.service(l.harness.now, testService)
	s.floor = 0.6
	s.targets[0].failedAttempts = 3
	require.True(t, s.mayEject(l.harness.now, s.targets[0]))
	s.targets[0].ejected = true
	require.False(t, s.mayEject(l.harness.now, s.targets[1]))
}

func ejectedTargets(s *service) int {
	n := 0
	for _, t := range s.targets {
		if t.ejected {
			n++
		}
	}
	return n
}
