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

// Guards against reserves that are used twice: by an owner that granted them
// after all, or by an owner that is not the next one. The loads come in bursts
// around each change of owner, so that every token of a bucket is used at once.
func TestBoundWithReserves(t *testing.T) {
	for seed := range countFromEnv("ADMIT_SCHEDULES", 64) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			reserveSchedule(t, seed)
		})
	}
}

func (f *fleet) deepLimits() model.Limits {
	rate := 20 + 100*f.r.Float64()
	return model.Limits{Rate: rate, Burst: rate * (0.5 + 2*f.r.Float64())}
}

func reserveSchedule(t *testing.T, seed uint64) {
	f := newFleet(t, seed, 5, map[model.WorkspaceID]model.Limits{"a": {Rate: 50, Burst: 100}, "b": {Rate: 40, Burst: 20}})
	f.faults, f.tell = true, 50*time.Millisecond
	any := func() *fleetHost { return f.hosts[f.r.IntN(len(f.hosts))] }
	f.own(f.hosts[0])
	for _, ws := range []model.WorkspaceID{"a", "b"} {
		f.poisson(ws, f.tracks[ws].most.Rate*f.r.Float64(), any)
	}
	for range 15 {
		if f.r.IntN(2) == 0 {
			f.heal()
		}
		f.runUntil(f.now + time.Duration(f.r.Int64N(3e9)))
		for range f.r.IntN(3) {
			f.reserveFault(any)
			f.runUntil(f.now + time.Duration(f.r.Int64N(3e9)))
		}
		f.change(any)
	}
	require.Positive(t, f.tracks["a"].admitted)
}

// flood offers more requests at once than a bucket holds.
func (f *fleet) flood(any func() *fleetHost) {
	for _, ws := range []model.WorkspaceID{"a", "b"} {
		for range int(1.5 * f.tracks[ws].most.Burst) {
			if h := any(); f.now >= h.frozen {
				f.arrive(h, ws)
			}
		}
	}
}

// heal ends all faults, so that buckets fill and the standby holds reserves.
func (f *fleet) heal() {
	clear(f.cut)
	clear(f.apart)
	f.loss, f.forgetful = 0, false
	if f.now >= f.owner.until {
		f.own(f.standby)
	}
}

// change lets the owner grant what it can, then moves the shards up to three
// times in a row. At times the standby does not answer for longer than its
// notes live, or does not hear of new limits, another owner or a smaller reserve.
func (f *fleet) change(any func() *fleetHost) {
	switch f.r.IntN(7) {
	case 0, 1:
		f.apart[[2]*fleetHost{f.standby, f.owner}] = true
		f.runUntil(f.now + 4*time.Second + time.Duration(f.r.Int64N(4e9)))
	case 2:
		f.settle()
		f.apart[[2]*fleetHost{f.owner, f.standby}] = true
		l := f.deepLimits()
		f.setLimits("a", model.Limits{Rate: l.Rate, Burst: max(l.Rate/10, l.Burst/8)})
		f.runUntil(f.now + maxValid + time.Duration(f.r.Int64N(1e9)))
	case 3:
		f.passBy(any())
	case 4:
		f.settle()
		f.apart[[2]*fleetHost{f.owner, f.standby}] = true
		f.flood(any)
		f.runUntil(f.now + 50*time.Millisecond + time.Duration(f.r.Int64N(500e6)))
		f.flood(any)
		f.toStandby(any)
	}
	for range 1 + f.r.IntN(3) {
		if f.r.IntN(2) == 0 {
			f.flood(any)
			f.runUntil(f.now + time.Duration(f.r.Int64N(100e6)))
		}
		to := f.next(any)
		if f.now < f.owner.until && f.now >= f.owner.frozen {
			f.release(to)
		} else {
			f.runUntil(max(f.now, f.owner.until))
			f.own(to)
		}
		f.runUntil(f.now + time.Duration(f.r.Int64N(15e8)*f.r.Int64N(2)) + time.Duration(f.r.Int64N(100e6)))
		f.flood(any)
		f.runUntil(f.now + time.Duration(f.r.Int64N(200e6)))
	}
}

// settle ends all faults and lets buckets fill after the requests that wait.
func (f *fleet) settle() {
	f.heal()
	if f.owner == f.standby {
		f.stand(f.hosts[(slices.Index(f.hosts, f.owner)+1)%len(f.hosts)])
	}
	f.owner.frozen, f.standby.frozen = 0, 0
	f.runUntil(f.now + settleTime + 3*time.Second)
}

// toStandby moves the shards to the standby and uses what it holds.
func (f *fleet) toStandby(any func() *fleetHost) {
	if f.now < f.owner.until && f.standby != f.owner {
		f.release(f.standby)
	}
	f.runUntil(f.now + time.Duration(f.r.Int64N(100e6)))
	f.flood(any)
}

// passBy moves the shards to an owner whose notes the standby does not hear,
// and back to the standby once that owner's buckets have filled and emptied.
func (f *fleet) passBy(h *fleetHost) {
	f.settle()
	if h == f.standby || f.now < h.frozen || f.now >= f.owner.until {
		return
	}
	any := func() *fleetHost { return f.hosts[f.r.IntN(len(f.hosts))] }
	f.apart[[2]*fleetHost{h, f.standby}] = true
	f.release(h)
	f.runUntil(f.now + 2500*time.Millisecond + time.Duration(f.r.Int64N(1e9)))
	f.flood(any)
	f.runUntil(f.now + 50*time.Millisecond)
	f.forgetful = f.r.IntN(2) == 0
	f.toStandby(any)
}

