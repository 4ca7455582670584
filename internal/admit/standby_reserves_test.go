package admit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/wire"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestBoundWithReserves guards against reserves that are used twice: by the
// standby and by the owner that set them aside, or by the standby although
// another host owned the shard in between. The load comes in bursts around each
// change of owner, so that every token of a bucket is used at once.
func TestBoundWithReserves(t *testing.T) {
	for seed := range countFromEnv("ADMIT_SCHEDULES", 64) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runReserveSchedule(t, seed)
		})
	}
}

// burstyLimits returns random limits with a burst of 0.5 to 2.5 s of the rate.
func (f *fleet) burstyLimits() model.Limits {
	rate := 20 + 100*f.r.Float64()
	return model.Limits{Rate: rate, Burst: rate * (0.5 + 2*f.r.Float64())}
}

func runReserveSchedule(t *testing.T, seed uint64) {
	f := newFleet(t, seed, 5, map[model.WorkspaceID]model.Limits{"a": {Rate: 50, Burst: 100}, "b": {Rate: 40, Burst: 20}})
	f.networkFaults, f.maxOwnerDelay = true, 50*time.Millisecond
	anyHost := func() *fleetHost { return f.hosts[f.r.IntN(len(f.hosts))] }
	f.setOwner(f.hosts[0])
	for _, ws := range []model.WorkspaceID{"a", "b"} {
		f.poisson(ws, f.stats[ws].maxLimits.Rate*f.r.Float64(), anyHost)
	}
	for range 15 {
		if f.r.IntN(2) == 0 {
			f.heal()
		}
		f.runUntil(f.now + time.Duration(f.r.Int64N(3e9)))
		for range f.r.IntN(3) {
			f.injectReserveFault(anyHost)
			f.runUntil(f.now + time.Duration(f.r.Int64N(3e9)))
		}
		f.changeOwner(anyHost)
	}
	require.Positive(t, f.stats["a"].admitted)
}

// flood offers more requests at once than a bucket holds.
func (f *fleet) flood(anyHost func() *fleetHost) {
	for _, ws := range []model.WorkspaceID{"a", "b"} {
		for range int(1.5 * f.stats[ws].maxLimits.Burst) {
			if h := anyHost(); f.now >= h.frozenUntil {
				f.arrive(h, ws)
			}
		}
	}
}

// heal ends all network faults, so that buckets fill and the standby holds
// reserves. If no host holds the lease, the standby becomes the owner.
func (f *fleet) heal() {
	clear(f.isolated)
	clear(f.brokenLinks)
	f.lossRate, f.previousEpochUnknown = 0, false
	if f.now >= f.owner.leaseUntil {
		f.setOwner(f.standby)
	}
}

// changeOwner moves the shards one to three times in a row, at times after the
// owner has granted all that it can. In some cases the standby does not answer
// for longer than its reserves are valid, or it does not receive new limits, a
// change of owner or a smaller reserve.
func (f *fleet) changeOwner(anyHost func() *fleetHost) {
	switch f.r.IntN(7) {
	case 0, 1:
		f.brokenLinks[[2]*fleetHost{f.standby, f.owner}] = true
		f.runUntil(f.now + 4*time.Second + time.Duration(f.r.Int64N(4e9)))
	case 2:
		f.settle()
		f.brokenLinks[[2]*fleetHost{f.owner, f.standby}] = true
		l := f.burstyLimits()
		f.setLimits("a", model.Limits{Rate: l.Rate, Burst: max(l.Rate/10, l.Burst/8)})
		f.runUntil(f.now + maxTokenValidity + time.Duration(f.r.Int64N(1e9)))
	case 3:
		f.bypassStandby(anyHost())
	case 4:
		f.settle()
		f.brokenLinks[[2]*fleetHost{f.owner, f.standby}] = true
		f.flood(anyHost)
		f.runUntil(f.now + 50*time.Millisecond + time.Duration(f.r.Int64N(500e6)))
		f.flood(anyHost)
		f.moveToStandby(anyHost)
	}
	for range 1 + f.r.IntN(3) {
		if f.r.IntN(2) == 0 {
			f.flood(anyHost)
			f.runUntil(f.now + time.Duration(f.r.Int64N(100e6)))
		}
		to := f.nextOwner(anyHost)
		if f.now < f.owner.leaseUntil && f.now >= f.owner.frozenUntil {
			f.release(to)
		} else {
			f.runUntil(max(f.now, f.owner.leaseUntil))
			f.setOwner(to)
		}
		f.runUntil(f.now + time.Duration(f.r.Int64N(15e8)*f.r.Int64N(2)) + time.Duration(f.r.Int64N(100e6)))
		f.flood(anyHost)
		f.runUntil(f.now + time.Duration(f.r.Int64N(200e6)))
	}
}

