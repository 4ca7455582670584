package admit

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// countFromEnv returns the number in an environment variable, or fallback if
// it holds none.
func countFromEnv(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// TestBoundUnderRandomSchedules guards against more used tokens than rate × T +
// burst in any window of length T. The schedules combine lost and delayed
// messages, drifting clocks, frozen and restarted hosts, changes of owner and
// changes of limits.
func TestBoundUnderRandomSchedules(t *testing.T) {
	for seed := range countFromEnv("ADMIT_SCHEDULES", 24) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runBoundSchedule(t, seed)
		})
	}
}

func (f *fleet) randomLimits() model.Limits {
	rate := 5 * (1 + f.r.Float64()*60)
	return model.Limits{Rate: rate, Burst: max(2, 1+rate/20) + f.r.Float64()*f.r.Float64()*rate}
}

// runBoundSchedule runs one random schedule of load and faults. The fleet fails
// the test if a token is used beyond the bound.
func runBoundSchedule(t *testing.T, seed uint64) {
	f := newFleet(t, seed, 6, map[model.WorkspaceID]model.Limits{"a": {Rate: 100, Burst: 20}, "b": {Rate: 20, Burst: 2}})
	f.networkFaults = true
	f.setOwner(f.hosts[0])
	anyHost := func() *fleetHost { return f.hosts[f.r.IntN(len(f.hosts))] }
	f.setLimits("a", f.randomLimits())
	for _, ws := range []model.WorkspaceID{"a", "b"} {
		f.poisson(ws, f.stats[ws].maxLimits.Rate*(0.5+4*f.r.Float64()), anyHost)
	}
	for range 25 {
		f.injectFault(anyHost)
		f.runUntil(f.now + time.Duration(f.r.Int64N(9e8)))
	}
	require.Positive(t, f.stats["a"].admitted)
}

// injectFault applies one random fault or change of owner, limits or standby, and
// sets a new owner if the lease of the current one has expired.
func (f *fleet) injectFault(pick func() *fleetHost) {
	h := pick()
	switch f.r.IntN(10) {
	case 0:
		h.frozenUntil = f.now + time.Duration(f.r.Int64N(25e8))
	case 1:
		f.restart(h)
	case 2, 3:
		if f.now >= f.owner.frozenUntil && !f.isolated[f.owner] && f.now < f.owner.leaseUntil {
			f.release(h)
		}
	case 4:
		f.isolated[h] = !f.isolated[h]
	case 5:
		f.lossRate = f.r.Float64() * 0.3
	case 6:
		f.setLimits("a", f.randomLimits())
	case 7:
		f.setStandby(h)
	case 8:
		f.previousEpochUnknown = !f.previousEpochUnknown
	default:
		clear(f.isolated)
	}
	if f.now >= f.owner.leaseUntil {
		f.setOwner(f.nextOwner(pick))
	}
}

// nextOwner returns the standby in two cases of three, unless it is frozen, and
// otherwise the host that pick returns.
func (f *fleet) nextOwner(pick func() *fleetHost) *fleetHost {
	if f.r.IntN(3) > 0 && f.now >= f.standby.frozenUntil {
		return f.standby
	}
	return pick()
}

// restart starts a host again without its memory. If it is the owner, it is
// isolated, so that no host owns the shards until the lease ends.
func (f *fleet) restart(h *fleetHost) {
	f.start(h)
	if h == f.owner {
		f.isolated[h] = true
	}
}

// newTestOwner returns an owner that gained the shard of workspace "w" at
// instant 0, and that shard.
func newTestOwner(limits model.Limits) (*Owner, model.ShardID) {
	o := NewOwner("o")
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Limits = limits
	shard := model.WorkspaceShard("w")
	o.Step(0, Configured{Config: cfg})
	o.Step(0, OwnershipGained{Shard: shard, Epoch: 1, Until: 1 << 60})
	return o, shard
}

// drawTokens draws tokens of workspace "w" for host "e" and returns the reply.
func drawTokens(o *Owner, now time.Duration, nonce uint64, tokens int) proto.DrawReply {
	out := o.Step(model.Instant(now), Received{From: "e", Msg: proto.DrawAsk{Nonce: nonce, Workspace: "w", Tokens: tokens}})
	return out[0].(Send).Msg.(proto.DrawReply)
}

// TestNewBucketStartsEmptyAndRepeatedAskDrawsOnce guards against a new owner
// that grants tokens before those of the earlier owner have expired, and
// against a repeated DrawAsk that draws twice.
func TestNewBucketStartsEmptyAndRepeatedAskDrawsOnce(t *testing.T) {
	o, shard := newTestOwner(model.Limits{Rate: 100, Burst: 50})
	require.Zero(t, drawTokens(o, maxTokenValidity, 1, 5).GrantedTokens)
	full := drawTokens(o, 10*time.Second, 2, 1000)
	require.Equal(t, 29, full.GrantedTokens, "burst - rate × E, rounded down")
	require.Equal(t, full.GrantedTokens, drawTokens(o, 10*time.Second, 2, 1000).GrantedTokens)
	require.Zero(t, drawTokens(o, 10*time.Second, 3, 1000).GrantedTokens)
	o.Step(0, OwnershipLost{Shard: shard})
	require.True(t, drawTokens(o, 11*time.Second, 4, 1).NotOwner)
}

