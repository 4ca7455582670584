package pool

import "tarragongauge.example/tarragongauge/pkg/model"

// Retries bounds the attempts beyond the first of a service's requests, over
// all hosts together.
type Retries struct {
	// Share replaces the share of the configuration's defaults, unless it is 0.
	Share float64
	// PerSecond is added whether or not there are requests.
	PerSecond float64
	// Burst bounds the saved-up retries of a service at its owner.
	Burst float64
	// Alone bounds those of one host while the service has no owner.
	Alone float64
}

// DefaultRetries follow the configuration's share of the requests.
func DefaultRetries() Retries { return Retries{Burst: 20, Alone: 20} }

// first returns the retries that a budget begins with.
func first(burst float64) float64 { return burst / 2 }

// share returns the share of a service's requests that may be retried.
func (r Retries) share(d model.Defaults) float64 {
	if r.Share > 0 {
		return r.Share
	}
	return d.RetryShare
}

// refillRetries adds the retries of the time that has passed.
func (o *Owner) refillRetries(now model.Instant, s *service) {
	if s.refilled != 0 {
		s.retryTokens = min(o.tune.Retries.Burst, s.retryTokens+o.tune.Retries.PerSecond*now.Sub(s.refilled).Seconds())
	}
	s.refilled = now
}
