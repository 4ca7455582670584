package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// bed drives an owner by messages.
type bed struct {
	t     *testing.T
	o     *Owner
	now   model.Instant
	nonce uint64
	out   []Effect
}

func newBed(t *testing.T, targets int, change ...func(*model.Config)) *bed {
	b := &bed{t: t, o: NewOwner("e0"), now: model.Instant(time.Second)}
	cfg := model.NewConfig(nil, nil)
	for _, c := range change {
		c(&cfg)
	}
	b.step(Configured{Config: cfg})
	b.step(EntryHostsChanged{})
	b.step(OwnershipGained{Shard: testShard(), Epoch: 1, Until: 1 << 60})
	for i := range targets {
		b.announce(i, 1, model.TargetReady)
	}
	return b
}

func (b *bed) step(ev Event) []Effect {
	b.out = append([]Effect(nil), b.o.Step(b.now, ev)...)
	return b.out
}

func (b *bed) from(host model.HostID, m proto.Message) []Effect {
	return b.step(Received{From: host, Msg: m})
}

func targetID(i int) model.TargetID { return model.TargetID(fmt.Sprintf("t%d", i)) }

func (b *bed) announce(i int, inc model.Incarnation, state model.TargetState) {
	b.from("e0", proto.TargetNews{Announcement: model.Announcement{
		Service: testService, Target: targetID(i), Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: inc, State: state,
	}})
}

func (b *bed) query(ws model.WorkspaceID, fp model.Fingerprint, exclude ...model.TargetID) proto.SlotAsk {
	b.nonce++
	return proto.SlotAsk{Nonce: b.nonce, Service: testService, Workspace: ws, Fingerprint: fp, Zone: "z", Remaining: time.Second, Exclude: exclude}
}

// ask returns the reply, or one without a status when the query waits.
func (b *bed) ask(ws model.WorkspaceID, fp model.Fingerprint, exclude ...model.TargetID) proto.SlotReply {
	return firstReply(b.from("e1", b.query(ws, fp, exclude...)))
}

func firstReply(out []Effect) proto.SlotReply {
	for _, e := range out {
		if s, ok := e.(Send); ok {
			if r, ok := s.Msg.(proto.SlotReply); ok {
				return r
			}
		}
	}
	return proto.SlotReply{}
}

func (b *bed) done(r proto.SlotReply, ws model.WorkspaceID, fp model.Fingerprint, end model.AttemptEnd) []Effect {
	return b.from("e1", proto.SlotDone{
		Service: testService, Slot: r.Slot, Workspace: ws, Fingerprint: fp,
		Attempt: model.Attempt{Target: r.Target, Incarnation: r.Incarnation, End: end, Latency: 20 * time.Millisecond},
	})
}

func (b *bed) status() ServiceStatus {
	list := b.o.Status(b.now)
	require.Len(b.t, list, 1)
	return list[0]
}

// Guards against a request that crashes one target after the other.
func TestCrashPatternIsQuarantined(t *testing.T) {
	b := newBed(t, 4)
	for range 2 {
		r := b.ask("w", 7)
		require.Equal(t, proto.SlotAssigned, r.Status)
		b.done(r, "w", 7, model.AttemptBroken)
		var next int
		_, err := fmt.Sscanf(string(r.Target), "t%d", &next)
		require.NoError(t, err)
		require.Empty(t, b.status().Quarantine)
		b.announce(next, 2, model.TargetReady)
	}
	require.IsType(t, Quarantined{}, b.out[0])
	require.Equal(t, proto.SlotQuarantined, b.ask("w", 7).Status)
	require.Equal(t, proto.SlotAssigned, b.ask("w", 8).Status, "another request")
	require.Equal(t, proto.SlotAssigned, b.ask("x", 7).Status, "another workspace")
	q := b.status().Quarantine
	require.Len(t, q, 1)
	require.Equal(t, 10*time.Minute, q[0].Remaining)
	for _, ts := range b.status().Targets {
		require.Zero(t, ts.ErrorScore, "a crash is no evidence of a gray failure")
	}

	b.from("c1", proto.QuarantineClear{Service: testService, Workspace: "w"})
	require.Equal(t, proto.SlotAssigned, b.ask("w", 7).Status)
}

