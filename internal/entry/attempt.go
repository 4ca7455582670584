package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxShedBodyDrain bounds in bytes how much of a shedding target's answer is
// read so that its connection can be reused.
const maxShedBodyDrain = 4 << 10

// deadlineMargin covers the rounding of X-Deadline-Ms to milliseconds and the
// time until the target's closing of the connection arrives here.
const deadlineMargin = 5 * time.Millisecond

// attempt is one sending of a caller's request to one target, and its result.
type attempt struct {
	target pool.Assigned
	trace  *connTrace
	// res is the target's answer, or nil if no valid header of one arrived.
	res *http.Response
	// end is how the attempt ended, or zero while the answer is being read.
	end model.AttemptEnd
	// maybeSent is set when a byte of the request may have reached the target.
	maybeSent bool
	// latency is the time from the first byte sent to the end of the attempt.
	latency time.Duration
	// notice is what the answer says of the target.
	notice model.TargetNotice
	// isNoted is set once notice was reported before the end of the answer.
	isNoted bool
	// err is why the attempt has no valid answer, or nil.
	err error
}

// connTrace records which connection net/http used for one round trip. It is
// safe for concurrent use, since net/http calls it from its own goroutines.
type connTrace struct {
	mu   sync.Mutex
	conn *targetConn
	// noBody is set if the request is a HEAD, whose answer has no body.
	noBody bool
	// generation is the number of this request on conn.
	generation uint64
	// firstByteAt is when the first byte of the request was sent, as far as known.
	firstByteAt time.Time
	// reused is set if conn was open before the request.
	reused bool
	// unusable is set if conn could not take the request, so that nothing was sent on it.
	unusable bool
	// answered is set once a byte of the answer arrived.
	answered bool
	// informational counts the informational responses (status 1xx) that arrived.
	informational int
}

// gotConn implements httptrace.ClientTrace.GotConn.
func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*targetConn)
	if !ok {
		return
	}
	gen, ok := conn.beginRequest(info.Reused, t.noBody)
	if !ok {
		conn.abort()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.generation, t.reused, t.unusable = conn, gen, info.Reused, !ok
}

// gotFirstByte implements httptrace.ClientTrace.GotFirstResponseByte.
func (t *connTrace) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered = true
}

// gotInformational implements httptrace.ClientTrace.Got1xxResponse. It checks a
// response with status 1xx, after which the target must send a final one.
func (t *connTrace) gotInformational(_ int, h textproto.MIMEHeader) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.informational++
	return checkInformational(t.informational, h)
}

// endedInformational reports whether the last response was an informational one.
func (t *connTrace) endedInformational() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.informational > 0
}

// wasReused reports whether the connection was open before the request.
func (t *connTrace) wasReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// abort closes the connection. It reports whether a byte of the request may
// have been sent on it and whether a byte of the answer arrived.
func (t *connTrace) abort() (sent, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.unusable {
		return false, t.answered
	}
	t.firstByteAt = t.conn.firstByteSentAt()
	return t.conn.abort(), t.answered
}

// answerError returns why the answer is malformed, or nil.
func (t *connTrace) answerError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	return t.conn.answerError()
}

// release marks the end of a complete answer, after which net/http may reuse the connection.
func (t *connTrace) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.endRequest(t.generation)
	}
}

// firstByteSentAt returns when the first byte of the request was sent, or the zero time.
func (t *connTrace) firstByteSentAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByteAt.IsZero() && t.conn != nil {
		t.firstByteAt = t.conn.firstByteSentAt()
	}
	return t.firstByteAt
}

// send sends the request to a target and reads the header of the answer. The
// attempt that it returns has ended unless the body is still to be read.
func (c *call) send(ctx context.Context, target pool.Assigned) *attempt {
	a := &attempt{target: target}
	// A reused connection may have been closed by the target or hold stray bytes.
	// As long as nothing was sent, another connection is tried. The pool holds at
	// most MaxTargetConns idle ones, so that the last try opens a new one.
	for range c.s.limits.MaxTargetConns + 1 {
		a.trace, a.end, a.err = &connTrace{noBody: c.r.Method == http.MethodHead}, 0, nil
		a.roundTrip(ctx, c)
		if a.end != model.AttemptNotSent || !a.trace.wasReused() || ctx.Err() != nil {
			break
		}
	}
	if a.res != nil {
		a.checkAnswer(c)
	}
	return a
}

