package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// forward tries targets until one answers or no further attempt is allowed.
func (c *call) forward(ctx context.Context) *ErrRefused {
	var tried []model.TargetID
	var last *failure
	for {
		target, refused := c.assign(ctx, tried)
		if refused != nil {
			return c.giveUp(last, refused)
		}
		tried = append(tried, target.Target)
		if err := c.allowed(); err != nil {
			c.returnTarget(model.Attempt{Target: target.Target, Incarnation: target.Incarnation, End: model.AttemptCanceled})
			return err
		}
		failed, done := c.try(ctx, target)
		if done {
			return nil
		}
		last = failed
		if len(tried) >= c.attempts() || !c.retryable(ctx, failed.attempt) {
			return c.giveUp(last, nil)
		}
	}
}

// attempts bounds the targets that the request is sent to.
func (c *call) attempts() int {
	if c.route.Attempts > 0 {
		return min(c.route.Attempts, c.s.limits.MaxAttempts)
	}
	return c.s.limits.MaxAttempts
}

// failure is an attempt that did not end the request.
type failure struct {
	attempt *attempt
	// reply is a whole error answer that is passed on if there is no retry.
	reply *reply
	err   *ErrRefused
}

func (c *call) assign(ctx context.Context, tried []model.TargetID) (pool.Assigned, *ErrRefused) {
	got, err := c.nextTarget(ctx, tried)
	if err != nil {
		return pool.Assigned{}, c.interrupted(ctx)
	}
	if got.OK {
		c.assigned = got.Assigned.Request
		return got.Assigned, nil
	}
	return pool.Assigned{}, c.unassigned(got.Refused)
}

// nextTarget returns the target that was asked for together with the token, or asks for one.
func (c *call) nextTarget(ctx context.Context, tried []model.TargetID) (Assignment, error) {
	if c.ahead == nil {
		return c.s.decider.AssignTarget(ctx, c.wanted(tried))
	}
	got := *c.ahead
	c.ahead = nil
	if err := context.Cause(ctx); err != nil && got.OK {
		c.assigned = got.Assigned.Request
		c.returnTarget(model.Attempt{Target: got.Assigned.Target, Incarnation: got.Assigned.Incarnation, End: model.AttemptCanceled})
		return Assignment{}, err
	}
	return got, nil
}

func (c *call) wanted(tried []model.TargetID) pool.TargetRequested {
	return pool.TargetRequested{
		Request: c.id, Service: c.route.Service, Workspace: c.workspace,
		Fingerprint: c.identity().fingerprint(c.workspace), Exclude: tried, AtMostOnce: !c.route.Idempotent,
	}
}

func (c *call) unassigned(r pool.Refused) *ErrRefused {
	const status = http.StatusServiceUnavailable
	switch r.Status {
	case proto.SlotQuarantined:
		return refuse(http.StatusUnprocessableEntity, CodeQuarantined, "requests like this one crashed targets; do not send it again, and ask the operators to examine it")
	case proto.SlotQueueFull:
		return refuse(status, CodeQueueFull, "the workspace has too many waiting requests for this service; send fewer at once").after(r.RetryAfter)
	case proto.SlotTooLate:
		return refuse(status, CodeDeadlineUnreachable, "no target can answer within the deadline; send the request again later or allow more time in %s", headerDeadline).after(r.RetryAfter)
	case proto.SlotNotOwner:
		c.noOwner = true
		return noOwner(r.RetryAfter)
	default:
		return refuse(status, CodeNoTarget, "no target of the service can take the request; send it again after the time in Retry-After").after(r.RetryAfter)
	}
}

// retryable reports whether the request may be sent to another target.
func (c *call) retryable(ctx context.Context, a *attempt) bool {
	if ctx.Err() != nil || c.body.failed.get() != nil || a.end == model.AttemptCanceled || a.end == model.AttemptTimeout {
		return false
	}
	if a.sent && !c.body.replayable() {
		return false
	}
	return c.route.Idempotent || !a.mayHaveRun()
}

// giveUp answers with what is known after the last attempt. refused says why there is no further one.
func (c *call) giveUp(last *failure, refused *ErrRefused) *ErrRefused {
	switch {
	case last == nil:
		return refused
	case last.reply != nil:
		return c.deliver(last.reply)
	case refused != nil && refused.Code == CodeQuarantined:
		return refused
	case last.attempt.res != nil && last.attempt.end == model.AttemptBroken:
		c.breakOff()
	}
	return last.err
}

