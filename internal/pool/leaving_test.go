package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

func TestHostsSendNothingToTargetsThatToldThemThatTheyLeave(t *testing.T) {
	l := newFleetLoad(12, 8)
	l.run(60, 3*time.Second)
	// The targets go on announcing themselves as ready.
	l.leaving = map[model.TargetID]bool{"t0": true, "t1": true}
	requireNone := func(when string) {
		t.Helper()
		for id := range l.leaving {
			require.Zero(t, l.mostArrived(id, time.Second), when)
		}
	}
	l.run(60, 5*time.Second)
	require.NotEmpty(t, l.toldAt)
	requireNone("with an owner")
	for _, h := range l.hosts {
		l.toldAt[toldHost{h, "t0"}], l.toldAt[toldHost{h, "t1"}] = l.now, l.now
	}
	l.run(60, 5*time.Second)
	requireNone("one host knows it for all")
	l.owner = nil
	clear(l.toldAt)
	l.run(60, 8*time.Second)
	requireNone("without an owner")
	for range 5 {
		l.startOwner()
		l.run(60, 800*time.Millisecond)
	}
	requireNone("with new owners")
}

func TestServiceWhoseTargetsAllLeaveRefusesAtOnce(t *testing.T) {
	l := newFleetLoad(12, 8)
	l.objective = time.Second
	l.run(60, 3*time.Second)
	l.leaving = map[model.TargetID]bool{}
	for _, a := range l.targets {
		l.leaving[a.Target] = true
	}
	l.run(60, 2*time.Second)
	l.waits = nil
	l.run(60, 2*time.Second)
	require.Len(t, l.waits, 120)
	for _, w := range l.waits {
		require.Zero(t, w)
	}
}
