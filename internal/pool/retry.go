package pool

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

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

// initialRetries returns the number of retries in the budget of a host that has
// just started. An owner begins with none, since owners that follow each other
// would together allow more than the budget.
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

// countRequest adds the share of a request to the budget, unless it was counted before.
func (s *service) countRequest(m *proto.SlotAsk, burst float64) {
	if m.Counted {
		return
	}
	s.retryTokens = min(burst, s.retryTokens+s.retryShare)
	s.retryReport.requests++
}

// takeRetry takes a token from the budget if the query is a retry. The token is
// taken with the assignment, so that retries that waited together reach the targets
// within the budget of the time in which they do.
func (s *service) takeRetry(r pickCriteria) {
	if len(r.exclude) > 0 {
		s.retryTokens--
		s.retryReport.retries++
	}
}

// countAtOwner counts a request in the query that is about to be sent, and reports
// whether it was counted before. Each request counts in one budget and once: a
// query may be lost, repeated, or withdrawn and sent again, and the owner may stop
// answering after it has counted.
func (r *request) countAtOwner() bool {
	if len(r.exclude) > 0 {
		return false
	}
	return !r.count()
}

// countLocally adds the share of a request to this host's budget, unless it was
// counted before.
func (p *Picker) countLocally(s *pickerService, r *request) {
	if len(r.exclude) == 0 && r.count() {
		s.retryTokens = min(p.tune.Retries.LocalBurst, s.retryTokens+p.tune.Retries.share(p.cfg.Defaults))
	}
}

// count marks a request as counted and reports whether it is new to the budgets.
func (r *request) count() bool {
	if r.isCounted {
		return false
	}
	r.isCounted = true
	if r.service.withdrawnCounts > 0 {
		r.service.withdrawnCounts--
		return false
	}
	return true
}
