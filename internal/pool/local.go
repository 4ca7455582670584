package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// localShare is the part of a target's slots that one host uses without the owner.
const localShare = 3

// localGrowth bounds this host's attempts in flight without the owner to a
// multiple of their usual number, so that the requests that waited for a lost
// owner do not reach the targets all at once.
const localGrowth = 2

// localBound returns how many attempts this host may have in flight without the
// owner. A host that has just started knows no usual number; its part of all
// slots bounds it then, so that a fleet whose hosts restart together serves at
// once and no target gets more than it announced.
func (p *Picker) localBound(s *access, usable []proto.TargetView) float64 {
	bound := 1 + localGrowth*s.usual
	if p.hosts == 0 {
		return bound
	}
	slots := 0
	for _, v := range usable {
		slots += v.Slots
	}
	return max(bound, float64(slots)/float64(p.hosts))
}

// serveLocally gives targets to waiting requests without the owner: of two
// random targets the one less busy by this host's own count, no ejection beyond
// the owner's last decisions, and a share of the slots.
func (p *Picker) serveLocally(now model.Instant, s *access) {
	if s.queued == 0 {
		return
	}
	for _, r := range s.waiting.items[s.waiting.head:] {
		if !r.gone {
			p.refuseQuarantined(now, s, r)
		}
	}
	p.refuseLate(now, s)
	usable := p.localTargets(now, s)
	if len(usable) == 0 {
		p.sweep(s)
		return
	}
	bound := p.localBound(s, usable)
	for _, r := range s.waiting.items[s.waiting.head:] {
		if r.gone {
			continue
		}
		if !p.payRetry(s, r) {
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
			continue
		}
		p.withdraw(now, r)
		r.slot = localSlot | r.nonce
		p.assign(r, v.Target, v.Addr, v.Incarnation, true)
		p.reportAgain(s)
	}
	p.sweep(s)
}

// localRetryAfter is told to callers that found no target without the owner:
// a new owner decides within about two seconds.
const localRetryAfter = time.Second

// refuseLate refuses the requests that have waited too long without the owner,
// so that their callers learn it before their deadlines. A limit of 0 leaves them.
func (p *Picker) refuseLate(now model.Instant, s *access) {
	if p.tune.MaxLocalWait == 0 {
		return
	}
	for _, r := range s.waiting.items[s.waiting.head:] {
		if !r.gone && now.Sub(r.since) >= p.tune.MaxLocalWait {
			p.refuseFor(now, r, proto.SlotNoTarget, localRetryAfter)
		}
	}
}

// payRetry takes a retry from the local budget, once for each request.
func (p *Picker) payRetry(s *access, r *request) bool {
	if len(r.exclude) == 0 || r.paidRetry {
		return true
	}
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	r.paidRetry = true
	return true
}

func (p *Picker) chooseLocally(now model.Instant, s *access, usable []proto.TargetView, exclude []model.TargetID) (proto.TargetView, bool) {
	free := s.scratch[:0]
	for _, v := range usable {
		if s.running[v.Target] < max(1, v.Slots/localShare) && !slices.Contains(exclude, v.Target) {
			free = append(free, v)
		}
	}
	s.scratch = free
	if len(free) == 0 {
		return proto.TargetView{}, false
	}
	free = p.preferred(now, s, free)
	a := free[p.rng.IntN(len(free))]
	b := free[p.rng.IntN(len(free))]
	if s.running[b.Target] < s.running[a.Target] {
		return b, true
	}
	return a, true
}

// localTargets joins the last view, while it is recent, with the announcements
// that this host took itself.
func (p *Picker) localTargets(now model.Instant, s *access) []proto.TargetView {
	if p.listed.recent(now, p.tune.StaleAfter) {
		return p.listedTargets(s)
	}
	var list []proto.TargetView
	recent := s.viewAt != 0 && now.Sub(s.viewAt) <= p.tune.StaleAfter
	if recent {
		for _, v := range s.view {
			if !v.Ejected && !s.superseded(v) && !p.listed.leaves(v.Target, v.Incarnation) {
				list = append(list, v)
			}
		}
	}
	for _, n := range s.news {
		a := n.announcement
		if a.State != model.TargetReady || now.Sub(n.at) > p.tune.StaleAfter || s.viewed(a, recent) {
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

// superseded reports whether an own announcement says that a target of the view changed.
func (s *access) superseded(v proto.TargetView) bool {
	i, ok := s.findNews(v.Target)
	if !ok {
		return false
	}
	a := s.news[i].announcement
	return a.Incarnation > v.Incarnation || a.Incarnation == v.Incarnation && a.State != model.TargetReady
}

// viewed reports whether the view decides on a target: a recent one always, an
// older one if it ejected this run of the target.
func (s *access) viewed(a model.Announcement, recent bool) bool {
	return slices.ContainsFunc(s.view, func(v proto.TargetView) bool {
		return v.Target == a.Target && v.Incarnation >= a.Incarnation && (recent || v.Ejected)
	})
}
