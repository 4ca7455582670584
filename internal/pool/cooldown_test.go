package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestCooldownProtectsRequestsThatMustNotBeRepeated guards against orders that go
// to targets which have just failed others. Ejection alone does not prevent this,
// since it needs several failures at each target.
func TestCooldownProtectsRequestsThatMustNotBeRepeated(t *testing.T) {
	served := func(tune Tuning) float64 {
		l := newEpisodeLoad(t, 13, tune)
		l.run(36, time.Minute)
		return float64(l.assignedRequests-l.failedRequests) / float64(l.offeredRequests)
	}
	without, with := served(DefaultTuning()), served(CautiousTuning())
	require.Less(t, 1-with, (1-without)/2, "without cooldowns %.3f of the requests are served", without)
}

// TestHealthyTargetsGetRequestsWithinTwoSeconds guards against healthy targets that
// get nothing for 2 s because they failed earlier: capacity would be lost while
// many requests fail. The bound is the users' floor of 0.7.
func TestHealthyTargetsGetRequestsWithinTwoSeconds(t *testing.T) {
	for _, targets := range []int{6, 8, 13, 18, 64} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			l := newEpisodeLoad(t, targets, CautiousTuning())
			l.run(6*float64(targets), time.Minute)
			require.GreaterOrEqual(t, l.minServedShare, 0.7)
		})
	}
}

// TestTargetThatFailedOnceIsTriedAgainWithinTwoSeconds guards against a target that
// gets nothing for 2 s because it failed once.
func TestTargetThatFailedOnceIsTriedAgainWithinTwoSeconds(t *testing.T) {
	l := newEpisodeLoad(t, 6, CautiousTuning())
	h := l.harness
	failed := h.ask("w", 1)
	h.reportDone(failed, "w", 1, model.AttemptError)
	h.now = h.now.Add(CautiousTuning().Cooldown)
	h.step(Tick{})
	for i := range 6 {
		if h.ask("w", model.Fingerprint(10+i)).Target == failed.Target {
			return
		}
	}
	require.Fail(t, "the target is not tried again")
}

// TestTargetsInLongEpisodesAreTriedLessOften guards against a target in a long
// episode that fails a request each time its cooldown ends. Without extended
// cooldowns it is tried every 1.8 s, 11 times in 20 s.
func TestTargetsInLongEpisodesAreTriedLessOften(t *testing.T) {
	l := newEpisodeLoad(t, 64, CautiousTuning())
	l.brokenTargets = 8
	l.run(175, 20*time.Second)
	tries := 0
	for _, n := range l.failuresByTarget[:l.brokenTargets] {
		tries += n
	}
	require.Less(t, float64(tries)/float64(l.brokenTargets), 5.5)
	require.GreaterOrEqual(t, l.minServedShare, 0.7)
	t.Logf("%.1f failures at each broken target, served %.4f", float64(tries)/float64(l.brokenTargets), float64(l.assignedRequests-l.failedRequests)/float64(l.offeredRequests))
}

// TestNoExtendedCooldownWhileManyRequestsFail guards against extended cooldowns
// while many requests of the service fail. With few healthy targets left, as
// happened in a fleet of 53 hosts, two targets with an extended cooldown break the
// floor.
func TestNoExtendedCooldownWhileManyRequestsFail(t *testing.T) {
	l := newEpisodeLoad(t, 13, CautiousTuning())
	s := l.harness.owner.service(l.harness.now, testService)
	failing := func(n int) {
		for _, target := range s.targets[:n] {
			target.failedAttempts, target.lastFailureAt, target.cooldownFrom = 3, l.harness.now, l.harness.now
		}
	}
	extended := func() int {
		n := 0
		s.extendCooldowns(l.harness.now)
		for _, target := range s.targets {
			if target.hasExtendedCooldown {
				n++
			}
		}
		return n
	}
	failing(3)
	require.Equal(t, 2, extended(), "a fifth of the ten targets that work")
	failing(5)
	require.Equal(t, 1, extended(), "a fifth of the eight targets that work")
	for i := range 100 {
		s.recentOutcomes.record(l.harness.now, true, i%10 == 0)
	}
	require.Zero(t, extended(), "a tenth of the requests failed")
	for range 50 {
		s.recentOutcomes.record(l.harness.now, false, true)
	}
	require.Zero(t, extended())
	for range 100 {
		s.recentOutcomes.record(l.harness.now, true, false)
	}
	require.Equal(t, 1, extended(), "failed attempts that were retried elsewhere do not count")
}

