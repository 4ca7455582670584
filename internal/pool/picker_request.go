package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// abandon withdraws a request. If the request has a target, its attempt ends as canceled.
func (p *Picker) abandon(now model.Instant, id model.RequestID) {
	r, ok := p.requests[id]
	if !ok {
		return
	}
	if r.isCounted && len(r.exclude) == 0 {
		r.service.withdrawnCounts++
	}
	if r.assigned {
		p.handleAttemptEnd(now, AttemptEnded{Request: id, Attempt: model.Attempt{End: model.AttemptCanceled}})
		return
	}
	p.withdraw(now, r)
	p.forget(now, r)
}

// withdraw takes a waiting request out of the queue and cancels its query at the owner.
func (p *Picker) withdraw(now model.Instant, r *request) {
	s := r.service
	p.leaveQueue(r)
	if r.sendCount == 0 {
		return
	}
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.SlotCancel{Service: s.name, Nonce: r.nonce})
	}
	p.rememberWithdrawn(now, r)
}

// withdrawal is a withdrawn query whose nonce is remembered up to an instant.
type withdrawal struct {
	nonce uint64
	until model.Instant
}

// rememberWithdrawn keeps the nonce of a query that may still be assigned a target,
// so that the assignment is given back.
func (p *Picker) rememberWithdrawn(now model.Instant, r *request) {
	if _, ok := p.withdrawnQueries[r.nonce]; ok {
		return
	}
	p.withdrawnQueries[r.nonce] = r.service.name
	p.withdrawals.push(withdrawal{nonce: r.nonce, until: max(r.deadline, now).Add(p.tune.SlotExpiryGrace)})
}

// timeToObjective returns the time left until the latency objective, negative once
// it has passed, or 0 without one.
func (r *request) timeToObjective(now model.Instant) time.Duration {
	if r.objectiveAt == 0 {
		return 0
	}
	if left := r.objectiveAt.Sub(now); left != 0 {
		return left
	}
	return -1
}

// leaveQueue marks a request as no longer waiting.
func (p *Picker) leaveQueue(r *request) {
	if !r.isRemoved {
		r.isRemoved = true
		r.service.sched.Remove(&r.query)
		r.service.waitingCount--
	}
}

// forget ends a request.
func (p *Picker) forget(now model.Instant, r *request) {
	if r.sendCount > 1 {
		p.rememberWithdrawn(now, r)
	}
	delete(p.requests, r.id)
	delete(p.byNonce, r.nonce)
	r.isEnded = true
	p.trimQueue(r.service)
	p.recycle(r)
}

// trimQueue removes the requests that no longer wait from the front of the queue.
func (p *Picker) trimQueue(s *pickerService) {
	for s.queue.len() > 0 && s.queue.peek().isRemoved {
		r := s.queue.pop()
		r.inQueue = false
		p.recycle(r)
	}
}

// compactQueue removes all requests that no longer wait from the queue.
func (p *Picker) compactQueue(s *pickerService) {
	s.queue.filter(func(r *request) bool {
		if !r.isRemoved {
			return true
		}
		r.inQueue = false
		p.recycle(r)
		return false
	})
}

// recycle keeps the storage of a request once nothing refers to it.
func (p *Picker) recycle(r *request) {
	if r.inQueue || !r.isEnded {
		return
	}
	*r = request{}
	p.freeRequests = append(p.freeRequests, r)
}

func (p *Picker) newRequest() *request {
	if n := len(p.freeRequests); n > 0 {
		r := p.freeRequests[n-1]
		p.freeRequests = p.freeRequests[:n-1]
		return r
	}
	return &request{}
}

// maxRepeatDoublings bounds the doubling of the interval between repeated queries;
// the owner does not reply to a query that waits for a slot.
const maxRepeatDoublings = 3

// meanInFlightWeight is the weight of one tick in the mean number of attempts in
// flight, for a time constant of about 2 s.
const meanInFlightWeight = 0.01
