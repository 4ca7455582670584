package pool

import (
	"maps"
	"time"

	"tarragongauge.example/tarragongauge/internal/pace"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/sched"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// localPace is what a host keeps of a service, with Tuning.Pace, for the time in
// which it decides without the owner.
type localPace struct {
	candidates map[model.TargetID]*pace.Candidate
	// latency is the mean latency of this host's attempts at all targets.
	latency   sched.MovingMean
	expiredAt model.Instant
}

// candidateExpiryInterval is the interval at which targets are forgotten that this
// host does not use any more.
const candidateExpiryInterval = 10 * time.Second

// candidate returns what this host knows of a target.
func (p *Picker) candidate(now model.Instant, s *pickerService, id model.TargetID) *pace.Candidate {
	l := &s.pace
	if now.Sub(l.expiredAt) >= candidateExpiryInterval {
		maps.DeleteFunc(l.candidates, func(_ model.TargetID, c *pace.Candidate) bool { return c.IsForgotten(now) })
		l.expiredAt = now
	}
	c, ok := l.candidates[id]
	if !ok {
		if l.candidates == nil {
			l.candidates = map[model.TargetID]*pace.Candidate{}
		}
		v := pace.NewCandidate(p.self, id)
		c = &v
		l.candidates[id] = c
	}
	return c
}

// countOwnAssignment counts a request that this host sends to a target, whoever chose it.
func (p *Picker) countOwnAssignment(now model.Instant, s *pickerService, id model.TargetID) {
	if p.tune.Pace {
		p.candidate(now, s, id).CountAssignment(now)
	}
}

// countOwnEnd counts the end of an attempt of this host.
func (p *Picker) countOwnEnd(now model.Instant, s *pickerService, a model.Attempt) {
	if !p.tune.Pace {
		return
	}
	switch a.End {
	case model.AttemptOK:
		s.pace.latency.Add(a.Latency)
		if mean := s.pace.latency.Mean(); mean > 0 {
			p.candidate(now, s, a.Target).CountLatency(now, float64(a.Latency)/float64(mean))
		}
	case model.AttemptShed:
		p.candidate(now, s, a.Target).CountShed(now)
	default:
	}
}

// choosePaced returns the best of several random targets that are free.
func (p *Picker) choosePaced(now model.Instant, s *pickerService, free []proto.TargetView) proto.TargetView {
	options := make([]pace.Option, 0, len(free))
	for _, v := range free {
		options = append(options, pace.Option{Candidate: p.candidate(now, s, v.Target), Slots: v.Slots, InFlight: s.inFlightByTarget[v.Target]})
	}
	return free[pace.Choose(now, p.rng, options)]
}