// TestHealthyTargetsGetRequestsWithinTwoSecondsAtLowLoad guards against healthy
// targets that get nothing because targets with recent successes are preferred: at
// low load these take all requests.
func TestHealthyTargetsGetRequestsWithinTwoSecondsAtLowLoad(t *testing.T) {
	l := newEpisodeLoad(t, 83, CautiousTuning())
	l.run(172, time.Minute)
	require.GreaterOrEqual(t, l.minServedShare, 0.7)
	t.Logf("served %.4f", float64(l.assignedRequests-l.failedRequests)/float64(l.offeredRequests))
}

// TestCooldownEndsWithALaterSuccess guards against a cooldown that never ends,
// against one that ends with the success of an attempt begun before the failure,
// and against several attempts that try the target at once.
func TestCooldownEndsWithALaterSuccess(t *testing.T) {
	l := newEpisodeLoad(t, 4, CautiousTuning())
	h := l.harness
	early, fails := h.ask("w", 1), h.ask("w", 2)
	for fails.Target == early.Target {
		fails = h.ask("w", 3)
	}
	other := h.ask("w", 4)
	for other.Target != fails.Target {
		other = h.ask("w", 5)
	}
	h.now = h.now.Add(10 * time.Millisecond)
	h.reportDone(fails, "w", 2, model.AttemptError)
	h.now = h.now.Add(10 * time.Millisecond)
	h.reportDone(other, "w", 5, model.AttemptOK)
	require.NotEqual(t, fails.Target, h.ask("w", 6).Target, "an attempt that began before the failure does not end the cooldown")

	h.now = h.now.Add(CautiousTuning().Cooldown)
	tried := 0
	for i := range 3 {
		if h.ask("w", model.Fingerprint(10+i)).Target == fails.Target {
			tried++
		}
	}
	require.LessOrEqual(t, tried, 1)
}

// TestPickerRefusesInTimeWithoutOwner guards against requests that wait for a
// target until their deadline while the service has no owner.
func TestPickerRefusesInTimeWithoutOwner(t *testing.T) {
	tune := DefaultTuning()
	tune.MaxLocalWait = 700 * time.Millisecond
	p := NewPicker("e1", "z", WithTuning(tune))
	now := model.Instant(time.Second)
	p.Step(now, Configured{Config: model.NewConfig(nil, nil)})
	p.Step(now, TargetRequested{Request: "r", Service: testService, Workspace: "w", Deadline: now.Add(10 * time.Second)})
	for now < model.Instant(1650*time.Millisecond) {
		now = now.Add(20 * time.Millisecond)
		require.Empty(t, refusals(p.Step(now, Tick{})))
	}
	now = now.Add(100 * time.Millisecond)
	got := refusals(p.Step(now, Tick{}))
	require.Len(t, got, 1)
	require.Equal(t, proto.SlotNoTarget, got[0].Status)
	require.Equal(t, localRetryAfter, got[0].RetryAfter)
}

// refusals returns the Refused effects.
func refusals(out []Effect) []Refused {
	var found []Refused
	for _, f := range out {
		if r, ok := f.(Refused); ok {
			found = append(found, r)
		}
	}
	return found
}

// TestPickerDeclinesLeavingTargets guards against the use of a target that is
// leaving: when the owner has not been notified and still assigns the target, and
// when a host without an owner chooses the target from its last list.
func TestPickerDeclinesLeavingTargets(t *testing.T) {
	p := NewPicker("e1", "z", WithTuning(CautiousTuning()))
	now := model.Instant(time.Second)
	p.Step(now, Configured{Config: model.NewConfig(nil, nil)})
	p.Step(now, OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: "o", Epoch: 1}}})
	p.Step(now, Received{From: "o", Msg: proto.RestoreAck{Shard: testShard(), Epoch: 1}})
	p.Step(now, TargetsListed{Targets: []model.Announcement{{Service: testService, Target: "t0", Incarnation: 4, State: model.TargetDraining}}})
	askOf := func(out []Effect) proto.SlotAsk {
		for _, f := range out {
			if send, ok := f.(Send); ok {
				if ask, ok := send.Msg.(proto.SlotAsk); ok {
					return ask
				}
			}
		}
		return proto.SlotAsk{}
	}
	p.Step(now, TargetRequested{Request: "r", Service: testService, Workspace: "w", Deadline: now.Add(4 * time.Second)})
	now = now.Add(time.Second)
	ask := askOf(p.Step(now, Tick{}))
	if ask.Nonce == 0 {
		ask = proto.SlotAsk{Nonce: p.nonce}
	}
	out := p.Step(now, Received{From: "o", Msg: proto.SlotReply{Nonce: ask.Nonce, Status: proto.SlotAssigned, Slot: 1, Target: "t0", Incarnation: 4, Epoch: 1}})
	require.Contains(t, out, Effect(Send{To: "o", Msg: proto.SlotCancel{Service: testService, Nonce: ask.Nonce}}))
	again := askOf(out)
	require.Equal(t, []model.TargetID{"t0"}, again.DeclinedTargets)
	require.NotEqual(t, ask.Nonce, again.Nonce)
	out = append([]Effect(nil), p.Step(now, Received{From: "o", Msg: proto.SlotReply{Nonce: again.Nonce, Status: proto.SlotAssigned, Slot: 2, Target: "t0", Incarnation: 5, Epoch: 1}})...)
	require.Contains(t, out, Effect(Assigned{Request: "r", Target: "t0", Incarnation: 5}), "a later run of the target takes work")
}

