package order

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Reserver reserves the order keys of the requests on one entry host. A request may
// run only after the effect Reserved. The runtime must send Finished for each
// request that got Reserved, and for each that was given up before the Reserver
// decided.
type Reserver struct {
	settings
	journals []model.HostID
	// listDigest is the JournalListDigest of journals.
	listDigest uint64
	// pending holds the requests that wait for a majority.
	pending map[model.RequestID]*reservation
	// running holds the requests that got Reserved and have not finished.
	running map[model.RequestID]Requested
	// queries holds all queries of pending requests, by nonce.
	queries map[uint64]query
	// arrivals lists the pending requests in the order of arrival, so that ticks
	// handle them in a fixed order.
	arrivals []model.RequestID
	// outbox holds the messages that are still to be sent again.
	outbox []repeatedMessage
}

// query is a question that was sent to a journal for a request.
type query struct {
	request model.RequestID
	journal model.HostID
	sent    model.Instant
}

// reservation is a request that waits for a majority of votes.
type reservation struct {
	Requested
	expiresAt model.Instant
	// votes holds the latest reply of each journal.
	votes map[model.HostID]vote
	// lastAskedAt is when the journals were last asked.
	lastAskedAt model.Instant
	// nonces holds the nonces of all queries for this request.
	nonces []uint64
	// majorityLostAt is when a majority became impossible, or 0.
	majorityLostAt model.Instant
}

// vote is the reply of a journal to a query.
type vote struct {
	reply proto.ReserveReply
	// sent is when the query was sent, from which VoteTTL counts.
	sent model.Instant
}

// repeatedMessage is a message that gets no reply and is therefore sent several
// times. delay is the time between the last send and the next one, remaining the
// number of sends that are left.
type repeatedMessage struct {
	msg       proto.Message
	nextAt    model.Instant
	delay     time.Duration
	remaining int
}

const (
	// totalSends is how often a message without a reply is sent. The delay doubles
	// from firstResendDelay with each send, so that the last one follows 6.2 s after
	// the first and the message outlasts a short partition.
	totalSends       = 6
	firstResendDelay = 200 * time.Millisecond
)

// NewReserver returns the reserver of an entry host. The set of journals is fixed.
func NewReserver(_ model.HostID, journals []model.HostID, opts ...Option) *Reserver {
	return &Reserver{
		settings:   newSettings(opts),
		journals:   slices.Sorted(slices.Values(journals)),
		listDigest: JournalListDigest(journals),
		pending:    map[model.RequestID]*reservation{},
		running:    map[model.RequestID]Requested{},
		queries:    map[uint64]query{},
	}
}

// Step advances the reserver by one event.
func (r *Reserver) Step(now model.Instant, ev Event) []Effect {
	switch ev := ev.(type) {
	case Requested:
		return r.start(now, ev)
	case Received:
		if m, ok := ev.Msg.(proto.ReserveReply); ok {
			return r.handleReply(now, ev.From, m)
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
	res := &reservation{Requested: ev, expiresAt: now.Add(r.timing.ReservationTimeout), votes: map[model.HostID]vote{}}
	if ev.Deadline != 0 {
		res.expiresAt = min(res.expiresAt, ev.Deadline)
	}
	r.pending[ev.Request] = res
	r.arrivals = append(r.arrivals, ev.Request)
	return r.askJournals(now, res)
}

// askJournals queries the journals whose vote is missing, negative or past half of
// VoteTTL.
func (r *Reserver) askJournals(now model.Instant, res *reservation) []Effect {
	res.lastAskedAt = now
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
			Nonce: nonce, Workspace: res.Workspace, OrderKey: res.OrderKey, BodyHash: res.Body, Holder: res.Request, JournalsDigest: r.listDigest,
		}})
	}
	return out
}

