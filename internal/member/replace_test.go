package member

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// catchUp is how long a host counts as lost after its start or return. A host
	// that was removed counts until its successor has run for that time.
	catchUp = 4 * time.Second
	// maxLost is the number of control hosts that may be lost at the same time.
	maxLost = 2
	// forever is later than the end of any schedule.
	forever = model.Instant(time.Hour)
)

// replacements plays replacements, freezes, cuts, restarts and lost disks of control
// hosts, as long as at most maxLost hosts are lost.
type replacements struct {
	*world
	// lostUntil holds until when a host counts as lost.
	lostUntil map[model.HostID]model.Instant
	timers    []timer
	replaced  int
	// controls is the last list of control hosts that was logged.
	controls []model.HostID
}

// timer calls fn at a time of the schedule.
type timer struct {
	at model.Instant
	fn func()
}

func newReplacements(t *testing.T, seed uint64) *replacements {
	r := &replacements{world: newWorld(t, seed), lostUntil: map[model.HostID]model.Instant{}}
	r.formFleet()
	for _, h := range r.hosts {
		h.mayCreateFleet = false
	}
	r.run(2 * time.Second)
	return r
}

// after calls fn once the schedule has advanced by d.
func (r *replacements) after(d time.Duration, fn func()) {
	r.timers = append(r.timers, timer{at: r.now.Add(d), fn: fn})
}

// between returns a random duration.
func (r *replacements) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Int64N(int64(high-low)))
}

// advance runs the hosts and calls the timers that are due.
func (r *replacements) advance(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.run(stepInterval)
		require.Less(r.t, r.now, forever)
		r.logControls()
		due := r.timers
		r.timers = nil
		for _, v := range due {
			if v.at > r.now {
				r.timers = append(r.timers, v)
				continue
			}
			v.fn()
		}
	}
}

