package pool

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Slot numbers carry the epoch in their upper bits, so that the report of a
// slot given by an earlier owner never frees one of this owner's.
const (
	slotSerialBits = 40
	slotSerialMask = 1<<slotSerialBits - 1
	// slotEpochMask leaves the uppermost bit to localSlot.
	slotEpochMask = 1<<(63-slotSerialBits) - 1
)

func slotEpoch(id uint64) uint64 { return id >> slotSerialBits }

func epochBits(e model.Epoch) uint64 { return uint64(e) & slotEpochMask }

// ask takes a query for a slot: it assigns, queues or refuses at once.
func (o *Owner) ask(now model.Instant, from model.HostID, m proto.SlotAsk) {
	host := o.host(from)
	s := o.service(now, m.Service)
	if s == nil {
		o.send(from, proto.SlotReply{Nonce: m.Nonce, Status: proto.SlotNotOwner})
		return
	}
	if !s.tenure.restore.complete {
		// The picker asks again when it hears that this owner is ready.
		return
	}
	key := askKey{host: host, nonce: m.Nonce}
	if l, ok := s.byAsk[key]; ok {
		o.replyAssigned(s, l)
		return
	}
	if _, ok := s.waitingAsk[key]; ok {
		return
	}
	if status := o.admit(now, s, host, &m); status != 0 {
		o.refuse(s, host, m.Nonce, status, o.retryAfter(s, status))
		return
	}
	w := s.workspace(m.Workspace)
	if s.waiting == 0 {
		r := pickFor{zone: m.Zone, host: host, exclude: m.Exclude, pass: m.DeclinedTargets, once: m.AtMostOnce}
		if t := o.pick(now, s, r); t != nil {
			o.assign(now, s, t, key, w, now.Add(m.Remaining), r.lastChance())
			return
		}
	}
	o.enqueue(now, s, w, key, &m)
}

// admit returns the status of a refusal that does not depend on slots, or 0.
func (o *Owner) admit(now model.Instant, s *service, host int32, m *proto.SlotAsk) proto.SlotStatus {
	if s.isQuarantined(now, m.Workspace, m.Fingerprint) || s.awaitsVerdict(m.Workspace, m.Fingerprint, o.tune.CrashLimit) {
		return proto.SlotQuarantined
	}
	if len(m.Exclude) == 0 {
		s.retryTokens = min(o.tune.Retries.Burst, s.retryTokens+s.retryShare)
	} else if s.retryTokens < 1 || s.mayCrash(m.Workspace, m.Fingerprint, o.tune.CrashLimit) {
		return proto.SlotNoRetry
	}
	if h := s.trust(host); h.inUse >= distrustSlots && h.distrusted() {
		return proto.SlotNoTarget
	}
	if !s.anyUsable(m.Exclude) && (s.anyAnnounced() || now.Sub(s.tenure.gained) >= o.tune.AnnouncementWait) {
		return proto.SlotNoTarget
	}
	if m.Remaining <= 0 || s.base.typical() > m.Remaining {
		return proto.SlotTooLate
	}
	if len(m.Exclude) > 0 {
		s.retryTokens--
	}
	return 0
}

// enqueue lets an ask wait unless it would be too late or its workspace's queue is full.
func (o *Owner) enqueue(now model.Instant, s *service, w *workspace, key askKey, m *proto.SlotAsk) {
	if w.waiting >= s.queueLimit {
		o.refuse(s, key.host, key.nonce, proto.SlotQueueFull, s.expectedWait(w))
		return
	}
	if wait := s.expectedWait(w); wait+s.base.typical() > m.Remaining {
		o.refuse(s, key.host, key.nonce, proto.SlotTooLate, wait)
		return
	}
	a := s.newAsk()
	o.serial++
	*a = ask{
		askKey: key, service: s, workspace: w, fingerprint: m.Fingerprint, zone: m.Zone,
		exclude: m.Exclude, pass: m.DeclinedTargets, once: m.AtMostOnce, deadline: now.Add(m.Remaining), serial: o.serial,
	}
	w.queue.push(a)
	w.waiting++
	s.waiting++
	s.waitingAsk[key] = a
	o.dispatch(now, s)
}

// cancel withdraws a query. A slot already given to it is free again, because
// the picker does not use an assignment that arrives after it withdrew.
func (o *Owner) cancel(now model.Instant, from model.HostID, m proto.SlotCancel) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	key := askKey{host: o.host(from), nonce: m.Nonce}
	if a, ok := s.waitingAsk[key]; ok {
		s.withdraw(a)
		return
	}
	if l, ok := s.byAsk[key]; ok {
		s.free(l)
		o.dispatch(now, s)
	}
}

// dispatch gives free slots to those who wait: first the workspace with the
// fewest slots in use, then the earlier arrival.
func (o *Owner) dispatch(now model.Instant, s *service) {
	if s.waiting == 0 {
		return
	}
	s.round++
	for s.waiting > 0 {
		w := s.nextWorkspace()
		if w == nil {
			return
		}
		a := w.queue.peek()
		r := pickFor{zone: a.zone, host: a.host, exclude: a.exclude, pass: a.pass, once: a.once}
		t := o.pick(now, s, r)
		if t == nil && len(a.exclude) == 0 && !s.limitedByHosts() {
			return
		}
		if t == nil {
			w.skipped = s.round
			continue
		}
		w.queue.pop()
		w.waiting--
		s.waiting--
		delete(s.waitingAsk, a.askKey)
		o.assign(now, s, t, a.askKey, w, a.deadline, r.lastChance())
		s.recycleAsk(a)
	}
}

