package trial

import (
	"math"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// target is a simulated target. It runs requests in its slots, queues up to
// maxWaiting more and sheds the rest.
type target struct {
	world       *World
	service     *service
	id          model.TargetID
	zone        model.ZoneName
	incarnation model.Incarnation
	state       model.TargetState
	// speed multiplies the service time at all times.
	speed float64

	// slowdown multiplies the service time while a fault is in effect, and errorShare
	// is the share of requests that fail.
	slowdown   float64
	errorShare float64
	// wrong makes the target respond quickly with wrong content. Entry hosts
	// recognize only invalidShare of these responses as invalid.
	wrong        bool
	invalidShare float64
	// dropsResponses drops the responses of the target; isolated drops its
	// announcements as well.
	dropsResponses bool
	isolated       bool
	down           bool
	// crashFingerprint is the fingerprint of requests that crash the target, or 0.
	crashFingerprint model.Fingerprint
	// faulty is set once a failure mode has been set, at the time faultAt.
	faulty  bool
	faultAt model.Instant
	// leftAt is the time at which the target announced that it leaves, or 0.
	leftAt model.Instant
	// running holds the attempts in slots and waiting those queued for a slot.
	running         map[*attempt]bool
	waiting         []*attempt
	startedRequests int
}

// attempt is an attempt to run a request at a target.
type attempt struct {
	request *request
	target  *target
	// incarnation is that of the target when the attempt started to run.
	incarnation model.Incarnation
	startedAt   model.Instant
	ended       bool
	// local is set if the entry host placed the attempt without the owner.
	local bool
}

// announceLoop announces the target once per second.
func (t *target) announceLoop() {
	t.announce()
	t.world.after(time.Second, t.announceLoop)
}

// announce sends an announcement to a random entry host, unless the target is
// isolated or down.
func (t *target) announce() {
	if t.isolated || t.down {
		return
	}
	w := t.world
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	a := model.Announcement{
		Service: t.service.spec.Name, Target: t.id, Addr: "127.0.0.1:1", Zone: t.zone, Slots: slots,
		Incarnation: t.incarnation, State: t.state,
	}
	w.after(messageDelay, func() { w.stepPicker(h, pool.TargetAnnounced{Announcement: a}) })
}

// leave announces that the target leaves.
func (t *target) leave() {
	t.state = model.TargetLeaving
	t.leftAt = t.world.now
	t.announce()
}

// SetFault starts a failure mode: set changes the target, which counts as faulty from now on.
func (t *target) SetFault(set func(*target)) {
	t.faulty = true
	t.faultAt = t.world.now
	set(t)
}

// arrive runs, queues or sheds an attempt that reached the target.
func (t *target) arrive(a *attempt) {
	w := t.world
	w.Result.Attempts++
	switch {
	case t.down:
		w.respond(a, model.AttemptNotSent, false)
		return
	case t.leftAt != 0 && w.now.Sub(t.leftAt) > leaveTimeout:
		w.Result.addViolation("%s: new work %v after leaving", t.id, w.now.Sub(t.leftAt))
	}
	t.startedRequests++
	w.recordHeld(a, len(t.running)+len(t.waiting)+1)
	if len(t.running) < slots {
		t.runAttempt(a)
		return
	}
	if len(t.waiting) >= maxWaiting {
		w.respond(a, model.AttemptShed, false)
		return
	}
	t.waiting = append(t.waiting, a)
}

// leaveTimeout is the time after which a leaving target must receive no more
// requests.
const leaveTimeout = 3 * time.Second

// runAttempt runs an attempt in a slot for a random service time.
func (t *target) runAttempt(a *attempt) {
	w := t.world
	a.incarnation = t.incarnation
	t.running[a] = true
	if t.crashFingerprint != 0 && a.request.fingerprint == t.crashFingerprint {
		w.after(5*time.Millisecond, func() { t.crash(a.incarnation) })
		return
	}
	spec := t.service.spec
	d := float64(spec.Median) * math.Exp(spec.Sigma*w.rng.NormFloat64()) * t.speed * t.slowdown * t.service.slowdown
	if spec.HeavyShare > 0 && w.rng.Float64() < spec.HeavyShare {
		d *= spec.HeavyFactor
	}
	if t.wrong {
		d *= 0.2
	}
	w.after(time.Duration(d), func() { t.finish(a) })
}

// finish frees the slot of an attempt and sends the response, unless the target has
// crashed or the attempt was canceled meanwhile.
func (t *target) finish(a *attempt) {
	if a.incarnation != t.incarnation || !t.running[a] {
		return
	}
	delete(t.running, a)
	if !t.dropsResponses && !t.isolated {
		t.world.respond(a, t.outcome(), t.wrong)
	}
	t.startWaiting()
}

// cancel frees the slot of an attempt whose request has reached its deadline.
func (t *target) cancel(a *attempt) {
	if a.incarnation == t.incarnation && t.running[a] {
		delete(t.running, a)
		t.startWaiting()
	}
}

// startWaiting starts queued attempts while slots are free. It drops those that
// have ended.
func (t *target) startWaiting() {
	for len(t.waiting) > 0 && len(t.running) < slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.ended {
			t.runAttempt(next)
		}
	}
}

// outcome chooses the outcome of an attempt that has run.
func (t *target) outcome() model.AttemptEnd {
	w := t.world
	switch {
	case t.service.fails, w.rng.Float64() < t.errorShare:
		return model.AttemptError
	case t.wrong && w.rng.Float64() < t.invalidShare:
		return model.AttemptInvalid
	default:
		return model.AttemptOK
	}
}

// crash ends all attempts at the target as broken and restarts the target after two
// seconds. A target that has crashed since the given incarnation stays as it is.
func (t *target) crash(incarnation model.Incarnation) {
	if incarnation != t.incarnation || t.down {
		return
	}
	w := t.world
	t.down = true
	t.faulty = true
	t.faultAt = w.now
	t.incarnation++
	w.Result.Crashes++
	for _, r := range w.sortedAttempts(t) {
		w.respond(r, model.AttemptBroken, false)
	}
	clear(t.running)
	t.waiting = nil
	w.after(2*time.Second, func() {
		t.down = false
		t.announce()
	})
}
