package pool

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Tuning holds the durations, thresholds and shares of the target policy. A zero
// field is used as it is, so start from DefaultTuning.
type Tuning struct {
	// StaleAfter is the time without an announcement after which a target gets no new work.
	StaleAfter time.Duration
	// RemoveAfter is the time without an announcement after which a target is removed.
	RemoveAfter time.Duration
	// SlowStart is the duration of the ramp of a restarted or returned target from
	// StartShare to its full share.
	SlowStart time.Duration
	// StartShare is the share of a normal target's traffic at the start of the ramp.
	StartShare float64
	// ZonePenalty is how much more loaded, as a share of its slots, a target in the
	// caller's zone may be before one in another zone is preferred.
	ZonePenalty float64
	// Pace turns on even load with stale load information: requests that failed count
	// as load for the usual time, assignments of one target are spaced, and hosts
	// without an owner choose by what they sent and measured themselves.
	Pace bool
	// Cooldown is the time after a failed attempt in which a target gets work only
	// if no other one has room, and not then while most tries of failing targets
	// fail. After it, one attempt at a time tries the target
	// until one succeeds. 0 turns cooldowns off.
	Cooldown time.Duration
	// RetryableCooldown is the cooldown for requests that another target may run
	// after a failure. They find out sooner whether the target has recovered.
	RetryableCooldown time.Duration
	// MaxLocalWait bounds the wait for a target without the owner. 0 waits until the deadline.
	MaxLocalWait time.Duration
	// NoRecentSuccessPenalty is how much more loaded, as a share of its slots, a
	// target that has just succeeded may be than one without a success for 3 s
	// before the latter gets a request that must not be retried.
	NoRecentSuccessPenalty float64
	// SlotExpiryGrace is how long after a request's deadline its slot waits for
	// SlotDone. Without it the reports of timeouts would arrive after their slots
	// were freed.
	SlotExpiryGrace time.Duration
	// AnnouncementWait is how long after gaining a shard requests wait for the first announcements.
	AnnouncementWait time.Duration

	// EvaluationInterval is the interval of the comparison with the peers.
	EvaluationInterval time.Duration
	// WindowHalfLife is the half-life of the counts of a target. The level of the
	// peers follows a change of the whole service this fast.
	WindowHalfLife time.Duration
	// LongWindowHalfLife is the half-life of a longer window that steadies the
	// level where there is little traffic.
	LongWindowHalfLife time.Duration
	// ScoreHalfLife is the half-life of the evidence on a target without traffic.
	ScoreHalfLife time.Duration
	// HistoryHalfLife is the half-life of what is usual: the share of errors, the
	// spread of latency and the lasting difference of a target from its peers.
	HistoryHalfLife time.Duration
	// ErrorLimit and LatencyLimit are the log-likelihood ratios, in nats, at which a target is ejected.
	ErrorLimit   float64
	LatencyLimit float64
	// ErrorBase is the least error share that is taken as normal, ErrorShift the
	// least error share that is tested for.
	ErrorBase  float64
	ErrorShift float64
	// SlowRatio and StuckRatio are the ratios to the peers' latency that are tested
	// for. The first finds moderate slowness; the second finds severe slowness
	// sooner and weighs unfinished attempts.
	SlowRatio  float64
	StuckRatio float64
	// EvidenceCap bounds the evidence of one response, UnfinishedCap that of one
	// unfinished attempt, in nats, so that a few expensive requests do not eject a
	// target.
	EvidenceCap   float64
	UnfinishedCap float64
	// MinLatencyRatio is the least ratio to the peers' latency at which a target is ejected as slow.
	MinLatencyRatio float64
	// ProbeEvidence is the evidence of a failed probe, in nats. Probes alone never reach a limit.
	ProbeEvidence float64

	// BackoffBase is the duration of a first ejection, which doubles with each
	// further one up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// BackoffDecayInterval is the time in service after which the backoff falls by one step.
	BackoffDecayInterval time.Duration
	// ProbeInterval is the mean interval of the probes of one target.
	ProbeInterval time.Duration

	Retries Retries
	// CrashWindow is the time within which a refused connection or a new
	// incarnation turns a broken attempt into a crash.
	CrashWindow time.Duration
	// QuarantineDuration is how long a fingerprint that crashed targets is refused.
	QuarantineDuration time.Duration
	// CrashLimit is the number of crashes at which a fingerprint is refused.
	CrashLimit int
	// RestoreTimeout is how long a new owner waits for the reports of the live
	// hosts before it assigns.
	RestoreTimeout time.Duration
	// RestoreRetention is how long a picker keeps broken attempts for a new owner.
	// An owner remembers the ends of slots that it did not assign for twice as
	// long.
	RestoreRetention time.Duration
	// IdleConnectionTimeout is the time after which an entry host is assumed to
	// have closed its idle connections to a target.
	IdleConnectionTimeout time.Duration

	// QueryRepeatInterval is the interval at which a picker first repeats an unanswered query.
	QueryRepeatInterval time.Duration
	// OwnerTimeout is the time without a reply of the owner after which a picker decides without it.
	OwnerTimeout time.Duration
	// ViewInterval is the interval at which a picker refreshes the list of targets.
	ViewInterval time.Duration
	// MaxAnnouncementAge is the greatest age of an announcement that is passed to a new owner.
	MaxAnnouncementAge time.Duration
}

