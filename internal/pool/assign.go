package pool

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Slot numbers carry the epoch of the owner in their upper bits, so that the report
// of a slot that an earlier owner assigned never frees a slot of the present owner.
const (
	slotSerialBits = 40
	slotSerialMask = 1<<slotSerialBits - 1
	// slotEpochMask leaves the uppermost bit to localSlot.
	slotEpochMask = 1<<(63-slotSerialBits) - 1
)

// slotEpoch returns the epoch bits of a slot number.
func slotEpoch(id uint64) uint64 { return id >> slotSerialBits }

// epochBits returns the bits of an epoch that a slot number carries.
func epochBits(e model.Epoch) uint64 { return uint64(e) & slotEpochMask }

// handleAsk assigns a slot to a query, queues the query or refuses it.
func (o *Owner) handleAsk(now model.Instant, from model.HostID, m proto.SlotAsk) {
	host := o.hostNumber(from)
	s := o.service(now, m.Service)
	if s == nil {
		o.send(from, proto.SlotReply{Nonce: m.Nonce, Status: proto.SlotNotOwner})
		return
	}
	if !s.ownership.restore.isComplete {
		// The picker repeats the query once a RestoreAck reports that this owner is ready.
		return
	}
	key := askKey{host: host, nonce: m.Nonce}
	if l, ok := s.slotByAsk[key]; ok {
		o.replyAssigned(now, s, l)
		return
	}
	if _, ok := s.waitingAsks[key]; ok {
		return
	}
	s.sched.Asked(now, m.Rank)
	if status := o.admit(now, s, host, &m); status != 0 {
		o.refuseAsk(now, s, key, &m, status, o.retryAfterByRank(now, s, m.Rank, m.Class, status))
		return
	}
	w := s.workspace(m.Workspace)
	r := criteriaOf(&m, host)
	var t *target
	if s.waitingCount == 0 {
		t = o.pick(now, s, r)
	}
	if t == nil {
		t = o.dueTarget(now, s, r)
	}
	if t == nil && s.mayTry(now, &m, &o.tune) {
		t = s.trialTarget(now, r)
	}
	if t != nil {
		s.takeRetry(r)
		o.assign(now, s, t, key, w, now.Add(m.Remaining), r)
		return
	}
	o.enqueue(now, s, w, key, &m)
}

// admit returns the status with which a query is refused whether or not slots are
// free, or 0. A retry is admitted if the budget has a token for it beside those of
// the retries that wait.
func (o *Owner) admit(now model.Instant, s *service, host int32, m *proto.SlotAsk) proto.SlotStatus {
	if s.isQuarantined(now, m.Workspace, m.Fingerprint) || s.awaitsConfirmation(m.Workspace, m.Fingerprint, o.tune.CrashLimit) {
		return proto.SlotQuarantined
	}
	if len(m.Exclude) == 0 && !m.AtMostOnce {
		s.lastRepeatableAskAt = now
	}
	if len(m.Exclude) == 0 {
		s.countRequest(m, o.tune.Retries.Burst)
	} else if s.retryTokens < float64(s.waitingRetries+1)+s.reservedRetries(now, m.Rank, o.tune.Retries.Burst) {
		s.retryReport.refused++
		return proto.SlotNoRetry
	} else if s.mayReachCrashLimit(m.Workspace, m.Fingerprint, o.tune.CrashLimit) {
		return proto.SlotNoRetry
	}
	if h := s.connectivity(host); h.slotsInUse >= maxCutOffSlots && h.isCutOff() {
		return proto.SlotNoTarget
	}
	if !s.anyUsable(m.Exclude) && (s.anyAnnounced() || now.Sub(s.ownership.gainedAt) >= o.tune.AnnouncementWait) {
		return proto.SlotNoTarget
	}
	if m.Remaining <= 0 || s.usualTime(now, m.Class) > m.Remaining {
		return proto.SlotTooLate
	}
	return 0
}

// enqueue puts a query in the queue of its workspace, unless the queue is full or
// the expected wait is too long.
func (o *Owner) enqueue(now model.Instant, s *service, w *workspace, key askKey, m *proto.SlotAsk) {
	if !o.admitToQueue(now, s, w, key, m) {
		return
	}
	a := s.newAsk()
	o.serial++
	*a = ask{
		askKey: key, service: s, workspace: w, request: m.Request, fingerprint: m.Fingerprint, zone: m.Zone,
		exclude: m.Exclude, declined: m.DeclinedTargets, once: m.AtMostOnce, deadline: now.Add(m.Remaining), serial: o.serial,
	}
	a.query = newQuery(now, m, a)
	s.sched.Push(now, &a.query)
	w.queue.push(a)
	s.countWaiting(a, 1)
	s.waitingAsks[key] = a
	o.dispatch(now, s)
}