// Guards against a third target crashing while the second crash is not
// confirmed yet: the caller sends the request again before the crashed target
// announces its new incarnation.
func TestResendWaitsForTheVerdictOfASecondCrash(t *testing.T) {
	b := newBed(t, 4)
	first := b.ask("w", 7)
	b.done(first, "w", 7, model.AttemptBroken)
	var n int
	_, err := fmt.Sscanf(string(first.Target), "t%d", &n)
	require.NoError(t, err)
	b.announce(n, 2, model.TargetReady)
	b.done(b.ask("w", 7), "w", 7, model.AttemptBroken)

	require.Equal(t, proto.SlotQuarantined, b.ask("w", 7).Status)
	require.Equal(t, proto.SlotAssigned, b.ask("w", 8).Status, "another request")
	b.now = b.now.Add(b.o.tune.CrashWindow + time.Second)
	b.step(Tick{})
	for i := range 4 {
		b.announce(i, 3, model.TargetReady)
	}
	require.Equal(t, proto.SlotAssigned, b.ask("w", 7).Status, "the second crash was never confirmed")
}

// Guards against a crash that is forgotten because the entry host had chosen
// the target while the service had no owner; a repeated report counts once.
func TestCrashOfALocalChoiceCounts(t *testing.T) {
	b := newBed(t, 4)
	for i := range 2 {
		require.Empty(t, b.status().Quarantine)
		report := proto.SlotDone{
			Service: testService, Workspace: "w", Fingerprint: 7,
			Attempt: model.Attempt{Target: model.TargetID(fmt.Sprintf("t%d", i)), Incarnation: 1, End: model.AttemptBroken},
		}
		b.from("e1", report)
		b.from("e1", report)
		b.announce(i, 2, model.TargetReady)
	}
	require.Equal(t, proto.SlotQuarantined, b.ask("w", 7).Status)
}

// Guards against a quarantine that never ends.
func TestQuarantineExpires(t *testing.T) {
	b := newBed(t, 2)
	s := b.o.service(b.now, testService)
	b.o.addCrash(b.now, s, "w", 7)
	b.o.addCrash(b.now, s, "w", 7)
	b.now = b.now.Add(10 * time.Minute)
	b.step(Tick{})
	b.announce(0, 1, model.TargetReady)
	require.Equal(t, proto.SlotAssigned, b.ask("w", 7).Status)
}

// Guards against quarantine of a request that only shared a target with the
// one that crashed it.
func TestBystanderOfCrashIsCleared(t *testing.T) {
	b := newBed(t, 4)
	s := b.o.service(b.now, testService)
	for range 3 {
		b.o.addCrash(b.now, s, "w", 9)
		b.done(b.ask("w", 9), "w", 9, model.AttemptOK)
	}
	require.Empty(t, b.status().Quarantine)
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*model.Config)
		fill   int
		ask    func(*bed) proto.SlotReply
		want   proto.SlotStatus
	}{
		{"retry budget spent", func(c *model.Config) { c.Defaults.RetryShare = 0 }, 0, func(b *bed) proto.SlotReply {
			for range 10 {
				b.done(b.ask("w", 1, "t0"), "w", 1, model.AttemptOK)
			}
			return b.ask("w", 1, "t0")
		}, proto.SlotNoRetry},
		{"queue of the workspace full", func(c *model.Config) { c.Defaults.QueueLimit = 2 }, 8, func(b *bed) proto.SlotReply {
			return b.ask("w", 1)
		}, proto.SlotQueueFull},
		{"queue of another workspace full", func(c *model.Config) { c.Defaults.QueueLimit = 2 }, 8, func(b *bed) proto.SlotReply {
			return b.ask("x", 1)
		}, 0},
		{"no time left", nil, 0, func(b *bed) proto.SlotReply {
			q := b.query("w", 1)
			q.Remaining = 0
			return firstReply(b.from("e1", q))
		}, proto.SlotTooLate},
		{"all targets tried", nil, 0, func(b *bed) proto.SlotReply { return b.ask("w", 1, "t0", "t1") }, proto.SlotNoTarget},
		{"shard of another owner", nil, 0, func(b *bed) proto.SlotReply {
			b.step(OwnershipLost{Shard: testShard()})
			return b.ask("w", 1)
		}, proto.SlotNotOwner},
		{"lease run out on the own clock", nil, 0, func(b *bed) proto.SlotReply {
			b.now = 1 << 60
			return b.ask("w", 1)
		}, proto.SlotNotOwner},
		{"targets silent for more than 3 s", nil, 0, func(b *bed) proto.SlotReply {
			b.now = b.now.Add(3*time.Second + time.Millisecond)
			b.step(Tick{})
			return b.ask("w", 1)
		}, proto.SlotNoTarget},
		{"targets leaving, with a late announcement from before", nil, 0, func(b *bed) proto.SlotReply {
			for i := range 2 {
				b.announce(i, 1, model.TargetLeaving)
				b.announce(i, 1, model.TargetReady)
			}
			return b.ask("w", 1)
		}, proto.SlotNoTarget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			change := tt.change
			if change == nil {
				change = func(*model.Config) {}
			}
			b := newBed(t, 2, change)
			for range tt.fill {
				b.ask("w", 1)
			}
			require.Equal(t, tt.want, tt.ask(b).Status)
		})
	}
}

