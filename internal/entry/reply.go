package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// errAnswerTooLarge ends an answer that exceeds MaxAnswer and may never end.
var errAnswerTooLarge = errors.New("the answer exceeds the bound on response bodies; raise answer_bytes in [limits] if it is valid")

// copyBufferSize is the size in bytes of the buffer for streaming an answer's body.
const copyBufferSize = 32 << 10

// reply is a target's answer that is to be sent to the caller.
type reply struct {
	attempt *attempt
	status  int
	// header holds the headers that the caller sees.
	header http.Header
	// buffered holds the body as far as it was read before the answer is sent.
	buffered []byte
	// complete is set if buffered is the complete body.
	complete bool
	// err is why the body could not be read, or nil.
	err error
}

// newReply returns a reply with the status and headers of an attempt's answer. The
// body is not read.
func newReply(a *attempt) *reply {
	return &reply{attempt: a, status: a.res.StatusCode, header: replyHeader(a.res.Header)}
}

// replyHeader returns the headers that a caller sees: without those of the
// connection and those that only entry hosts may set.
func replyHeader(in http.Header) http.Header {
	listed := connectionHeaders(in)
	out := make(http.Header, len(in)+2)
	for name, values := range in {
		if !isHopByHop(name) && !slices.Contains(listed, name) && name != headerOutcome && name != headerShed {
			out[name] = values
		}
	}
	return out
}

// buffer reads the body up to limit+1 bytes and sets complete if that was all of
// it. It returns false and sets err if the answer broke off.
func (r *reply) buffer(limit int) bool {
	body := r.attempt.res.Body
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, body, int64(limit)+1)
	r.buffered = buf.Bytes()
	switch {
	case err == io.EOF: //nolint:errorlint // io.CopyN returns io.EOF itself.
		r.complete = true
		r.attempt.close()
		return true
	case err != nil:
		r.err = err
		return false
	default:
		return n > int64(limit)
	}
}

// toStored returns the answer with the given body in the form that is stored for
// resends of an order, or nil if the body is longer than limit.
func (r *reply) toStored(body []byte, limit int) *proto.StoredAnswer {
	if len(body) > limit {
		return nil
	}
	header := r.header.Clone()
	header.Del(headerRequestID)
	header.Del("Date")
	header.Del("Content-Length")
	return &proto.StoredAnswer{Status: r.status, Header: header, Body: body}
}

// deliver sends a complete answer, after storing it if it answers an order. It
// returns nil.
func (c *call) deliver(r *reply) *ErrRefused {
	c.storeAnswer(r)
	c.writeHeader(r)
	if _, err := c.w.Write(r.buffered); err != nil && bodyAllowed(c.r.Method, r.status) {
		panic(http.ErrAbortHandler)
	}
	c.writeTrailer(r)
	return nil
}

// storeAnswer stores the complete answer of a reserved order for resends.
func (c *call) storeAnswer(r *reply) {
	if c.reserved {
		c.finishOrder(r.toStored(r.buffered, c.s.limits.MaxStoredAnswer))
	}
}

// bodyAllowed reports whether an answer to the method with the status can have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHeader sends the status and header of a target's answer.
func (c *call) writeHeader(r *reply) {
	c.status = r.status
	c.outcome = model.OutcomeRan
	h := c.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	h.Set(c.s.headerNames.RequestID, c.publicID())
	h.Set(headerOutcome, model.OutcomeRan.String())
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil // Keeps net/http from adding one that the target did not send.
	}
	if !r.complete && !c.body.replayable() {
		h.Set("Connection", "close")
	}
	c.setConnectionClose()
	for name := range r.attempt.res.Trailer {
		h.Add("Trailer", name)
	}
	c.w.WriteHeader(r.status)
}

// writeTrailer sets the trailers of a target's answer, which net/http sends after
// the body.
func (c *call) writeTrailer(r *reply) {
	h := c.w.Header()
	for name, values := range r.attempt.res.Trailer {
		if !isHopByHop(name) && name != headerOutcome {
			h[name] = values
		}
	}
}

// stream sends an answer to the caller as it arrives. If the answer breaks off, the
// caller's connection is aborted.
func (c *call) stream(ctx context.Context, r *reply) {
	a := r.attempt
	c.mayHaveRun = true
	c.writeHeader(r)
	saved := &limitedBuffer{limit: c.s.limits.MaxStoredAnswer, enabled: c.reserved}
	saved.add(r.buffered)
	readErr, writeErr := c.copyBody(a.res.Body, r.buffered, saved)
	switch {
	case readErr != nil:
		a.setFailure(ctx, c, readErr)
	case writeErr != nil:
		a.abort(model.AttemptCanceled)
	default:
		a.finish(a.endByStatus())
	}
	a.close()
	if a.end != model.AttemptOK && a.end != model.AttemptError {
		c.abortAnswer()
	}
	if c.reserved && !saved.overflowed {
		c.finishOrder(r.toStored(saved.data, c.s.limits.MaxStoredAnswer))
	}
	c.writeTrailer(r)
}

// limitedBuffer keeps a copy of a body of up to limit bytes, if enabled.
type limitedBuffer struct {
	data    []byte
	limit   int
	enabled bool
	// overflowed is set once the body exceeds limit. The copy is then dropped.
	overflowed bool
}

// add appends p to the copy.
func (b *limitedBuffer) add(p []byte) {
	if !b.enabled || b.overflowed {
		return
	}
	if len(b.data)+len(p) > b.limit {
		b.overflowed, b.data = true, nil
		return
	}
	b.data = append(b.data, p...)
}

// copyBody sends head and then the rest of a body, flushing each part, and adds the
// rest to saved. It distinguishes errors of reading from the target and of writing
// to the caller.
func (c *call) copyBody(body io.Reader, head []byte, saved *limitedBuffer) (readErr, writeErr error) {
	if _, err := c.w.Write(head); err != nil {
		return nil, err
	}
	if err := c.rc.Flush(); err != nil {
		return nil, err
	}
	buf := make([]byte, copyBufferSize)
	left := c.s.limits.MaxAnswer - int64(len(head))
	for {
		n, err := body.Read(buf)
		if left -= int64(n); left < 0 {
			return errAnswerTooLarge, nil
		}
		if n > 0 {
			saved.add(buf[:n])
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			if werr := c.rc.Flush(); werr != nil {
				return nil, werr
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// replayStored sends the stored answer of an earlier run of the order.
func (c *call) replayStored(answer proto.StoredAnswer) {
	c.status = answer.Status
	c.outcome = model.OutcomeRan
	h := c.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	h.Set(headerReplayed, "true")
	h.Set(c.s.headerNames.RequestID, c.publicID())
	h.Set(headerOutcome, c.outcome.String())
	c.setConnectionClose()
	c.w.WriteHeader(answer.Status)
	if _, err := c.w.Write(answer.Body); err != nil && bodyAllowed(c.r.Method, answer.Status) {
		panic(http.ErrAbortHandler)
	}
}
