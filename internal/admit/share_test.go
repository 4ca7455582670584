package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// shareHosts are wallets of a fleet without an owner.
type shareHosts struct {
	wallets []*Limiter
	now     model.Instant
	next    int
	// admitted and refused hold the instants and waits of decided requests.
	admitted []model.Instant
	refused  int
	longest  time.Duration
	arrived  map[model.RequestID]model.Instant
}

func newShareHosts(hosts int, limits model.Limits) *shareHosts {
	s := &shareHosts{arrived: map[model.RequestID]model.Instant{}, now: 1}
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Limits = limits
	for i := range hosts {
		w := NewLimiter(model.HostID(fmt.Sprintf("entry-%d", i)), WithShares(), WithIncarnation(1))
		w.Step(s.now, Configured{Config: cfg})
		w.Step(s.now, EntryHostCountChanged{Count: hosts})
		s.wallets = append(s.wallets, w)
	}
	return s
}

func (s *shareHosts) take(out []Effect) {
	for _, f := range out {
		switch f := f.(type) {
		case Admitted:
			s.admitted = append(s.admitted, s.now)
			s.longest = max(s.longest, s.now.Sub(s.arrived[f.Request]))
		case Limited:
			s.refused++
			s.longest = max(s.longest, s.now.Sub(s.arrived[f.Request]))
		default:
		}
	}
}

func (s *shareHosts) arrive(w *Limiter) {
	s.next++
	id := model.RequestID(fmt.Sprint(s.next))
	s.arrived[id] = s.now
	s.take(w.Step(s.now, Arrived{Request: id, Workspace: "w", Deadline: s.now.Add(4 * time.Second)}))
}

// play offers a Poisson load to random hosts.
func (s *shareHosts) play(r *rand.Rand, perSecond float64, d time.Duration) {
	due := s.now
	lastTick := s.now
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(5 * time.Millisecond) {
		for due <= s.now {
			s.arrive(s.wallets[r.IntN(len(s.wallets))])
			due = due.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		}
		if s.now.Sub(lastTick) >= 20*time.Millisecond {
			lastTick = s.now
			for _, w := range s.wallets {
				s.take(w.Step(s.now, Tick{}))
			}
		}
	}
}

// most returns the greatest number of admissions in a window.
func (s *shareHosts) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.admitted {
		for at.Sub(s.admitted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against hosts that together admit more than rate × T + burst while no
// owner answers, however much a workspace sends.
func TestSharesTogetherKeepTheBound(t *testing.T) {
	const window = 5 * time.Second
	for _, limits := range []model.Limits{{Rate: 6, Burst: 15}, {Rate: 60, Burst: 48}, {Rate: 300, Burst: 200}} {
		s := newShareHosts(48, limits)
		s.now = s.now.Add(settleTime)
		s.play(rand.New(rand.NewPCG(1, 2)), 8*limits.Rate, 20*time.Second)
		bound := limits.Rate*window.Seconds() + limits.Burst
		require.LessOrEqual(t, float64(s.most(window)), bound, "limits %v", limits)
		require.Less(t, s.longest, shareWait+50*time.Millisecond, "a refusal comes at once, not at the deadline")
	}
}

// Guards against hosts that admit more than the bound while all of them have
// just started, and against requests that wait longer than the time in which an
// owner is back.
func TestSharesKeepTheBoundAfterAStart(t *testing.T) {
	const window = 5 * time.Second
	limits := model.Limits{Rate: 60, Burst: 48}
	s := newShareHosts(48, limits)
	s.play(rand.New(rand.NewPCG(1, 2)), 8*limits.Rate, settleTime)
	require.LessOrEqual(t, float64(s.most(window)), limits.Rate*window.Seconds()+limits.Burst)
	require.Less(t, s.longest, settleWait+50*time.Millisecond)
}

// Guards against requests within the rate that wait for a lost owner until
// their deadlines: before, none was admitted in the first 3 s.
func TestSharesServeMostRequestsWithinTheRate(t *testing.T) {
	limits := model.Limits{Rate: 60, Burst: 48}
	s := newShareHosts(48, limits)
	s.play(rand.New(rand.NewPCG(3, 4)), limits.Rate/2, 4*time.Second)
	offered := len(s.admitted) + s.refused
	require.Greater(t, float64(len(s.admitted)), 0.6*float64(offered))
}

// Guards against a host that goes on with its share while the owner answers:
// both together would exceed the rate.
func TestShareEndsWhenTheOwnerAnswers(t *testing.T) {
	s := newShareHosts(2, model.Limits{Rate: 100, Burst: 100})
	w := s.wallets[0]
	shard := model.WorkspaceShard("w")
	w.Step(s.now, OwnersChanged{Owners: []proto.Owner{{Shard: shard, Host: "owner", Epoch: 1}}})
	ask := func() *proto.DrawAsk {
		var found *proto.DrawAsk
		for _, f := range w.Step(s.now, Arrived{Request: model.RequestID(fmt.Sprint("r", s.now)), Workspace: "w", Deadline: s.now.Add(time.Second)}) {
			if send, ok := f.(Send); ok {
				m := send.Msg.(proto.DrawAsk)
				found = &m
			}
		}
		return found
	}
	first := ask()
	require.NotNil(t, first)
	s.now = s.now.Add(silence)
	s.take(w.Step(s.now, Tick{}))
	require.Len(t, s.admitted, 1, "the owner is silent")

	s.now = s.now.Add(100 * time.Millisecond)
	second := ask()
	require.NotNil(t, second)
	w.Step(s.now, Received{From: "owner", Msg: proto.DrawReply{Nonce: second.Nonce, Workspace: "w", GrantedTokens: 0, ValidFor: 100 * time.Millisecond, RetryAfter: time.Second}})
	before := len(s.admitted)
	for range 10 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.take(w.Step(s.now, Tick{}))
	}
	require.Len(t, s.admitted, before, "the owner has no token")
}

// Guards against a product default that changes: without the option a wallet
// admits nothing without an owner.
func TestNoShareWithoutOption(t *testing.T) {
	w := NewLimiter("entry", WithIncarnation(1))
	w.Step(1, EntryHostCountChanged{Count: 1})
	for _, f := range w.Step(1, Arrived{Request: "r", Workspace: "w", Deadline: model.Instant(time.Minute)}) {
		_, admitted := f.(Admitted)
		require.False(t, admitted)
	}
}