// Guards against a loud workspace that takes the slots of the others: a freed
// slot goes to the workspace with the fewest slots in use.
func TestQueueIsFairByWorkspace(t *testing.T) {
	b := newBed(t, 2)
	var held []proto.SlotReply
	for range 6 {
		held = append(held, b.ask("loud", 1))
	}
	for range 20 {
		require.Zero(t, b.ask("loud", 1).Status)
	}
	require.Zero(t, b.ask("quiet", 1).Status)
	quiet := b.nonce
	require.Equal(t, quiet, firstReply(b.done(held[0], "loud", 1, model.AttemptOK)).Nonce)
}

// Guards against requests refused for lack of targets while a new owner learns them.
func TestNewOwnerLetsRequestsWaitForAnnouncements(t *testing.T) {
	b := newBed(t, 0)
	require.Zero(t, b.ask("w", 1).Status)
	b.announce(0, 1, model.TargetReady)
	require.Equal(t, proto.SlotAssigned, firstReply(b.out).Status)
}

// Guards against more connections to a target than it accepts: it is given to
// a bounded number of hosts.
func TestConnectionBudgetBoundsHosts(t *testing.T) {
	b := newBed(t, 1, func(c *model.Config) { c.Defaults.Connections = 6 })
	for i := range 3 {
		r := firstReply(b.from(model.HostID(fmt.Sprintf("h%d", i)), b.query("w", 1)))
		if i == 2 {
			require.Zero(t, r.Status, "a third host would exceed 6 connections at 3 slots")
			continue
		}
		require.Equal(t, proto.SlotAssigned, r.Status)
	}
	b.step(HostGone{Host: "h0"})
	require.Equal(t, proto.SlotAssigned, firstReply(b.out).Status)
}

// Guards against a zone preference that overloads the zone or holds on to lost targets.
func TestZonePreferenceGivesWay(t *testing.T) {
	b := newBed(t, 1)
	b.from("e0", proto.TargetNews{Announcement: model.Announcement{Service: testService, Target: "far", Zone: "y", Slots: 3, Incarnation: 1, State: model.TargetReady}})
	require.Equal(t, targetID(0), b.ask("w", 1).Target)
	require.Equal(t, targetID(0), b.ask("w", 1).Target)
	require.Equal(t, model.TargetID("far"), b.ask("w", 1).Target, "loaded by two thirds")
	b.announce(0, 1, model.TargetDraining)
	require.Equal(t, model.TargetID("far"), b.ask("w", 1).Target, "the zone is lost")
}

// Guards against slots that stay in use after lost reports, and against
// duplicates that free the slot of a later request.
func TestSlotsAreFreedOnce(t *testing.T) {
	b := newBed(t, 1)
	inUse := func() int { return b.status().Targets[0].InUse }
	q := b.query("w", 1)
	first := firstReply(b.from("e1", q))
	require.Equal(t, first, firstReply(b.from("e1", q)), "a repeated query gets the same slot")
	require.Equal(t, 1, inUse())
	b.done(first, "w", 1, model.AttemptOK)
	second := b.ask("w", 1)
	b.done(first, "w", 1, model.AttemptOK)
	require.Equal(t, 1, inUse())
	b.from("e1", proto.SlotCancel{Service: testService, Nonce: second.Nonce})
	require.Zero(t, inUse())
	b.ask("w", 1)
	b.now = b.now.Add(time.Second + 100*time.Millisecond)
	b.step(Tick{})
	require.Zero(t, inUse(), "the deadline frees the slot")
	b.ask("w", 1)
	b.step(HostGone{Host: "e1"})
	require.Zero(t, inUse())
}

