package trial

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Recovery holds the measurements of the time after the loss of an owner.
type Recovery struct {
	// MaxHeld is the maximum number of requests at one target at the same time.
	// MaxHeldAtPlacement is the maximum at the arrival of a request that an owner
	// placed there, including that request.
	MaxHeld            int
	MaxHeldAtPlacement int
	// MaxAssignmentGap is the longest time without an assignment in a service after a loss.
	MaxAssignmentGap time.Duration
	// ResumeTimes holds, for each loss and service, the time until an owner assigns again.
	ResumeTimes []time.Duration
	// ReejectionTimes holds, for each loss and each target ejected before the loss,
	// the time until the new owner has ejected that target.
	ReejectionTimes []time.Duration
	// PlacedAtEjected counts the requests that a new owner placed at targets that were
	// ejected before the loss.
	PlacedAtEjected int

	// lostAt is the time of the latest loss, or 0. The fields below are reset at each loss.
	lostAt            model.Instant
	lastAssignedAt    map[*service]model.Instant
	hasResumed        map[*service]bool
	awaitingEjection  map[model.TargetID]bool
	ejectedBeforeLoss map[model.TargetID]bool
}

// recoveryWindow is the time after a loss during which recovery is measured.
const recoveryWindow = 6 * time.Second

// isRecovering reports whether an owner was lost within the recovery window.
func (w *World) isRecovering() bool {
	r := &w.Result.Recovery
	return r.lostAt != 0 && w.now.Sub(r.lostAt) < recoveryWindow
}

// recordLoss starts the measurements of one loss and stores which targets are
// ejected at that time.
func (w *World) recordLoss() {
	r := &w.Result.Recovery
	r.lostAt = w.now
	r.lastAssignedAt = map[*service]model.Instant{}
	r.hasResumed = map[*service]bool{}
	r.awaitingEjection = map[model.TargetID]bool{}
	r.ejectedBeforeLoss = map[model.TargetID]bool{}
	for _, s := range w.owner.core.Status(w.now) {
		for _, t := range s.Targets {
			r.awaitingEjection[t.Target] = t.Ejected
			r.ejectedBeforeLoss[t.Target] = t.Ejected
		}
	}
}

// recordAssignment updates the gap between assignments and the time to the first
// assignment by the new owner. The flag local is set if no owner took part.
func (w *World) recordAssignment(s *service, local bool) {
	if !w.isRecovering() {
		return
	}
	r := &w.Result.Recovery
	r.MaxAssignmentGap = max(r.MaxAssignmentGap, w.now.Sub(max(r.lostAt, r.lastAssignedAt[s])))
	r.lastAssignedAt[s] = w.now
	if !local && !w.owner.isDown && !r.hasResumed[s] {
		r.hasResumed[s] = true
		r.ResumeTimes = append(r.ResumeTimes, w.now.Sub(r.lostAt))
	}
}

// recordHeld updates the maxima when attempt a arrives at a target that then holds
// held requests.
func (w *World) recordHeld(a *attempt, held int) {
	if !w.isRecovering() {
		return
	}
	r := &w.Result.Recovery
	r.MaxHeld = max(r.MaxHeld, held)
	if !a.local && a.startedAt > r.lostAt {
		r.MaxHeldAtPlacement = max(r.MaxHeldAtPlacement, held)
		if r.ejectedBeforeLoss[a.target.id] {
			r.PlacedAtEjected++
		}
	}
}

// recordReejection records that the current owner has ejected a target.
func (w *World) recordReejection(id model.TargetID) {
	if r := &w.Result.Recovery; w.isRecovering() && r.awaitingEjection[id] {
		delete(r.awaitingEjection, id)
		r.ReejectionTimes = append(r.ReejectionTimes, w.now.Sub(r.lostAt))
	}
}

// checkAssignment verifies during recovery that the owner assigns a target no more
// requests than its slots, including the slots restored after a change of owner.
func (w *World) checkAssignment(m proto.Message) {
	r, ok := m.(proto.SlotReply)
	if !ok || r.Status != proto.SlotAssigned || !w.isRecovering() {
		return
	}
	for _, s := range w.owner.core.Status(w.now) {
		for _, t := range s.Targets {
			if t.Target == r.Target && t.InUse > slots {
				w.Result.addViolation("%s: given with %d slots in use", t.Target, t.InUse)
			}
		}
	}
}