// breakOff ends the caller's connection: a part of an answer must not pass for the whole.
func (c *call) breakOff() {
	c.finishOrder(nil)
	c.status = http.StatusBadGateway
	c.outcome = model.OutcomeUnknown
	connOf(c.r.Context()).reset()
	panic(http.ErrAbortHandler)
}

// try makes one attempt. It reports done when the caller was answered.
func (c *call) try(ctx context.Context, target pool.Assigned) (*failure, bool) {
	// Until the end of the attempt is known, the request counts as run, also if this code panics.
	before := c.mayHaveRun
	c.mayHaveRun = true
	a := c.send(ctx, target)
	reported := false
	report := func() {
		if !reported {
			reported = true
			c.mayHaveRun = before || a.mayHaveRun()
			c.returnTarget(a.record())
			c.history = append(c.history, a.describe())
			c.s.metrics.attempted(a.end)
		}
	}
	defer report()
	if a.end != 0 {
		return c.failed(ctx, a), false
	}
	rep := newReply(a)
	if c.holds(a) && !rep.hold(c.s.limits.MaxBufferedAnswer) {
		a.fail(ctx, c, rep.err)
		a.close()
		return c.failed(ctx, a), false
	}
	if rep.whole {
		a.done(a.answerEnd())
		report()
		if keyEnded(ctx) {
			c.storeAnswer(rep)
			return &failure{attempt: a, err: withdrawn()}, false
		}
		if a.end == model.AttemptError && c.route.Idempotent {
			return &failure{attempt: a, reply: rep}, false
		}
		return nil, c.deliver(rep) == nil
	}
	c.s.registry.answers(c.flight)
	if keyEnded(ctx) {
		a.drop(model.AttemptCanceled)
		return &failure{attempt: a, err: withdrawn()}, false
	}
	c.stream(ctx, rep)
	return nil, true
}

// keyEnded reports whether the request's key was withdrawn. net/http may return
// an answer although its context ended at the same moment.
func keyEnded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errKeyEnded)
}

// holds reports whether an answer is read whole before the caller gets any of
// it: a small one, so that a truncated one can be retried and an order's answer
// is stored first, and a server error.
func (c *call) holds(a *attempt) bool {
	n := a.res.ContentLength
	small := n >= 0 && n <= int64(c.s.limits.MaxBufferedAnswer)
	return small || a.res.StatusCode >= http.StatusInternalServerError
}

func (c *call) returnTarget(a model.Attempt) {
	c.s.decider.EndAttempt(pool.AttemptEnded{Request: c.assigned, Attempt: a})
}

// failed describes an attempt without an answer for the caller.
func (c *call) failed(ctx context.Context, a *attempt) *failure {
	f := &failure{attempt: a}
	switch {
	case ctx.Err() != nil:
		f.err = c.interrupted(ctx)
	case c.body.failed.get() != nil:
		f.err = c.bodyError(ctx, c.body.failed.get())
	case a.end == model.AttemptTimeout:
		f.err = deadlinePassed()
	case a.end == model.AttemptShed:
		f.err = refuse(http.StatusServiceUnavailable, CodeTargetShedding, "the target has no capacity left; send the request again after the time in Retry-After").after(retryAfter(a.res.Header))
	case a.end == model.AttemptNotSent:
		f.err = refuse(http.StatusBadGateway, CodeTargetUnreachable, "the target could not be reached; send the request again").after(defaultRetryAfter)
	case a.end == model.AttemptInvalid:
		f.err = refuse(http.StatusBadGateway, CodeTargetInvalid, "the target's answer was invalid; check whether the request took effect before sending it again")
	default:
		f.err = refuse(http.StatusBadGateway, CodeTargetBroken, "the target ended the connection without an answer; check whether the request took effect before sending it again")
	}
	return f
}

func retryAfter(h http.Header) time.Duration {
	n, ok := number(h.Get("Retry-After"), 10)
	if !ok || n > 3600 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}

// finishOrder ends the reservation once. Without an answer it is freed only if no attempt can have run.
func (c *call) finishOrder(answer *proto.StoredAnswer) {
	if !c.reserved {
		return
	}
	c.reserved = false
	c.s.decider.FinishOrder(order.Finished{Request: c.id, NotRun: answer == nil && !c.mayHaveRun, Answer: answer})
}
