package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// retryReportInterval is the time over which an owner reports refused retries.
const retryReportInterval = 10 * time.Second

// retryReport counts the queries that the retry budget of a service decided on.
type retryReport struct {
	startedAt model.Instant
	// requests counts the queries that added to the budget, retries those that
	// used it and refused those that found it empty.
	requests, retries, refused int
}

// reportRetries reports the last interval of a service if the budget refused a retry.
func (o *Owner) reportRetries(now model.Instant, s *service) {
	r := &s.retryReport
	if r.startedAt != 0 && now.Sub(r.startedAt) < retryReportInterval {
		return
	}
	if r.refused > 0 {
		o.emit(RetriesRefused{Service: s.name, Interval: now.Sub(r.startedAt), Requests: r.requests, Retries: r.retries, Refused: r.refused})
	}
	*r = retryReport{startedAt: now}
}
