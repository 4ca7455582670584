package trial

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Recovery holds what follows the loss of an owner.
type Recovery struct {
	// MostHeld is the most requests at one target at the same time, and
	// MostPlaced the most that one placed by an owner found there, itself included.
	MostHeld   int
	MostPlaced int
	// Pause is the longest time without an assignment in a service after a loss.
	Pause time.Duration
	// Resumed holds, for each loss and service, the time until an owner assigns again.
	Resumed []time.Duration
	// Out holds, for each loss and each target ejected before it, the time until
	// the new owner has ejected it.
	Out []time.Duration
	// AtEjected counts the requests that a new owner placed at targets that were
	// ejected before the loss.
	AtEjected int

	lost     model.Instant
	last     map[*service]model.Instant
	resumed  map[*service]bool
	expected map[model.TargetID]bool
	ejected  map[model.TargetID]bool
}

// recoveryWindow is the time after a loss in which figures of recovery are taken.
const recoveryWindow = 6 * time.Second

func (w *World) recovering() bool {
	r := &w.Result.Recovery
	return r.lost != 0 && w.now.Sub(r.lost) < recoveryWindow
}

// noteLoss begins the figures of one loss.
func (w *World) noteLoss() {
	r := &w.Result.Recovery
	r.lost = w.now
	r.last = map[*service]model.Instant{}
	r.resumed = map[*service]bool{}
	r.expected = map[model.TargetID]bool{}
	r.ejected = map[model.TargetID]bool{}
	for _, s := range w.owner.core.Status(w.now) {
		for _, t := range s.Targets {
			r.expected[t.Target] = t.Ejected
			r.ejected[t.Target] = t.Ejected
		}
	}
}

func (w *World) noteAssigned(s *service, local bool) {
	if !w.recovering() {
		return
	}
	r := &w.Result.Recovery
	r.Pause = max(r.Pause, w.now.Sub(max(r.lost, r.last[s])))
	r.last[s] = w.now
	if !local && !w.owner.dead && !r.resumed[s] {
		r.resumed[s] = true
		r.Resumed = append(r.Resumed, w.now.Sub(r.lost))
	}
}

func (w *World) noteHeld(a *attempt, held int) {
	if !w.recovering() {
		return
	}
	r := &w.Result.Recovery
	r.MostHeld = max(r.MostHeld, held)
	if !a.local && a.begun > r.lost {
		r.MostPlaced = max(r.MostPlaced, held)
		if r.ejected[a.target.id] {
			r.AtEjected++
		}
	}
}

// noteOut records that the present owner has a target ejected.
func (w *World) noteOut(id model.TargetID) {
	if r := &w.Result.Recovery; w.recovering() && r.expected[id] {
		delete(r.expected, id)
		r.Out = append(r.Out, w.now.Sub(r.lost))
	}
}

// checkAssignment verifies that an owner gives no target more than its slots,
// with those that it restored after a change of owner.
func (w *World) checkAssignment(m proto.Message) {
	r, ok := m.(proto.SlotReply)
	if !ok || r.Status != proto.SlotAssigned || !w.recovering() {
		return
	}
	for _, s := range w.owner.core.Status(w.now) {
		for _, t := range s.Targets {
			if t.Target == r.Target && t.InUse > slots {
				w.Result.violate("%s: given with %d slots in use", t.Target, t.InUse)
			}
		}
	}
}
