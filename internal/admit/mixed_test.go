package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// mixedHosts is the number of entry hosts of the schedules with shares.
	mixedHosts = 48
	// mixedWindow is the window over which the platform counts a quota.
	mixedWindow = 5 * time.Second
	// pollEvery is how often a host asks its relay, and heardFor how long after
	// its last ask a host counts as heard.
	pollEvery = 400 * time.Millisecond
	heardFor  = 1500 * time.Millisecond
	// mixedRate and mixedBurst are what a workspace of the platform may send.
	mixedRate  = 70.0
	mixedBurst = 40.0
)

// mixedBucket is the bucket that the adapter gives such a workspace.
func mixedBucket() model.Limits { return model.Limits{Rate: 72, Burst: 75} }

// mixedAllowed is what the platform counts as within the quota in a window: a
// tenth more than rate and burst, and 20 requests.
func mixedAllowed() int {
	return int(math.Floor((mixedRate*mixedWindow.Seconds()+mixedBurst)*1.1 + 20))
}

// mixedFleet is a fleet in which some hosts reach the owner and others use their shares.
type mixedFleet struct {
	*fleet
	asked map[*fleetHost]moment
}

func newMixedFleet(t *testing.T, seed uint64) *mixedFleet {
	f := newFleet(t, seed, mixedHosts, map[model.WorkspaceID]model.Limits{"w": mixedBucket()}, WithShares())
	f.polls = true
	f.tracks["w"].meters = nil
	m := &mixedFleet{fleet: f, asked: map[*fleetHost]moment{}}
	for _, h := range f.hosts {
		f.stepWallet(h, Configured{Config: f.cfg})
		f.every(time.Duration(f.r.Int64N(int64(pollEvery))), pollEvery, func() { m.poll(h) })
	}
	f.every(0, pollEvery, m.tellOwner)
	return m
}

// poll lets a host that reaches control learn the owner and the number of hosts.
func (m *mixedFleet) poll(h *fleetHost) {
	if m.cut[h] || m.now < h.frozen {
		return
	}
	m.asked[h] = m.now
	m.stepWallet(h, EntryHostCountChanged{Count: len(m.heard())})
	m.stepWallet(h, OwnersChanged{Owners: m.owners()})
}

func (m *mixedFleet) heard() []model.HostID {
	var list []model.HostID
	for _, h := range m.hosts {
		if at, ok := m.asked[h]; ok && m.now-at < heardFor {
			list = append(list, h.id)
		}
	}
	return list
}

func (m *mixedFleet) tellOwner() {
	for _, h := range m.hosts {
		if m.now >= h.frozen && !m.cut[h] {
			m.stepOwner(h, EntryHostsChanged{Hosts: m.heard()})
		}
	}
}

// settle lets all hosts learn the owner and the owner fill its bucket.
func (m *mixedFleet) settle() {
	m.own(m.hosts[0])
	m.runUntil(m.now + 5*time.Second)
}

// flood offers far more than the rate at hosts that are not frozen.
func (m *mixedFleet) flood() {
	m.poisson("w", 6*mixedRate, func() *fleetHost { return m.hosts[m.r.IntN(len(m.hosts))] })
}

// Guards against hosts that add a burst of their own to that of the owner, which
// they had left to it while it answered, once it falls silent. Played load: a
// workspace at six times its rate while its owner is lost.
func TestLostOwnerAddsNoBurst(t *testing.T) {
	m := newMixedFleet(t, 1)
	m.settle()
	m.flood()
	m.runUntil(m.now + 3*time.Second)
	m.cut[m.owner] = true
	m.runUntil(m.now + 8*time.Second)
	require.LessOrEqual(t, m.tracks["w"].admittedWithin(mixedWindow), mixedAllowed())
}

// Guards against an owner that grants the whole rate while hosts that are cut
// off use their shares of it. Played load: a workspace at six times its rate
// while a third of the hosts is cut off for 20 s.
func TestOwnerWithholdsTheSharesOfAbsentHosts(t *testing.T) {
	m := newMixedFleet(t, 2)
	m.settle()
	for _, h := range m.hosts[mixedHosts*2/3:] {
		m.cut[h] = true
	}
	m.runUntil(m.now + 3*time.Second)
	m.flood()
	m.runUntil(m.now + 20*time.Second)
	require.LessOrEqual(t, m.tracks["w"].admittedWithin(mixedWindow), mixedAllowed())
	require.Greater(t, m.tracks["w"].admitted, int(0.8*mixedRate*20), "what is withheld is used by the others")
}

// Guards against an owner that withholds the rate from a fleet whose hosts have
// all restarted: none of them has used a share, and the second after such a
// restart is the one with the most refusals.
func TestOwnerServesAtOnceAfterARestartOfAll(t *testing.T) {
	limits := model.Limits{Rate: 100, Burst: 100}
	for _, fresh := range []bool{true, false} {
		o := NewOwner("o", WithShares())
		cfg := model.NewConfig(nil, nil)
		cfg.Defaults.Limits = limits
		o.Step(0, Configured{Config: cfg})
		hosts := EntryHostsChanged{Hosts: []model.HostID{"e", "f", "g", "h"}}
		if fresh {
			hosts.StartedTogether = hosts.Hosts
		}
		o.Step(0, hosts)
		o.Step(0, OwnershipGained{Shard: model.WorkspaceShard("w"), Epoch: 1, Until: 1 << 60})
		drawFrom(o, 300*time.Millisecond, 1, 1)
		granted := drawFrom(o, 700*time.Millisecond, 2, 1000).GrantedTokens
		if fresh {
			require.Greater(t, granted, 35, "half a second of the rate")
		} else {
			require.Less(t, granted, 15, "three hosts of four may use their shares")
		}
	}
}

// Guards against more than the quota in any window, whatever the combination of
// owners that live, move, freeze and wake, hosts that are cut off or restart, and
// lost messages.
func TestQuotaHoldsWithSharesAndOwners(t *testing.T) {
	for seed := range countFromEnv("ADMIT_SCHEDULES", 16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			m := newMixedFleet(t, seed)
			m.faults = true
			m.settle()
			m.flood()
			for range 25 {
				m.mixedFault()
				m.runUntil(m.now + time.Duration(m.r.Int64N(15e8)))
			}
			require.Positive(t, m.tracks["w"].admitted)
			require.LessOrEqual(t, m.tracks["w"].admittedWithin(mixedWindow), mixedAllowed())
		})
	}
}

func (m *mixedFleet) mixedFault() {
	h := m.hosts[m.r.IntN(len(m.hosts))]
	switch m.r.IntN(8) {
	case 0:
		m.owner.frozen = m.now + time.Duration(m.r.Int64N(60e8))
	case 1:
		h.frozen = m.now + time.Duration(m.r.Int64N(25e8))
	case 2:
		m.restart(h)
	case 3:
		if m.now >= m.owner.frozen && !m.cut[m.owner] && m.now < m.owner.until {
			m.release(h)
		}
	case 4:
		// At most one host in eight is cut off at the same time.
		clear(m.cut)
		for range m.r.IntN(mixedHosts / 8) {
			m.cut[m.hosts[m.r.IntN(len(m.hosts))]] = true
		}
	case 5:
		m.loss = m.r.Float64() * 0.2
	case 6:
		m.forgetful = !m.forgetful
	default:
		clear(m.cut)
	}
	if m.now >= m.owner.until {
		m.own(m.next(func() *fleetHost { return h }))
	}
}
