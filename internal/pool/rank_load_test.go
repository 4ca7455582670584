package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// loadKind is a kind of request in a fleetLoad.
type loadKind struct {
	rank                      model.Rank
	work, objective, deadline time.Duration
	perSecond, due            float64
	workspaces                int
	offered, inTime           int
	displaced                 int
	// mayRepeat is set if a request that failed is sent to another target.
	mayRepeat  bool
	retryAfter []time.Duration
}

func (k *loadKind) describe(now model.Instant, ask *TargetRequested, offeredAt model.Instant) {
	ask.Rank, ask.Class, ask.AtMostOnce = k.rank, model.RequestClass(k.work), !k.mayRepeat
	ask.Objective = offeredAt.Add(k.objective).Sub(now)
	ask.Deadline = offeredAt.Add(k.deadline)
}

func (l *fleetLoad) countRefused(e Refused) {
	r := l.requests[e.Request]
	if r.isRunning {
		l.broken = "a request that was sent is refused as not run"
	}
	if r.kind != nil {
		if e.Reason == RefusedDisplaced {
			r.kind.displaced++
		}
		r.kind.retryAfter = append(r.kind.retryAfter, e.RetryAfter)
	}
}

// offerKinds offers the requests of the kinds for one tick.
func (l *fleetLoad) offerKinds() {
	for _, k := range l.kinds {
		for k.due += k.perSecond * loadTick.Seconds(); k.due >= 1; k.due-- {
			l.serial++
			k.offered++
			id, host := model.RequestID(fmt.Sprint(l.serial)), l.hosts[l.rng.IntN(len(l.hosts))]
			workspace := model.WorkspaceID(fmt.Sprint("k", l.rng.IntN(k.workspaces)))
			l.requests[id] = &offeredRequest{host: host, workspace: workspace, offeredAt: l.now, kind: k}
			l.request(id, host)
		}
	}
}

// newRankedFleet returns a fleet with 120 slots and a load of the given multiple of its
// capacity: three tenths are orders of an urgent rank, the rest orders of a lower one.
func newRankedFleet(load float64) (*fleetLoad, *loadKind, *loadKind) {
	l := newFleetLoad(24, 30)
	l.tune.RestoreTimeout = 100 * time.Millisecond
	urgent := &loadKind{rank: model.Rank{Workspace: 1}, work: 200 * time.Millisecond, objective: time.Second, deadline: 3 * time.Second, workspaces: 8, perSecond: 0.3 * load * 600}
	lower := &loadKind{rank: model.Rank{Workspace: 1, Route: 1}, work: 240 * time.Millisecond, objective: time.Second, deadline: 3 * time.Second, workspaces: 8, perSecond: 0.7 * load * 500}
	l.kinds = []*loadKind{urgent, lower}
	return l, urgent, lower
}

// drain ends the load and checks that no slot or query is left at the owner.
func (l *fleetLoad) drain(t *testing.T) {
	for _, k := range l.kinds {
		k.perSecond = 0
	}
	l.run(0, 6*time.Second)
	require.Empty(t, l.broken)
	s := l.owner.services[testService]
	require.Empty(t, s.slotByID)
	require.Zero(t, s.sched.Held())
	require.Zero(t, s.sched.Waiting())
	for _, q := range s.sched.Status(l.now) {
		require.Zero(t, q.Waiting)
	}
}

// TestFailuresUnderRankedOverload guards against urgent orders that are refused or late,
// against orders that run twice or are refused after they were sent, and against slots
// that leak, at 1.5 times the capacity while the named failure happens.
func TestFailuresUnderRankedOverload(t *testing.T) {
	failures := map[string]func(l *fleetLoad){
		"none":                         func(*fleetLoad) {},
		"owner lost with a full queue": func(l *fleetLoad) { l.startOwner() },
		"two owners for a moment": func(l *fleetLoad) {
			old, from := l.owner, l.ownerHost
			l.startOwner()
			for range 25 {
				l.run(0, loadTick)
				for _, e := range old.Step(l.now, Tick{}) {
					if s, ok := e.(Send); ok {
						l.stepPicker(s.To, Received{From: from, Msg: s.Msg})
					}
				}
			}
		},
		"hosts cut off with promised slots": func(l *fleetLoad) {
			for _, h := range l.hosts[:8] {
				l.cutOff[h] = true
			}
			l.run(0, 2*time.Second)
			for _, h := range l.hosts[:8] {
				l.stepOwner(HostGone{Host: h})
				delete(l.cutOff, h)
			}
		},
		"callers give up while queued": func(l *fleetLoad) {
			for id, r := range l.requests {
				if !r.isRunning {
					l.withdraw(id)
				}
			}
		},
		"owner frozen": func(l *fleetLoad) {
			l.ownerStopped = true
			l.run(0, time.Second)
			l.resumeOwner()
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			l, urgent, lower := newRankedFleet(1.5)
			l.run(0, 3*time.Second)
			fail(l)
			l.run(0, 3*time.Second)
			l.drain(t)
			t.Logf("urgent %d of %d in time, lower %d of %d", urgent.inTime, urgent.offered, lower.inTime, lower.offered)
			require.Greater(t, float64(urgent.inTime), 0.9*float64(urgent.offered))
			require.Greater(t, float64(lower.inTime), 0.3*float64(lower.offered))
		})
	}
}

