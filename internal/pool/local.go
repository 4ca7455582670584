package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// localSlotDivisor divides a target's slots: a host uses one third of them without the owner.
const localSlotDivisor = 3

// maxLocalGrowth bounds this host's attempts in flight without the owner to a
// multiple of their usual number, so that the requests that waited for a lost owner
// do not reach the targets all at once.
const maxLocalGrowth = 2

// maxLocalInFlight returns how many attempts this host may have in flight without
// the owner. A host that has just started has no usual number; it may use its part
// of all slots, so that a fleet whose hosts restart together serves at once and no
// target gets more than it announced.
func (p *Picker) maxLocalInFlight(s *pickerService, usable []proto.TargetView) float64 {
	bound := 1 + maxLocalGrowth*s.meanInFlight
	if p.entryHostCount == 0 {
		return bound
	}
	slots := 0
	for _, v := range usable {
		slots += v.Slots
	}
	return max(bound, float64(slots)/float64(p.entryHostCount))
}

// serveLocally assigns targets to waiting requests without the owner. Of two random
// targets it takes the one with fewer attempts of this host, up to a share of the
// target's slots. Targets that the last owner ejected are not used, and none is
// ejected here.
func (p *Picker) serveLocally(now model.Instant, s *pickerService) {
	if s.waitingCount == 0 {
		return
	}
	for _, r := range s.queue.items[s.queue.head:] {
		if !r.isRemoved {
			p.refuseQuarantined(now, s, r)
		}
	}
	p.refuseOverdue(now, s)
	usable := slices.DeleteFunc(p.localTargets(now, s), func(v proto.TargetView) bool {
		return s.leavingTargets.has(v.Target, v.Incarnation) || s.movedTargets.has(v.Target, v.Incarnation)
	})
	usable = p.withoutEvacuated(now, s, usable)
	if len(usable) == 0 {
		p.compactQueue(s)
		return
	}
	bound := p.maxLocalInFlight(s, usable)
	for r := range s.inOrder(now) {
		if !p.takeRetryToken(s, r) {
			p.refuse(now, r, proto.SlotNoRetry)
			continue
		}
		if !slices.ContainsFunc(usable, func(v proto.TargetView) bool { return !slices.Contains(r.exclude, v.Target) }) {
			p.refuse(now, r, proto.SlotNoTarget)
			continue
		}
		if float64(s.inFlight) >= bound {
			break
		}
		v, ok := p.chooseLocally(now, s, usable, r.exclude)
		if !ok {
			p.refuseUnsendable(now, s, usable, r)
			continue
		}
		p.takeTurn(now, s, v)
		p.countLocally(s, r)
		p.withdraw(now, r)
		r.slot = localSlot | r.nonce
		p.assign(now, r, v.Target, v.Addr, v.Incarnation, true)
		s.localPeriod.record(now, r)
		p.reportAgain(s)
	}
	if float64(s.inFlight) >= bound {
		p.displaceOverdue(now, s, bound)
	}
	p.compactQueue(s)
}

// localRetryAfter is the retry time sent to callers that found no target without
// the owner: a new owner decides within about two seconds.
const localRetryAfter = time.Second

// refuseOverdue refuses the requests that have waited for MaxLocalWait without the
// owner, so that their callers learn it before their deadlines.
func (p *Picker) refuseOverdue(now model.Instant, s *pickerService) {
	if p.tune.MaxLocalWait == 0 {
		return
	}
	for _, r := range s.queue.items[s.queue.head:] {
		if !r.isRemoved && now.Sub(r.requestedAt) >= p.tune.MaxLocalWait {
			p.refuseWithRetryAfter(now, r, proto.SlotNoTarget, localRetryAfter)
		}
	}
}

// refuseUnsendable refuses a request at once if all targets that it may be sent to
// asked this host to pause for longer than requests wait, or name rates that leave
// this host no request now.
func (p *Picker) refuseUnsendable(now model.Instant, s *pickerService, usable []proto.TargetView, r *request) {
	wait := r.deadline.Sub(now)
	if p.tune.MaxLocalWait != 0 {
		wait = min(wait, p.tune.MaxLocalWait)
	}
	if pause := s.leastPause(now, usable, r.exclude); pause > wait {
		p.refuseWithRetryAfter(now, r, proto.SlotNoTarget, pause)
	} else if p.noneAllowedByRate(now, s, usable, r.exclude) {
		p.refuseWithRetryAfter(now, r, proto.SlotNoTarget, max(localRetryAfter, p.leastColdLeft(now, s, usable)))
	}
}

