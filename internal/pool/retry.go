package pool

import "tarragongauge.example/tarragongauge/pkg/model"

// Retries bounds the attempts of a service's requests beyond the first, over all
// hosts together. The budget is a token bucket.
type Retries struct {
	// Share is the number of retries that each request adds. It replaces the share
	// in the defaults of the configuration, unless it is 0.
	Share float64
	// PerSecond is the number of retries added per second, with or without requests.
	PerSecond float64
	// Burst is the greatest number of retries saved up for a service at its owner.
	Burst float64
	// LocalBurst is the greatest number of retries saved up for a service at one host
	// while the service has no owner.
	LocalBurst float64
}

// DefaultRetries returns a budget that follows the share in the configuration.
func DefaultRetries() Retries { return Retries{Burst: 20, LocalBurst: 20} }

// initialRetries returns the number of retries in a new budget.
func initialRetries(burst float64) float64 { return burst / 2 }

// share returns the share of a service's requests that may be retried.
func (r Retries) share(d model.Defaults) float64 {
	if r.Share > 0 {
		return r.Share
	}
	return d.RetryShare
}

// refillRetries adds the retries for the time since the last refill.
func (o *Owner) refillRetries(now model.Instant, s *service) {
	if s.retriesRefilledAt != 0 {
		s.retryTokens = min(o.tune.Retries.Burst, s.retryTokens+o.tune.Retries.PerSecond*now.Sub(s.retriesRefilledAt).Seconds())
	}
	s.retriesRefilledAt = now
}
