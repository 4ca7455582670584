package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"tarragongauge.example/tarragongauge/internal/logs"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxOrderKeyLength is the maximum length of an order key in bytes.
	maxOrderKeyLength = 255
	// errorWriteGrace is how long after the deadline the connection still accepts
	// writes, so that the caller gets the error about the deadline.
	errorWriteGrace = 2 * time.Second
	// defaultRetryAfter is sent when a refusal comes without a time of its own.
	defaultRetryAfter = time.Second
	// otherHostRetryAfter is sent when any other host can take the request at once.
	otherHostRetryAfter = minRetryAfter
)

// call handles one request of a caller and holds its state.
type call struct {
	s  *Server
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	// id identifies the request within the fleet.
	id model.RequestID
	// callerID is the id that the caller sent, if ids of callers are passed on.
	callerID  string
	startedAt time.Time
	// cfg is the configuration by which the request is routed.
	cfg model.Config

	route model.Route
	// workspace, keyHash and inFlight are zero for a request on an open route.
	workspace model.WorkspaceID
	keyHash   model.KeyHash
	inFlight  *inFlightRequest
	// cancel ends the request, and endWait its waits until it is with a target.
	cancel, endWait context.CancelCauseFunc

	// filter removes the caller's keys from what targets see, which header, query
	// and body hold.
	filter keyFilter
	header http.Header
	query  string
	body   *requestBody

	// earlyAssignment is the assignment of the first target if it was requested
	// together with the token, until it is used.
	earlyAssignment *Assignment
	// assignmentID is the id under which the current target was assigned.
	assignmentID model.RequestID
	// orderKey is the order key of the request, or empty.
	orderKey string
	// reserved is set while the order is reserved and its reservation not yet ended.
	reserved bool

	// mayHaveRun is set unless it is proved of every attempt that it did not run.
	mayHaveRun bool
	// status and outcome are those of the answer, or of one that was broken off.
	status  int
	outcome model.Outcome
	// rateLimited and noOwner are the values of RateLimited and NoOwner in Record.
	rateLimited bool
	noOwner     bool
	// refusal is why the last query for a token or a target was refused, or empty.
	refusal refusalReason
	// code is the error code sent to the caller, or empty.
	code Code
	// tokenWait is how long the request waited for a token.
	tokenWait time.Duration
	// attemptLog holds a text on each attempt for the request log.
	attemptLog []string
}

// ServeHTTP implements http.Handler. It answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		s: s, w: w, r: r, rc: http.NewResponseController(w),
		id: s.ids.id(), startedAt: time.Now(), cfg: s.decider.Config(),
		body: &requestBody{readErr: &firstError{}},
	}
	if conn := callerConnOf(r.Context()); conn != nil {
		conn.startedRequests.Add(1)
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	defer c.recordEnd()
	defer c.logPanic()
	if s.headerNames.PassCallerIDs {
		c.callerID = r.Header.Get(s.headerNames.RequestID)
	}
	if err := c.serve(); err != nil {
		c.answerError(err)
	}
}

// publicID returns the request id that the caller and the target see.
func (c *call) publicID() string {
	if c.callerID != "" {
		return c.callerID
	}
	return string(c.id)
}

