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
	// mixedHosts is the number of entry hosts of a mixedFleet.
	mixedHosts = 48
	// mixedWindow is the window over which the platform counts a quota.
	mixedWindow = 5 * time.Second
	// pollInterval is the interval at which a host polls its relay, and
	// presentTimeout how long after its last poll a host counts as present.
	pollInterval   = 400 * time.Millisecond
	presentTimeout = 1500 * time.Millisecond
	// mixedRate and mixedBurst are the quota of a workspace on the platform, in
	// requests per second and requests.
	mixedRate  = 70.0
	mixedBurst = 40.0
)

// mixedLimits returns the limits that the platform's adapter sets for a
// workspace with the quota mixedRate and mixedBurst.
func mixedLimits() model.Limits { return model.Limits{Rate: 72, Burst: 75} }

// maxMixedAdmissions returns how many requests in a mixedWindow the platform
// counts as within the quota: a tenth more than rate and burst allow, plus 20.
func maxMixedAdmissions() int {
	return int(math.Floor((mixedRate*mixedWindow.Seconds()+mixedBurst)*1.1 + 20))
}

// mixedFleet is a fleet with local shares, in which some hosts reach the owner
// while others use their shares.
type mixedFleet struct {
	*fleet
	lastPollAt map[*fleetHost]simTime
}

func newMixedFleet(t *testing.T, seed uint64) *mixedFleet {
	f := newFleet(t, seed, mixedHosts, map[model.WorkspaceID]model.Limits{"w": mixedLimits()}, WithShares())
	f.pollOwners = true
	f.stats["w"].meters = nil
	m := &mixedFleet{fleet: f, lastPollAt: map[*fleetHost]simTime{}}
	for _, h := range f.hosts {
		f.stepLimiter(h, Configured{Config: f.cfg})
		f.every(time.Duration(f.r.Int64N(int64(pollInterval))), pollInterval, func() { m.poll(h) })
	}
	f.every(0, pollInterval, m.sendHostsToOwner)
	return m
}

// poll lets a host learn the owner and the number of hosts, unless it is
// isolated or frozen.
func (m *mixedFleet) poll(h *fleetHost) {
	if m.isolated[h] || m.cutFromOwner[h] || m.now < h.frozenUntil {
		return
	}
	m.lastPollAt[h] = m.now
	m.stepLimiter(h, EntryHostCountChanged{Count: len(m.presentHosts())})
	m.stepLimiter(h, OwnersChanged{Owners: m.owners()})
	var peers []model.HostID
	for _, o := range m.hosts {
		if o != h {
			peers = append(peers, o.id)
		}
	}
	m.stepLimiter(h, PeersListed{Peers: peers})
}

// presentHosts returns the hosts that polled within presentTimeout.
func (m *mixedFleet) presentHosts() []model.HostID {
	var list []model.HostID
	for _, h := range m.hosts {
		if at, ok := m.lastPollAt[h]; ok && m.now-at < presentTimeout {
			list = append(list, h.id)
		}
	}
	return list
}

// sendHostsToOwner tells the owner cores of all reachable hosts which hosts are present.
func (m *mixedFleet) sendHostsToOwner() {
	for _, h := range m.hosts {
		if m.now >= h.frozenUntil && !m.isolated[h] {
			m.stepOwner(h, EntryHostsChanged{Hosts: m.presentHosts()})
		}
	}
}

// settle sets an owner and waits for all hosts to learn it and for its bucket to fill.
func (m *mixedFleet) settle() {
	m.setOwner(m.hosts[0])
	m.runUntil(m.now + 5*time.Second)
}

// flood offers six times the rate to random hosts that are not frozen.
func (m *mixedFleet) flood() {
	m.poisson("w", 6*mixedRate, func() *fleetHost { return m.hosts[m.r.IntN(len(m.hosts))] })
}

// TestLostOwnerAddsNoBurst guards against more admissions than the quota after
// an owner is lost: tokens of the local shares that were due while the owner
// answered would add a second burst to the owner's. The load is a workspace at
// six times its rate.
func TestLostOwnerAddsNoBurst(t *testing.T) {
	m := newMixedFleet(t, 1)
	m.settle()
	m.flood()
	m.runUntil(m.now + 3*time.Second)
	m.isolated[m.owner] = true
	m.runUntil(m.now + 8*time.Second)
	require.LessOrEqual(t, m.stats["w"].maxAdmissions(mixedWindow), maxMixedAdmissions())
}