// handleCancel withdraws a query. A slot already assigned to the query is freed,
// since the picker ignores an assignment that arrives after the withdrawal.
func (o *Owner) handleCancel(now model.Instant, from model.HostID, m proto.SlotCancel) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	key := askKey{host: o.hostNumber(from), nonce: m.Nonce}
	if a, ok := s.waitingAsks[key]; ok {
		s.withdraw(a)
		return
	}
	if l, ok := s.slotByAsk[key]; ok {
		s.recordUse(l, false)
		s.freeSlot(now, l)
		o.dispatch(now, s)
	}
}

// dispatch assigns free slots to waiting queries in the order of nextAsk.
func (o *Owner) dispatch(now model.Instant, s *service) {
	if s.waitingCount == 0 {
		return
	}
	s.beginRound()
	for s.waitingCount > 0 {
		a := s.nextAsk(now)
		if a == nil {
			return
		}
		r := a.criteria()
		t := o.pick(now, s, r)
		if t == nil && (!s.anyRoom(now, &o.tune) || len(a.exclude) == 0 && len(a.declined) == 0 && !s.hasTargetAtMaxHosts() && !s.hasFailingTarget() && !s.hasPauses()) {
			// The other queries would get no target either.
			return
		}
		if t == nil {
			s.skipAsk(a)
			continue
		}
		s.withdraw(a)
		s.takeRetry(r)
		o.assign(now, s, t, a.askKey, a.workspace, a.deadline, r)
		s.recycleDequeued(a)
	}
}

// nextWorkspace returns the workspace whose first query is served next, or nil.
func (s *service) nextWorkspace() *workspace {
	var best *workspace
	for _, w := range s.workspaces {
		for w.queue.len() > 0 && w.queue.peek().isWithdrawn {
			s.recycleAsk(w.queue.pop())
		}
		if w.queue.len() == 0 || w.skippedRound == s.dispatchRound {
			continue
		}
		if best == nil || w.inUse < best.inUse ||
			w.inUse == best.inUse && w.queue.peek().serial < best.queue.peek().serial {
			best = w
		}
	}
	return best
}

// hasTargetAtMaxHosts reports whether a target has reached its maximum of hosts.
// Queries of other hosts may then be served although the first one in the queue
// cannot.
func (s *service) hasTargetAtMaxHosts() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.hostCount >= s.maxHosts(t) })
}

// maxHosts returns the number of entry hosts that a target may be assigned to,
// which keeps its connections within the configured limit: each host opens at most
// one connection per slot.
func (s *service) maxHosts(t *target) int { return max(1, s.maxConnections/max(1, t.slots)) }

// anyUsable reports whether a usable target exists that is not excluded.
func (s *service) anyUsable(exclude []model.TargetID) bool {
	for _, t := range s.targets {
		if t.usable() && !slices.Contains(exclude, t.id) {
			return true
		}
	}
	return false
}

// anyRoom reports whether a usable target has room.
func (s *service) anyRoom(now model.Instant, tune *Tuning) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable() && t.hasRoom(now, tune) })
}

// anyAnnounced reports whether any target has announced itself to this owner.
func (s *service) anyAnnounced() bool { return slices.ContainsFunc(s.targets, (*target).announced) }

// Penalties on the load score. They are greater than any load, so that they divide
// the targets into classes.
const (
	// cooldownPenalty applies to a target that failed recently.
	cooldownPenalty = 5.0
	// slowStartPenalty applies to a target in a slow start that has had its share.
	slowStartPenalty = 10.0
	// keptByFloorPenalty applies to a failing target that the floor keeps in
	// service and that has had its share. The small share shows whether it has
	// recovered.
	keptByFloorPenalty = 20.0
)

// pickCriteria describes the query that a target is picked for.
type pickCriteria struct {
	zone    model.ZoneName
	host    int32
	exclude []model.TargetID
	// declined lists targets that the picker gave back without trying them.
	declined []model.TargetID
	// once is set for a request that must not be retried.
	once  bool
	rank  model.Rank
	class model.RequestClass
}

// criteriaOf returns the criteria of a query that has just arrived.
func criteriaOf(m *proto.SlotAsk, host int32) pickCriteria {
	return pickCriteria{zone: m.Zone, host: host, exclude: m.Exclude, declined: m.DeclinedTargets, once: m.AtMostOnce, rank: m.Rank, class: m.Class}
}

// criteria returns the criteria of a waiting query.
func (a *ask) criteria() pickCriteria {
	return pickCriteria{zone: a.zone, host: a.host, exclude: a.exclude, declined: a.declined, once: a.once, rank: a.query.Rank, class: a.query.Class}
}

// isLastAttempt reports whether the request fails if this attempt fails.
func (r pickCriteria) isLastAttempt() bool { return r.once || len(r.exclude) > 0 }

