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

// forward sends the request to one target after another until one answers or no
// further attempt is allowed. It returns an error that is still to be sent, or
// nil if the caller was answered. While the request waits for a target, waitCtx
// applies, which ends before ctx if this host stops.
func (c *call) forward(ctx, waitCtx context.Context) *ErrRefused {
	var tried []model.TargetID
	var last *failedAttempt
	for {
		target, refused := c.assignTarget(waitCtx, tried)
		if refused != nil {
			return c.answerFailure(last, refused)
		}
		if len(tried) > 0 {
			c.s.metrics.countRetry(target.Local)
		}
		tried = append(tried, target.Target)
		if err := c.checkBeforeSend(waitCtx); err != nil {
			c.returnTarget(model.Attempt{Target: target.Target, Incarnation: target.Incarnation, End: model.AttemptCanceled})
			return c.answerFailure(last, err)
		}
		failed, done := c.tryTarget(ctx, target)
		if done {
			return nil
		}
		last = failed
		if len(tried) >= c.maxAttempts() || !c.canRetry(waitCtx, failed.attempt) {
			return c.answerFailure(last, nil)
		}
	}
}

// checkBeforeSend returns an error if the request must not be sent to the target that
// it got: its key was withdrawn or moved, or its wait ended while the assignment
// arrived.
func (c *call) checkBeforeSend(waitCtx context.Context) *ErrRefused {
	if err := c.checkKey(); err != nil {
		return err
	}
	if waitCtx.Err() != nil {
		return c.contextError(waitCtx)
	}
	return nil
}

// maxAttempts returns to how many targets the request may be sent: the limit of
// the host, or that of the route if it is lower.
func (c *call) maxAttempts() int {
	if c.route.Attempts > 0 {
		return min(c.route.Attempts, c.s.limits.MaxAttempts)
	}
	return c.s.limits.MaxAttempts
}

// failedAttempt is an attempt after which the caller is not yet answered, with
// the answer that the caller gets if there is no retry: reply if set, otherwise err.
type failedAttempt struct {
	attempt *attempt
	// reply is a complete error answer of the target, or nil.
	reply *reply
	err   *ErrRefused
}

// assignTarget waits for a target other than those tried.
func (c *call) assignTarget(ctx context.Context, tried []model.TargetID) (pool.Assigned, *ErrRefused) {
	got, err := c.nextTarget(ctx, tried)
	if err != nil {
		return pool.Assigned{}, c.contextError(ctx)
	}
	if got.OK {
		c.assignmentID = got.Assigned.Request
		return got.Assigned, nil
	}
	return pool.Assigned{}, c.assignmentRefused(got.Refused)
}

// nextTarget returns the assignment that was requested together with the token
// or, if there is none or it was used, requests one.
func (c *call) nextTarget(ctx context.Context, tried []model.TargetID) (Assignment, error) {
	if c.earlyAssignment == nil {
		return c.s.decider.AssignTarget(ctx, c.targetRequest(tried))
	}
	got := *c.earlyAssignment
	c.earlyAssignment = nil
	if err := context.Cause(ctx); err != nil && got.OK {
		c.assignmentID = got.Assigned.Request
		c.returnTarget(model.Attempt{Target: got.Assigned.Target, Incarnation: got.Assigned.Incarnation, End: model.AttemptCanceled})
		return Assignment{}, err
	}
	return got, nil
}

// targetRequest returns the query for a target other than those tried.
func (c *call) targetRequest(tried []model.TargetID) pool.TargetRequested {
	return pool.TargetRequested{
		Request: c.id, Service: c.route.Service, Workspace: c.workspace, Objective: c.timeToObjective(),
		Fingerprint: c.identity().fingerprint(c.workspace), Exclude: tried, AtMostOnce: !c.route.Idempotent,
		Rank: c.cfg.RankFor(c.workspace, c.route), Class: model.ClassOf(c.route.Name),
	}
}