// takeRetryToken takes a retry from the local budget, once for each request, and
// reports whether the request may run.
func (p *Picker) takeRetryToken(s *pickerService, r *request) bool {
	if len(r.exclude) == 0 || r.retryTokenTaken {
		return true
	}
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	r.retryTokenTaken = true
	return true
}

// chooseLocally returns the less busy of two random usable targets, or false if all
// are at their local limits or excluded.
func (p *Picker) chooseLocally(now model.Instant, s *pickerService, usable []proto.TargetView, exclude []model.TargetID) (proto.TargetView, bool) {
	free := s.scratch[:0]
	for _, v := range usable {
		if s.inFlightByTarget[v.Target] < max(1, v.Slots/localSlotDivisor) && !slices.Contains(exclude, v.Target) &&
			p.allowsByRate(now, s, v) && s.pauseLeft(now, v.Target, v.Incarnation) == 0 {
			free = append(free, v)
		}
	}
	s.scratch = free
	if len(free) == 0 {
		return proto.TargetView{}, false
	}
	free = p.preferredTargets(now, s, p.warmTargets(now, s, free))
	if p.tune.Pace {
		return p.choosePaced(now, s, free), true
	}
	a := free[p.rng.IntN(len(free))]
	b := free[p.rng.IntN(len(free))]
	if s.inFlightByTarget[b.Target] < s.inFlightByTarget[a.Target] {
		return b, true
	}
	return a, true
}

// localTargets returns the targets that may be used without the owner: those of a
// recent list of control, or else those of the last view, while it is recent, and
// of the announcements that this host took itself.
func (p *Picker) localTargets(now model.Instant, s *pickerService) []proto.TargetView {
	if p.targetList.isRecent(now, p.tune.StaleAfter) {
		return p.listedTargets(now, s)
	}
	var list []proto.TargetView
	recent := s.viewConfirmedAt != 0 && now.Sub(s.viewConfirmedAt) <= p.tune.StaleAfter
	if recent {
		for _, v := range s.view {
			if !s.isEjected(now, v) && !s.isSuperseded(v) && !p.targetList.isLeaving(v.Target, v.Incarnation) {
				list = append(list, v)
			}
		}
	}
	for _, n := range s.announcements {
		a := n.announcement
		if a.State != model.TargetReady || now.Sub(n.receivedAt) > p.tune.StaleAfter || s.isDecidedByView(now, a, recent) {
			continue
		}
		slots := a.Slots
		if slots <= 0 {
			slots = p.cfg.Defaults.Slots
		}
		list = append(list, proto.TargetView{Target: a.Target, Addr: a.Addr, Zone: a.Zone, Slots: slots, Incarnation: a.Incarnation})
	}
	return list
}

// isSuperseded reports whether an announcement taken by this host shows that a
// target of the view has changed.
func (s *pickerService) isSuperseded(v proto.TargetView) bool {
	i, ok := s.findAnnouncement(v.Target)
	if !ok {
		return false
	}
	a := s.announcements[i].announcement
	return a.Incarnation > v.Incarnation || a.Incarnation == v.Incarnation && a.State != model.TargetReady
}

// isEjected reports whether the ejection of a target of the view still lasts. It ends
// when the owner would have ended it, although no owner says so.
func (s *pickerService) isEjected(now model.Instant, v proto.TargetView) bool {
	return v.Ejected && now.Sub(s.viewReceivedAt) < v.EjectionRemaining
}

// isDecidedByView reports whether the view decides whether a target is used: a
// recent view always does, an older one if the ejection of this incarnation of the
// target still lasts.
func (s *pickerService) isDecidedByView(now model.Instant, a model.Announcement, recent bool) bool {
	return slices.ContainsFunc(s.view, func(v proto.TargetView) bool {
		return v.Target == a.Target && v.Incarnation >= a.Incarnation && (recent || s.isEjected(now, v))
	})
}
