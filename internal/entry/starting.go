package entry

import (
	"net/http"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxStartWait bounds the wait of one request for the first configuration. After
	// a restart of all hosts the leader of control sends it within about a second.
	maxStartWait = time.Second
	// startupPeriod is the time from the start of the server in which requests wait.
	// A host that knows no route after it has no connection to control, and waiting
	// longer does not help.
	startupPeriod = 2 * time.Second
	// startDeadlineDivisor limits the wait to this fraction, a third, of the time that
	// a caller allows for its request.
	startDeadlineDivisor = 3
	// startPollInterval is the interval at which a waiting request checks the configuration.
	startPollInterval = 20 * time.Millisecond
)

// awaitRoutes waits for the first configuration on a host that has just started.
// When all hosts of a fleet restart at once, callers that were refused would only
// retry at other hosts that have no configuration either.
func (c *call) awaitRoutes() {
	if c.cfg.Routes.Len() > 0 {
		return
	}
	wait := maxStartWait
	if limit, err := c.callerTimeout(); err == nil && limit > 0 {
		wait = min(wait, limit/startDeadlineDivisor)
	}
	until := c.startedAt.Add(wait)
	if last := c.s.startedAt.Add(startupPeriod); last.Before(until) {
		until = last
	}
	if !time.Now().Before(until) {
		return
	}
	end := time.NewTimer(time.Until(until))
	defer end.Stop()
	poll := time.NewTicker(startPollInterval)
	defer poll.Stop()
	for c.cfg.Routes.Len() == 0 {
		select {
		case <-poll.C:
			c.cfg = c.s.decider.Config()
		case <-end.C:
			return
		case <-c.r.Context().Done():
			return
		}
	}
}

// noRoutes returns the error answer of a host that knows no route.
func noRoutes() *ErrRefused {
	return refuse(http.StatusServiceUnavailable, CodeNotFresh, "this host knows no route yet; send the request again, to another host").withRetryAfter(maxStartWait / 2)
}

// hasRoutes reports whether a configuration has routes. One without them is that of
// a host that has not yet received any.
func hasRoutes(cfg model.Config) bool { return cfg.Routes.Len() > 0 }
