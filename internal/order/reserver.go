package order

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Reserver reserves the orders of one entry host. An order may run after
// Reserved and only then. The runtime sends Finished for each request that it
// started and that ended with Reserved or was given up before an answer.
type Reserver struct {
	settings
	journals []model.HostID
	list     uint64
	// pending holds the requests that wait for a majority.
	pending map[model.RequestID]*reservation
	// running holds the requests that were told Reserved.
	running map[model.RequestID]Requested
	// queries finds the reservation that a reply is for.
	queries map[uint64]query
	// order lists pending requests by arrival, so that ticks act in a fixed order.
	order  []model.RequestID
	outbox []repeated
}

type query struct {
	request model.RequestID
	journal model.HostID
	sent    model.Instant
}

// reservation is a request that waits for votes.
type reservation struct {
	Requested
	until model.Instant
	votes map[model.HostID]vote
	// asked is when the journals were last asked.
	asked model.Instant
	// nonces are the queries to forget at the end.
	nonces []uint64
	// lostAt is when a majority became impossible, or 0.
	lostAt model.Instant
}

type vote struct {
	reply proto.ReserveReply
	// sent is when the question was sent.
	sent model.Instant
}

// repeated is a message without a reply that is sent several times.
type repeated struct {
	msg   proto.Message
	next  model.Instant
	delay time.Duration
	left  int
}

const (
	// repeats and repeatDelay spread the copies of a message over 12 s, with
	// twice the distance each time, so that a short partition loses none.
	repeats     = 6
	repeatDelay = 200 * time.Millisecond
)

// NewReserver returns the reserver of an entry host for a fixed set of journals.
func NewReserver(_ model.HostID, journals []model.HostID, opts ...Option) *Reserver {
	return &Reserver{
		settings: newSettings(opts),
		journals: slices.Sorted(slices.Values(journals)),
		list:     JournalListDigest(journals),
		pending:  map[model.RequestID]*reservation{},
		running:  map[model.RequestID]Requested{},
		queries:  map[uint64]query{},
	}
}

// Step advances the reserver by one event.
func (r *Reserver) Step(now model.Instant, ev Event) []Effect {
	switch ev := ev.(type) {
	case Requested:
		return r.start(now, ev)
	case Received:
		if m, ok := ev.Msg.(proto.ReserveReply); ok {
			return r.reply(now, ev.From, m)
		}
		return nil
	case Finished:
		return r.finish(now, ev)
	case Tick:
		return r.tick(now)
	default:
		return nil
	}
}

func (r *Reserver) start(now model.Instant, ev Requested) []Effect {
	if r.pending[ev.Request] != nil {
		return nil
	}
	res := &reservation{Requested: ev, until: now.Add(r.timing.ReservationTimeout), votes: map[model.HostID]vote{}}
	if ev.Deadline != 0 {
		res.until = min(res.until, ev.Deadline)
	}
	r.pending[ev.Request] = res
	r.order = append(r.order, ev.Request)
	return r.ask(now, res)
}

// ask asks the journals whose vote is missing, negative or about to expire.
func (r *Reserver) ask(now model.Instant, res *reservation) []Effect {
	res.asked = now
	var out []Effect
	for _, j := range r.journals {
		v, ok := res.votes[j]
		if ok && v.reply.Status == proto.ReserveHeld && now.Sub(v.sent) < r.timing.VoteTTL/2 {
			continue
		}
		nonce := r.nextNonce()
		r.queries[nonce] = query{request: res.Request, journal: j, sent: now}
		res.nonces = append(res.nonces, nonce)
		out = append(out, Send{To: j, Msg: proto.ReserveAsk{
			Nonce: nonce, Workspace: res.Workspace, OrderKey: res.OrderKey, BodyHash: res.Body, Holder: res.Request, JournalsDigest: r.list,
		}})
	}
	return out
}

func (r *Reserver) reply(now model.Instant, from model.HostID, m proto.ReserveReply) []Effect {
	q, ok := r.queries[m.Nonce]
	if !ok || q.journal != from {
		return nil
	}
	res := r.pending[q.request]
	if m.Status == proto.ReserveHeld && m.Holder != res.Request {
		return nil
	}
	if old, ok := res.votes[from]; ok && old.sent > q.sent {
		return nil
	}
	res.votes[from] = vote{reply: m, sent: q.sent}
	return r.decide(now, res)
}

