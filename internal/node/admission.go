package node

import (
	"context"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// aheadSuffix marks the id of a question for a target that was asked ahead of the token.
const aheadSuffix = "-ahead"

// admission is a message of the wallet about one request.
type admission struct {
	// decided is set in the last message, which holds the result.
	decided bool
	result  entry.Admission
	// drawing is set while a target may be asked for ahead of the token.
	drawing bool
}

// Admit draws a token.
func (h *entryHost) Admit(ctx context.Context, id model.RequestID, ws model.WorkspaceID) (entry.Admission, error) {
	answer := h.arrive(ctx, id, ws)
	for {
		select {
		case a := <-answer:
			if a.decided {
				return a.result, nil
			}
		case <-ctx.Done():
			h.abandonToken(id)
			return entry.Admission{}, context.Cause(ctx)
		}
	}
}

func (h *entryHost) arrive(ctx context.Context, id model.RequestID, ws model.WorkspaceID) <-chan admission {
	answer := h.admissions.add(id)
	h.wallet.post(admit.Arrived{Request: id, Workspace: ws, Deadline: h.deadline(ctx)})
	return answer
}

func (h *entryHost) abandonToken(id model.RequestID) {
	if h.admissions.remove(id) {
		h.wallet.post(admit.RequestAbandoned{Request: id})
	}
}

// AdmitAndAssign draws a token and asks for a target meanwhile, as long as the
// wallet expects the token within a round trip. Without the token the target
// is returned at once. The assignment is nil if none was asked for. The question
// for the target has an id of its own: an answer to one that was withdrawn may
// still be on its way when the same request asks again.
func (h *entryHost) AdmitAndAssign(ctx context.Context, want pool.TargetRequested) (entry.Admission, *entry.Assignment, error) {
	token := want.Request
	answer := h.arrive(ctx, token, want.Workspace)
	want.Request += aheadSuffix
	var slot <-chan entry.Assignment
	for {
		select {
		case a := <-answer:
			switch {
			case a.drawing:
				slot = h.want(ctx, want)
				continue
			case !a.decided:
				h.abandonTarget(want.Request, slot)
				slot = nil
				continue
			case !a.result.OK:
				h.abandonTarget(want.Request, slot)
				return a.result, nil, nil
			case slot == nil:
				return a.result, nil, nil
			}
			target, err := h.await(ctx, want.Request, slot)
			return a.result, &target, err
		case <-ctx.Done():
			h.abandonToken(token)
			h.abandonTarget(want.Request, slot)
			return entry.Admission{}, nil, context.Cause(ctx)
		}
	}
}

// AssignTarget asks for a target.
func (h *entryHost) AssignTarget(ctx context.Context, want pool.TargetRequested) (entry.Assignment, error) {
	return h.await(ctx, want.Request, h.want(ctx, want))
}

func (h *entryHost) want(ctx context.Context, want pool.TargetRequested) <-chan entry.Assignment {
	want.Deadline = h.deadline(ctx)
	answer := h.assignments.add(want.Request)
	h.picker.post(want)
	return answer
}

// await waits for a target. If ctx ends first, the target is returned.
func (h *entryHost) await(ctx context.Context, id model.RequestID, answer <-chan entry.Assignment) (entry.Assignment, error) {
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		h.abandonTarget(id, answer)
		return entry.Assignment{}, context.Cause(ctx)
	}
}

// abandonTarget withdraws a question for a target, or returns the target
// unused if it was given meanwhile. A nil answer means that none was asked for.
func (h *entryHost) abandonTarget(id model.RequestID, answer <-chan entry.Assignment) {
	if answer == nil {
		return
	}
	if h.assignments.remove(id) {
		h.picker.post(pool.RequestAbandoned{Request: id})
		return
	}
	if a := <-answer; a.OK {
		h.returnUnused(a.Assigned)
	}
}
