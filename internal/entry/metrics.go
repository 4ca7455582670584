package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tarragongauge.example/tarragongauge/internal/logs"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// latencyBuckets returns the upper bounds in seconds of the histogram buckets. They
// range from the latency that this host adds to a request to the longest timeout
// of a route.
func latencyBuckets() []float64 {
	return []float64{.001, .002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}
}

// Metrics holds the Prometheus metrics of requests and their attempts. Labels have
// few values and never name a workspace, so the number of series does not grow
// with the fleet, only that of refusals with the number of services. A nil Metrics counts nothing. It is safe for concurrent use.
type Metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	tokenWait prometheus.Histogram
	refused   *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with reg. It panics if reg has them already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragongauge_requests_total", Help: "Requests that ended, by outcome and error code; the code is empty for answers of targets.",
		}, []string{"outcome", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragongauge_attempts_total", Help: "Attempts at targets that ended, by how they ended.",
		}, []string{"end"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragongauge_retries_total", Help: "Attempts beyond the first of a request that were allowed, by who chose the target: owner or host.",
		}, []string{"chosen_by"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tarragongauge_request_seconds", Help: "Time from the header of a request to the end of its answer.", Buckets: latencyBuckets(),
		}, []string{"outcome"}),
		tokenWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tarragongauge_token_wait_seconds", Help: "Time that requests waited for a token of their workspace.", Buckets: latencyBuckets(),
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragongauge_refused_total", Help: "Requests that were refused and did not run, by service, rank (workspace.route, 0 is the most urgent) and reason.",
		}, []string{"service", "rank", "reason"}),
	}
	reg.MustRegister(m.requests, m.attempts, m.retries, m.latency, m.tokenWait, m.refused)
	return m
}

// WithMetrics counts requests and attempts in m. By default they are not counted.
func WithMetrics(m *Metrics) Option {
	return func(s *settings) { s.metrics = m }
}

// countRequest counts a request that has ended, with an empty code unless it ended
// with an error of this host.
func (m *Metrics) countRequest(outcome string, code Code, latency, tokenWait time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(outcome, string(code)).Inc()
	m.latency.WithLabelValues(outcome).Observe(latency.Seconds())
	m.tokenWait.Observe(tokenWait.Seconds())
}

// countRefusal counts a request that was refused and did not run.
func (m *Metrics) countRefusal(service model.ServiceName, rank string, reason refusalReason) {
	if m != nil {
		m.refused.WithLabelValues(string(service), rank, string(reason)).Inc()
	}
}

// countAttempt counts an attempt that has ended.
func (m *Metrics) countAttempt(end model.AttemptEnd) {
	if m != nil {
		m.attempts.WithLabelValues(end.String()).Inc()
	}
}

// countRetry counts an attempt beyond the first of its request, at a target that
// the owner of the service or, with local set, this host chose.
func (m *Metrics) countRetry(local bool) {
	if m == nil {
		return
	}
	chosenBy := "owner"
	if local {
		chosenBy = "host"
	}
	m.retries.WithLabelValues(chosenBy).Inc()
}

// reportedOutcome returns the outcome as logs and metrics name it. They name a
// request that ran and was answered without a server error "served".
func (c *call) reportedOutcome() string {
	if c.outcome == model.OutcomeRan && c.status < http.StatusInternalServerError {
		return logs.OutcomeServed
	}
	return c.outcome.String()
}