// nextWorkspace returns the workspace whose head is served next, or nil.
func (s *service) nextWorkspace() *workspace {
	var best *workspace
	for _, w := range s.workspaces {
		for w.queue.len() > 0 && w.queue.peek().gone {
			s.recycleAsk(w.queue.pop())
		}
		if w.queue.len() == 0 || w.skipped == s.round {
			continue
		}
		if best == nil || w.inUse < best.inUse ||
			w.inUse == best.inUse && w.queue.peek().serial < best.queue.peek().serial {
			best = w
		}
	}
	return best
}

// limitedByHosts reports whether a target's connection budget is spent, so
// that other asks may be served although one cannot.
func (s *service) limitedByHosts() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.givenTo >= s.hostBudget(t) })
}

// hostBudget bounds the entry hosts that one target is given to: each opens at
// most one connection per slot.
func (s *service) hostBudget(t *target) int { return max(1, s.connections/max(1, t.slots)) }

func (s *service) anyUsable(exclude []model.TargetID) bool {
	for _, t := range s.targets {
		if t.usable() && !slices.Contains(exclude, t.id) {
			return true
		}
	}
	return false
}

func (s *service) anyAnnounced() bool { return slices.ContainsFunc(s.targets, (*target).announced) }

// Penalties that order targets in classes: all others come first.
const (
	// doubtPenalty is for a target that failed lately.
	doubtPenalty = 5.0
	// rampingPenalty is for a target beyond its share of a slow start.
	rampingPenalty = 10.0
	// deniedPenalty is for a failing target that the floor keeps in service,
	// beyond the small share that shows whether it recovered.
	deniedPenalty = 20.0
)

// pickFor is what a target is picked for.
type pickFor struct {
	zone    model.ZoneName
	host    int32
	exclude []model.TargetID
	// pass lists targets that the asker gave back untried.
	pass []model.TargetID
	// once is set for a request that is lost if the target fails it.
	once bool
}

// lastChance reports whether the request fails if the target fails it.
func (r pickFor) lastChance() bool { return r.once || len(r.exclude) > 0 }

// pick returns the target for a request, or nil when none has a free slot.
// The least loaded one wins, with a penalty for other zones, then the one
// given longest ago. The last rule spreads evidence evenly.
func (o *Owner) pick(now model.Instant, s *service, r pickFor) *target {
	var best *target
	bestScore := 0.0
	for _, t := range s.targets {
		if !t.usable() || len(t.busy) >= t.slots || now < t.pausedUntil {
			continue
		}
		if t.cold && len(t.busy) >= t.limit(now, &o.tune) {
			continue
		}
		score := o.load(now, s, t, r)
		if best != nil && (score > bestScore || score == bestScore && t.lastPick > best.lastPick) {
			continue
		}
		if !t.mayGiveTo(r.host, s.hostBudget(t)) || slices.Contains(r.exclude, t.id) || slices.Contains(r.pass, t.id) {
			continue
		}
		best, bestScore = t, score
	}
	return best
}

// load returns the share of slots in use with the penalties.
func (o *Owner) load(now model.Instant, s *service, t *target, r pickFor) float64 {
	score := float64(len(t.busy)) / float64(t.slots)
	if t.zone != r.zone {
		score += o.tune.ZonePenalty
	}
	if t.doubted(now, &o.tune, r) {
		score += doubtPenalty
	}
	if r.lastChance() {
		score += o.tune.NoRecentSuccessPenalty * t.unproven(now)
	}
	switch {
	case t.denied && !s.due(t, o.tune.StartShare):
		score += deniedPenalty
	case t.cold && !s.due(t, t.share(now, &o.tune)):
		score += rampingPenalty
	}
	return score
}

// due reports whether a target with a share of a normal one's traffic is to be
// given. A normal one is given about once in as many assignments as there are targets.
func (s *service) due(t *target, share float64) bool {
	return float64(s.picks-t.lastPick)*share >= float64(len(s.targets))
}

// assign gives a slot. Final is set if the request fails with the attempt.
func (o *Owner) assign(now model.Instant, s *service, t *target, key askKey, w *workspace, deadline model.Instant, final bool) {
	o.serial++
	l := s.newSlot()
	*l = slot{
		askKey:    key,
		id:        epochBits(s.tenure.epoch)<<slotSerialBits | o.serial&slotSerialMask,
		target:    t,
		workspace: w,
		start:     now,
		expires:   deadline.Add(o.tune.SlotExpiryGrace),
		final:     final,
	}
	t.busy = append(t.busy, l)
	s.picks++
	t.lastPick = s.picks
	t.givenAt = now
	t.giveTo(now, key.host)
	w.inUse++
	s.trust(key.host).inUse++
	s.bySlot[l.id] = l
	s.byAsk[key] = l
	o.replyAssigned(s, l)
}

func (o *Owner) replyAssigned(s *service, l *slot) {
	o.send(o.hostNames[l.host], proto.SlotReply{
		Nonce:       l.nonce,
		Status:      proto.SlotAssigned,
		Slot:        l.id,
		Target:      l.target.id,
		Addr:        l.target.addr,
		Incarnation: l.target.incarnation,
		Epoch:       s.tenure.epoch,
	})
}