// timeToObjective returns the time left until the latency objective of the route,
// negative once it has passed, or 0 if the route has none.
func (c *call) timeToObjective() time.Duration {
	if c.route.Objective == 0 {
		return 0
	}
	if left := c.route.Objective - time.Since(c.startedAt); left != 0 {
		return left
	}
	return -1
}

// assignmentRefused returns the error answer to a request that got no target.
func (c *call) assignmentRefused(r pool.Refused) *ErrRefused {
	const status = http.StatusServiceUnavailable
	c.refusal = refusalReason(r.Reason.String())
	switch r.Status {
	case proto.SlotQuarantined:
		return refuse(http.StatusUnprocessableEntity, CodeQuarantined, "requests like this one crashed targets; do not send it again, and ask the operators to examine it")
	case proto.SlotQueueFull:
		return refuse(status, CodeQueueFull, "the workspace has too many waiting requests for this service; send fewer at once").withRetryAfter(r.RetryAfter)
	case proto.SlotTooLate:
		return refuse(status, CodeDeadlineUnreachable, "no target can answer within the deadline; send the request again later or allow more time in %s", headerDeadline).withRetryAfter(r.RetryAfter)
	case proto.SlotDisplaced:
		return refuse(status, CodeDisplaced, "the request waited and gave way to a more urgent one; send it again after the time in Retry-After").withRetryAfter(r.RetryAfter)
	case proto.SlotNotOwner:
		c.noOwner = true
		return noOwner(r.RetryAfter)
	default:
		return refuse(status, CodeNoTarget, "no target of the service can take the request; send it again after the time in Retry-After").withRetryAfter(r.RetryAfter)
	}
}

// canRetry reports whether the request may be sent to another target.
func (c *call) canRetry(ctx context.Context, a *attempt) bool {
	if ctx.Err() != nil || c.body.readErr.get() != nil || a.end == model.AttemptCanceled || a.end == model.AttemptTimeout {
		return false
	}
	if !c.route.Open && !c.hasKey() {
		return false
	}
	if a.maybeSent && !c.body.replayable() {
		return false
	}
	return c.route.Idempotent || !a.mayHaveRun()
}

// answerFailure ends a request that no target answered successfully. It passes on
// the last target's error answer if there is one, breaks the caller's connection
// off if that answer was truncated, and otherwise returns the error to send.
// refused is why no further target was assigned, or nil if none was requested.
func (c *call) answerFailure(last *failedAttempt, refused *ErrRefused) *ErrRefused {
	switch {
	case last == nil:
		return refused
	case last.reply != nil:
		return c.deliver(last.reply)
	case refused != nil && refused.Code == CodeQuarantined:
		return refused
	case last.attempt.res != nil && last.attempt.end == model.AttemptBroken:
		c.abortAnswer()
	}
	return last.err
}

// abortAnswer breaks off an answer that the target did not complete. It ends the
// caller's connection with an error, so that the caller cannot take a part of the
// answer for the whole. It does not return but panics with http.ErrAbortHandler.
func (c *call) abortAnswer() {
	c.finishOrder(nil)
	c.status = http.StatusBadGateway
	c.outcome = model.OutcomeUnknown
	callerConnOf(c.r.Context()).resetOnClose()
	panic(http.ErrAbortHandler)
}

