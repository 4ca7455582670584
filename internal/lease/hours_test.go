package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a fleet that stops serving, or shards that stop moving, while
// control is unavailable for hours. Every 20 s one host is restarted, frozen,
// drained or cut off in one direction, one seat at a time. All others must stay
// fresh throughout, and every shard must have an owner again before the next fault.
func TestServesForHoursWithoutControl(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4)
	w.runUntil(9 * time.Second)
	require.True(t, w.lead.propose(model.CreateWorkspace{Workspace: "first"}))
	w.runUntil(15 * time.Second)
	w.requireWhole()
	w.lead.up = false
	start, epochs := w.now, w.epochs
	served := 0
	for faults := 0; w.now < start+hoursWithoutControl; faults++ {
		h := w.hosts[faults%len(w.hosts)]
		w.disturb(h, faults)
		for end := w.now + 12*time.Second; w.now < end; {
			w.runUntil(w.now + time.Second)
			for _, o := range w.hosts {
				if o != h {
					require.Greater(t, o.fresh.FreshUntil(), o.local(w.now), "%v: %s is not fresh while %s is disturbed", w.now, o.id, h.id)
					served++
				}
			}
		}
		w.repair(h)
		w.runUntil(w.now + 8*time.Second)
		w.requireWhole()
	}
	gained := 0
	for s, epoch := range w.epochs {
		require.Greater(t, epoch, epochs[s], "shard %d kept its owner all the time", s)
		gained += w.gains[s]
	}
	t.Logf("%v without control: %d checks of other hosts were fresh, shards gained an owner %d times", w.now-start, served, gained)
}

// disturb injects one of four faults.
func (w *world) disturb(h *worldHost, n int) {
	switch n / len(w.hosts) % 4 {
	case 0:
		w.start(h)
	case 1:
		h.frozen = w.now + 6*time.Second
	case 2:
		h.drained = true
		w.step(h, h.claimer, Handover{})
		w.step(h, h.fresh, Handover{})
	default:
		w.block(h, n%2 == 0, n%2 == 1)
	}
}

func (w *world) repair(h *worldHost) {
	clear(w.blocked)
	if h.drained {
		w.start(h)
	}
}