// TestOwnerWithholdsSharesOfAbsentHosts guards against an owner that grants the
// whole rate while isolated hosts use their local shares of it. The load is a
// workspace at six times its rate while a third of the hosts is isolated for 20
// s.
func TestOwnerWithholdsSharesOfAbsentHosts(t *testing.T) {
	m := newMixedFleet(t, 2)
	m.settle()
	for _, h := range m.hosts[mixedHosts*2/3:] {
		m.isolated[h] = true
	}
	m.runUntil(m.now + 3*time.Second)
	m.flood()
	m.runUntil(m.now + 20*time.Second)
	require.LessOrEqual(t, m.stats["w"].maxAdmissions(mixedWindow), maxMixedAdmissions())
	require.Greater(t, m.stats["w"].admitted, int(0.8*mixedRate*20), "what is withheld is used by the others")
}

// TestOwnerGrantsAtOnceAfterRestartOfAllHosts guards against an owner that
// withholds shares after all hosts restarted together. None of them has used
// its share, and the second after such a restart has more refusals than any
// other.
func TestOwnerGrantsAtOnceAfterRestartOfAllHosts(t *testing.T) {
	limits := model.Limits{Rate: 100, Burst: 100}
	for _, startedTogether := range []bool{true, false} {
		o := NewOwner("o", WithShares())
		cfg := model.NewConfig(nil, nil)
		cfg.Defaults.Limits = limits
		o.Step(0, Configured{Config: cfg})
		hosts := EntryHostsChanged{Hosts: []model.HostID{"e", "f", "g", "h"}}
		if startedTogether {
			hosts.StartedTogether = hosts.Hosts
		}
		o.Step(0, hosts)
		o.Step(0, OwnershipGained{Shard: model.WorkspaceShard("w"), Epoch: 1, Until: 1 << 60})
		drawTokens(o, 300*time.Millisecond, 1, 1)
		granted := drawTokens(o, 700*time.Millisecond, 2, 1000).GrantedTokens
		if startedTogether {
			require.Greater(t, granted, 35, "half a second of the rate")
		} else {
			require.Less(t, granted, 15, "three hosts of four may use their shares")
		}
	}
}

// TestQuotaHoldsWithSharesAndOwners guards against more admissions than the
// quota in any window. The schedules combine owners that freeze, continue and
// change, hosts that are isolated or restart, and lost messages.
func TestQuotaHoldsWithSharesAndOwners(t *testing.T) {
	for seed := range countFromEnv("ADMIT_SCHEDULES", 16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			m := newMixedFleet(t, seed)
			m.networkFaults = true
			m.settle()
			m.flood()
			for range 25 {
				m.injectMixedFault()
				m.runUntil(m.now + time.Duration(m.r.Int64N(15e8)))
			}
			require.Positive(t, m.stats["w"].admitted)
			require.LessOrEqual(t, m.stats["w"].maxAdmissions(mixedWindow), maxMixedAdmissions())
		})
	}
}

func (m *mixedFleet) injectMixedFault() {
	h := m.hosts[m.r.IntN(len(m.hosts))]
	switch m.r.IntN(8) {
	case 0:
		m.owner.frozenUntil = m.now + time.Duration(m.r.Int64N(60e8))
	case 1:
		h.frozenUntil = m.now + time.Duration(m.r.Int64N(25e8))
	case 2:
		m.restart(h)
	case 3:
		if m.now >= m.owner.frozenUntil && !m.isolated[m.owner] && m.now < m.owner.leaseUntil {
			m.release(h)
		}
	case 4:
		// Fewer than one host in eight is isolated at the same time.
		clear(m.isolated)
		for range m.r.IntN(mixedHosts / 8) {
			m.isolated[m.hosts[m.r.IntN(len(m.hosts))]] = true
		}
	case 5:
		m.lossRate = m.r.Float64() * 0.2
	case 6:
		m.previousEpochUnknown = !m.previousEpochUnknown
	default:
		clear(m.isolated)
	}
	if m.now >= m.owner.leaseUntil {
		m.setOwner(m.nextOwner(func() *fleetHost { return h }))
	}
}
