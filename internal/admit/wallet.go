package admit

import (
	"hash/fnv"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// rateWait is how long a request waits for a token of an owner that answers.
	rateWait = 250 * time.Millisecond
	// ownerWait is how long a request waits while there is no owner.
	ownerWait = 3 * time.Second
	// resendAfter is when a draw without an answer is repeated.
	resendAfter = 20 * time.Millisecond
	// abandonAfter is when a draw without an answer is replaced by a new one,
	// whose tokens are valid for longer.
	abandonAfter = 60 * time.Millisecond
	// minPoll and maxPoll bound the interval between draws from an empty bucket.
	minPoll = 10 * time.Millisecond
	maxPoll = 100 * time.Millisecond
	// settleTime is how long after a change of owner no request is refused for
	// the rate or for its time without an owner: the requests that waited
	// meanwhile use what the new owner's bucket has. At 3 s the worst workspace had
	// 0.05 % refused within its rate, at 5 s none (medians). At 1 s, and for requests
	// that waited without the owner only, most refusals hit later requests.
	settleTime = 5 * time.Second
	// settleWait is how long a request waits within settleTime where hosts have
	// shares. The bucket of a new owner starts empty, and two seconds of requests
	// within the rate may have waited for it.
	settleWait = time.Second
	// scarceTime is how long after tokens were short or a request was refused
	// targets are not asked for ahead of the token.
	scarceTime = time.Second
	// outageMemory bounds how long after an outage requests may wait for ownerWait.
	outageMemory = 30 * time.Second
	// purseIdle is when an unused purse is dropped.
	purseIdle = 60 * time.Second
)

// Limiter draws tokens from the owners of workspace shards and admits the
// requests of one entry host in the order of their arrival.
//
// The slice that Step returns is valid until the next Step.
type Limiter struct {
	settings
	// first is a number that differs between hosts and runs.
	first uint64
	// began is when the first event arrived, or 0. The owners may have restarted as well.
	began  model.Instant
	owners [model.WorkspaceShards]model.HostID
	// latest is the present owner of each shard or, without one, the one before.
	latest [model.WorkspaceShards]proto.Owner
	// ownerless is since when a shard without an owner has none, or 0 if it never had one.
	ownerless [model.WorkspaceShards]model.Instant
	// settled is when the buckets of an owner that followed another count as ordinary ones.
	settled [model.WorkspaceShards]model.Instant
	purses  map[model.WorkspaceID]*purse
	// order holds all purses and active those with waiting requests or draws under way.
	order   []*purse
	active  []*purse
	waiting map[model.RequestID]*purse
	nonce   uint64
	sweepAt model.Instant
	cfg     model.Config
	hosts   hostCount
	out     []Effect
}

// NewLimiter returns a wallet without tokens.
func NewLimiter(self model.HostID, opts ...Option) *Limiter {
	s := newSettings(opts)
	return &Limiter{
		settings: s,
		first:    firstNonce(self, s.incarnation),
		purses:   map[model.WorkspaceID]*purse{},
		waiting:  map[model.RequestID]*purse{},
		nonce:    firstNonce(self, s.incarnation),
	}
}

// firstNonce differs between hosts and runs: a late reply to an earlier run
// would otherwise give its tokens a later end.
func firstNonce(self model.HostID, run model.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self))
	x := h.Sum64() ^ uint64(run)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// chanceOf spreads hosts and workspaces evenly from 0 to 1.