func (f *fleet) reserveFault(any func() *fleetHost) {
	h := any()
	switch f.r.IntN(12) {
	case 0:
		h.frozen = f.now + time.Duration(f.r.Int64N(25e8))
	case 1:
		f.restart(h)
	case 2:
		f.restart(f.standby)
	case 3:
		f.cut[h] = true
	case 4, 5:
		f.apart[[2]*fleetHost{f.owner, f.standby}] = f.r.IntN(3) > 0
		f.apart[[2]*fleetHost{f.standby, f.owner}] = f.r.IntN(3) > 0
	case 6:
		f.loss = f.r.Float64() * 0.3
	case 7, 8:
		f.setLimits("a", f.deepLimits())
	case 9:
		f.stand(h)
	case 10:
		f.forgetful = !f.forgetful
	default:
		f.heal()
	}
	if f.now >= f.owner.until {
		f.own(f.next(any))
	}
}

// standbyPair is an owner and its standby, both with instants of their own.
type standbyPair struct {
	t              *testing.T
	owner, standby *Owner
	shard          model.ShardID
}

const (
	ownerStart   = 100 * time.Second
	standbyStart = 7 * time.Second
)

func newStandbyPair(t *testing.T) *standbyPair {
	o, shard := admitOwner(model.Limits{Rate: 50, Burst: 100})
	p := &standbyPair{t: t, owner: o, standby: NewOwner("s", WithIncarnation(9)), shard: shard}
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Limits = model.Limits{Rate: 50, Burst: 100}
	p.standby.Step(0, Configured{Config: cfg})
	var standbys StandbysChanged
	standbys.Standbys[shard] = "s"
	o.Step(0, standbys)
	return p
}

// tick lets the owner act at a time since the start of the test and exchanges all notes.
func (p *standbyPair) tick(at time.Duration) (tokens int) {
	for _, e := range p.owner.Step(model.Instant(ownerStart+at), Tick{}) {
		m := e.(Send).Msg.(proto.StandbyNote)
		for _, r := range m.Reserves {
			tokens = r.Tokens
		}
		ack := p.standby.Step(model.Instant(standbyStart+at), Received{From: "o", Msg: m})[0].(Send).Msg
		p.owner.Step(model.Instant(ownerStart+at), Received{From: "s", Msg: ack})
	}
	return tokens
}

// Guards against a standby that starts with tokens that its predecessor's note
// does not give it, and against one that starts empty although the note is good.
func TestReserveOfTheEpochBefore(t *testing.T) {
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
		{"expired", OwnershipGained{Epoch: 2, PreviousEpoch: 1}, noteValid, model.Limits{Rate: 50, Burst: 100}, 0},
		{"other limits", OwnershipGained{Epoch: 2, PreviousEpoch: 1}, 0, model.Limits{Rate: 50, Burst: 99}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newStandbyPair(t)
			drawFrom(p.owner, ownerStart, 1, 1)
			p.tick(0)
			require.Equal(t, 44, p.tick(20*time.Millisecond))
			cfg := model.NewConfig(nil, nil)
			cfg.Defaults.Limits = tt.limits
			now := standbyStart + 20*time.Millisecond + tt.after
			p.standby.Step(model.Instant(now), Configured{Config: cfg})
			tt.ev.Shard, tt.ev.Until = p.shard, 1<<60
			p.standby.Step(model.Instant(now), tt.ev)
			require.Equal(t, tt.want, drawFrom(p.standby, now, 1, 1000).GrantedTokens)
		})
	}
}

// Guards against a delayed note that lives longer than its owner expects, and
// against a note for an earlier run of the standby.
func TestDelayedNoteOfAnEarlierInstant(t *testing.T) {
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
			require.Equal(t, tt.want, drawFrom(p.standby, tt.gainedAt, 1, 1000).GrantedTokens)
		})
	}
}

// Guards against granting what a standby may hold before it acknowledged a
// smaller reserve, and against a standby that blocks the reserve for ever.
func TestReserveIsLoweredOnlyByAnAcknowledgement(t *testing.T) {
	p := newStandbyPair(t)
	drawFrom(p.owner, ownerStart, 1, 1)
	p.tick(0)
	p.tick(20 * time.Millisecond)
	now := ownerStart + 30*time.Millisecond
	out := p.owner.Step(model.Instant(now), Received{From: "e", Msg: proto.DrawAsk{Nonce: 2, Workspace: "w", Tokens: 1000}})
	require.Equal(t, 45, out[0].(Send).Msg.(proto.DrawReply).GrantedTokens, "the reserve of 44 stays")
	lower := out[1].(Send).Msg.(proto.StandbyNote)
	require.Zero(t, lower.Reserves[0].Tokens)
	require.Less(t, drawFrom(p.owner, now, 3, 1000).GrantedTokens, 2)
	ack := p.standby.Step(model.Instant(standbyStart+31*time.Millisecond), Received{From: "o", Msg: lower})[0].(Send).Msg
	p.owner.Step(model.Instant(now), Received{From: "s", Msg: ack})
	require.Equal(t, 44, drawFrom(p.owner, now, 4, 1000).GrantedTokens)

	p = newStandbyPair(t)
	drawFrom(p.owner, ownerStart, 1, 1)
	p.tick(0)
	p.tick(20 * time.Millisecond)
	require.Equal(t, 45, drawFrom(p.owner, ownerStart+4*time.Second, 2, 1000).GrantedTokens, "still valid")
	require.Equal(t, 54, drawFrom(p.owner, ownerStart+4200*time.Millisecond, 3, 1000).GrantedTokens, "expired, and 0.2 s of filling")
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