// settle ends all faults, makes sure that the standby is not the owner, and
// waits until the waiting requests are decided and the buckets have filled.
func (f *fleet) settle() {
	f.heal()
	if f.owner == f.standby {
		f.setStandby(f.hosts[(slices.Index(f.hosts, f.owner)+1)%len(f.hosts)])
	}
	f.owner.frozenUntil, f.standby.frozenUntil = 0, 0
	f.runUntil(f.now + settlePeriod + 3*time.Second)
}

// moveToStandby moves the shards to the standby and uses the reserves that it holds.
func (f *fleet) moveToStandby(anyHost func() *fleetHost) {
	if f.now < f.owner.leaseUntil && f.standby != f.owner {
		f.release(f.standby)
	}
	f.runUntil(f.now + time.Duration(f.r.Int64N(100e6)))
	f.flood(anyHost)
}

// bypassStandby moves the shards to another owner, whose notes do not reach the
// standby. It moves them on to the standby once that owner's buckets have filled
// and emptied.
func (f *fleet) bypassStandby(h *fleetHost) {
	f.settle()
	if h == f.standby || f.now < h.frozenUntil || f.now >= f.owner.leaseUntil {
		return
	}
	anyHost := func() *fleetHost { return f.hosts[f.r.IntN(len(f.hosts))] }
	f.brokenLinks[[2]*fleetHost{h, f.standby}] = true
	f.release(h)
	f.runUntil(f.now + 2500*time.Millisecond + time.Duration(f.r.Int64N(1e9)))
	f.flood(anyHost)
	f.runUntil(f.now + 50*time.Millisecond)
	f.previousEpochUnknown = f.r.IntN(2) == 0
	f.moveToStandby(anyHost)
}

func (f *fleet) injectReserveFault(anyHost func() *fleetHost) {
	h := anyHost()
	switch f.r.IntN(12) {
	case 0:
		h.frozenUntil = f.now + time.Duration(f.r.Int64N(25e8))
	case 1:
		f.restart(h)
	case 2:
		f.restart(f.standby)
	case 3:
		f.isolated[h] = true
	case 4, 5:
		f.brokenLinks[[2]*fleetHost{f.owner, f.standby}] = f.r.IntN(3) > 0
		f.brokenLinks[[2]*fleetHost{f.standby, f.owner}] = f.r.IntN(3) > 0
	case 6:
		f.lossRate = f.r.Float64() * 0.3
	case 7, 8:
		f.setLimits("a", f.burstyLimits())
	case 9:
		f.setStandby(h)
	case 10:
		f.previousEpochUnknown = !f.previousEpochUnknown
	default:
		f.heal()
	}
	if f.now >= f.owner.leaseUntil {
		f.setOwner(f.nextOwner(anyHost))
	}
}

// standbyPair is an owner of the shard of workspace "w" and its standby, whose
// clocks differ.
type standbyPair struct {
	t              *testing.T
	owner, standby *Owner
	shard          model.ShardID
}

// Instants of the clocks of a standbyPair at the start of a test.
const (
	ownerClockOffset   = 100 * time.Second
	standbyClockOffset = 7 * time.Second
)

func newStandbyPair(t *testing.T) *standbyPair {
	o, shard := newTestOwner(model.Limits{Rate: 50, Burst: 100})
	p := &standbyPair{t: t, owner: o, standby: NewOwner("s", WithIncarnation(9)), shard: shard}
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Limits = model.Limits{Rate: 50, Burst: 100}
	p.standby.Step(0, Configured{Config: cfg})
	var standbys StandbysChanged
	standbys.Standbys[shard] = "s"
	o.Step(0, standbys)
	return p
}

// tick sends a Tick to the owner at a time since the start of the test and
// delivers its notes and their acknowledgements. It returns the tokens of the
// last reserve that a note contained, or 0.
func (p *standbyPair) tick(at time.Duration) (tokens int) {
	for _, e := range p.owner.Step(model.Instant(ownerClockOffset+at), Tick{}) {
		m := e.(Send).Msg.(proto.StandbyNote)
		for _, r := range m.Reserves {
			tokens = r.Tokens
		}
		ack := p.standby.Step(model.Instant(standbyClockOffset+at), Received{From: "o", Msg: m})[0].(Send).Msg
		p.owner.Step(model.Instant(ownerClockOffset+at), Received{From: "s", Msg: ack})
	}
	return tokens
}