// decide ends a reservation as soon as its end is certain.
func (r *Reserver) decide(now model.Instant, res *reservation) []Effect {
	held, taken := 0, 0
	for _, j := range r.journals {
		v, ok := res.votes[j]
		switch {
		case !ok:
		case v.reply.Status == proto.ReserveTaken && v.reply.Answer != nil:
			return r.answered(now, res, v.reply)
		case v.reply.Status == proto.ReserveTaken:
			taken++
		case v.reply.Status == proto.ReserveHeld && now.Sub(v.sent) < r.timing.VoteTTL:
			held++
		}
	}
	majority := model.Majority(len(r.journals))
	switch {
	case held >= majority && now < res.until:
		r.forget(res)
		r.running[res.Request] = res.Requested
		return []Effect{Reserved{Request: res.Request}}
	case now >= res.until:
		return r.stop(now, res, res.reason())
	case len(r.journals)-taken >= majority:
		res.lostAt = 0
		return nil
	case len(res.votes) == len(r.journals) || (res.lostAt != 0 && now.Sub(res.lostAt) >= r.timing.AnswerGracePeriod):
		return r.stop(now, res, res.reason())
	case res.lostAt == 0:
		res.lostAt = now
	}
	return nil
}

func (r *Reserver) answered(now model.Instant, res *reservation, m proto.ReserveReply) []Effect {
	if m.BodyHash != res.Body {
		return r.stop(now, res, StopBodyDiffers)
	}
	out := r.release(now, res)
	return append(out, Replayed{Request: res.Request, Answer: *m.Answer})
}

// reason explains a failed reservation. A record with the same body, or one
// whose holder is not known, means that this order may have run.
func (res *reservation) reason() StopReason {
	reason := StopNoMajority
	for _, v := range res.votes {
		if v.reply.Status != proto.ReserveTaken {
			continue
		}
		if v.reply.BodyHash == res.Body || v.reply.Holder == "" {
			return StopInFlight
		}
		reason = StopBodyDiffers
	}
	return reason
}

func (r *Reserver) stop(now model.Instant, res *reservation, reason StopReason) []Effect {
	out := r.release(now, res)
	return append(out, Stopped{Request: res.Request, Reason: reason})
}

// release forgets a reservation that will never run and frees it.
func (r *Reserver) release(now model.Instant, res *reservation) []Effect {
	r.forget(res)
	return r.free(now, res.Requested)
}

func (r *Reserver) free(now model.Instant, s Requested) []Effect {
	return r.repeat(now, proto.ReserveFree{Workspace: s.Workspace, OrderKey: s.OrderKey, Holder: s.Request})
}

func (r *Reserver) forget(res *reservation) {
	for _, nonce := range res.nonces {
		delete(r.queries, nonce)
	}
	delete(r.pending, res.Request)
	r.order = slices.DeleteFunc(r.order, func(id model.RequestID) bool { return id == res.Request })
}

func (r *Reserver) finish(now model.Instant, ev Finished) []Effect {
	if res := r.pending[ev.Request]; res != nil {
		// The request was given up before Reserved, so it has not run.
		return r.release(now, res)
	}
	s, ok := r.running[ev.Request]
	if !ok {
		return nil
	}
	delete(r.running, ev.Request)
	switch {
	case ev.Answer != nil:
		return r.repeat(now, proto.AnswerSave{Workspace: s.Workspace, OrderKey: s.OrderKey, Holder: s.Request, BodyHash: s.Body, Answer: *ev.Answer})
	case ev.NotRun:
		return r.free(now, s)
	default:
		return nil
	}
}

func (r *Reserver) tick(now model.Instant) []Effect {
	var out []Effect
	for _, id := range slices.Clone(r.order) {
		res := r.pending[id]
		out = append(out, r.decide(now, res)...)
		if r.pending[id] != nil && now.Sub(res.asked) >= r.timing.ResendInterval {
			out = append(out, r.ask(now, res)...)
		}
	}
	return append(out, r.resend(now)...)
}

// repeat sends a message to all journals now and again later.
func (r *Reserver) repeat(now model.Instant, msg proto.Message) []Effect {
	r.outbox = append(r.outbox, repeated{msg: msg, next: now.Add(repeatDelay), delay: repeatDelay, left: repeats - 1})
	return r.broadcast(msg)
}

func (r *Reserver) broadcast(msg proto.Message) []Effect {
	var out []Effect
	for _, j := range r.journals {
		out = append(out, Send{To: j, Msg: msg})
	}
	return out
}

func (r *Reserver) resend(now model.Instant) []Effect {
	var out []Effect
	kept := r.outbox[:0]
	for _, m := range r.outbox {
		if now >= m.next {
			out = append(out, r.broadcast(m.msg)...)
			m.left--
			m.delay *= 2
			m.next = now.Add(m.delay)
		}
		if m.left > 0 {
			kept = append(kept, m)
		}
	}
	clear(r.outbox[len(kept):])
	r.outbox = kept
	return out
}
