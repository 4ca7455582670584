package trial

import (
	"math"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// target runs requests in its slots, holds a few more and sheds the rest.
type target struct {
	world       *World
	service     *service
	id          model.TargetID
	zone        model.ZoneName
	incarnation model.Incarnation
	state       model.TargetState
	speed       float64

	// slow multiplies the service time, errors is the share of errors.
	slow   float64
	errors float64
	// wrong makes the target respond fast and wrong; invalid is the share that entry hosts notice.
	wrong   bool
	invalid float64
	// mute drops responses, cut drops announcements as well.
	mute bool
	cut  bool
	down bool
	// poison is the fingerprint that crashes the target, or 0.
	poison model.Fingerprint
	// faulty is set once a failure mode was set, faultAt is when.
	faulty  bool
	faultAt model.Instant
	// left is when the target announced that it leaves, or 0.
	left    model.Instant
	running map[*attempt]bool
	waiting []*attempt
	started int
}

// attempt is one request at a target.
type attempt struct {
	request *request
	target  *target
	run     model.Incarnation
	begun   model.Instant
	ended   bool
	// local is set if the entry host placed it without the owner.
	local bool
}

func (t *target) announceLoop() {
	t.announce()
	t.world.after(time.Second, t.announceLoop)
}

func (t *target) announce() {
	if t.cut || t.down {
		return
	}
	w := t.world
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	a := model.Announcement{
		Service: t.service.spec.Name, Target: t.id, Addr: "127.0.0.1:1", Zone: t.zone, Slots: slots,
		Incarnation: t.incarnation, State: t.state,
	}
	w.after(delay, func() { w.stepPicker(h, pool.TargetAnnounced{Announcement: a}) })
}

func (t *target) leave() {
	t.state = model.TargetLeaving
	t.left = t.world.now
	t.announce()
}

// Fault starts a failure mode.
func (t *target) Fault(set func(*target)) {
	t.faulty = true
	t.faultAt = t.world.now
	set(t)
}

// arrive takes an attempt that reached the target.
func (t *target) arrive(a *attempt) {
	w := t.world
	w.Result.Attempts++
	switch {
	case t.down:
		w.respond(a, model.AttemptNotSent, false)
		return
	case t.left != 0 && w.now.Sub(t.left) > leaveBound:
		w.Result.violate("%s: new work %v after leaving", t.id, w.now.Sub(t.left))
	}
	t.started++
	w.noteHeld(a, len(t.running)+len(t.waiting)+1)
	if len(t.running) < slots {
		t.run(a)
		return
	}
	if len(t.waiting) >= shedQueue {
		w.respond(a, model.AttemptShed, false)
		return
	}
	t.waiting = append(t.waiting, a)
}

// leaveBound is the time after which a leaving target gets no new work.
const leaveBound = 3 * time.Second

func (t *target) run(a *attempt) {
	w := t.world
	a.run = t.incarnation
	t.running[a] = true
	if t.poison != 0 && a.request.fingerprint == t.poison {
		w.after(5*time.Millisecond, func() { t.crash(a.run) })
		return
	}
	spec := t.service.spec
	d := float64(spec.Median) * math.Exp(spec.Sigma*w.rng.NormFloat64()) * t.speed * t.slow * t.service.slow
	if spec.Heavy > 0 && w.rng.Float64() < spec.Heavy {
		d *= spec.HeavyFactor
	}
	if t.wrong {
		d *= 0.2
	}
	w.after(time.Duration(d), func() { t.finish(a) })
}

func (t *target) finish(a *attempt) {
	if a.run != t.incarnation || !t.running[a] {
		return
	}
	delete(t.running, a)
	if !t.mute && !t.cut {
		t.world.respond(a, t.outcome(), t.wrong)
	}
	t.next()
}

// cancel ends a request at its deadline.
func (t *target) cancel(a *attempt) {
	if a.run == t.incarnation && t.running[a] {
		delete(t.running, a)
		t.next()
	}
}

// next starts the requests that wait for a slot.
func (t *target) next() {
	for len(t.waiting) > 0 && len(t.running) < slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.ended {
			t.run(next)
		}
	}
}

func (t *target) outcome() model.AttemptEnd {
	w := t.world
	switch {
	case t.service.fails, w.rng.Float64() < t.errors:
		return model.AttemptError
	case t.wrong && w.rng.Float64() < t.invalid:
		return model.AttemptInvalid
	default:
		return model.AttemptOK
	}
}

// crash breaks everything that runs here and restarts the target after two seconds.
func (t *target) crash(run model.Incarnation) {
	if run != t.incarnation || t.down {
		return
	}
	w := t.world
	t.down = true
	t.faulty = true
	t.faultAt = w.now
	t.incarnation++
	w.Result.Crashes++
	for _, r := range w.inOrder(t) {
		w.respond(r, model.AttemptBroken, false)
	}
	clear(t.running)
	t.waiting = nil
	w.after(2*time.Second, func() {
		t.down = false
		t.announce()
	})
}
