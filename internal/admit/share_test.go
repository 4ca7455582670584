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

// ownerlessFleet runs the limiters of a fleet without an owner in simulated time.
type ownerlessFleet struct {
	limiters []*Limiter
	now      model.Instant
	// lastID is the number of the newest request.
	lastID int
	// admissions holds the instants at which requests were admitted, refused
	// counts the refused ones, and longestWait is the longest wait of both.
	admissions  []model.Instant
	refused     int
	longestWait time.Duration
	arrivedAt   map[model.RequestID]model.Instant
}

// newOwnerlessFleet returns a fleet of limiters with local shares and the same limits.
func newOwnerlessFleet(hosts int, limits model.Limits) *ownerlessFleet {
	s := &ownerlessFleet{arrivedAt: map[model.RequestID]model.Instant{}, now: 1}
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Limits = limits
	for i := range hosts {
		l := NewLimiter(model.HostID(fmt.Sprintf("entry-%d", i)), WithShares(), WithIncarnation(1))
		l.Step(s.now, Configured{Config: cfg})
		l.Step(s.now, EntryHostCountChanged{Count: hosts})
		s.limiters = append(s.limiters, l)
	}
	return s
}

func (s *ownerlessFleet) recordEffects(out []Effect) {
	for _, f := range out {
		switch f := f.(type) {
		case Admitted:
			s.admissions = append(s.admissions, s.now)
			s.longestWait = max(s.longestWait, s.now.Sub(s.arrivedAt[f.Request]))
		case Limited:
			s.refused++
			s.longestWait = max(s.longestWait, s.now.Sub(s.arrivedAt[f.Request]))
		default:
		}
	}
}

// arrive offers a request of workspace "w" to a limiter.
func (s *ownerlessFleet) arrive(l *Limiter) {
	s.lastID++
	id := model.RequestID(fmt.Sprint(s.lastID))
	s.arrivedAt[id] = s.now
	s.recordEffects(l.Step(s.now, Arrived{Request: id, Workspace: "w", Deadline: s.now.Add(4 * time.Second)}))
}

// offerLoad offers requests as a Poisson process to random hosts for a duration.
func (s *ownerlessFleet) offerLoad(r *rand.Rand, perSecond float64, d time.Duration) {
	due := s.now
	lastTick := s.now
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(5 * time.Millisecond) {
		for due <= s.now {
			s.arrive(s.limiters[r.IntN(len(s.limiters))])
			due = due.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		}
		if s.now.Sub(lastTick) >= 20*time.Millisecond {
			lastTick = s.now
			for _, l := range s.limiters {
				s.recordEffects(l.Step(s.now, Tick{}))
			}
		}
	}
}

// maxAdmissions returns the greatest number of admissions in any window of a length.
func (s *ownerlessFleet) maxAdmissions(window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.admissions {
		for at.Sub(s.admissions[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestSharesTogetherKeepTheBound guards against local shares that together
// admit more than rate × T + burst while there is no owner and a workspace
// sends eight times its rate.
func TestSharesTogetherKeepTheBound(t *testing.T) {
	const window = 5 * time.Second
	for _, limits := range []model.Limits{{Rate: 6, Burst: 15}, {Rate: 60, Burst: 48}, {Rate: 300, Burst: 200}} {
		s := newOwnerlessFleet(48, limits)
		s.now = s.now.Add(settlePeriod)
		s.offerLoad(rand.New(rand.NewPCG(1, 2)), 8*limits.Rate, 20*time.Second)
		bound := limits.Rate*window.Seconds() + limits.Burst
		require.LessOrEqual(t, float64(s.maxAdmissions(window)), bound, "limits %v", limits)
		require.Less(t, s.longestWait, shareWaitTimeout+50*time.Millisecond, "a refusal comes at once, not at the deadline")
	}
}

// TestSharesKeepTheBoundAfterStart guards against local shares that together
// admit more than rate × T + burst right after all hosts have started, and
// against requests that wait longer for them than settleWaitTimeout.
func TestSharesKeepTheBoundAfterStart(t *testing.T) {
	const window = 5 * time.Second
	limits := model.Limits{Rate: 60, Burst: 48}
	s := newOwnerlessFleet(48, limits)
	s.offerLoad(rand.New(rand.NewPCG(1, 2)), 8*limits.Rate, settlePeriod)
	require.LessOrEqual(t, float64(s.maxAdmissions(window)), limits.Rate*window.Seconds()+limits.Burst)
	require.Less(t, s.longestWait, settleWaitTimeout+50*time.Millisecond)
}

// TestSharesServeMostRequestsWithinTheRate guards against requests within the
// rate that wait for a lost owner until their deadlines. Without local shares
// none was admitted in the first 3 s.
func TestSharesServeMostRequestsWithinTheRate(t *testing.T) {
	limits := model.Limits{Rate: 60, Burst: 48}
	s := newOwnerlessFleet(48, limits)
	s.offerLoad(rand.New(rand.NewPCG(3, 4)), limits.Rate/2, 4*time.Second)
	offered := len(s.admissions) + s.refused
	require.Greater(t, float64(len(s.admissions)), 0.6*float64(offered))
}

// TestShareEndsWhenTheOwnerAnswers guards against a host that continues to use
// its local share while the owner answers: the share and the owner's grants
// together would exceed the rate.
func TestShareEndsWhenTheOwnerAnswers(t *testing.T) {
	s := newOwnerlessFleet(2, model.Limits{Rate: 100, Burst: 100})
	l := s.limiters[0]
	shard := model.WorkspaceShard("w")
	l.Step(s.now, OwnersChanged{Owners: []proto.Owner{{Shard: shard, Host: "owner", Epoch: 1}}})
	ask := func() *proto.DrawAsk {
		var found *proto.DrawAsk
		for _, f := range l.Step(s.now, Arrived{Request: model.RequestID(fmt.Sprint("r", s.now)), Workspace: "w", Deadline: s.now.Add(time.Second)}) {
			if send, ok := f.(Send); ok {
				m := send.Msg.(proto.DrawAsk)
				found = &m
			}
		}
		return found
	}
	first := ask()
	require.NotNil(t, first)
	s.now = s.now.Add(ownerSilenceTimeout)
	s.recordEffects(l.Step(s.now, Tick{}))
	require.Len(t, s.admissions, 1, "the owner is silent")

	s.now = s.now.Add(100 * time.Millisecond)
	second := ask()
	require.NotNil(t, second)
	l.Step(s.now, Received{From: "owner", Msg: proto.DrawReply{Nonce: second.Nonce, Workspace: "w", GrantedTokens: 0, ValidFor: 100 * time.Millisecond, RetryAfter: time.Second}})
	before := len(s.admissions)
	for range 10 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.recordEffects(l.Step(s.now, Tick{}))
	}
	require.Len(t, s.admissions, before, "the owner has no token")
}

// TestNoShareWithoutOption guards against local shares without the option
// WithShares: by default a Limiter admits nothing without an owner.
func TestNoShareWithoutOption(t *testing.T) {
	l := NewLimiter("entry", WithIncarnation(1))
	l.Step(1, EntryHostCountChanged{Count: 1})
	for _, f := range l.Step(1, Arrived{Request: "r", Workspace: "w", Deadline: model.Instant(time.Minute)}) {
		_, admitted := f.(Admitted)
		require.False(t, admitted)
	}
}