// logPanic recovers a panic, logs it unless it is http.ErrAbortHandler, and
// panics with http.ErrAbortHandler, on which net/http closes the caller's connection.
func (c *call) logPanic() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		c.s.log.Error(fmt.Errorf("panic: %v", v), "request handler failed", "request_id", c.id, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// serve handles the request up to its answer. It returns an error that is still
// to be sent, or nil if the caller was answered.
func (c *call) serve() *ErrRefused {
	if err := callerConnOf(c.r.Context()).refusalFor(c.r.URL.Path); err != nil {
		return err
	}
	c.limitBodyWait()
	if c.s.draining.Load() {
		return stopping()
	}
	if err := c.matchRoute(); err != nil {
		return err
	}
	ctx, cancel, err := c.requestContext()
	if err != nil {
		return err
	}
	defer cancel(nil)
	waitCtx, endWait := c.s.stop.context(ctx, c.sendMargin())
	defer endWait(nil)
	c.cancel, c.endWait = cancel, endWait
	if err := c.authenticate(ctx); err != nil {
		return err
	}
	defer c.unregister()
	if err := c.prepare(waitCtx); err != nil {
		return err
	}
	for {
		err := c.run(ctx, waitCtx)
		if !isKeyMoved(err) {
			return err
		}
		c.unregister()
		c.cfg = c.s.decider.Config()
		if err := c.authenticate(ctx); err != nil {
			return err
		}
	}
}

// run serves an authenticated request for its workspace. If its key has moved to
// another workspace before a target got the request, it returns keyMoved.
func (c *call) run(ctx, waitCtx context.Context) *ErrRefused {
	if err := c.admit(waitCtx); err != nil {
		return err
	}
	done, err := c.reserve(waitCtx)
	if done || err != nil {
		return err
	}
	defer c.finishOrder(nil)
	return c.forward(ctx, waitCtx)
}

// limitBodyWait sets the read deadline of a request with a body until requestContext
// sets that of the request. net/http has cleared it after the header, and reads the
// body also of a request that is refused, before or after it sends the refusal.
func (c *call) limitBodyWait() {
	if c.r.ContentLength != 0 {
		c.rc.SetReadDeadline(time.Now().Add(c.s.limits.HeaderTimeout)) //nolint:errcheck // Some response writers in tests do not support deadlines.
	}
}

// prepare sets the header, query and body that targets see, without the caller's
// keys. It buffers the body as far as limits allow, and refuses keys that occur
// where they cannot be removed.
func (c *call) prepare(ctx context.Context) *ErrRefused {
	if c.filter.foundInValue(c.r.URL.EscapedPath()) || c.filter.foundInValue(c.r.Host) || c.filter.foundInValue(c.r.Method) {
		return keyInRequest()
	}
	if err := c.readOrderKey(); err != nil {
		return err
	}
	c.header = c.filter.targetHeader(c.r.Header)
	for name := range c.header {
		if c.s.headerNames.isReserved(name) {
			delete(c.header, name)
		}
	}
	c.query = c.filter.targetQuery(c.r.URL.RawQuery)
	if c.r.ContentLength > c.s.limits.MaxBody {
		return bodyTooLarge(c.s.limits.MaxBody)
	}
	c.r.Body = http.MaxBytesReader(c.w, c.r.Body, c.s.limits.MaxBody)
	body, err := c.readBody(ctx)
	if err != nil {
		return c.bodyError(ctx, err)
	}
	c.body = body
	if c.filter.foundInBody(body.data) {
		return keyInRequest()
	}
	if body.replayable() {
		// If the read deadline passed while the request runs, net/http would cancel
		// the request as if the caller had closed the connection.
		c.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // Some response writers in tests do not support deadlines.
		return nil
	}
	if c.orderKey != "" {
		return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "an order's body must not exceed %d bytes; send a smaller order", c.s.limits.MaxReplayBody).withClose()
	}
	c.rc.EnableFullDuplex() //nolint:errcheck // Some response writers in tests do not support it.
	return nil
}

// readBody reads the body as the function readBody does, until ctx ends.
func (c *call) readBody(ctx context.Context) (*requestBody, error) {
	if c.r.ContentLength == 0 {
		return readBody(c.r, c.s.limits.MaxReplayBody)
	}
	interrupted := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		c.rc.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // Some response writers in tests do not support deadlines.
	})
	body, err := readBody(c.r, c.s.limits.MaxReplayBody)
	if !release() {
		// The deadline could otherwise end a later request on the connection.
		<-interrupted
		c.w.Header().Set("Connection", "close")
	}
	return body, err
}