func chanceOf(host uint64, ws model.WorkspaceID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(ws))
	return float64((h.Sum64()^host)*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

// Step takes one event.
func (w *Limiter) Step(now model.Instant, ev Event) []Effect {
	w.out = w.out[:0]
	if w.began == 0 {
		w.began = now
	}
	switch ev := ev.(type) {
	case Arrived:
		w.arrive(now, ev)
	case Received:
		if m, ok := ev.Msg.(proto.DrawReply); ok {
			w.reply(now, m)
		}
	case RequestAbandoned:
		w.abandon(ev.Request)
	case OwnersChanged:
		w.setOwners(now, ev.Owners)
	case Configured:
		w.cfg = ev.Config
	case EntryHostCountChanged:
		w.hosts.note(now, ev.Count)
	case Tick:
		w.tick(now)
	}
	return w.out
}

func (w *Limiter) purse(now model.Instant, ws model.WorkspaceID) *purse {
	p, ok := w.purses[ws]
	if !ok {
		p = &purse{workspace: ws, shard: model.WorkspaceShard(ws), chance: chanceOf(w.first, ws)}
		w.purses[ws] = p
		w.order = append(w.order, p)
	}
	p.used = now
	return p
}

func (w *Limiter) arrive(now model.Instant, ev Arrived) {
	p := w.purse(now, ev.Workspace)
	p.demand.add(now)
	if len(p.waiting) == 0 && p.take(now) {
		w.out = append(w.out, Admitted{Request: ev.Request})
		w.draw(now, p)
		return
	}
	if len(p.waiting) >= maxWaiting {
		w.refuse(p, ev.Request, now)
		return
	}
	drawing := w.owners[p.shard] != "" && now >= p.scarceUntil && len(p.draws) < maxDraws && len(p.waiting) < maxDrawing
	p.waiting = append(p.waiting, waiter{request: ev.Request, arrived: now, deadline: ev.Deadline, drawing: drawing})
	w.waiting[ev.Request] = p
	w.activate(p)
	w.draw(now, p)
	if w.orphaned(now, p) {
		w.serveShare(now, p)
		return
	}
	if drawing {
		w.out = append(w.out, TokenExpected{Request: ev.Request})
	}
}

// scarce takes back every TokenExpected. A workspace above its rate would otherwise
// keep targets from others while its requests wait to be refused.
func (w *Limiter) scarce(now model.Instant, p *purse) {
	p.scarceUntil = now.Add(scarceTime)
	for i := range p.waiting {
		if p.waiting[i].drawing {
			p.waiting[i].drawing = false
			w.out = append(w.out, TokenDelayed{Request: p.waiting[i].request})
		}
	}
}

func (w *Limiter) activate(p *purse) {
	if !p.active {
		p.active = true
		w.active = append(w.active, p)
	}
}

// draw sends a DrawAsk if tokens are wanted and may be had.
func (w *Limiter) draw(now model.Instant, p *purse) {
	owner := w.owners[p.shard]
	if owner == "" || now < p.drawFrom || len(p.draws) >= maxDraws {
		return
	}
	n := p.want(now)
	if n <= 0 {
		return
	}
	w.nonce++
	d := draw{nonce: w.nonce, tokens: n, sent: now, last: now}
	p.draws = append(p.draws, d)
	if p.silentSince == 0 {
		p.silentSince = now
	}
	w.activate(p)
	w.ask(owner, p, d)
}

func (w *Limiter) ask(owner model.HostID, p *purse, d draw) {
	w.out = append(w.out, Send{To: owner, Msg: proto.DrawAsk{Nonce: d.nonce, Workspace: p.workspace, Tokens: d.tokens}})
}

// reply takes the answer to a draw under way. A second answer to the same draw
// finds nothing: its tokens were counted.
func (w *Limiter) reply(now model.Instant, m proto.DrawReply) {
	p, ok := w.purses[m.Workspace]
	if !ok {
		return
	}
	i := slices.IndexFunc(p.draws, func(d draw) bool { return d.nonce == m.Nonce })
	if i < 0 {
		return
	}
	d := p.draws[i]
	p.draws = slices.Delete(p.draws, i, i+1)
	if m.NotOwner {
		w.scarce(now, p)
		p.drawFrom = now.Add(resendAfter)
		return
	}
	p.answer(now, m)
	until := d.sent.Add(w.atMost(m.ValidFor))
	granted := min(m.GrantedTokens, d.tokens)
	if granted > 0 && until > now {
		p.lots = append(p.lots, lot{tokens: granted, until: until})
	}
	short := granted < d.tokens && m.RetryAfter > 0
	if short {
		p.drawFrom = now.Add(min(max(m.RetryAfter, minPoll), maxPoll))
	}
	w.serve(now, p)
	if short {
		w.scarce(now, p)
	}
	w.draw(now, p)
}

func (p *purse) answer(now model.Instant, m proto.DrawReply) {
	if p.outage && p.outageEnd == 0 {
		p.outageEnd = now.Add(outageMemory)
	}
	p.answered, p.answeredAt = true, now
	p.silentSince = 0
	p.retryAfter = m.RetryAfter
	if m.ValidFor > 0 {
		p.valid = m.ValidFor
	}
}

func (w *Limiter) serve(now model.Instant, p *purse) {
	n := 0
	for n < len(p.waiting) && p.take(now) {
		w.out = append(w.out, Admitted{Request: p.waiting[n].request})
		delete(w.waiting, p.waiting[n].request)
		n++
	}
	p.waiting = slices.Delete(p.waiting, 0, n)
}

func (w *Limiter) abandon(id model.RequestID) {
	p, ok := w.waiting[id]
	if !ok {
		return
	}
	delete(w.waiting, id)
	p.waiting = slices.DeleteFunc(p.waiting, func(x waiter) bool { return x.request == id })
}

func (w *Limiter) setOwners(now model.Instant, owners []proto.Owner) {
	before := w.owners
	w.owners = [model.WorkspaceShards]model.HostID{}
	for _, o := range owners {
		if o.Shard >= model.WorkspaceShards {
			continue
		}
		w.owners[o.Shard] = o.Host
		if last := w.latest[o.Shard]; last != o {
			w.latest[o.Shard] = o
			if last.Host != "" {
				w.settled[o.Shard] = now.Add(settleTime)
			}
		}
	}
	for shard, owner := range w.owners {
		if owner == "" && before[shard] != "" {
			w.ownerless[shard] = now
		}
	}
	for _, p := range w.active {
		if w.owners[p.shard] == before[p.shard] {
			continue
		}
		// The draws went to the earlier owner; the new one is asked at once.
		w.scarce(now, p)
		p.draws = p.draws[:0]
		p.drawFrom = now
		w.draw(now, p)
	}
}

func (w *Limiter) tick(now model.Instant) {
	for _, p := range w.active {
		w.resend(now, p)
		if len(p.waiting) > 0 && p.waiting[0].drawing && now.Sub(p.waiting[0].arrived) >= resendAfter {
			w.scarce(now, p)
		}
		if w.orphaned(now, p) {
			w.serveShare(now, p)
		}
		w.expire(now, p)
		w.draw(now, p)
	}
	w.active = slices.DeleteFunc(w.active, func(p *purse) bool {
		p.active = len(p.waiting) > 0 || len(p.draws) > 0
		return !p.active
	})
	w.sweep(now)
}

// resend repeats draws under the same number, so that the owner does not draw
// twice, and gives up those whose tokens would be valid for too short a time.
func (w *Limiter) resend(now model.Instant, p *purse) {
	p.draws = slices.DeleteFunc(p.draws, func(d draw) bool { return now.Sub(d.sent) >= abandonAfter })
	owner := w.owners[p.shard]
	for i := range p.draws {
		d := &p.draws[i]
		if owner != "" && now.Sub(d.last) >= resendAfter {
			d.last = now
			w.ask(owner, p, *d)
		}
	}
}

// expire refuses requests that waited long enough.
func (w *Limiter) expire(now model.Instant, p *purse) {
	p.noteOutage(now)
	orphaned := w.orphaned(now, p)
	p.waiting = slices.DeleteFunc(p.waiting, func(x waiter) bool {
		if orphaned {
			if !w.shareTooLate(now, p, x) {
				return false
			}
			delete(w.waiting, x.request)
			w.refuseShare(now, p, x.request)
			return true
		}
		if !w.tooLate(now, p, x) {
			return false
		}
		delete(w.waiting, x.request)
		w.refuse(p, x.request, x.arrived)
		p.scarceUntil = now.Add(scarceTime)
		return true
	})
}

// noteOutage keeps requests that wait because of a lost owner, and those behind
// them, from being refused for the rate as soon as a new owner answers.
func (p *purse) noteOutage(now model.Instant) {
	if len(p.waiting) == 0 || (p.outageEnd != 0 && now >= p.outageEnd) {
		p.outage, p.outageEnd = false, 0
	}
	if len(p.waiting) > 0 && now.Sub(p.waiting[0].arrived) >= rateWait && !p.answeredSince(p.waiting[0].arrived) {
		p.outage = true
	}
}

func (p *purse) answeredSince(arrived model.Instant) bool {
	return p.answered && p.answeredAt >= arrived
}

// tooLate reports whether a request that an owner answers has waited long
// enough. With shares no request waits for an owner that does not answer, so
// only the bucket of a new owner, which starts empty, is worth a longer wait.
func (w *Limiter) tooLate(now model.Instant, p *purse, x waiter) bool {
	if !w.shares {
		return p.tooLate(now, w.settled[p.shard], x)
	}
	wait := rateWait
	if w.settling(now, p) {
		wait = settleWait
	}
	return now >= x.deadline || now.Sub(x.arrived) >= wait
}

// settling reports whether the buckets of an owner may be those of a new one.
func (w *Limiter) settling(now model.Instant, p *purse) bool {
	return now < w.settled[p.shard] || now.Sub(w.began) < settleTime
}

func (p *purse) tooLate(now, settled model.Instant, x waiter) bool {
	waited := now.Sub(x.arrived)
	if now >= x.deadline || waited >= ownerWait && now >= settled {
		return true
	}
	return waited >= rateWait && !p.outage && now >= settled && p.answeredSince(x.arrived)
}

func (w *Limiter) refuse(p *purse, id model.RequestID, arrived model.Instant) {
	l := Limited{Request: id, RetryAfter: max(p.retryAfter, rateWait)}
	if !p.answeredSince(arrived) {
		l.NoOwner, l.RetryAfter = true, time.Second
	}
	w.out = append(w.out, l)
}

func (w *Limiter) sweep(now model.Instant) {
	if now < w.sweepAt {
		return
	}
	w.sweepAt = now.Add(sweepEvery)
	w.order = slices.DeleteFunc(w.order, func(p *purse) bool {
		if p.active || now.Sub(p.used) < purseIdle {
			return false
		}
		delete(w.purses, p.workspace)
		return true
	})
}
