package trial

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// request is a request of a caller.
type request struct {
	id             model.RequestID
	service        *service
	host           *host
	workspace      int
	fingerprint    model.Fingerprint
	arrivedAt      model.Instant
	attempts       int
	triedTargets   []model.TargetID
	currentAttempt *attempt
	finished       bool
	// resend is called when the request has finished. It is set only for requests of
	// the crash pattern, whose caller sends them again.
	resend func()
}

// workspaceShare returns the share of a workspace in the load. A few workspaces
// send most of it.
func workspaceShare(ws int) float64 {
	return [workspaces]float64{0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02}[ws]
}

func workspaceID(ws int) model.WorkspaceID { return model.WorkspaceID(fmt.Sprintf("w%d", ws)) }

// scheduleArrivals schedules the requests of a workspace to a service as a Poisson
// process.
func (w *World) scheduleArrivals(s *service, ws int) {
	rate := s.rate * workspaceShare(ws) * w.loadFactors[ws]
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		w.arrive(s, ws, model.Fingerprint(w.rng.Uint64()|1), nil)
		w.scheduleArrivals(s, ws)
	})
}

// chooseHost chooses an entry host as the platform's balancer does: with uneven
// weights and among the hosts that are not lost.
func (w *World) chooseHost() *host {
	total := 0.0
	for i, h := range w.hosts {
		if !h.isDown {
			total += w.hostWeights[i]
		}
	}
	x := w.rng.Float64() * total
	for i, h := range w.hosts {
		if h.isDown {
			continue
		}
		if x -= w.hostWeights[i]; x < 0 {
			return h
		}
	}
	return w.hosts[len(w.hosts)-1]
}

// arrive creates a request at an entry host and looks for a target.
func (w *World) arrive(s *service, ws int, fp model.Fingerprint, resend func()) {
	w.serial++
	r := &request{
		id: model.RequestID(fmt.Sprintf("r%d", w.serial)), service: s, host: w.chooseHost(), workspace: ws,
		fingerprint: fp, arrivedAt: w.now, resend: resend,
	}
	w.requests[r.id] = r
	w.Result.Requests++
	w.assignTarget(r)
}

// assignTarget asks the host's picker for a target or, with a baseline policy, picks
// one and starts the attempt. Without a target a baseline request fails.
func (w *World) assignTarget(r *request) {
	if w.policy != PolicyOwner {
		t := r.host.baseline.pick(w, r)
		if t == nil {
			w.finishRequest(r, false)
			return
		}
		w.startAttempt(r, t, false)
		return
	}
	w.stepPicker(r.host, pool.TargetRequested{
		Request: r.id, Service: r.service.spec.Name, Workspace: workspaceID(r.workspace),
		Fingerprint: r.fingerprint, Deadline: r.arrivedAt.Add(requestTimeout), Exclude: slices.Clone(r.triedTargets),
	})
}

// handleAssigned starts an attempt at the target that the picker assigned.
func (w *World) handleAssigned(e pool.Assigned) {
	r, ok := w.requests[e.Request]
	if !ok {
		return
	}
	if e.Local {
		w.Result.LocalAssignments++
	}
	w.recordAssignment(r.service, e.Local)
	for _, t := range r.service.targets {
		if t.id == e.Target {
			w.after(0, func() { w.startAttempt(r, t, e.Local) })
		}
	}
}

// handleRefused fails a request that the picker refused.
func (w *World) handleRefused(e pool.Refused) {
	r, ok := w.requests[e.Request]
	if !ok {
		return
	}
	w.Result.Refusals[e.Status]++
	if r.attempts == 0 && r.resend == nil && !r.host.refusesConnections && !r.host.hangs {
		w.Result.RefusedWithoutAttempt[r.workspace]++
	}
	w.finishRequest(r, false)
}

// startAttempt sends an attempt to a target and schedules its timeout at the
// deadline of the request.
func (w *World) startAttempt(r *request, t *target, local bool) {
	if r.finished || r.host.isDown {
		return
	}
	a := &attempt{request: r, target: t, startedAt: w.now, incarnation: t.incarnation, local: local}
	r.currentAttempt = a
	r.attempts++
	r.triedTargets = append(r.triedTargets, t.id)
	switch {
	case r.host.refusesConnections:
		w.respond(a, model.AttemptNotSent, false)
	case !r.host.hangs:
		w.after(messageDelay, func() { t.arrive(a) })
	}
	w.after(r.arrivedAt.Add(requestTimeout).Sub(w.now), func() { w.endAttempt(a, model.AttemptTimeout, false) })
}

// respond delivers the response of an attempt to the entry host. The flag wrong is
// set for responses of a target that answers wrongly.
func (w *World) respond(a *attempt, end model.AttemptEnd, wrong bool) {
	w.after(messageDelay, func() { w.endAttempt(a, end, wrong) })
}

// endAttempt handles the end of an attempt at the entry host: the request is
// finished or, if permitted, retried at another target.
func (w *World) endAttempt(a *attempt, end model.AttemptEnd, wrong bool) {
	if a.ended || a.request.host.isDown {
		return
	}
	a.ended = true
	if end == model.AttemptTimeout {
		w.after(messageDelay, func() { a.target.cancel(a) })
	}
	r := a.request
	latency := w.now.Sub(a.startedAt)
	if w.policy == PolicyOwner {
		w.stepPicker(r.host, pool.AttemptEnded{Request: r.id, Attempt: model.Attempt{End: end, Latency: latency}})
	} else {
		r.host.baseline.observe(w, a.target, end, latency)
	}
	if end == model.AttemptOK {
		w.finishRequest(r, !wrong)
		return
	}
	again := end.ProvablyNotRun() || r.service.spec.Idempotent
	if !again || r.attempts >= maxAttempts || w.now.Sub(r.arrivedAt) >= requestTimeout {
		w.finishRequest(r, false)
		return
	}
	w.assignTarget(r)
}

// finishRequest records the result of a request, once.
func (w *World) finishRequest(r *request, ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	delete(w.requests, r.id)
	w.Result.recordRequest(w.now, r, ok)
	if r.resend != nil {
		r.resend()
	}
}

// sortedAttempts returns the attempts at a target sorted by request, since the
// order of a map would make runs differ.
func (w *World) sortedAttempts(t *target) []*attempt {
	var list []*attempt
	for a := range t.running {
		list = append(list, a)
	}
	list = append(list, t.waiting...)
	slices.SortFunc(list, func(a, b *attempt) int {
		return strings.Compare(string(a.request.id), string(b.request.id))
	})
	return list
}