// Guards against a restarted target that gets its full share while it is cold.
func TestColdTargetRampsUp(t *testing.T) {
	b := newBed(t, 4)
	b.now = b.now.Add(2 * time.Second)
	for i := range 4 {
		b.announce(i, 1, model.TargetReady)
	}
	b.announce(0, 2, model.TargetReady)
	share := func() float64 {
		n := 0
		for range 1000 {
			r := b.ask("w", 1)
			if r.Target == targetID(0) {
				n++
			}
			b.done(r, "w", 1, model.AttemptOK)
		}
		return float64(n) / 1000
	}
	require.Less(t, share(), 0.05)
	require.Equal(t, 1, b.status().Targets[0].SlotLimit)
	for range 11 {
		b.now = b.now.Add(time.Second)
		for i := range 4 {
			b.announce(i, 1+model.Incarnation(1-min(i, 1)), model.TargetReady)
		}
		b.step(Tick{})
	}
	require.InDelta(t, 0.25, share(), 0.05)
}

// Guards against an entry host that is cut off from the targets and has them
// ejected for all other hosts.
func TestHostThatIsCutOffEjectsNothing(t *testing.T) {
	for _, end := range []model.AttemptEnd{model.AttemptNotSent, model.AttemptBroken, model.AttemptTimeout} {
		b := newBed(t, 6)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range 2000 {
			b.now = b.now.Add(5 * time.Millisecond)
			from, how := model.HostID(fmt.Sprintf("h%d", i%7)), model.AttemptOK
			if rng.IntN(3) > 0 {
				from, how = "cut", end
			}
			r := firstReply(b.from(from, b.query("w", model.Fingerprint(i))))
			b.from(from, proto.SlotDone{Service: testService, Slot: r.Slot, Workspace: "w", Fingerprint: model.Fingerprint(i), Attempt: model.Attempt{
				Target: r.Target, Incarnation: r.Incarnation, End: how, Latency: 20 * time.Millisecond,
			}})
			b.step(Tick{})
			require.Empty(t, effects[Ejected](b.out))
			if i%100 == 0 {
				for n := range 6 {
					b.announce(n, 1, model.TargetReady)
				}
			}
		}
		require.Empty(t, b.status().Quarantine)
	}
}

// Guards against a floor that is broken once several targets fail, and against
// an ejected target that never returns.
func TestEjectionKeepsFloorAndReturns(t *testing.T) {
	b := newBed(t, 6)
	run := func(d time.Duration, bad int) (ejected, returned int) {
		for end := b.now.Add(d); b.now < end; {
			b.now = b.now.Add(5 * time.Millisecond)
			r := b.ask("w", 1)
			how := model.AttemptOK
			if int(r.Target[1]-'0') < bad {
				how = model.AttemptError
			}
			b.done(r, "w", 1, how)
			b.step(Tick{})
			ejected += len(effects[Ejected](b.out))
			returned += len(effects[Reinstated](b.out))
			st := b.status()
			require.GreaterOrEqual(t, float64(st.HealthySlots), 0.7*float64(st.AnnouncedSlots))
			if b.now%model.Instant(500*time.Millisecond) == 0 {
				for n := range 6 {
					b.announce(n, 1, model.TargetReady)
				}
			}
		}
		return ejected, returned
	}
	ejected, _ := run(2*time.Second, 2)
	require.Equal(t, 1, ejected, "the floor of 0.7 leaves room for one of six")
	var kept []TargetStatus
	for _, ts := range b.status().Targets {
		if ts.KeptByFloor {
			kept = append(kept, ts)
		}
	}
	require.Len(t, kept, 1)
	require.Contains(t, kept[0].Reason, "errors")
	// The target that the floor kept may be ejected once the other one returned.
	again, returned := run(15*time.Second, 0)
	require.Equal(t, ejected+again, returned)
	require.LessOrEqual(t, again, 1)
	require.Equal(t, 18, b.status().HealthySlots)
}

// attempt runs one request of a host on one target, whatever the owner would choose.
func (b *bed) attempt(from model.HostID, i int, fp model.Fingerprint, end model.AttemptEnd) {
	q := b.query("w", fp)
	for n := range len(b.o.services[testService].targets) {
		if n != i {
			q.Exclude = append(q.Exclude, targetID(n))
		}
	}
	b.o.services[testService].retryTokens = 1
	r := firstReply(b.from(from, q))
	require.Equal(b.t, proto.SlotAssigned, r.Status)
	b.from(from, proto.SlotDone{Service: testService, Slot: r.Slot, Workspace: "w", Fingerprint: fp, Attempt: model.Attempt{
		Target: r.Target, Incarnation: r.Incarnation, End: end, Latency: 20 * time.Millisecond,
	}})
}

