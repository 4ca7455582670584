package pool

import "tarragongauge.example/tarragongauge/pkg/model"

// localPeriod counts what a host decided on a service while no owner answered.
type localPeriod struct {
	// since is the first choice of the period, or 0 outside of one.
	since    model.Instant
	requests int
	retries  int
}

// record counts a target chosen for a request without the owner.
func (l *localPeriod) record(now model.Instant, r *request) {
	if l.since == 0 {
		l.since = now
	}
	l.requests++
	if len(r.exclude) > 0 {
		l.retries++
	}
}

// endLocalPeriod reports the period without an owner, if there was one.
func (p *Picker) endLocalPeriod(now model.Instant, s *pickerService) {
	l := s.localPeriod
	if l.since == 0 {
		return
	}
	s.localPeriod = localPeriod{}
	p.emit(DecidedWithoutOwner{Service: s.name, Duration: now.Sub(l.since), Requests: l.requests, Retries: l.retries})
}
