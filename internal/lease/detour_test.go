package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// detourFleet simulates the detours of entry hosts, some of which are cut off from
// control host c.
type detourFleet struct {
	hosts    map[model.HostID]*Detour
	order    []model.HostID
	cutOff   map[model.HostID]bool
	via      map[model.HostID]model.HostID
	stopped  map[model.HostID]bool
	sentAsks int
	now      model.Instant
}

func newDetourFleet(n int) *detourFleet {
	f := &detourFleet{hosts: map[model.HostID]*Detour{}, cutOff: map[model.HostID]bool{}, via: map[model.HostID]model.HostID{}, stopped: map[model.HostID]bool{}, now: 1}
	for i := range n {
		f.order = append(f.order, model.HostID(fmt.Sprintf("e%d", i)))
	}
	for _, h := range f.order {
		d := NewDetour(proto.Member{Host: h, Role: proto.RoleEntry})
		d.Step(f.now, ConfigChanged{Config: model.NewConfig([]model.HostID{"c"}, nil)})
		d.Step(f.now, PeersListed{Peers: f.order})
		f.hosts[h] = d
	}
	return f
}

// reachesControl reports whether a host gets confirmations, directly or through another.
func (f *detourFleet) reachesControl(h model.HostID) bool {
	via := f.via[h]
	return via == "" && !f.cutOff[h] || via != "" && !f.cutOff[via] && !f.stopped[via] && f.via[via] == ""
}

// run advances the virtual time by d. Hosts that reach control are confirmed at
// each tick.
func (f *detourFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(50 * time.Millisecond) {
		for _, h := range f.order {
			if f.reachesControl(h) {
				f.hosts[h].Step(f.now, VersionConfirmed{})
			}
			f.apply(h, f.hosts[h].Step(f.now, Tick{}))
		}
	}
}

// apply records a change of the detour of host h, and answers those of its asks that
// go to a host that reaches control directly.
func (f *detourFleet) apply(h model.HostID, out []Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case DetourChanged:
			f.via[h] = e.Via
		case Send:
			f.sentAsks++
			answers := e.To == "c" && !f.cutOff[h] || e.To != "c" && !f.cutOff[e.To] && !f.stopped[e.To] && f.via[e.To] == ""
			if answers {
				f.apply(h, f.hosts[h].Step(f.now, Received{From: e.To, Msg: proto.PeerReply(e.Msg.(proto.PeerAsk))}))
			}
		}
	}
}

// reachingHosts returns the number of hosts that reach control.
func (f *detourFleet) reachingHosts() int {
	n := 0
	for _, h := range f.order {
		if f.reachesControl(h) {
			n++
		}
	}
	return n
}

// Guards against entry hosts that stay cut off from control although one in ten
// entry hosts reaches it. Such a host refuses requests within the rate and does not
// learn of withdrawn keys.
func TestCutOffHostsFindADetour(t *testing.T) {
	f := newDetourFleet(100)
	f.run(3 * time.Second)
	require.Zero(t, f.sentAsks, "hosts that reach control ask no other host")
	r := rand.New(rand.NewPCG(1, 2))
	for _, i := range r.Perm(100)[:90] {
		f.cutOff[f.order[i]] = true
	}
	f.run(4 * time.Second)
	require.Greater(t, f.reachingHosts(), 95)
	f.run(4 * time.Second)
	require.Equal(t, 100, f.reachingHosts())

	for _, h := range f.order {
		if !f.cutOff[h] {
			f.stopped[h] = true
			break
		}
	}
	f.run(5 * time.Second)
	require.GreaterOrEqual(t, f.reachingHosts(), 99, "hosts leave a detour whose host stopped")

	clear(f.cutOff)
	clear(f.stopped)
	f.run(2500 * time.Millisecond)
	for _, h := range f.order {
		require.Empty(t, f.via[h], "%s still uses its detour after the partition", h)
	}
}

// Guards against entry hosts that load each other with searches while none of them
// reaches control.
func TestSearchesAreFewWithoutControl(t *testing.T) {
	f := newDetourFleet(100)
	for _, h := range f.order {
		f.cutOff[h] = true
	}
	f.run(2 * time.Second)
	before := f.sentAsks
	f.run(20 * time.Second)
	require.Less(t, float64(f.sentAsks-before)/100/20, 6.0, "asks by each host in a second")
	require.Empty(t, f.via)
}