// logf logs an event of the schedule, which a failed test prints.
func (r *replacements) logf(format string, args ...any) {
	r.t.Logf("%8s  %s", time.Duration(r.now).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

// logControls logs each change of the list of control hosts and of the leader.
func (r *replacements) logControls() {
	for _, id := range r.leaders() {
		if list := r.hosts[id].node.Config().Controls; !slices.Equal(list, r.controls) {
			r.controls = list
			r.logf("%s leads %v", id, list)
		}
	}
}

// lost returns the number of hosts that count as lost.
func (r *replacements) lost() int {
	n := 0
	for _, until := range r.lostUntil {
		if until > r.now {
			n++
		}
	}
	return n
}

// sound returns the hosts that do not count as lost, in random order.
func (r *replacements) sound() []model.HostID {
	var out []model.HostID
	for _, id := range r.order {
		if r.lostUntil[id] <= r.now {
			out = append(out, id)
		}
	}
	r.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// seedsFor returns three other hosts for the settings of a host that starts.
func (r *replacements) seedsFor(self model.HostID) []model.HostID {
	seeds := slices.DeleteFunc(slices.Clone(r.order), func(id model.HostID) bool { return id == self })
	r.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:3]
}

// disturb causes one random fault of a host that does not count as lost, and
// schedules its end.
func (r *replacements) disturb() {
	id := r.sound()[0]
	h := r.hosts[id]
	r.lostUntil[id] = forever
	back := func(end func()) func() {
		return func() { end(); r.lostUntil[id] = r.now.Add(catchUp); r.logf("%s is back", id) }
	}
	restart := back(func() { r.start(h, r.seedsFor(h.id)) })
	switch r.rng.IntN(9) {
	case 0, 1:
		r.replace(id)
	case 7:
		// The host is heard but does not hear, or the other way round.
		inbound := r.rng.IntN(2) == 0
		r.logf("%s is cut off one way, inbound %t", id, inbound)
		r.cutLinks(back, func(from, to model.HostID) bool { return inbound && to == id || !inbound && from == id })
	case 8:
		r.lostUntil[id] = r.now
		r.killAll()
	case 2:
		r.logf("%s is frozen", id)
		h.frozen = true
		r.after(r.between(200*time.Millisecond, 9*time.Second), back(func() { h.frozen = false }))
	case 3:
		r.logf("%s is cut off", id)
		r.isCutOff[id] = true
		r.after(r.between(200*time.Millisecond, 12*time.Second), back(func() { delete(r.isCutOff, id) }))
	case 4:
		r.logf("%s is killed", id)
		r.stop(h)
		r.after(r.between(300*time.Millisecond, 5*time.Second), restart)
	case 5, 6:
		r.logf("%s loses its disk", id)
		r.loseDisk(h)
		r.after(r.between(300*time.Millisecond, 3*time.Second), restart)
	}
}

// cutLinks blocks messages for some seconds, unless some are blocked already.
func (r *replacements) cutLinks(back func(func()) func(), blocked func(from, to model.HostID) bool) {
	if r.blocked == nil {
		r.blocked = blocked
		r.after(r.between(200*time.Millisecond, 8*time.Second), back(func() { r.blocked = nil }))
		return
	}
	back(func() {})()
}

// splitName stands for a split in lostUntil.
const splitName = "split"

// split cuts the hosts into two halves for some seconds. Hosts that return from a
// fault during it have their time to catch up after its end.
func (r *replacements) split() {
	ids := slices.Clone(r.order)
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	half := ids[:len(ids)/2]
	r.logf("split: %v", half)
	r.lostUntil[splitName] = forever
	back := func(end func()) func() {
		return func() { end(); r.lostUntil[splitName] = r.now.Add(catchUp) }
	}
	r.cutLinks(back, func(from, to model.HostID) bool { return slices.Contains(half, from) != slices.Contains(half, to) })
}

// killAll ends all processes at the same moment and starts them within a second.
// Their disks are kept.
func (r *replacements) killAll() {
	r.logf("all are killed")
	for _, id := range r.order {
		h := r.hosts[id]
		if h.node == nil || h.frozen {
			continue
		}
		r.stop(h)
		otherFault := r.lostUntil[id] == forever // its end decides
		r.lostUntil[id] = forever
		r.after(r.between(300*time.Millisecond, time.Second), func() {
			if r.hosts[id] != h {
				return
			}
			r.start(h, r.seedsFor(h.id))
			if !otherFault {
				r.lostUntil[id] = r.now.Add(catchUp)
			}
		})
	}
}

// replace removes a host for good and starts an empty one at another address: after
// it is gone, or, in a planned replacement, before it is told to stop.
func (r *replacements) replace(id model.HostID) {
	gap := r.between(200*time.Millisecond, 2*time.Second)
	leave := func() {
		r.logf("%s is gone", id)
		r.stop(r.hosts[id])
		delete(r.hosts, id)
		r.order = slices.DeleteFunc(r.order, func(h model.HostID) bool { return h == id })
	}
	join := func() {
		r.replaced++
		next := &simHost{id: model.HostID(fmt.Sprintf("10.0.1.%d_7000", r.replaced))}
		r.logf("%s starts in place of %s", next.id, id)
		r.hosts[next.id] = next
		r.order = append(r.order, next.id)
		r.start(next, r.seedsFor(next.id))
		r.lostUntil[id], r.lostUntil[next.id] = r.now.Add(catchUp), r.now.Add(catchUp)
	}
	if r.rng.IntN(2) == 0 {
		leave()
		r.after(gap, join)
		return
	}
	join()
	r.after(gap, func() {
		r.logf("%s is told to stop", id)
		r.stepPlanner(r.hosts[id], Stopping{})
		r.after(r.between(50*time.Millisecond, time.Second), leave)
	})
}

// loseTwoDisks makes two hosts lose their disks right after a change, in some cases
// while all others lose power, and starts all of them a second later.
func (r *replacements) loseTwoDisks() {
	for _, id := range r.sound()[:maxLost] {
		r.logf("%s loses its disk at the end", id)
		r.loseDisk(r.hosts[id])
	}
	if r.rng.IntN(2) == 0 {
		for _, id := range r.order {
			r.stop(r.hosts[id])
		}
	}
	r.advance(time.Second)
	for _, id := range r.order {
		if h := r.hosts[id]; h.node == nil {
			r.start(h, r.seedsFor(h.id))
		}
	}
}

// TestFleetSurvivesReplacementsWithOtherFaults guards against control hosts that lose
// their majority, or an acknowledged revision, because a host that is gone is still
// one of them when two others lose their disks, although its successor has had its
// time: replacements, freezes, cuts, restarts and lost disks overlap in any order.
// MEMBER_SCHEDULES and MEMBER_SEED change the number of schedules and the first seed.
func TestFleetSurvivesReplacementsWithOtherFaults(t *testing.T) {
	first, count := envOr(t, "MEMBER_SEED", 1), envOr(t, "MEMBER_SCHEDULES", 100)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			r := newReplacements(t, seed)
			for range 8 {
				for r.lost() >= maxLost || r.lostUntil[splitName] > r.now {
					r.advance(100 * time.Millisecond)
				}
				r.disturb()
				if r.rng.IntN(6) == 0 {
					r.split()
				}
				r.applyAnywhere()
				r.advance(r.between(50*time.Millisecond, 4*time.Second))
			}
			for r.lost() > 0 {
				r.advance(stepInterval)
			}
			require.Len(t, r.leaders(), 1)
			cfg := r.hosts[r.leaders()[0]].node.Config()
			require.ElementsMatch(t, r.order, cfg.Controls, "the list is whole once nobody counts as lost")
			r.applyAnywhere()
			r.advance(r.between(5*time.Millisecond, 400*time.Millisecond))
			r.loseTwoDisks()
			r.advance(recoveryTimeout)
			require.Len(t, r.leaders(), 1, "no leader after two lost disks")
			before := r.acceptedRevision
			r.apply(r.hosts[r.leaders()[0]])
			r.advance(2 * time.Second)
			require.Greater(t, r.acceptedRevision, before, "changes are accepted again")
		})
	}
}

// applyAnywhere applies a revision at a random host.
func (r *replacements) applyAnywhere() {
	h := r.hosts[r.order[r.rng.IntN(len(r.order))]]
	if !h.frozen {
		r.apply(h)
	}
}

// envOr returns the number in an environment variable, or def if it is not set.
func envOr(t *testing.T, name string, def uint64) uint64 {
	t.Helper()
	s := os.Getenv(name)
	if s == "" {
		return def
	}
	n, err := strconv.ParseUint(s, 10, 64)
	require.NoError(t, err)
	return n
}
