package pool

import (
	"maps"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// noticeRetention is how long a host keeps that a target is leaving or names a rate
// without being told again.
const noticeRetention = 10 * time.Minute

// endedRuns holds the targets of which this host learned that a run ends or has ended:
// the last such incarnation of each, and when that was learned last.
type endedRuns map[model.TargetID]endedRun

type endedRun struct {
	incarnation model.Incarnation
	learnedAt   model.Instant
}

// add records that a run of a target ends or has ended. It makes the map if it is nil.
func (e *endedRuns) add(now model.Instant, id model.TargetID, inc model.Incarnation) {
	if *e == nil {
		*e = endedRuns{}
	}
	(*e)[id] = endedRun{incarnation: max((*e)[id].incarnation, inc), learnedAt: now}
}

// has reports whether this incarnation of a target, or a later one, ends or has ended.
func (e endedRuns) has(id model.TargetID, inc model.Incarnation) bool {
	last, ok := e[id]
	return ok && inc <= last.incarnation
}

// expire drops what was learned longer than the retention ago.
func (e endedRuns) expire(now model.Instant, retention time.Duration) {
	maps.DeleteFunc(e, func(_ model.TargetID, r endedRun) bool { return now.Sub(r.learnedAt) > retention })
}

// recordNotice keeps what the answer to an attempt of this host says of its target.
func (s *pickerService) recordNotice(now model.Instant, a model.Attempt) {
	s.recordNamedRate(now, a)
	s.recordPause(now, a)
	if a.Notice.Moved {
		s.movedTargets.add(now, a.Target, a.Incarnation)
	}
	if a.Notice.ReportsCold {
		s.recordCold(now, a.Target, a.Incarnation, a.Notice.ColdRemaining)
	}
	if a.Notice.Leaving {
		s.leavingTargets.add(now, a.Target, a.Incarnation)
	}
}

// expireNotices drops what targets said of themselves that is no longer in force.
func (s *pickerService) expireNotices(now model.Instant) {
	maps.DeleteFunc(s.namedRates, func(_ model.TargetID, r *hostRate) bool { return now.Sub(r.namedAt) > noticeRetention })
	maps.DeleteFunc(s.coldTargets, func(_ model.TargetID, c *hostCold) bool { return now.Sub(max(c.usedAt, c.until)) > noticeRetention })
	maps.DeleteFunc(s.pauses, func(_ model.TargetID, p hostPause) bool { return now >= p.until })
	s.movedTargets.expire(now, movedRetention)
	s.leavingTargets.expire(now, noticeRetention)
}

// handleNotice keeps what a target says of itself before its answer has ended, and
// passes it on to the owner.
func (p *Picker) handleNotice(now model.Instant, ev TargetNoticed) {
	s := p.service(ev.Service)
	s.recordNotice(now, ev.Attempt)
	if s.owner.Host != "" {
		p.sendNotice(s, 0, ev.Attempt)
	}
}

// sendNotice returns a slot without an attempt, if its number is not 0, and tells the
// owner what the target says of itself.
func (p *Picker) sendNotice(s *pickerService, slot uint64, a model.Attempt) {
	a.End, a.Latency = model.AttemptCanceled, 0
	p.send(s.owner.Host, proto.SlotDone{Service: s.name, Slot: slot, Attempt: a})
}

// isUnwanted reports whether an assigned target gets no request of this host: it is
// leaving, asked for a pause or is in an evacuated zone, and the owner did not know
// it yet.
func (p *Picker) isUnwanted(now model.Instant, s *pickerService, m proto.SlotReply) bool {
	return p.targetList.isLeaving(m.Target, m.Incarnation) || s.leavingTargets.has(m.Target, m.Incarnation) ||
		s.pauseLeft(now, m.Target, m.Incarnation) > 0 || p.isEvacuated(s, m)
}

// askAgain returns the slot of a target that this host sends nothing, tells the owner
// why, and queries it for another target.
func (p *Picker) askAgain(now model.Instant, from model.HostID, r *request, m proto.SlotReply) {
	s := r.service
	notice := model.TargetNotice{Leaving: s.leavingTargets.has(m.Target, m.Incarnation), Pause: s.pauseLeft(now, m.Target, m.Incarnation)}
	if from == s.owner.Host && notice != (model.TargetNotice{}) {
		p.sendNotice(s, m.Slot, model.Attempt{Target: m.Target, Incarnation: m.Incarnation, Notice: notice})
	} else {
		p.send(from, proto.SlotCancel{Service: s.name, Nonce: r.nonce})
	}
	delete(p.byNonce, r.nonce)
	p.nonce++
	r.nonce = p.nonce
	p.byNonce[r.nonce] = r
	r.declined = append(slices.Clone(r.declined), m.Target)
	if p.isEvacuated(s, m) {
		r.declined = p.declineEvacuated(s, r.declined)
	}
	p.ask(now, r)
}

// recordLeaving takes a target out of service that says in an answer that it is
// leaving, whatever it announces.
func (o *Owner) recordLeaving(now model.Instant, s *service, t *target, a model.Attempt) {
	if !a.Notice.Leaving || a.Incarnation != t.incarnation || t.state != model.TargetReady {
		return
	}
	t.state = model.TargetDraining
	s.version++
	o.enforceFloor(now, s)
}