// roundTrip sends the request once. On success it sets a.res, otherwise a.end and a.err.
func (a *attempt) roundTrip(ctx context.Context, c *call) {
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              a.trace.gotConn,
		GotFirstResponseByte: a.trace.gotFirstByte,
		Got1xxResponse:       a.trace.gotInformational,
	})
	res, err := c.s.transports.current().RoundTrip(c.newTargetRequest(tracedCtx, a.target)) //nolint:bodyclose // attempt.close closes the body.
	if err != nil {
		a.setFailure(ctx, c, err)
		return
	}
	a.res, a.maybeSent = res, true
	a.trace.firstByteSentAt()
}

// setFailure closes the connection of an attempt that got no complete answer
// and sets a.end by the cause: the deadline, the caller, the connection or an
// invalid answer.
func (a *attempt) setFailure(ctx context.Context, c *call, err error) {
	sent, answered := a.trace.abort()
	a.maybeSent = a.maybeSent || sent
	a.err = err
	malformed := a.trace.answerError()
	if malformed != nil {
		a.err = malformed // net/http may report only that the connection was closed.
	}
	a.setLatency()
	cause := context.Cause(ctx)
	switch {
	case a.maybeSent && (errors.Is(cause, context.DeadlineExceeded) || (cause == nil && deadlineIsNear(ctx))):
		a.end = model.AttemptTimeout
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded), c.body.readErr.get() != nil:
		a.end = model.AttemptCanceled
	case !a.maybeSent:
		a.end = model.AttemptNotSent
	case malformed != nil, answered && (!isConnectionError(err) || a.res == nil && a.trace.endedInformational()):
		a.end = model.AttemptInvalid
	default:
		a.end = model.AttemptBroken
	}
}

// deadlineIsNear reports whether the target may have ended the attempt at its
// deadline: the target is told one that is rounded down to a millisecond.
func deadlineIsNear(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < deadlineMargin
}

// isConnectionError reports whether err is a failure of the connection, as
// opposed to an invalid answer that arrived over it.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) || errors.Is(err, errConnAborted)
}

// checkAnswer ends the attempt if the header shows that the answer is invalid or
// that the target did not run the request.
func (a *attempt) checkAnswer(c *call) {
	switch {
	case !isFinalStatus(a.res.StatusCode):
		a.err = errors.New("the status of the answer is not between 200 and 599")
		a.abort(model.AttemptInvalid)
	case !c.hasRequestID(a.res.Header):
		a.err = errors.New("the answer does not carry the id of the request")
		a.abort(model.AttemptInvalid)
	case a.res.ContentLength > c.s.limits.MaxAnswer:
		a.err = errAnswerTooLarge
		a.abort(model.AttemptInvalid)
	case !c.s.endlessAnswers && endsWithConnection(c.r.Method, a.res):
		a.err = errors.New("the answer has neither a length nor chunks, so that its end cannot be recognized")
		a.abort(model.AttemptInvalid)
	case a.res.StatusCode == http.StatusMisdirectedRequest && c.s.headerNames.Instance != "":
		// Another target at this address answered.
		a.notice = model.TargetNotice{Moved: true}
		a.refuse()
	case c.s.reportsNotRun(a.res):
		a.notice = c.s.readNotice(a.res)
		a.refuse()
	default:
		a.notice = c.s.readNotice(a.res)
	}
}

// refuse ends an attempt whose answer says that the request did not run.
func (a *attempt) refuse() {
	io.CopyN(io.Discard, a.res.Body, maxShedBodyDrain) //nolint:errcheck // The header alone proves that the request did not run.
	a.close()
	a.finish(model.AttemptShed)
}

// reportsNotRun reports whether a target states in its answer that it did not
// run the request. Targets that check the instance header answer 421 to a
// request for another instance, without running it.
func (s *Server) reportsNotRun(res *http.Response) bool {
	if s.headerNames.Instance != "" {
		return res.StatusCode == http.StatusMisdirectedRequest || res.Header.Get(s.headerNames.NotRun) != ""
	}
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(s.headerNames.NotRun) == "1"
}