// TestChangedLimitsApplyAtOnce guards against more tokens than the new limits
// allow after a change: tokens drawn under the old limits may still be in use
// while the bucket is refilled at the new rate, and a full bucket may hold more
// than a reduced burst.
func TestChangedLimitsApplyAtOnce(t *testing.T) {
	tests := []struct {
		name string
		draw int
		next model.Limits
		want int
	}{
		{"raised after a full draw", 100, model.Limits{Rate: 400, Burst: 100}, 0},
		{"lowered with a full bucket", 0, model.Limits{Rate: 50, Burst: 10}, 5},
		{"the same", 0, model.Limits{Rate: 50, Burst: 100}, 89},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, _ := newTestOwner(model.Limits{Rate: 50, Burst: 100})
			drawTokens(o, 10*time.Second, 1, tt.draw)
			cfg := model.NewConfig(nil, nil)
			cfg.Defaults.Limits = tt.next
			o.Step(model.Instant(10*time.Second), Configured{Config: cfg})
			require.Equal(t, tt.want, drawTokens(o, 10*time.Second+maxTokenValidity, 2, 1000).GrantedTokens)
		})
	}
}

// TestNoncesDifferBetweenRuns guards against tokens that are used after they
// have expired, because a reply to an earlier run of the host, or to another
// host, matches a draw of this run.
func TestNoncesDifferBetweenRuns(t *testing.T) {
	require.NotEqual(t, firstNonce("e", 1), firstNonce("e", 2))
	require.NotEqual(t, firstNonce("e", 1), firstNonce("f", 1))
}

// TestTokensExpireWithTheLease guards against tokens that stay valid after the
// lease of the owner that granted them: the next owner grants from a bucket of
// its own by then.
func TestTokensExpireWithTheLease(t *testing.T) {
	o, shard := newTestOwner(model.Limits{Rate: 100, Burst: 50})
	o.Step(0, OwnershipRenewed{Shard: shard, Epoch: 1, Until: model.Instant(10*time.Second + 50*time.Millisecond)})
	require.LessOrEqual(t, drawTokens(o, 10*time.Second, 1, 1).ValidFor, 49*time.Millisecond)
	require.True(t, drawTokens(o, 10*time.Second+46*time.Millisecond, 2, 1).NotOwner)
}

// TestLimiterCountsAReplyOnceAndAdmitsInOrder guards against tokens that are
// counted twice when a reply arrives twice, against requests admitted out of
// order, and against tokens used after they have expired because the reply to a
// repeated draw arrived late.
func TestLimiterCountsAReplyOnceAndAdmitsInOrder(t *testing.T) {
	l := NewLimiter("e")
	ms := func(n int) model.Instant { return model.Instant(n) * 1e6 }
	l.Step(0, OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard("w"), Host: "o"}}})
	ask := l.Step(0, Arrived{Request: "1", Workspace: "w", Deadline: ms(5000)})[0].(Send).Msg.(proto.DrawAsk)
	l.Step(0, Arrived{Request: "2", Workspace: "w", Deadline: ms(5000)})
	reply := Received{From: "o", Msg: proto.DrawReply{Nonce: ask.Nonce, Workspace: "w", GrantedTokens: 1, ValidFor: maxTokenValidity}}
	require.Contains(t, l.Step(ms(1), reply), Admitted{Request: "1"})
	require.Empty(t, l.Step(ms(1), reply))

	repeated := l.Step(ms(30), Tick{})
	require.Len(t, repeated, 2, "the draw for the second request is repeated")
	require.Equal(t, TokenDelayed{Request: "2"}, repeated[1], "no target is kept for it any longer")
	late := repeated[0].(Send).Msg.(proto.DrawAsk)
	l.Step(ms(198), Received{From: "o", Msg: proto.DrawReply{Nonce: late.Nonce, Workspace: "w", GrantedTokens: 1, ValidFor: maxTokenValidity}})
	limited := l.Step(ms(300), Tick{})
	require.Equal(t, model.RequestID("2"), limited[0].(Limited).Request)
}

// TestLimiterRefusesAfterTimeoutWithoutOwner guards against a request that
// waits for ever while there is no owner, and against a refusal that names the
// rate as its reason.
func TestLimiterRefusesAfterTimeoutWithoutOwner(t *testing.T) {
	l := NewLimiter("e")
	require.Empty(t, l.Step(0, Arrived{Request: "1", Workspace: "w", Deadline: model.Instant(5 * time.Second)}))
	require.Empty(t, l.Step(model.Instant(2900*time.Millisecond), Tick{}))
	out := l.Step(model.Instant(3*time.Second), Tick{})
	require.Equal(t, []Effect{Limited{Request: "1", RetryAfter: time.Second, NoOwner: true}}, out)
}