// bodyError returns the error answer for a failure to read the caller's body.
func (c *call) bodyError(ctx context.Context, err error) *ErrRefused {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge(large.Limit)
	case errors.Is(err, errKeyInBody):
		return keyInRequest()
	case ctx.Err() != nil:
		return c.contextError(ctx)
	default:
		return refuse(http.StatusBadRequest, CodeBodyUnreadable, "the body could not be read within the deadline or is malformed; check its framing and send it again").withClose()
	}
}

// readOrderKey sets the order key of a request on a non-idempotent route. On
// idempotent routes the header is ignored.
func (c *call) readOrderKey() *ErrRefused {
	if c.route.Idempotent {
		return nil
	}
	values := c.r.Header[headerOrderKey]
	if len(values) == 0 && c.route.RequireOrderKey {
		return refuse(http.StatusBadRequest, CodeOrderKeyRequired, "this route needs an order key; send a value that is unique to the order as %s", headerOrderKey)
	}
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxOrderKeyLength {
		return refuse(http.StatusBadRequest, CodeBadOrderKey, "%s must occur once and have 1 to %d bytes", headerOrderKey, maxOrderKeyLength)
	}
	if c.filter.foundInValue(values[0]) {
		return keyInRequest()
	}
	c.orderKey = values[0]
	return nil
}

// admit waits for a token of the workspace's rate. Requests on open routes need none.
func (c *call) admit(ctx context.Context) *ErrRefused {
	if c.route.Open {
		return nil
	}
	began := time.Now()
	adm, err := c.drawToken(ctx)
	c.tokenWait = time.Since(began)
	if err != nil {
		return c.contextError(ctx)
	}
	if adm.OK {
		c.s.registry.markAdmitted(c.workspace)
		return nil
	}
	if err := c.checkKey(); isKeyMoved(err) {
		return err
	}
	if adm.NoOwner {
		c.noOwner = true
		return noOwner(adm.RetryAfter)
	}
	c.rateLimited, c.refusal = true, reasonRate
	return refuse(http.StatusTooManyRequests, CodeRateLimited, "the workspace is over its rate; send the request again after the time in Retry-After").withRetryAfter(max(adm.RetryAfter, defaultRetryAfter))
}

// drawToken draws a token. A target is requested at the same time unless the
// request has an order key, whose order must be reserved in between.
func (c *call) drawToken(ctx context.Context) (Admission, error) {
	if c.orderKey != "" {
		return c.s.decider.Admit(ctx, c.id, c.workspace)
	}
	adm, ahead, err := c.s.decider.AdmitAndAssign(ctx, c.targetRequest(nil))
	c.earlyAssignment = ahead
	return adm, err
}

// noOwner returns the error answer while the request's shard has no owner.
func noOwner(after time.Duration) *ErrRefused {
	return refuse(http.StatusServiceUnavailable, CodeNoOwner, "the fleet is electing a new owner; send the request again after the time in Retry-After").withRetryAfter(after)
}

// identity returns the identity of the request, from what targets see of it.
func (c *call) identity() requestIdentity {
	return requestIdentity{method: c.r.Method, path: c.r.URL.EscapedPath(), query: c.query, body: c.body.data}
}

// reserve reserves the order if the request has an order key. It reports done
// when it has sent the stored answer of an earlier run.
func (c *call) reserve(ctx context.Context) (done bool, refused *ErrRefused) {
	if c.orderKey == "" {
		return false, nil
	}
	res, err := c.s.decider.ReserveOrder(ctx, order.Requested{
		Request: c.id, Workspace: c.workspace, OrderKey: c.orderKey, Body: c.identity().bodyHash(),
	})
	switch {
	case err != nil:
		return false, c.contextError(ctx)
	case res.OK:
		c.reserved = true
		return false, nil
	case res.Answer != nil && !isFinalStatus(res.Answer.Status):
		// Hosts before the check of the status stored such answers.
		return false, storedInvalid()
	case res.Answer != nil:
		c.replayStored(*res.Answer)
		return true, nil
	default:
		return false, reservationRefused(res.Reason)
	}
}

