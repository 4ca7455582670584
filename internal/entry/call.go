package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/logs"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxOrderKey bounds an order key in bytes.
	maxOrderKey = 255
	// answerSlack is the time beyond the deadline in which an error still reaches the caller.
	answerSlack = 2 * time.Second
	// defaultRetryAfter is sent where the decisions name no time.
	defaultRetryAfter = time.Second
	// otherHost is sent where any other host can take the request at once.
	otherHost = minRetryAfter
)

// call is one request of a caller.
type call struct {
	s  *Server
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	id model.RequestID
	// callerID is the id that the caller sent, if ids of callers are passed on.
	callerID string
	start    time.Time
	cfg      model.Config

	route     model.Route
	workspace model.WorkspaceID
	key       model.KeyHash
	flight    *flight

	// clean, header, query and body are what targets see.
	clean  cleaner
	header http.Header
	query  string
	body   *requestBody

	// ahead is the answer for the first target if it was asked for together with the token.
	ahead *Assignment
	// assigned is the id under which the present target was assigned.
	assigned model.RequestID
	orderKey string
	// reserved is set from the reservation to its end.
	reserved bool

	// mayHaveRun is set when an attempt was not proved not to have run.
	mayHaveRun bool
	status     int
	outcome    model.Outcome
	limited    bool
	noOwner    bool
	// code, tokenWait and history are for the log: the refusal, the wait for a
	// token and what became of each attempt.
	code      Code
	tokenWait time.Duration
	history   []string
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		s: s, w: w, r: r, rc: http.NewResponseController(w),
		id: s.ids.id(), start: time.Now(), cfg: s.decider.Config(),
		body: &requestBody{failed: &readError{}},
	}
	if conn := connOf(r.Context()); conn != nil {
		conn.begun.Add(1)
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	defer c.record()
	defer c.logPanic()
	if s.names.PassCallerIDs {
		c.callerID = r.Header.Get(s.names.RequestID)
	}
	if err := c.serve(); err != nil {
		c.answerError(err)
	}
}

// shownID is the id that the caller and the target see.
func (c *call) shownID() string {
	if c.callerID != "" {
		return c.callerID
	}
	return string(c.id)
}

// logPanic logs a fault of this package and breaks the caller's connection.
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

func (c *call) serve() *ErrRefused {
	if err := connOf(c.r.Context()).refused(c.r.URL.Path); err != nil {
		return err
	}
	if c.s.draining.Load() {
		return refuse(http.StatusServiceUnavailable, CodeDraining, "this host is shutting down; send the request again, to another host").after(otherHost)
	}
	if err := c.match(); err != nil {
		return err
	}
	ctx, cancel, err := c.context()
	if err != nil {
		return err
	}
	defer cancel(nil)
	if err := c.authenticate(cancel); err != nil {
		return err
	}
	defer c.endFlight()
	if err := c.prepare(ctx); err != nil {
		return err
	}
	if err := c.admit(ctx); err != nil {
		return err
	}
	done, err := c.reserve(ctx)
	if done || err != nil {
		return err
	}
	defer c.finishOrder(nil)
	return c.forward(ctx)
}

// match finds the route. A path that a target could read as another path is refused.
func (c *call) match() *ErrRefused {
	path := c.r.URL.Path
	if !plainPath(path) {
		return refuse(http.StatusBadRequest, CodeBadPath, "the path has empty, \".\" or \"..\" segments or control characters; send it in its shortest form")
	}
	c.awaitRoutes()
	if !knowsRoutes(c.cfg) {
		return noRoutes()
	}
	route, ok := c.cfg.MatchHost(c.r.Method, hostName(c.r.Host), path)
	if !ok {
		return refuse(http.StatusNotFound, CodeNoRoute, "no route takes %s %q; check the method and the path", c.r.Method, path)
	}
	route.Service = route.Pick(rand.Float64())
	c.route = route
	return nil
}

// hostName returns the host of a Host header in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func plainPath(path string) bool {
	if strings.ContainsFunc(path, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }) {
		return false
	}
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, seg := range segments {
		if seg == "." || seg == ".." || (seg == "" && i < len(segments)-1) {
			return false
		}
	}
	return true
}

// authenticate finds the workspace of the request and registers it. The key is
// looked up before and after the registration, so that a withdrawal either
// finds the request registered or is seen here.
func (c *call) authenticate(cancel context.CancelCauseFunc) *ErrRefused {
	keys := presentedKeys(c.r.Header, c.s.names.KeyScheme)
	c.clean = newCleaner(c.cfg, keys, c.route.Open)
	if c.route.Open {
		return nil
	}
	key, err := resolveKey(c.cfg, keys)
	if err != nil {
		return err
	}
	// The registry keeps the name for longer than the configuration that it is a part of.
	c.workspace, c.key = model.WorkspaceID(strings.Clone(string(key.Workspace))), key.Hash
	c.flight = &flight{workspace: c.workspace, key: key.Hash, cancel: cancel}
	c.s.registry.begin(c.flight, connOf(c.r.Context()))
	if err := c.allowed(); err != nil {
		c.endFlight()
		return err
	}
	return nil
}