// Guards against ejection of a target that only one host cannot reach, while
// that host reaches the others.
func TestTargetCutOffFromOneHostStays(t *testing.T) {
	b := newBed(t, 6)
	for i := range 3000 {
		b.now = b.now.Add(3 * time.Millisecond)
		b.attempt(model.HostID(fmt.Sprintf("h%d", i%5)), i%6, model.Fingerprint(i), model.AttemptOK)
		if i%12 == 0 {
			b.attempt("cut", 0, model.Fingerprint(i), model.AttemptNotSent)
			b.attempt("cut", 1, model.Fingerprint(i), model.AttemptOK)
		}
		b.step(Tick{})
		require.Empty(t, effects[Ejected](b.out))
		if i%300 == 0 {
			for n := range 6 {
				b.announce(n, 1, model.TargetReady)
			}
		}
	}
}

// Guards against a crash that only one host saw: a host that loses its
// connection sees a broken attempt and a refused connection at a healthy target.
func TestCrashNeedsASecondHost(t *testing.T) {
	b := newBed(t, 6)
	for i := range 18 {
		b.attempt(model.HostID(fmt.Sprintf("h%d", i/6)), i%6, 1, model.AttemptOK)
	}
	b.now = b.now.Add(time.Millisecond)
	b.attempt("h0", 0, 7, model.AttemptBroken)
	b.attempt("h0", 0, 8, model.AttemptNotSent)
	require.False(t, b.status().Targets[0].Ejected)
	b.attempt("h1", 0, 8, model.AttemptNotSent)
	require.True(t, b.status().Targets[0].Ejected)
	require.Contains(t, b.status().Targets[0].Reason, "crashed")
}

// Guards against a detection time that counts from before the failure, and
// against ejections of targets that were well that nobody hears of.
func TestDetectionTimeAndUnconfirmedEjections(t *testing.T) {
	b := newBed(t, 6)
	var ejected []Ejected
	unconfirmed := 0
	run := func(d time.Duration, bad string) {
		for end := b.now.Add(d); b.now < end; {
			b.now = b.now.Add(5 * time.Millisecond)
			r := b.ask("w", 1)
			how := model.AttemptOK
			if string(r.Target) == bad {
				how = model.AttemptError
			}
			b.done(r, "w", 1, how)
			b.step(Tick{})
			ejected = append(ejected, effects[Ejected](b.out)...)
			unconfirmed += len(effects[EjectionUnconfirmed](b.out))
			if b.now%model.Instant(500*time.Millisecond) == 0 {
				for n := range 6 {
					b.announce(n, 1, model.TargetReady)
				}
			}
		}
	}
	bad := string(targetID(2))
	run(15*time.Second, "")
	require.Zero(t, unconfirmed, "the first slow start follows no ejection")
	run(2*time.Second, bad)
	require.Len(t, ejected, 1)
	require.Equal(t, model.CauseErrors, ejected[0].Cause)
	require.Positive(t, ejected[0].DetectionTime)
	require.Less(t, ejected[0].DetectionTime, 2*time.Second, "the failure began 2 s ago at most")

	run(8*time.Second, bad)
	require.Greater(t, len(ejected), 1, "it fails again when it returns")
	require.Zero(t, unconfirmed)
	again := len(ejected)
	run(60*time.Second, "")
	require.Len(t, ejected, again)
	require.Equal(t, 1, unconfirmed)
}

// Guards against a target that fails during its slow start and is reported as
// one that was ejected for nothing while it is out again.
func TestNoSlowStartOutlivesAnEjection(t *testing.T) {
	b := newBed(t, 6)
	s := b.o.services[testService]
	bad := s.byTarget[targetID(2)]
	b.o.takeBack(b.now, s, bad)
	bad.takeOut(b.now, b.now.Add(time.Minute))
	b.now = b.now.Add(b.o.tune.SlowStart + time.Second)
	for n := range 6 {
		b.announce(n, 1, model.TargetReady)
	}
	b.step(Tick{})
	require.Empty(t, effects[EjectionUnconfirmed](b.out))
}