// pick returns the target for a query, or nil if the query waits. The target with
// the lowest load score wins, unless another one has been idle for too long, or it has
// just been assigned and the service is paced.
func (o *Owner) pick(now model.Instant, s *service, r pickCriteria) *target {
	if t := o.dueTarget(now, s, r); t != nil {
		return t
	}
	best, score := o.bestTarget(now, s, r, func(*target, float64) bool { return true })
	return o.spaced(now, s, r, best, score)
}

// bestTarget returns, of the targets that a query may be assigned to and that fit,
// the one with the lowest load score and this score, or nil. Of equal ones it returns
// the one assigned longest ago, which spreads the evidence evenly over the targets.
func (o *Owner) bestTarget(now model.Instant, s *service, r pickCriteria, fits func(*target, float64) bool) (*target, float64) {
	var best *target
	bestScore := 0.0
	canWait := s.hasWorkingTarget(r.exclude)
	for _, t := range s.targets {
		if !t.usable() || !t.hasRoom(now, &o.tune) {
			continue
		}
		score := o.loadScore(now, s, t, r)
		if best != nil && (score > bestScore || score == bestScore && t.lastAssignment > best.lastAssignment) || !fits(t, score) {
			continue
		}
		if !t.acceptsHost(r.host, s.maxHosts(t)) || t.pauseLeft(now, r.host) > 0 || slices.Contains(r.exclude, t.id) || slices.Contains(r.declined, t.id) {
			continue
		}
		if canWait && s.isAvoided(now, t, &o.tune, r) {
			continue
		}
		best, bestScore = t, score
	}
	return best, bestScore
}

// loadScore returns the load of the target as a share of its slots, plus penalties for
// another zone, recent failures and restricted traffic.
func (o *Owner) loadScore(now model.Instant, s *service, t *target, r pickCriteria) float64 {
	score := o.load(now, s, t)
	if t.zone != r.zone {
		score += o.tune.ZonePenalty
	}
	if t.inCooldown(now, &o.tune, r) {
		score += cooldownPenalty
	}
	if r.isLastAttempt() {
		score += o.tune.NoRecentSuccessPenalty * t.successStaleness(now)
	}
	switch {
	case t.keptByFloor && !s.isDue(t, o.tune.StartShare):
		score += keptByFloorPenalty
	case t.cold.IsBounded() && !s.isColdDue(now, t):
		score += coldPenalty
	case t.inSlowStart && !s.isDue(t, t.trafficShare(now, &o.tune)):
		score += slowStartPenalty
	}
	return score
}

// isDue reports whether a target that is limited to a share of a normal target's
// traffic may be assigned again. A normal target is assigned about once in as many
// assignments as there are targets.
func (s *service) isDue(t *target, share float64) bool {
	return float64(s.assignmentCount-t.lastAssignment)*share >= float64(len(s.targets)-s.evacuatedCount)
}

// assign gives a slot of the target to the query and replies to its picker.
func (o *Owner) assign(now model.Instant, s *service, t *target, key askKey, w *workspace, deadline model.Instant, r pickCriteria) {
	o.serial++
	l := s.newSlot()
	*l = slot{
		askKey:        key,
		id:            epochBits(s.ownership.epoch)<<slotSerialBits | o.serial&slotSerialMask,
		target:        t,
		workspace:     w,
		startedAt:     now,
		expiresAt:     deadline.Add(o.tune.SlotExpiryGrace),
		isLastAttempt: r.isLastAttempt(),
		hold:          s.sched.Assign(now, r.rank, r.class, w.id),
	}
	if t.cooldownFrom != 0 {
		l.failuresBefore = t.failedAttempts
	}
	o.countPassedOver(now, s, t, r)
	t.busySlots = append(t.busySlots, l)
	s.assignmentCount++
	t.lastAssignment = s.assignmentCount
	t.lastAssignedAt = now
	t.takeRate(now)
	s.countAssignment(now, t)
	t.recordAssignment(now, key.host)
	w.inUse++
	w.assignments.Add(now, 1, assignmentRateMemory)
	s.connectivity(key.host).slotsInUse++
	s.slotByID[l.id] = l
	s.slotByAsk[key] = l
	o.replyAssigned(now, s, l)
}

// replyAssigned tells the picker which slot its query got.
func (o *Owner) replyAssigned(now model.Instant, s *service, l *slot) {
	m := proto.SlotReply{
		Nonce:       l.nonce,
		Status:      proto.SlotAssigned,
		Slot:        l.id,
		Target:      l.target.id,
		Addr:        l.target.addr,
		Incarnation: l.target.incarnation,
		Epoch:       s.ownership.epoch,
	}
	// A repeated reply may be about a zone that was evacuated again. It names no version,
	// so that hosts with that evacuation decline it.
	if _, ok := o.returnedZones[l.target.zone]; ok && !l.target.evacuated {
		m.ConfigVersion = o.cfg.Version
	}
	s.listRates(now, l.host, &m)
	o.send(o.hostNames[l.host], m)
}
