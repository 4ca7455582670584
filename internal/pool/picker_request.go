package pool

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// abandon withdraws a request. One that was assigned meanwhile returns its
// target as canceled.
func (p *Picker) abandon(now model.Instant, id model.RequestID) {
	r, ok := p.requests[id]
	if !ok {
		return
	}
	if r.assigned {
		p.end(now, AttemptEnded{Request: id, Attempt: model.Attempt{End: model.AttemptCanceled}})
		return
	}
	p.withdraw(now, r)
	p.forget(now, r)
}

// withdraw takes a waiting request out of the queue, here and at the owner.
func (p *Picker) withdraw(now model.Instant, r *request) {
	s := r.access
	p.leaveQueue(r)
	if r.tries == 0 {
		return
	}
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.SlotCancel{Service: s.name, Nonce: r.nonce})
	}
	p.remember(now, r)
}

// remember keeps the nonce of a query whose assignment may still arrive.
func (p *Picker) remember(now model.Instant, r *request) {
	if _, ok := p.withdrawn[r.nonce]; ok {
		return
	}
	p.withdrawn[r.nonce] = r.access.name
	p.expiry.push(withdrawal{nonce: r.nonce, until: max(r.deadline, now).Add(p.tune.SlotExpiryGrace)})
}

func (p *Picker) leaveQueue(r *request) {
	if !r.gone {
		r.gone = true
		r.access.queued--
	}
}

// forget ends a request.
func (p *Picker) forget(now model.Instant, r *request) {
	if r.tries > 1 {
		p.remember(now, r)
	}
	delete(p.requests, r.id)
	delete(p.byNonce, r.nonce)
	r.ended = true
	p.dropGone(r.access)
	p.recycle(r)
}

// dropGone removes requests that do not wait any more from the front of the queue.
func (p *Picker) dropGone(s *access) {
	for s.waiting.len() > 0 && s.waiting.peek().gone {
		r := s.waiting.pop()
		r.linked = false
		p.recycle(r)
	}
}

// sweep removes all requests that do not wait any more from the queue.
func (p *Picker) sweep(s *access) {
	s.waiting.filter(func(r *request) bool {
		if !r.gone {
			return true
		}
		r.linked = false
		p.recycle(r)
		return false
	})
}

// recycle keeps the storage of a request once nothing refers to it.
func (p *Picker) recycle(r *request) {
	if r.linked || !r.ended {
		return
	}
	*r = request{}
	p.free = append(p.free, r)
}

func (p *Picker) newRequest() *request {
	if n := len(p.free); n > 0 {
		r := p.free[n-1]
		p.free = p.free[:n-1]
		return r
	}
	return &request{}
}

// repeatLimit caps the doubling of the interval between repeats; the owner
// does not reply to a request that waits for a slot.
const repeatLimit = 3

// usualWeight is the weight of one tick in the mean number of attempts in flight, about 2 s.
const usualWeight = 0.01
