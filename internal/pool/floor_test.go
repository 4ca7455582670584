package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// ejectAll tries to eject targets and returns how many are out.
func (b *bed) ejectAll(first, last int) int {
	s := b.o.services[testService]
	for n := first; n < last; n++ {
		if t := s.byTarget[targetID(n)]; !t.ejected {
			b.o.eject(b.now, s, finding{target: t, cause: model.CauseErrors, excess: 1}, "test", b.now)
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

// settle lets time pass in which all targets from first on announce themselves.
func (b *bed) settle(d time.Duration, first, last int) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(500 * time.Millisecond)
		for n := first; n < last; n++ {
			b.announce(n, 1, model.TargetReady)
		}
		b.step(Tick{})
	}
}

// Guards against a service whose targets are replaced one after the other and
// of whose older targets more than the floor allows are out, since those that
// have just started count for it (grown Rodopi, trouble-1 --seed 139241499608:
// 5 of 13 targets got nothing for 2 s).
func TestFloorHoldsOverSettledTargets(t *testing.T) {
	b := newBed(t, 10)
	b.settle(8*time.Second, 0, 10)
	b.settle(time.Second, 0, 15)
	require.Equal(t, 3, b.ejectAll(0, 10), "3 of 10 settled ones, not 4 of 15")

	// The new ones settle; one of five may be out then.
	b.settle(8*time.Second, 0, 15)
	require.LessOrEqual(t, b.ejectAll(0, 15), 4)
}

// Guards against targets that were ejected before others left: the floor of
// those that remain is kept at once.
func TestFloorIsKeptWhenSettledTargetsLeave(t *testing.T) {
	b := newBed(t, 10)
	b.settle(8*time.Second, 0, 10)
	require.Equal(t, 3, b.ejectAll(0, 3))
	for n := 6; n < 10; n++ {
		b.announce(n, 1, model.TargetDraining)
		b.announce(n+10, 1, model.TargetReady)
	}
	require.Equal(t, 1, b.ejectAll(0, 0), "1 of 6 settled ones")
}

// Guards against targets that rest beside the ejected ones, so that together
// more than the floor allows get no requests.
func TestRestAndEjectionsTogetherKeepTheFloor(t *testing.T) {
	b := newBed(t, 10)
	b.settle(8*time.Second, 0, 10)
	require.Equal(t, 2, b.ejectAll(0, 2))
	s := b.o.services[testService]
	for n := 2; n < 6; n++ {
		s.byTarget[targetID(n)].failedTries, s.byTarget[targetID(n)].failedAt = 3, b.now
	}
	s.rest(b.now)
	resting := 0
	for _, x := range s.targets {
		if x.resting {
			resting++
		}
	}
	require.Equal(t, 1, resting)
}