// TestStandbyUsesOnlyTheReserveOfThePreviousEpoch guards against a new owner
// that starts with a reserve that is void, because it expired, the limits
// changed or another epoch came in between, and against one that starts empty
// although the reserve is valid.
func TestStandbyUsesOnlyTheReserveOfThePreviousEpoch(t *testing.T) {
	tests := []struct {
		name   string
		ev     OwnershipGained
		after  time.Duration
		limits model.Limits
		want   int
	}{
		{"the next owner", OwnershipGained{Epoch: 2, PreviousEpoch: 1}, 0, model.Limits{Rate: 50, Burst: 100}, 44},
		{"an epoch in between", OwnershipGained{Epoch: 3, PreviousEpoch: 2}, 0, model.Limits{Rate: 50, Burst: 100}, 0},
		{"seats that forgot", OwnershipGained{Epoch: 2}, 0, model.Limits{Rate: 50, Burst: 100}, 0},
		{"expired", OwnershipGained{Epoch: 2, PreviousEpoch: 1}, reserveValidity, model.Limits{Rate: 50, Burst: 100}, 0},
		{"other limits", OwnershipGained{Epoch: 2, PreviousEpoch: 1}, 0, model.Limits{Rate: 50, Burst: 99}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newStandbyPair(t)
			drawTokens(p.owner, ownerClockOffset, 1, 1)
			p.tick(0)
			require.Equal(t, 44, p.tick(20*time.Millisecond))
			cfg := model.NewConfig(nil, nil)
			cfg.Defaults.Limits = tt.limits
			now := standbyClockOffset + 20*time.Millisecond + tt.after
			p.standby.Step(model.Instant(now), Configured{Config: cfg})
			tt.ev.Shard, tt.ev.Until = p.shard, 1<<60
			p.standby.Step(model.Instant(now), tt.ev)
			require.Equal(t, tt.want, drawTokens(p.standby, now, 1, 1000).GrantedTokens)
		})
	}
}

// TestDelayedNoteExpiresAtTheSameTime guards against a reserve that the standby
// uses after the owner considers it expired, because its note was delayed, and
// against a reserve that was meant for an earlier run of the standby.
func TestDelayedNoteExpiresAtTheSameTime(t *testing.T) {
	tests := []struct {
		name     string
		run      model.Incarnation
		gainedAt time.Duration
		want     int
	}{
		{"in time", 9, 13900 * time.Millisecond, 40},
		{"delayed by 3 s", 9, 14 * time.Second, 0},
		{"of an earlier run", 8, 13500 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newStandbyPair(t)
			limits := model.Limits{Rate: 50, Burst: 100}
			note := proto.StandbyNote{
				Shard: p.shard, Epoch: 1, Nonce: 1, StandbyIncarnation: tt.run, AckedAt: model.Instant(10 * time.Second),
				Reserves: []proto.TokenReserve{{Workspace: "w", Limits: limits, Tokens: 40}},
			}
			out := p.standby.Step(model.Instant(13*time.Second), Received{From: "o", Msg: note})
			require.Equal(t, tt.run == 9, out[0].(Send).Msg.(proto.StandbyAck).Stored)
			p.standby.Step(model.Instant(tt.gainedAt), OwnershipGained{Shard: p.shard, Epoch: 2, PreviousEpoch: 1, Until: 1 << 60})
			require.Equal(t, tt.want, drawTokens(p.standby, tt.gainedAt, 1, 1000).GrantedTokens)
		})
	}
}

