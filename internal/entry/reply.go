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

// errAnswerTooLarge ends an answer that may have no end.
var errAnswerTooLarge = errors.New("the answer exceeds the bound on response bodies; raise answer_bytes in [limits] if it is valid")

// copySize is the unit in which bodies are passed on.
const copySize = 32 << 10

// reply is a target's answer on its way to the caller.
type reply struct {
	attempt *attempt
	status  int
	header  http.Header
	// held is what was read so far; it is the whole body when whole is set.
	held  []byte
	whole bool
	err   error
}

func newReply(a *attempt) *reply {
	return &reply{attempt: a, status: a.res.StatusCode, header: replyHeader(a.res.Header)}
}

// replyHeader returns the headers that a caller sees.
func replyHeader(in http.Header) http.Header {
	named := connectionNames(in)
	out := make(http.Header, len(in)+2)
	for name, values := range in {
		if !hopByHop(name) && !slices.Contains(named, name) && name != headerOutcome && name != headerShed {
			out[name] = values
		}
	}
	return out
}

// hold reads the answer up to limit. It returns false if the answer broke off.
func (r *reply) hold(limit int) bool {
	body := r.attempt.res.Body
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, body, int64(limit)+1)
	r.held = buf.Bytes()
	switch {
	case err == io.EOF: //nolint:errorlint // io.CopyN returns io.EOF itself.
		r.whole = true
		r.attempt.close()
		return true
	case err != nil:
		r.err = err
		return false
	default:
		return n > int64(limit)
	}
}

// stored returns the answer in the form kept for resends, or nil if it is too large.
func (r *reply) stored(body []byte, limit int) *proto.StoredAnswer {
	if len(body) > limit {
		return nil
	}
	header := r.header.Clone()
	header.Del(headerRequestID)
	header.Del("Date")
	header.Del("Content-Length")
	return &proto.StoredAnswer{Status: r.status, Header: header, Body: body}
}

// deliver sends a whole answer, after an order's answer was stored.
func (c *call) deliver(r *reply) *ErrRefused {
	c.storeAnswer(r)
	c.writeHeader(r)
	if _, err := c.w.Write(r.held); err != nil && bodyAllowed(c.r.Method, r.status) {
		panic(http.ErrAbortHandler)
	}
	c.writeTrailer(r)
	return nil
}

// storeAnswer keeps the whole answer of an order for resends.
func (c *call) storeAnswer(r *reply) {
	if c.reserved {
		c.finishOrder(r.stored(r.held, c.s.limits.MaxStoredAnswer))
	}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (c *call) writeHeader(r *reply) {
	c.status = r.status
	c.outcome = model.OutcomeRan
	h := c.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	h.Set(c.s.names.RequestID, c.shownID())
	h.Set(headerOutcome, model.OutcomeRan.String())
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil // keeps net/http from adding one that the target did not send
	}
	if !r.whole && !c.body.replayable() {
		h.Set("Connection", "close")
	}
	c.closeIfEnding()
	for name := range r.attempt.res.Trailer {
		h.Add("Trailer", name)
	}
	c.w.WriteHeader(r.status)
}

func (c *call) writeTrailer(r *reply) {
	h := c.w.Header()
	for name, values := range r.attempt.res.Trailer {
		if !hopByHop(name) && name != headerOutcome {
			h[name] = values
		}
	}
}

// stream passes an answer on as it arrives. If the answer breaks off, so does the caller's connection.
func (c *call) stream(ctx context.Context, r *reply) {
	a := r.attempt
	c.mayHaveRun = true
	c.writeHeader(r)
	saved := &capture{limit: c.s.limits.MaxStoredAnswer, on: c.reserved}
	saved.add(r.held)
	readErr, writeErr := c.copyBody(a.res.Body, r.held, saved)
	switch {
	case readErr != nil:
		a.fail(ctx, c, readErr)
	case writeErr != nil:
		a.drop(model.AttemptCanceled)
	default:
		a.done(a.answerEnd())
	}
	a.close()
	if a.end != model.AttemptOK && a.end != model.AttemptError {
		c.breakOff()
	}
	if c.reserved && !saved.over {
		c.finishOrder(r.stored(saved.data, c.s.limits.MaxStoredAnswer))
	}
	c.writeTrailer(r)
}

// capture keeps a copy of a body up to a limit.
type capture struct {
	data  []byte
	limit int
	on    bool
	over  bool
}

func (s *capture) add(p []byte) {
	if !s.on || s.over {
		return
	}
	if len(s.data)+len(p) > s.limit {
		s.over, s.data = true, nil
		return
	}
	s.data = append(s.data, p...)
}

func (c *call) copyBody(body io.Reader, head []byte, saved *capture) (readErr, writeErr error) {
	if _, err := c.w.Write(head); err != nil {
		return nil, err
	}
	if err := c.rc.Flush(); err != nil {
		return nil, err
	}
	buf := make([]byte, copySize)
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

// replay answers a resent order with the stored answer.
func (c *call) replay(answer proto.StoredAnswer) {
	c.status = answer.Status
	c.outcome = model.OutcomeRan
	h := c.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	h.Set(headerReplayed, "true")
	h.Set(c.s.names.RequestID, c.shownID())
	h.Set(headerOutcome, c.outcome.String())
	c.closeIfEnding()
	c.w.WriteHeader(answer.Status)
	if _, err := c.w.Write(answer.Body); err != nil && bodyAllowed(c.r.Method, answer.Status) {
		panic(http.ErrAbortHandler)
	}
}
