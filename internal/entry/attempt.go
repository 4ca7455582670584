package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// shedDrain bounds what is read of a shedding answer so that its connection can be used again.
const shedDrain = 4 << 10

// deadlineMargin covers the rounding of X-Deadline-Ms and the target's way to close the connection.
const deadlineMargin = 5 * time.Millisecond

// attempt is one try on one target.
type attempt struct {
	target pool.Assigned
	trace  *connTrace
	res    *http.Response
	// end is zero while the answer is being read.
	end model.AttemptEnd
	// sent is set when a byte of the request may have reached the target.
	sent    bool
	latency time.Duration
	err     error
}

// connTrace collects the connections that net/http used for one attempt.
type connTrace struct {
	mu       sync.Mutex
	conn     *targetConn
	gen      uint64
	first    time.Time
	reused   bool
	dirty    bool
	answered bool
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*targetConn)
	if !ok {
		return
	}
	gen, ok := conn.begin(info.Reused)
	if !ok {
		conn.seal()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.gen, t.reused, t.dirty = conn, gen, info.Reused, !ok
}

func (t *connTrace) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered = true
}

// wasReused reports whether the connection was open before the request.
func (t *connTrace) wasReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// seal ends the connection and reports whether a byte may have been sent on it.
func (t *connTrace) seal() (sent, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.dirty {
		return false, t.answered
	}
	t.first = t.conn.sent()
	return t.conn.seal(), t.answered
}

// finish lets the connection be used again.
func (t *connTrace) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.finish(t.gen)
	}
}

// firstByte returns when the first byte was sent.
func (t *connTrace) firstByte() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.first.IsZero() && t.conn != nil {
		t.first = t.conn.sent()
	}
	return t.first
}

// send sends the request and reads the header of the answer.
func (c *call) send(ctx context.Context, target pool.Assigned) *attempt {
	a := &attempt{target: target}
	// A connection that was open before may have been closed or hold stray bytes.
	// As long as nothing was sent, the next one is tried; the last try gets a new one.
	for range c.s.limits.MaxTargetConns + 1 {
		a.trace, a.end, a.err = &connTrace{}, 0, nil
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

func (a *attempt) roundTrip(ctx context.Context, c *call) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              a.trace.gotConn,
		GotFirstResponseByte: a.trace.gotFirstByte,
	})
	res, err := c.s.targetSide.get().RoundTrip(c.outgoing(traced, a.target)) //nolint:bodyclose // close and finish close it.
	if err != nil {
		a.fail(ctx, c, err)
		return
	}
	a.res, a.sent = res, true
	a.trace.firstByte()
}

// fail classifies the end of an attempt without a whole answer.
func (a *attempt) fail(ctx context.Context, c *call, err error) {
	sent, answered := a.trace.seal()
	a.sent = a.sent || sent
	a.err = err
	a.setLatency()
	cause := context.Cause(ctx)
	switch {
	case a.sent && (errors.Is(cause, context.DeadlineExceeded) || (cause == nil && deadlineNear(ctx))):
		a.end = model.AttemptTimeout
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded), c.body.failed.get() != nil:
		a.end = model.AttemptCanceled
	case !a.sent:
		a.end = model.AttemptNotSent
	case answered && !connectionError(err):
		a.end = model.AttemptInvalid
	default:
		a.end = model.AttemptBroken
	}
}

// deadlineNear reports whether the target may have ended the attempt because of
// the deadline it was told, which is rounded down to a millisecond.
func deadlineNear(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < deadlineMargin
}

// connectionError reports whether the connection failed, rather than what came over it.
func connectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) || errors.Is(err, errSealed)
}

// checkAnswer classifies an answer by its header.
func (a *attempt) checkAnswer(c *call) {
	switch {
	case !c.echoed(a.res.Header) || a.res.StatusCode == http.StatusSwitchingProtocols:
		a.err = errors.New("the answer does not carry the id of the request")
		a.drop(model.AttemptInvalid)
	case a.res.ContentLength > c.s.limits.MaxAnswer:
		a.err = errAnswerTooLarge
		a.drop(model.AttemptInvalid)
	case !c.s.endless && endless(c.r.Method, a.res):
		a.err = errors.New("the answer has neither a length nor chunks, so that its end cannot be recognized")
		a.drop(model.AttemptInvalid)
	case c.s.saysNotRun(a.res):
		io.CopyN(io.Discard, a.res.Body, shedDrain) //nolint:errcheck // The header alone proves that the request did not run.
		a.close()
		a.done(model.AttemptShed)
	}
}

// saysNotRun reports whether a target's answer says that it did not run the
// request. Targets that check which instance is meant answer 421 without running it.
func (s *Server) saysNotRun(res *http.Response) bool {
	if s.names.Instance != "" {
		return res.StatusCode == http.StatusMisdirectedRequest || res.Header.Get(s.names.NotRun) != ""
	}
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(s.names.NotRun) == "1"
}

// endless reports whether a body ends with the connection, which a broken connection looks like.
func endless(method string, res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && bodyAllowed(method, res.StatusCode)
}

// echoed reports whether an answer belongs to the request.
func (c *call) echoed(h http.Header) bool {
	ids := h[c.s.names.RequestID]
	for _, id := range ids {
		if id != c.shownID() {
			return false
		}
	}
	return len(ids) > 0 || !c.s.echo
}

// drop ends the attempt and its connection.
func (a *attempt) drop(end model.AttemptEnd) {
	a.close()
	a.trace.seal()
	a.setLatency()
	a.end = end
}

// done ends the attempt after a whole answer.
func (a *attempt) done(end model.AttemptEnd) {
	a.trace.finish()
	a.setLatency()
	a.end = end
}

func (a *attempt) close() {
	a.res.Body.Close() //nolint:errcheck // The answer was read or is given up.
}

func (a *attempt) setLatency() {
	if first := a.trace.firstByte(); !first.IsZero() {
		a.latency = time.Since(first)
	}
}

// answerEnd is the end of an attempt whose whole answer was read.
func (a *attempt) answerEnd() model.AttemptEnd {
	if a.res.StatusCode >= http.StatusInternalServerError {
		return model.AttemptError
	}
	return model.AttemptOK
}

// mayHaveRun reports whether the target may have run the request.
func (a *attempt) mayHaveRun() bool {
	return a.sent && a.end != model.AttemptShed
}

// describe returns the target, the end and the time of the attempt for the log.
func (a *attempt) describe() string {
	text := fmt.Sprintf("%s %s %d ms", a.target.Target, a.end, a.latency.Milliseconds())
	if a.target.Local {
		text += " chosen without owner"
	}
	if a.err != nil {
		text += ": " + a.err.Error()
	}
	return text
}

func (a *attempt) record() model.Attempt {
	return model.Attempt{Target: a.target.Target, Incarnation: a.target.Incarnation, End: a.end, Latency: a.latency}
}

// outgoing builds the request that a target sees.
func (c *call) outgoing(ctx context.Context, target pool.Assigned) *http.Request {
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
	h.Set(c.s.names.RequestID, c.shownID())
	if c.s.names.Instance != "" {
		h.Set(c.s.names.Instance, string(target.Target))
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(c.s.names.Deadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if c.workspace != "" {
		h.Set(c.s.names.Workspace, string(c.workspace))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	if key, ok := h[headerOrderKey]; ok {
		// In canonical case net/http takes the key as leave to resend the request.
		delete(h, headerOrderKey)
		h["idempotency-key"] = key
	}
	c.body.attach(out, c.clean)
	return out
}