func (c *call) endFlight() {
	if c.flight != nil {
		c.s.registry.end(c.flight)
	}
}

// allowed reports why a keyed request may not go on, from the state at this moment.
func (c *call) allowed() *ErrRefused {
	if c.route.Open {
		return nil
	}
	cfg := c.s.decider.Config()
	if key, ok := cfg.KeyFor(c.key); !ok || key.Workspace != c.workspace {
		return withdrawn()
	}
	if !c.s.decider.Fresh() {
		return notFresh()
	}
	return nil
}

func withdrawn() *ErrRefused {
	return refuse(http.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn; ask the operators for a valid key")
}

func notFresh() *ErrRefused {
	return refuse(http.StatusServiceUnavailable, CodeNotFresh, "this host cannot confirm its configuration; send the request again, to another host").after(defaultRetryAfter)
}

// prepare builds what targets see and reads the body.
func (c *call) prepare(ctx context.Context) *ErrRefused {
	if c.clean.found(c.r.URL.EscapedPath()) || c.clean.found(c.r.Host) || c.clean.found(c.r.Method) {
		return keyInRequest()
	}
	if err := c.readOrderKey(); err != nil {
		return err
	}
	c.header = c.clean.header(c.r.Header)
	for name := range c.header {
		if c.s.names.controlled(name) {
			delete(c.header, name)
		}
	}
	c.query = c.clean.query(c.r.URL.RawQuery)
	if c.r.ContentLength > c.s.limits.MaxBody {
		return bodyTooLarge(c.s.limits.MaxBody)
	}
	c.r.Body = http.MaxBytesReader(c.w, c.r.Body, c.s.limits.MaxBody)
	body, err := readBody(c.r, c.s.limits.MaxReplayBody)
	if err != nil {
		return c.bodyError(ctx, err)
	}
	c.body = body
	if c.clean.foundIn(body.data) {
		return keyInRequest()
	}
	if body.replayable() {
		// A read deadline that passes while the request runs would look like a caller that went away.
		c.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // Not every test writer supports deadlines.
		return nil
	}
	if c.orderKey != "" {
		return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "an order's body must not exceed %d bytes; send a smaller order", c.s.limits.MaxReplayBody).closing()
	}
	c.rc.EnableFullDuplex() //nolint:errcheck // Not every test writer supports it.
	return nil
}

func keyInRequest() *ErrRefused {
	return refuse(http.StatusBadRequest, CodeKeyInRequest, "the key occurs in the path, the Host header or the body; send it in its header only").closing()
}

func bodyTooLarge(limit int64) *ErrRefused {
	return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body exceeds %d bytes; send less in one request", limit).closing()
}

func (c *call) bodyError(ctx context.Context, err error) *ErrRefused {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge(large.Limit)
	case errors.Is(err, errKeyInBody):
		return keyInRequest()
	case ctx.Err() != nil:
		return c.interrupted(ctx)
	default:
		return refuse(http.StatusBadRequest, CodeBodyUnreadable, "the body could not be read within the deadline or is malformed; check its framing and send it again").closing()
	}
}

// readOrderKey takes the order key of a request on a non-idempotent route.
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
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxOrderKey {
		return refuse(http.StatusBadRequest, CodeBadOrderKey, "%s must occur once and have 1 to %d bytes", headerOrderKey, maxOrderKey)
	}
	if c.clean.found(values[0]) {
		return keyInRequest()
	}
	c.orderKey = values[0]
	return nil
}

func (c *call) admit(ctx context.Context) *ErrRefused {
	if c.route.Open {
		return nil
	}
	began := time.Now()
	adm, err := c.draw(ctx)
	c.tokenWait = time.Since(began)
	if err != nil {
		return c.interrupted(ctx)
	}
	if adm.OK {
		c.s.registry.admit(c.workspace)
		return nil
	}
	if adm.NoOwner {
		c.noOwner = true
		return noOwner(adm.RetryAfter)
	}
	c.limited = true
	return refuse(http.StatusTooManyRequests, CodeRateLimited, "the workspace is over its rate; send the request again after the time in Retry-After").after(max(adm.RetryAfter, defaultRetryAfter))
}

