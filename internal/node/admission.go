package node

import (
	"context"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// speculativeSuffix is appended to the request id when a target is requested
// before the request has its token.
const speculativeSuffix = "-ahead"

// admissionUpdate is a message from the limiter about one request.
type admissionUpdate struct {
	// isFinal is set in the last update, whose result is the decision.
	isFinal bool
	result  entry.Admission
	// tokenExpected is set while a target may be requested before the token
	// arrives.
	tokenExpected bool
}

// Admit requests a token from the limiter and waits for its decision.
func (h *entryHost) Admit(ctx context.Context, id model.RequestID, ws model.WorkspaceID) (entry.Admission, error) {
	answer := h.requestToken(ctx, id, ws)
	for {
		select {
		case a := <-answer:
			if a.isFinal {
				return a.result, nil
			}
		case <-ctx.Done():
			h.abandonToken(id)
			return entry.Admission{}, context.Cause(ctx)
		}
	}
}

// requestToken requests a token and returns the channel of its updates.
func (h *entryHost) requestToken(ctx context.Context, id model.RequestID, ws model.WorkspaceID) <-chan admissionUpdate {
	answer := h.admissions.add(id)
	h.limiter.post(admit.Arrived{Request: id, Workspace: ws, Deadline: h.deadline(ctx)})
	return answer
}

// abandonToken withdraws a request for a token that is not decided yet.
func (h *entryHost) abandonToken(id model.RequestID) {
	if h.admissions.remove(id) {
		h.limiter.post(admit.RequestAbandoned{Request: id})
	}
}

// AdmitAndAssign requests a token and, while the limiter expects it within one
// round trip, requests a target at the same time. If the request gets no token,
// the target is released at once. The returned assignment is nil if no target was
// requested. The target is requested under an id of its own, because the reply to
// an abandoned request may still be in flight when the same request asks again.
func (h *entryHost) AdmitAndAssign(ctx context.Context, req pool.TargetRequested) (entry.Admission, *entry.Assignment, error) {
	tokenRequest := req.Request
	answer := h.requestToken(ctx, tokenRequest, req.Workspace)
	req.Request += speculativeSuffix
	var assignment <-chan entry.Assignment
	for {
		select {
		case a := <-answer:
			switch {
			case a.tokenExpected:
				assignment = h.requestTarget(ctx, req)
				continue
			case !a.isFinal:
				h.abandonTarget(req.Request, assignment)
				assignment = nil
				continue
			case !a.result.OK:
				h.abandonTarget(req.Request, assignment)
				return a.result, nil, nil
			case assignment == nil:
				return a.result, nil, nil
			}
			target, err := h.awaitTarget(ctx, req.Request, assignment)
			return a.result, &target, err
		case <-ctx.Done():
			h.abandonToken(tokenRequest)
			h.abandonTarget(req.Request, assignment)
			return entry.Admission{}, nil, context.Cause(ctx)
		}
	}
}

// AssignTarget requests a target and waits for the assignment.
func (h *entryHost) AssignTarget(ctx context.Context, req pool.TargetRequested) (entry.Assignment, error) {
	return h.awaitTarget(ctx, req.Request, h.requestTarget(ctx, req))
}

// requestTarget requests a target and returns the channel of its assignment.
func (h *entryHost) requestTarget(ctx context.Context, req pool.TargetRequested) <-chan entry.Assignment {
	req.Deadline = h.deadline(ctx)
	answer := h.assignments.add(req.Request)
	h.picker.post(req)
	return answer
}

// awaitTarget waits for the assignment of a target. If ctx ends first, the target
// is released.
func (h *entryHost) awaitTarget(ctx context.Context, id model.RequestID, answer <-chan entry.Assignment) (entry.Assignment, error) {
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		h.abandonTarget(id, answer)
		return entry.Assignment{}, context.Cause(ctx)
	}
}

// abandonTarget withdraws a request for a target, or releases the target if it
// was assigned in the meantime. A nil answer means that no target was requested.
func (h *entryHost) abandonTarget(id model.RequestID, answer <-chan entry.Assignment) {
	if answer == nil {
		return
	}
	if h.assignments.remove(id) {
		h.picker.post(pool.RequestAbandoned{Request: id})
		return
	}
	if a := <-answer; a.OK {
		h.releaseUnusedTarget(a.Assigned)
	}
}