// TestReserveIsLoweredOnlyByAnAcknowledgement guards against an owner that
// grants tokens of a reserve before the standby acknowledged a smaller one, and
// against a standby that no longer answers and so blocks its reserve for ever.
func TestReserveIsLoweredOnlyByAnAcknowledgement(t *testing.T) {
	p := newStandbyPair(t)
	drawTokens(p.owner, ownerClockOffset, 1, 1)
	p.tick(0)
	p.tick(20 * time.Millisecond)
	now := ownerClockOffset + 30*time.Millisecond
	out := p.owner.Step(model.Instant(now), Received{From: "e", Msg: proto.DrawAsk{Nonce: 2, Workspace: "w", Tokens: 1000}})
	require.Equal(t, 45, out[0].(Send).Msg.(proto.DrawReply).GrantedTokens, "the reserve of 44 stays")
	lower := out[1].(Send).Msg.(proto.StandbyNote)
	require.Zero(t, lower.Reserves[0].Tokens)
	require.Less(t, drawTokens(p.owner, now, 3, 1000).GrantedTokens, 2)
	ack := p.standby.Step(model.Instant(standbyClockOffset+31*time.Millisecond), Received{From: "o", Msg: lower})[0].(Send).Msg
	p.owner.Step(model.Instant(now), Received{From: "s", Msg: ack})
	require.Equal(t, 44, drawTokens(p.owner, now, 4, 1000).GrantedTokens)

	p = newStandbyPair(t)
	drawTokens(p.owner, ownerClockOffset, 1, 1)
	p.tick(0)
	p.tick(20 * time.Millisecond)
	require.Equal(t, 45, drawTokens(p.owner, ownerClockOffset+4*time.Second, 2, 1000).GrantedTokens, "still valid")
	require.Equal(t, 54, drawTokens(p.owner, ownerClockOffset+4200*time.Millisecond, 3, 1000).GrantedTokens, "expired, and 0.2 s of filling")
}

// TestMeasureNotes prints the bytes of notes and acknowledgements, in both
// directions, of one owner whose workspaces use 70 % of their rates.
func TestMeasureNotes(t *testing.T) {
	if os.Getenv("ADMIT_MEASURE") == "" {
		t.Skip("set ADMIT_MEASURE to measure")
	}
	for _, workspaces := range []int{8, 5000} {
		for _, l := range []model.Limits{{Rate: 10, Burst: 12}, {Rate: 50, Burst: 100}} {
			bytes, messages := measureNotes(t, workspaces, l)
			fmt.Printf("%d workspaces, rate %v, burst %v: %.0f B/s, %.0f messages/s\n", workspaces, l.Rate, l.Burst, bytes, messages)
		}
	}
}

// measureNotes returns the bytes and messages per second that an owner and its
// standby exchange about a number of workspaces with limits l.
func measureNotes(t *testing.T, workspaces int, l model.Limits) (bytes, messages float64) {
	const span, tick = 10 * time.Second, 20 * time.Millisecond
	codec, err := wire.NewCodec()
	require.NoError(t, err)
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Limits = l
	owner, standby := NewOwner("entry-1", WithIncarnation(1)), NewOwner("entry-2", WithIncarnation(2))
	var standbys StandbysChanged
	for s := range standbys.Standbys {
		standbys.Standbys[s] = "entry-2"
	}
	owner.Step(0, Configured{Config: cfg})
	owner.Step(0, standbys)
	for s := range model.ShardID(model.WorkspaceShards) {
		owner.Step(0, OwnershipGained{Shard: s, Epoch: 1790000000000, Until: 1 << 60})
	}
	r := rand.New(rand.NewPCG(1, 1))
	sum, n := 0, 0
	count := func(from, to model.HostID, m proto.Message) {
		frame, err := codec.Encode(proto.Envelope{From: from, To: to, Body: m})
		require.NoError(t, err)
		sum += len(frame)
		n++
	}
	exchange := func(now model.Instant, ev Event) {
		var notes []proto.StandbyNote
		for _, e := range owner.Step(now, ev) {
			if m, ok := e.(Send).Msg.(proto.StandbyNote); ok {
				notes = append(notes, m)
			}
		}
		for _, m := range notes {
			count("entry-1", "entry-2", m)
			ack := standby.Step(now, Received{From: "entry-1", Msg: m})[0].(Send).Msg
			count("entry-2", "entry-1", ack)
			owner.Step(now, Received{From: "entry-2", Msg: ack})
		}
	}
	nonce := uint64(0)
	perTick := 0.7 * l.Rate * tick.Seconds()
	for now := model.Instant(10 * time.Second); now < model.Instant(20*time.Second+span); now = now.Add(tick) {
		if now == model.Instant(20*time.Second) {
			sum, n = 0, 0
		}
		for w := range workspaces {
			for k := perTick; r.Float64() < k; k-- {
				nonce++
				exchange(now, Received{From: "entry-3", Msg: proto.DrawAsk{Nonce: nonce, Workspace: model.WorkspaceID(fmt.Sprint("shop-", w)), Tokens: 1}})
			}
		}
		exchange(now, Tick{})
	}
	return float64(sum) / span.Seconds(), float64(n) / span.Seconds()
}