// contextError returns the error answer that follows from why ctx ended.
func (c *call) contextError(ctx context.Context) *ErrRefused {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errKeyWithdrawn):
		return keyWithdrawn()
	case errors.Is(cause, errNotFresh):
		return notFresh()
	case errors.Is(cause, errStopping):
		return stopping()
	case errors.Is(cause, context.DeadlineExceeded):
		return deadlinePassed()
	case cause != nil:
		return refuse(statusClientClosedRequest, CodeCanceled, "the caller closed the connection; keep it open until the answer arrives").withClose()
	default:
		return refuse(http.StatusServiceUnavailable, CodeInternal, "this host could not decide on the request; send it again").withRetryAfter(defaultRetryAfter)
	}
}

// answerError sends an error answer. Its outcome covers all attempts of the request.
func (c *call) answerError(err *ErrRefused) {
	c.status, c.code = err.Status, err.Code
	c.outcome = model.OutcomeNotRun
	if err.Outcome != 0 {
		c.outcome = err.Outcome
	}
	if c.mayHaveRun {
		c.outcome = model.OutcomeUnknown
	}
	if !c.body.replayable() {
		// The rest of the body is not read, so that the connection cannot be reused.
		c.w.Header().Set("Connection", "close")
	}
	if c.s.statusPromise {
		err = err.withOutcomeStatus(c.outcome)
		c.status = err.Status
	}
	if conn := callerConnOf(c.r.Context()); conn != nil && err.Code == CodeKeyWithdrawn {
		conn.closeAfterAnswer.Store(true)
	}
	c.setConnectionClose()
	err.write(c.w, c.s.headerNames.RequestID, c.publicID(), c.outcome, c.s.retryFractions)
}

// setConnectionClose makes this answer the last one on the connection if the host
// is leaving or a key of the connection was withdrawn. Pipelined requests that
// have arrived are answered first.
func (c *call) setConnectionClose() {
	conn := callerConnOf(c.r.Context())
	ending := c.s.draining.Load() || c.s.leaving.Load() || conn != nil && conn.closeAfterAnswer.Load()
	if !ending || conn.hasPipelinedRequests() {
		return
	}
	c.w.Header().Set("Connection", "close")
	if conn != nil {
		conn.announced.Store(true)
	}
}

// logEnd counts the request in the metrics and logs one line with its outcome,
// the version of the configuration that applied and each attempt. The line never
// contains a key.
func (c *call) logEnd() {
	outcome, latency := c.reportedOutcome(), time.Since(c.startedAt)
	c.s.metrics.countRequest(outcome, c.code, latency, c.tokenWait)
	if c.refusal != "" && c.outcome == model.OutcomeNotRun {
		c.s.metrics.countRefusal(c.route.Service, c.rank(), c.refusal)
	}
	c.s.requestLog.Info("request ended",
		"request_id", c.publicID(), logs.FieldOutcome, outcome, "status", c.status, "code", string(c.code), "reason", string(c.refusal), "rank", c.rank(),
		"route", c.route.Name, "service", c.route.Service, "workspace", c.workspace, "version", c.cfg.Version,
		"ms", latency.Milliseconds(), "token_ms", c.tokenWait.Milliseconds(), "attempts", c.attemptLog)
}

// recordEnd logs the request and, if a route matched, records it for the
// service-level report.
func (c *call) recordEnd() {
	c.logEnd()
	if c.route.Service == "" {
		return
	}
	c.s.recorder.Record(Record{
		Service: c.route.Service, Workspace: c.workspace, Status: c.status, Outcome: c.outcome,
		Latency: time.Since(c.startedAt), RateLimited: c.rateLimited, NoOwner: c.noOwner,
	})
}