// tryTarget makes one attempt. It returns true if the caller was answered,
// otherwise the failed attempt.
func (c *call) tryTarget(ctx context.Context, target pool.Assigned) (*failedAttempt, bool) {
	// Until the end of the attempt is known, the request counts as possibly run, so
	// that a panic in this code does not free the reservation of an order.
	mayHaveRunBefore := c.mayHaveRun
	c.mayHaveRun = true
	a := c.send(ctx, target)
	reported := false
	report := func() {
		if !reported {
			reported = true
			c.mayHaveRun = mayHaveRunBefore || a.mayHaveRun()
			c.returnTarget(a.result())
			c.attemptLog = append(c.attemptLog, a.describe())
			c.s.metrics.countAttempt(a.end)
		}
	}
	defer report()
	if a.end != 0 {
		return c.newFailedAttempt(ctx, a), false
	}
	rep := newReply(a)
	if c.mustBuffer(a) && !rep.buffer(c.s.limits.MaxBufferedAnswer) {
		a.setFailure(ctx, c, rep.err)
		a.close()
		return c.newFailedAttempt(ctx, a), false
	}
	if rep.complete {
		a.finish(a.endByStatus())
		report()
		if isKeyWithdrawn(ctx) {
			c.storeAnswer(rep)
			return &failedAttempt{attempt: a, err: keyWithdrawn()}, false
		}
		if a.end == model.AttemptError && c.route.Idempotent {
			return &failedAttempt{attempt: a, reply: rep}, false
		}
		return nil, c.deliver(rep) == nil
	}
	if a.notice != (model.TargetNotice{}) {
		c.s.decider.NoteTarget(pool.TargetNoticed{Service: c.route.Service, Attempt: a.result()})
		a.isNoted = true
	}
	if isKeyWithdrawn(ctx) {
		a.abort(model.AttemptCanceled)
		return &failedAttempt{attempt: a, err: keyWithdrawn()}, false
	}
	c.stream(ctx, rep)
	return nil, true
}

// isKeyWithdrawn reports whether ctx ended because the request's key was
// withdrawn. It is checked after each answer: net/http may return one although
// the context ended at the same moment.
func isKeyWithdrawn(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errKeyWithdrawn)
}

// mustBuffer reports whether an answer is read completely before the caller gets
// any of it. Small answers are, so that a truncated one can be retried and an
// order's answer is stored before it is sent. Server errors are, so that they can
// be retried.
func (c *call) mustBuffer(a *attempt) bool {
	n := a.res.ContentLength
	small := n >= 0 && n <= int64(c.s.limits.MaxBufferedAnswer)
	return small || a.res.StatusCode >= http.StatusInternalServerError
}

// returnTarget reports the end of an attempt to the Decider and releases its target.
func (c *call) returnTarget(a model.Attempt) {
	c.s.decider.EndAttempt(pool.AttemptEnded{Request: c.assignmentID, Attempt: a})
}

// newFailedAttempt returns an attempt that got no answer to pass on, with the
// error answer that follows from its end.
func (c *call) newFailedAttempt(ctx context.Context, a *attempt) *failedAttempt {
	f := &failedAttempt{attempt: a}
	switch {
	case ctx.Err() != nil:
		f.err = c.contextError(ctx)
	case c.body.readErr.get() != nil:
		f.err = c.bodyError(ctx, c.body.readErr.get())
	case a.end == model.AttemptTimeout:
		f.err = deadlinePassed()
	case a.end == model.AttemptShed:
		f.err = refuse(http.StatusServiceUnavailable, CodeTargetShedding, "the target has no capacity left; send the request again after the time in Retry-After").withRetryAfter(parseRetryAfter(a.res.Header))
	case a.end == model.AttemptNotSent:
		f.err = refuse(http.StatusBadGateway, CodeTargetUnreachable, "the target could not be reached; send the request again").withRetryAfter(defaultRetryAfter)
	case a.end == model.AttemptInvalid:
		f.err = refuse(http.StatusBadGateway, CodeTargetInvalid, "the target's answer was invalid; check whether the request took effect before sending it again")
	default:
		f.err = refuse(http.StatusBadGateway, CodeTargetBroken, "the target ended the connection without an answer; check whether the request took effect before sending it again")
	}
	return f
}

// parseRetryAfter returns the time in a target's Retry-After if it is in whole
// seconds and at most an hour, otherwise defaultRetryAfter.
func parseRetryAfter(h http.Header) time.Duration {
	n, ok := parseDigits(h.Get("Retry-After"), 10)
	if !ok || n > 3600 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}

// finishOrder ends the reservation of the order; later calls do nothing. Without
// an answer, the reservation is freed only if no attempt can have run.
func (c *call) finishOrder(answer *proto.StoredAnswer) {
	if !c.reserved {
		return
	}
	c.reserved = false
	c.s.decider.FinishOrder(order.Finished{Request: c.id, NotRun: answer == nil && !c.mayHaveRun, Answer: answer})
}