// DefaultTuning returns the tuning for general use.
func DefaultTuning() Tuning {
	return Tuning{
		StaleAfter:       3 * time.Second,
		RemoveAfter:      30 * time.Second,
		SlowStart:        10 * time.Second,
		StartShare:       0.1,
		ZonePenalty:      0.5,
		SlotExpiryGrace:  100 * time.Millisecond,
		AnnouncementWait: 1500 * time.Millisecond,

		EvaluationInterval: 50 * time.Millisecond,
		WindowHalfLife:     500 * time.Millisecond,
		LongWindowHalfLife: 4 * time.Second,
		ScoreHalfLife:      20 * time.Second,
		HistoryHalfLife:    time.Minute,
		ErrorLimit:         17,
		LatencyLimit:       20,
		ErrorBase:          0.003,
		ErrorShift:         0.15,
		SlowRatio:          2.5,
		StuckRatio:         6,
		EvidenceCap:        5,
		UnfinishedCap:      9,
		MinLatencyRatio:    1.5,
		ProbeEvidence:      0.5,

		BackoffBase:          3 * time.Second,
		BackoffMax:           60 * time.Second,
		BackoffDecayInterval: 60 * time.Second,
		ProbeInterval:        5 * time.Second,

		Retries:               DefaultRetries(),
		CrashWindow:           5 * time.Second,
		QuarantineDuration:    10 * time.Minute,
		CrashLimit:            2,
		RestoreTimeout:        250 * time.Millisecond,
		RestoreRetention:      30 * time.Second,
		IdleConnectionTimeout: 90 * time.Second,

		QueryRepeatInterval: 50 * time.Millisecond,
		OwnerTimeout:        250 * time.Millisecond,
		ViewInterval:        500 * time.Millisecond,
		MaxAnnouncementAge:  1500 * time.Millisecond,
	}
}

// CautiousTuning returns the tuning for fleets whose targets fail for some seconds
// at a time: a single failure is taken as the start of such a period. It prefers
// targets of the caller's zone as long as they have a free slot.
func CautiousTuning() Tuning {
	t := DefaultTuning()
	// The cooldown is shorter than the 2 s in which every healthy target must get a
	// request while many requests of its service fail.
	t.Cooldown = 1800 * time.Millisecond
	// The attempts that find out whether a target has recovered use up the retry budget.
	t.RetryableCooldown = time.Second
	t.NoRecentSuccessPenalty = 0.5
	// A short period of failures is no reason to eject a target, whose return takes
	// seconds. Ten failures in a row are.
	t.ErrorLimit = 40
	// Bytes between zones cost more than the latency of a busier target, and more
	// than the few requests that a target without a recent success loses.
	t.ZonePenalty = 1 + t.NoRecentSuccessPenalty
	// A picker uses the list only while the owner does not answer, and relays report
	// the targets that leave.
	t.ViewInterval = 15 * time.Second
	// Callers with the shortest deadlines have time to try again.
	t.MaxLocalWait = 700 * time.Millisecond
	return t
}

// settings collects what the options set.
type settings struct {
	tune        Tuning
	rng         *rand.Rand
	incarnation model.Incarnation
}

// Option changes a setting of an Owner or a Picker.
type Option func(*settings)

// WithTuning replaces the tuning.
func WithTuning(t Tuning) Option {
	return func(s *settings) { s.tune = t }
}

// WithIncarnation sets the incarnation of the host's process, so that reports of an
// earlier run are not taken for newer ones.
func WithIncarnation(i model.Incarnation) Option {
	return func(s *settings) { s.incarnation = i }
}

// WithSource replaces the random source. The default source differs between hosts
// and, with WithIncarnation, between runs of a host.
func WithSource(src rand.Source) Option {
	return func(s *settings) { s.rng = rand.New(src) }
}

// newSettings applies the options to the defaults.
func newSettings(self model.HostID, opts []Option) settings {
	s := settings{tune: DefaultTuning()}
	for _, opt := range opts {
		opt(&s)
	}
	if s.rng == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(self))
		s.rng = rand.New(rand.NewPCG(uint64(s.incarnation), h.Sum64()))
	}
	return s
}