// endsWithConnection reports whether only the end of the connection marks the
// end of the body. A broken connection cannot be told from such an end.
func endsWithConnection(method string, res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && bodyAllowed(method, res.StatusCode)
}

// hasRequestID reports whether every request id in an answer is that of the
// request. An answer without an id passes unless the setting requires one.
func (c *call) hasRequestID(h http.Header) bool {
	ids := h[c.s.headerNames.RequestID]
	for _, id := range ids {
		if id != c.publicID() {
			return false
		}
	}
	return len(ids) > 0 || !c.s.requireRequestID
}

// abort closes the connection and ends the attempt without a complete answer.
func (a *attempt) abort(end model.AttemptEnd) {
	a.close()
	a.trace.abort()
	a.setLatency()
	a.end = end
}

// finish ends the attempt after a complete answer and keeps the connection for reuse.
func (a *attempt) finish(end model.AttemptEnd) {
	a.trace.release()
	a.setLatency()
	a.end = end
}

// close closes the body of the answer.
func (a *attempt) close() {
	a.res.Body.Close() //nolint:errcheck // The answer was read or is not wanted any more.
}

// setLatency sets a.latency, unless no byte of the request was sent.
func (a *attempt) setLatency() {
	if first := a.trace.firstByteSentAt(); !first.IsZero() {
		a.latency = time.Since(first)
	}
}

// endByStatus returns the end of an attempt whose complete answer was read:
// AttemptError for a server error, otherwise AttemptOK.
func (a *attempt) endByStatus() model.AttemptEnd {
	if a.res.StatusCode >= http.StatusInternalServerError {
		return model.AttemptError
	}
	return model.AttemptOK
}

// mayHaveRun reports whether the target may have run the request.
func (a *attempt) mayHaveRun() bool {
	return a.maybeSent && a.end != model.AttemptShed
}

// describe returns the target, end, latency and error of the attempt for the request log.
func (a *attempt) describe() string {
	text := fmt.Sprintf("%s %s %d ms", a.target.Target, a.end, a.latency.Milliseconds())
	if a.target.Local {
		text += " chosen without owner"
	}
	if a.notice.Moved {
		text += ", another process has its address"
	}
	if a.notice.Leaving {
		text += ", is leaving"
	}
	if a.notice.Pause > 0 {
		text += fmt.Sprintf(", asks for a pause of %s", a.notice.Pause)
	}
	if a.notice.Limited {
		text += fmt.Sprintf(", limits the fleet to %g/s", a.notice.Rate)
	}
	if a.notice.ColdRemaining > 0 {
		text += fmt.Sprintf(", is cold for another %s", a.notice.ColdRemaining)
	}
	if a.err != nil {
		text += ": " + a.err.Error()
	}
	return text
}

// result returns the attempt in the form that the Decider takes. Whether the target is
// cold is not reported a second time, since that may have changed during the answer.
func (a *attempt) result() model.Attempt {
	notice := a.notice
	if a.isNoted {
		notice.ReportsCold, notice.ColdRemaining = false, 0
	}
	return model.Attempt{
		Target: a.target.Target, Incarnation: a.target.Incarnation, End: a.end, Latency: a.latency, Notice: notice,
	}
}

// newTargetRequest returns the request that is sent to a target.
func (c *call) newTargetRequest(ctx context.Context, target pool.Assigned) *http.Request {
	out := (&http.Request{
		Method:     c.r.Method,
		URL:        &url.URL{Scheme: "http", Host: target.Addr, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.query},
		Host:       c.r.Host,
		Header:     c.header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	h := out.Header
	h.Set(c.s.headerNames.RequestID, c.publicID())
	if c.s.headerNames.Instance != "" {
		h.Set(c.s.headerNames.Instance, string(target.Target))
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(c.s.headerNames.Deadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if c.workspace != "" {
		h.Set(c.s.headerNames.Workspace, string(c.workspace))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	for _, name := range []string{headerOrderKey, headerOtherOrderKey} {
		if key, ok := h[name]; ok {
			// net/http resends requests that have this header in its canonical case.
			delete(h, name)
			h[strings.ToLower(name)] = key
		}
	}
	c.body.attachTo(out, c.filter)
	return out
}