// TestDownloadsBesideCostlyReads guards against downloads that wait behind reads of five
// times their work on the same targets, and against reads that are refused although
// their objective leaves them time to wait, up to the capacity.
func TestDownloadsBesideCostlyReads(t *testing.T) {
	const load = 1.0
	l, downloads, reads := newRankedFleet(load)
	*downloads = loadKind{rank: model.Rank{Route: 1}, work: 240 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 5 * time.Second, workspaces: 8, perSecond: 0.3 * load * 500}
	*reads = loadKind{rank: model.Rank{Route: 2}, work: 1200 * time.Millisecond, objective: 6 * time.Second, deadline: 12 * time.Second, workspaces: 8, perSecond: 0.7 * load * 100}
	l.run(0, 15*time.Second)
	l.drain(t)
	t.Logf("downloads %d of %d in time, reads %d of %d", downloads.inTime, downloads.offered, reads.inTime, reads.offered)
	require.Greater(t, float64(downloads.inTime), 0.98*float64(downloads.offered))
	require.Greater(t, float64(reads.inTime), 0.98*float64(reads.offered))
}

// TestPriorityChangedUnderLoad guards against a change of priority that has no effect
// under load, or that loses requests which wait with their earlier rank.
func TestPriorityChangedUnderLoad(t *testing.T) {
	l, urgent, lower := newRankedFleet(1.5)
	l.run(0, 3*time.Second)
	urgent.rank, lower.rank = lower.rank, urgent.rank
	l.run(0, time.Second)
	lower.inTime, lower.offered = 0, 0
	l.run(0, 3*time.Second)
	l.drain(t)
	require.Greater(t, float64(lower.inTime), 0.9*float64(lower.offered), "the rank that has become the urgent one")
}

// TestRefusedCallersReturnSpread guards against refused callers that all return at the
// same moment, and against less urgent ones that return before the urgent ones.
func TestRefusedCallersReturnSpread(t *testing.T) {
	l, urgent, lower := newRankedFleet(6)
	l.run(0, 4*time.Second)
	mean := func(list []time.Duration) time.Duration {
		sum, distinct := time.Duration(0), map[time.Duration]bool{}
		for _, d := range list {
			sum += d
			distinct[d] = true
		}
		require.Greater(t, len(distinct), len(list)/2, "times are spread")
		return sum / time.Duration(len(list))
	}
	require.Greater(t, mean(lower.retryAfter), mean(urgent.retryAfter))
	require.GreaterOrEqual(t, mean(urgent.retryAfter), 150*time.Millisecond)
}

// TestHostWithoutOwnerRefusesLowerRanksFirst guards against a host that without an owner
// serves its requests by arrival, so that urgent ones wait behind less urgent ones.
func TestHostWithoutOwnerRefusesLowerRanksFirst(t *testing.T) {
	l, urgent, lower := newRankedFleet(0.8)
	l.run(0, 3*time.Second)
	l.owner, l.ownerHost = nil, ""
	for _, h := range l.hosts {
		l.stepPicker(h, OwnersChanged{})
	}
	lower.perSecond *= 3
	urgent.objective = 400 * time.Millisecond
	urgent.inTime, urgent.offered, lower.inTime, lower.offered = 0, 0, 0, 0
	l.run(0, 4*time.Second)
	require.Empty(t, l.broken)
	t.Logf("urgent %d of %d in time, lower %d of %d", urgent.inTime, urgent.offered, lower.inTime, lower.offered)
	require.Greater(t, float64(urgent.inTime)/float64(urgent.offered), 0.95)
	require.Zero(t, urgent.displaced)
	require.Greater(t, lower.displaced, 100, "refused once their turn would come too late")
}

// TestLastRetriesAreKeptForTheMostUrgentRank guards against retries of less urgent
// requests that use up the budget while urgent ones need it.
func TestLastRetriesAreKeptForTheMostUrgentRank(t *testing.T) {
	h := newOwnerHarness(t, 4)
	h.earnRetries(6)
	lower, urgent := h.newAsk("w", 1, "t0"), h.newAsk("w", 2, "t0")
	lower.Rank.Route, lower.Remaining = 1, time.Minute
	require.Equal(t, proto.SlotNoRetry, firstReply(h.receive("e1", lower)).Status)
	require.Equal(t, proto.SlotAssigned, firstReply(h.receive("e1", urgent)).Status)
	h.now = h.now.Add(2 * time.Second)
	h.announce(1, 1, model.TargetReady)
	lower.Nonce = 1000
	require.Equal(t, proto.SlotAssigned, firstReply(h.receive("e1", lower)).Status, "no urgent request lately")
}

// TestClassIsServedAgainAfterSlowAttempt guards against a class of requests that is
// refused for good after an attempt, reported late by its host, that took longer than
// the deadlines of the class.
func TestClassIsServedAgainAfterSlowAttempt(t *testing.T) {
	h := newOwnerHarness(t, 4)
	ask := func(rank int) proto.SlotReply {
		m := h.newAsk("w", 1)
		m.Rank.Route, m.Class, m.Remaining = rank, model.RequestClass(rank), 600*time.Millisecond
		return firstReply(h.receive("e1", m))
	}
	slow := ask(1)
	h.now = h.now.Add(700 * time.Millisecond)
	h.reportDone(slow, "w", 1, model.AttemptOK)
	h.reportDone(ask(0), "w", 1, model.AttemptOK)
	require.Equal(t, proto.SlotTooLate, ask(1).Status)
	for range 20 {
		h.advance(500*time.Millisecond, 0, 4)
		h.reportDone(ask(0), "w", 1, model.AttemptOK)
		if ask(1).Status == proto.SlotAssigned {
			return
		}
	}
	require.Fail(t, "refused for 10 s although the targets are idle")
}