// TestListedTargetsServeWithoutOwner guards against requests that find no target
// although control knows the targets, when a service has neither an owner nor a
// view, as after a restart of the whole fleet. It also guards against the use of
// targets that are leaving, in a cooldown or in another zone.
func TestListedTargetsServeWithoutOwner(t *testing.T) {
	p := NewPicker("e1", "z", WithTuning(CautiousTuning()))
	now := model.Instant(time.Second)
	p.Step(now, Configured{Config: model.NewConfig(nil, nil)})
	list := []model.Announcement{
		{Service: testService, Target: "far", Addr: "10.0.0.1:1", Zone: "y", Slots: 3, Incarnation: 1, State: model.TargetReady},
		{Service: testService, Target: "gone", Addr: "10.0.0.2:1", Zone: "z", Slots: 3, Incarnation: 1, State: model.TargetLeaving},
		{Service: testService, Target: "near", Addr: "10.0.0.3:1", Zone: "z", Slots: 3, Incarnation: 1, State: model.TargetReady},
	}
	p.Step(now, TargetsListed{Targets: list})
	next := 0
	requestTarget := func(end model.AttemptEnd) model.TargetID {
		next++
		id := model.RequestID(fmt.Sprint("r", next))
		for _, f := range p.Step(now, TargetRequested{Request: id, Service: testService, Workspace: "w", Deadline: now.Add(time.Second)}) {
			if a, ok := f.(Assigned); ok {
				p.Step(now, AttemptEnded{Request: id, Attempt: model.Attempt{End: end}})
				return a.Target
			}
		}
		return ""
	}
	require.Equal(t, model.TargetID("near"), requestTarget(model.AttemptError))
	require.Equal(t, model.TargetID("far"), requestTarget(model.AttemptOK), "the near one has just failed")
	now = now.Add(CautiousTuning().Cooldown)
	require.Equal(t, model.TargetID("near"), requestTarget(model.AttemptOK))
	now = now.Add(CautiousTuning().StaleAfter + time.Second)
	require.Empty(t, requestTarget(model.AttemptOK), "a list that is not confirmed any more")
	p.Step(now, TargetsListed{})
	require.Equal(t, model.TargetID("near"), requestTarget(model.AttemptOK))
}

// TestPickerAvoidsTargetsThatFailedForOtherHosts guards against hosts without an
// owner that each send a request to a target at which others have just failed.
func TestPickerAvoidsTargetsThatFailedForOtherHosts(t *testing.T) {
	p := NewPicker("e1", "z", WithTuning(CautiousTuning()))
	now := model.Instant(time.Second)
	p.Step(now, Configured{Config: model.NewConfig(nil, nil)})
	var list []model.Announcement
	for _, id := range []model.TargetID{"bad", "good"} {
		list = append(list, model.Announcement{Service: testService, Target: id, Addr: "10.0.0.1:1", Zone: "z", Slots: 3, Incarnation: 1, State: model.TargetReady})
	}
	p.Step(now, TargetsListed{Targets: list})
	p.Step(now, TargetRequested{Request: "first", Service: testService, Workspace: "w", Deadline: now.Add(time.Second)})
	p.Step(now, AttemptEnded{Request: "first", Attempt: model.Attempt{End: model.AttemptOK}})
	p.Step(now, FailedTargetsReported{Targets: []model.TargetID{"bad"}})
	for i := range 8 {
		id := model.RequestID(fmt.Sprint("r", i))
		for _, f := range p.Step(now, TargetRequested{Request: id, Service: testService, Workspace: "w", Deadline: now.Add(time.Second)}) {
			if a, ok := f.(Assigned); ok {
				require.Equal(t, model.TargetID("good"), a.Target)
				p.Step(now, AttemptEnded{Request: id, Attempt: model.Attempt{End: model.AttemptOK}})
			}
		}
	}
}