// draw draws a token. A target is asked for at the same time where no order
// has to be reserved in between.
func (c *call) draw(ctx context.Context) (Admission, error) {
	if c.orderKey != "" {
		return c.s.decider.Admit(ctx, c.id, c.workspace)
	}
	adm, ahead, err := c.s.decider.AdmitAndAssign(ctx, c.wanted(nil))
	c.ahead = ahead
	return adm, err
}

func noOwner(after time.Duration) *ErrRefused {
	return refuse(http.StatusServiceUnavailable, CodeNoOwner, "the fleet is electing a new owner; send the request again after the time in Retry-After").after(after)
}

// identity describes the request as targets see it.
func (c *call) identity() identity {
	return identity{method: c.r.Method, path: c.r.URL.EscapedPath(), query: c.query, body: c.body.data}
}

// reserve reserves an order. It reports done when it answered from a stored answer.
func (c *call) reserve(ctx context.Context) (done bool, refused *ErrRefused) {
	if c.orderKey == "" {
		return false, nil
	}
	res, err := c.s.decider.ReserveOrder(ctx, order.Requested{
		Request: c.id, Workspace: c.workspace, OrderKey: c.orderKey, Body: c.identity().bodyHash(),
	})
	switch {
	case err != nil:
		return false, c.interrupted(ctx)
	case res.OK:
		c.reserved = true
		return false, nil
	case res.Answer != nil:
		c.replay(*res.Answer)
		return true, nil
	default:
		return false, stopped(res.Reason)
	}
}

func stopped(reason order.StopReason) *ErrRefused {
	switch reason {
	case order.StopBodyDiffers:
		return refuse(http.StatusConflict, CodeOrderKeyReused, "the order key was used for a different order; send a new order key").withOutcome(model.OutcomeNotRun)
	case order.StopInFlight:
		return refuse(http.StatusConflict, CodeOrderInFlight, "an earlier request with this order key may still run or has run; send it again later with the same order key to learn its answer").withOutcome(model.OutcomeUnknown)
	default:
		return refuse(http.StatusServiceUnavailable, CodeNoJournalMajority, "no majority of journal hosts answered; send the request again with the same order key").after(defaultRetryAfter)
	}
}

// interrupted is the answer to a request whose context ended.
func (c *call) interrupted(ctx context.Context) *ErrRefused {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errKeyEnded):
		return withdrawn()
	case errors.Is(cause, errFreshEnded):
		return notFresh()
	case errors.Is(cause, context.DeadlineExceeded):
		return deadlinePassed()
	case cause != nil:
		return refuse(statusClientClosed, CodeCanceled, "the caller closed the connection; keep it open until the answer arrives").closing()
	default:
		return refuse(http.StatusServiceUnavailable, CodeInternal, "this host could not decide on the request; send it again").after(defaultRetryAfter)
	}
}

func deadlinePassed() *ErrRefused {
	return refuse(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the deadline passed; send the request again or allow more time in %s", headerDeadline)
}

// answerError sends an error. Its outcome covers all attempts.
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
		// The rest of the body is not read any more.
		c.w.Header().Set("Connection", "close")
	}
	if c.s.promise {
		err = err.promised(c.outcome)
		c.status = err.Status
	}
	if conn := connOf(c.r.Context()); conn != nil && err.Code == CodeKeyWithdrawn {
		conn.ending.Store(true)
	}
	c.closeIfEnding()
	err.write(c.w, c.s.names.RequestID, c.shownID(), c.outcome, c.s.fractions)
}

// closeIfEnding ends a connection that presented a withdrawn key after this answer.
func (c *call) closeIfEnding() {
	conn := connOf(c.r.Context())
	ending := c.s.draining.Load() || conn != nil && conn.ending.Load()
	if ending && !conn.pipelined() {
		c.w.Header().Set("Connection", "close")
	}
}

// tell counts the request and writes one line on how it ended and what decided
// it. The line names the configuration that it was judged by, every attempt, and
// never a key.
func (c *call) tell() {
	outcome, latency := c.shownOutcome(), time.Since(c.start)
	c.s.metrics.ended(outcome, c.code, latency, c.tokenWait)
	c.s.requests.Info("request ended",
		"request_id", c.shownID(), logs.FieldOutcome, outcome, "status", c.status, "code", string(c.code),
		"route", c.route.Name, "service", c.route.Service, "workspace", c.workspace, "version", c.cfg.Version,
		"ms", latency.Milliseconds(), "token_ms", c.tokenWait.Milliseconds(), "attempts", c.history)
}

func (c *call) record() {
	c.tell()
	if c.route.Service == "" {
		return
	}
	c.s.recorder.Record(Record{
		Service: c.route.Service, Workspace: c.workspace, Status: c.status, Outcome: c.outcome,
		Latency: time.Since(c.start), RateLimited: c.limited, NoOwner: c.noOwner,
	})
}