func (r *Reserver) handleReply(now model.Instant, from model.HostID, m proto.ReserveReply) []Effect {
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

// decide ends a reservation as soon as its outcome is certain: with Replayed if a
// journal has a stored answer, with Reserved if a majority of votes is valid, and
// with Stopped if the time is over, or if a majority is impossible and all journals
// have replied or AnswerGracePeriod is over.
func (r *Reserver) decide(now model.Instant, res *reservation) []Effect {
	held, taken := 0, 0
	for _, j := range r.journals {
		v, ok := res.votes[j]
		switch {
		case !ok:
		case v.reply.Status == proto.ReserveTaken && v.reply.Answer != nil:
			return r.replayAnswer(now, res, v.reply)
		case v.reply.Status == proto.ReserveTaken:
			taken++
		case v.reply.Status == proto.ReserveHeld && now.Sub(v.sent) < r.timing.VoteTTL:
			held++
		}
	}
	majority := model.Majority(len(r.journals))
	switch {
	case held >= majority && now < res.expiresAt:
		r.forget(res)
		r.running[res.Request] = res.Requested
		return []Effect{Reserved{Request: res.Request}}
	case now >= res.expiresAt:
		return r.stop(now, res, res.failureReason())
	case len(r.journals)-taken >= majority:
		res.majorityLostAt = 0
		return nil
	case len(res.votes) == len(r.journals) || (res.majorityLostAt != 0 && now.Sub(res.majorityLostAt) >= r.timing.AnswerGracePeriod):
		return r.stop(now, res, res.failureReason())
	case res.majorityLostAt == 0:
		res.majorityLostAt = now
	}
	return nil
}

// replayAnswer ends a reservation for whose order key a journal has a stored answer.
func (r *Reserver) replayAnswer(now model.Instant, res *reservation, m proto.ReserveReply) []Effect {
	if m.BodyHash != res.Body {
		return r.stop(now, res, StopBodyDiffers)
	}
	out := r.release(now, res)
	return append(out, Replayed{Request: res.Request, Answer: *m.Answer})
}

// failureReason returns why a reservation failed. If a journal has a record with the
// same body, or one without a holder, the order may have run.
func (res *reservation) failureReason() StopReason {
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

// stop releases a reservation and refuses its request with the reason.
func (r *Reserver) stop(now model.Instant, res *reservation, reason StopReason) []Effect {
	out := r.release(now, res)
	return append(out, Stopped{Request: res.Request, Reason: reason})
}

// release forgets a reservation whose request will never run and frees it on the
// journals.
func (r *Reserver) release(now model.Instant, res *reservation) []Effect {
	r.forget(res)
	return r.free(now, res.Requested)
}

func (r *Reserver) free(now model.Instant, s Requested) []Effect {
	return r.broadcastRepeatedly(now, proto.ReserveFree{Workspace: s.Workspace, OrderKey: s.OrderKey, Holder: s.Request})
}

func (r *Reserver) forget(res *reservation) {
	for _, nonce := range res.nonces {
		delete(r.queries, nonce)
	}
	delete(r.pending, res.Request)
	r.arrivals = slices.DeleteFunc(r.arrivals, func(id model.RequestID) bool { return id == res.Request })
}

// finish handles the end of a request: an answer is stored on the journals, and
// the reservation of a request that has not run is freed. Any other reservation
// stays held, since its request may have run.
func (r *Reserver) finish(now model.Instant, ev Finished) []Effect {
	if res := r.pending[ev.Request]; res != nil {
		// The request was given up before it got Reserved, so it has not run.
		return r.release(now, res)
	}
	s, ok := r.running[ev.Request]
	if !ok {
		return nil
	}
	delete(r.running, ev.Request)
	switch {
	case ev.Answer != nil:
		return r.broadcastRepeatedly(now, proto.AnswerSave{Workspace: s.Workspace, OrderKey: s.OrderKey, Holder: s.Request, BodyHash: s.Body, Answer: *ev.Answer})
	case ev.NotRun:
		return r.free(now, s)
	default:
		return nil
	}
}

func (r *Reserver) tick(now model.Instant) []Effect {
	var out []Effect
	for _, id := range slices.Clone(r.arrivals) {
		res := r.pending[id]
		out = append(out, r.decide(now, res)...)
		if r.pending[id] != nil && now.Sub(res.lastAskedAt) >= r.timing.ResendInterval {
			out = append(out, r.askJournals(now, res)...)
		}
	}
	return append(out, r.resendDue(now)...)
}

// broadcastRepeatedly sends a message to all journals, in total totalSends times.
func (r *Reserver) broadcastRepeatedly(now model.Instant, msg proto.Message) []Effect {
	r.outbox = append(r.outbox, repeatedMessage{msg: msg, nextAt: now.Add(firstResendDelay), delay: firstResendDelay, remaining: totalSends - 1})
	return r.broadcast(msg)
}

func (r *Reserver) broadcast(msg proto.Message) []Effect {
	var out []Effect
	for _, j := range r.journals {
		out = append(out, Send{To: j, Msg: msg})
	}
	return out
}

func (r *Reserver) resendDue(now model.Instant) []Effect {
	var out []Effect
	kept := r.outbox[:0]
	for _, m := range r.outbox {
		if now >= m.nextAt {
			out = append(out, r.broadcast(m.msg)...)
			m.remaining--
			m.delay *= 2
			m.nextAt = now.Add(m.delay)
		}
		if m.remaining > 0 {
			kept = append(kept, m)
		}
	}
	clear(r.outbox[len(kept):])
	r.outbox = kept
	return out
}
