package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against hosts that lose their freshness, or shards that stay without an
// owner, while control is unavailable for hours. Every 20 s one host is restarted,
// frozen, drained or cut off in one direction, so that at most one seat fails at a
// time. All other hosts must stay fresh throughout, and every shard must have an
// owner again before the next fault.
func TestServesForHoursWithoutControl(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4)
	w.runUntil(9 * time.Second)
	require.True(t, w.leader.propose(model.CreateWorkspace{Workspace: "first"}))
	w.runUntil(15 * time.Second)
	w.requireRecovered()
	w.leader.up = false
	start, epochs := w.now, w.lastEpochs
	served := 0
	for faults := 0; w.now < start+hoursWithoutControl; faults++ {
		h := w.hosts[faults%len(w.hosts)]
		w.injectHostFault(h, faults)
		for end := w.now + 12*time.Second; w.now < end; {
			w.runUntil(w.now + time.Second)
			for _, o := range w.hosts {
				if o != h {
					require.Greater(t, o.fresh.FreshUntil(), o.localTime(w.now), "%v: %s is not fresh while %s is disturbed", w.now, o.id, h.id)
					served++
				}
			}
		}
		w.repairFault(h)
		w.runUntil(w.now + 8*time.Second)
		w.requireRecovered()
	}
	gained := 0
	for s, epoch := range w.lastEpochs {
		require.Greater(t, epoch, epochs[s], "shard %d kept its owner all the time", s)
		gained += w.gainCounts[s]
	}
	t.Logf("%v without control: %d checks of other hosts were fresh, shards gained an owner %d times", w.now-start, served, gained)
}

// injectHostFault causes one of four faults on a host: a restart, a freeze, a drain or
// blocked links in one direction. The fault depends on n.
func (w *world) injectHostFault(h *worldHost, n int) {
	switch n / len(w.hosts) % 4 {
	case 0:
		w.start(h)
	case 1:
		h.frozenUntil = w.now + 6*time.Second
	case 2:
		h.drained = true
		w.step(h, h.claimer, Handover{})
		w.step(h, h.fresh, Handover{})
	default:
		w.blockLinks(h, n%2 == 0, n%2 == 1)
	}
}

// repairFault ends the fault of injectHostFault. A frozen host resumes by itself.
func (w *world) repairFault(h *worldHost) {
	clear(w.blocked)
	if h.drained {
		w.start(h)
	}
}
