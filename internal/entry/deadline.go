package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// requestContext returns the context of the request and its cancel function. The
// deadline follows from the route's timeout, or from the caller's if that is shorter.
func (c *call) requestContext() (context.Context, context.CancelCauseFunc, *ErrRefused) {
	limit := c.cfg.TimeoutFor(c.route)
	timeout, refused := c.callerTimeout()
	if refused != nil {
		return nil, nil, refused
	}
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	deadline := c.startedAt.Add(limit)
	// The connection's own deadlines stop a caller that neither sends nor reads
	// from holding a slot of a target.
	c.rc.SetReadDeadline(deadline)                       //nolint:errcheck // Some response writers in tests do not support deadlines.
	c.rc.SetWriteDeadline(deadline.Add(errorWriteGrace)) //nolint:errcheck // Some response writers in tests do not support deadlines.
	base, cancel := context.WithCancelCause(c.r.Context())
	base, release := c.s.stop.context(base, 0)
	ctx, stop := context.WithDeadline(base, deadline)
	return ctx, func(cause error) { cancel(cause); stop(); release(nil) }, nil
}

// callerTimeout returns the time that the caller waits according to the deadline
// header, the shortest if there are several, or 0 without the header.
func (c *call) callerTimeout() (time.Duration, *ErrRefused) {
	var limit time.Duration
	for _, v := range c.r.Header[c.s.headerNames.Deadline] {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil || ms == 0 {
			return 0, refuse(http.StatusBadRequest, CodeBadDeadline, "%s is not a number of milliseconds greater than 0; correct or omit it", c.s.headerNames.Deadline)
		}
		if timeout := time.Duration(ms) * time.Millisecond; limit == 0 || timeout < limit {
			limit = timeout
		}
	}
	return limit, nil
}
