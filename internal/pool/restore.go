package pool

import (
	"cmp"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// shardRestore is the reconstruction of a shard's state from the reports of the
// entry hosts. Nothing is assigned in the shard until it is complete.
type shardRestore struct {
	shard      model.ShardID
	deadline   model.Instant
	isComplete bool
	// latestReports holds, by host number, the newest report taken.
	latestReports []reportID
	// reportedHosts counts the hosts that have reported.
	reportedHosts int
}

// reportID identifies a report of a host. Serials start at 1.
type reportID struct {
	incarnation model.Incarnation
	serial      uint64
}

// compare returns -1, 0 or 1 if the report is older than, the same as or newer than the other one.
func (m reportID) compare(other reportID) int {
	return cmp.Or(cmp.Compare(m.incarnation, other.incarnation), cmp.Compare(m.serial, other.serial))
}

// latestReport returns the entry of a host in latestReports.
func (r *shardRestore) latestReport(host int32) *reportID {
	for int(host) >= len(r.latestReports) {
		r.latestReports = append(r.latestReports, reportID{})
	}
	return &r.latestReports[host]
}

// endedSlot is the end of a slot that this owner did not assign. The nonce of its
// askKey holds the number of the slot.
type endedSlot struct {
	askKey
	endedAt model.Instant
}

// restoredEjection is an ejection of an earlier owner that is not in force yet.
type restoredEjection struct {
	target      model.TargetID
	incarnation model.Incarnation
	until       model.Instant
	severity    float64
	count       int
}

const reasonRestored = "ejected by the previous owner of the service"

// setHosts replaces the live entry hosts, which may complete restores.
func (o *Owner) setHosts(now model.Instant, hosts []model.HostID) {
	o.liveHosts = slices.Clone(hosts)
	slices.Sort(o.liveHosts)
	o.liveHostsKnown = true
	for _, r := range o.restores {
		o.finishRestore(now, r)
	}
}

func (o *Owner) isLive(id model.HostID) bool {
	_, ok := slices.BinarySearch(o.liveHosts, id)
	return ok || !o.liveHostsKnown
}

// handleReport restores slots, targets and quarantine of a shard from the report of
// an entry host. A report replaces the earlier reports of the host, and a report
// that arrives after a newer one has no effect. The report of a host that is not
// live is not answered, since the host's slots were freed.
func (o *Owner) handleReport(now model.Instant, from model.HostID, m *proto.RestoreReport) {
	own, ok := o.ownerships[m.Shard]
	if !ok || m.Epoch != own.epoch || now >= own.until || !o.isLive(from) {
		return
	}
	r := own.restore
	host := o.hostNumber(from)
	latest := r.latestReport(host)
	next := reportID{incarnation: m.Incarnation, serial: m.Serial}
	order := next.compare(*latest)
	if order < 0 || m.Serial == 0 {
		return
	}
	if order > 0 {
		if latest.serial == 0 {
			r.reportedHosts++
		}
		*latest = next
		o.applyReport(now, host, m)
	}
	if !r.isComplete && o.finishRestore(now, r) {
		return
	}
	o.send(from, proto.RestoreAck{Shard: m.Shard, Epoch: m.Epoch, Serial: m.Serial, Ready: r.isComplete})
}

// applyReport replaces what earlier reports of the host said about the services of a shard.
func (o *Owner) applyReport(now model.Instant, host int32, m *proto.RestoreReport) {
	for i := range m.Services {
		x := &m.Services[i]
		if model.ServiceShard(x.Service) != m.Shard {
			continue
		}
		s := o.service(now, x.Service)
		if s == nil {
			return
		}
		o.restoreBroken(now, s, host, x.BrokenAttempts)
		s.releaseRestored(now, host, x.Slots)
		for _, h := range x.Slots {
			o.restoreSlot(now, s, host, h)
		}
		o.restoreView(now, s, x)
		o.restoreRates(now, s, x.NamedRates)
		o.dispatch(now, s)
	}
	for _, s := range o.ordered {
		if s.shard == m.Shard && !slices.ContainsFunc(m.Services, func(x proto.RestoreService) bool { return x.Service == s.name }) {
			s.releaseRestored(now, host, nil)
			o.dispatch(now, s)
		}
	}
}

// finishRestore lets the owner assign slots once every live host has reported or
// the deadline has passed. It reports whether the restore has just become complete.
func (o *Owner) finishRestore(now model.Instant, r *shardRestore) bool {
	if r.isComplete || now < r.deadline && !o.allReported(r) {
		return false
	}
	r.isComplete = true
	for host, report := range r.latestReports {
		if report.serial != 0 {
			o.send(o.hostNames[host], proto.RestoreAck{
				Shard: r.shard, Epoch: o.ownerships[r.shard].epoch, Serial: report.serial, Ready: true,
			})
		}
	}
	for _, s := range o.ordered {
		if s.shard == r.shard {
			o.adoptEjections(now, s)
		}
	}
	return true
}

func (o *Owner) allReported(r *shardRestore) bool {
	if !o.liveHostsKnown || r.reportedHosts < len(o.liveHosts) {
		return false
	}
	for _, id := range o.liveHosts {
		host, ok := o.hostIndex[id]
		if !ok || r.latestReport(host).serial == 0 {
			return false
		}
	}
	return true
}

// restoreSlot counts a slot that another owner assigned or that the host chose itself.
func (o *Owner) restoreSlot(now model.Instant, s *service, host int32, h proto.HeldSlot) {
	key := askKey{host: host, nonce: h.Slot}
	if _, ok := s.restoredSlots[key]; ok || s.isOwnSlot(h.Slot) || s.hasEnded(key) {
		return
	}
	t := s.targetOrPlaceholder(now, h.Target)
	if t.announced() && h.Incarnation < t.incarnation {
		// The attempt ended with that incarnation of the target.
		return
	}
	l := s.newSlot()
	*l = slot{
		askKey: key, id: h.Slot, restored: true, target: t, workspace: s.workspace(h.Workspace),
		startedAt: now, expiresAt: now.Add(max(0, h.Remaining) + o.tune.SlotExpiryGrace),
	}
	t.busySlots = append(t.busySlots, l)
	t.restoredSlots++
	t.recordAssignment(now, host)
	l.workspace.inUse++
	s.connectivity(host).slotsInUse++
	if s.restoredSlots == nil {
		s.restoredSlots = map[askKey]*slot{}
	}
	s.restoredSlots[key] = l
}

// isOwnSlot reports whether this owner assigned the slot with this number.
func (s *service) isOwnSlot(id uint64) bool {
	return id&localSlot == 0 && slotEpoch(id) == epochBits(s.ownership.epoch)
}

// targetOrPlaceholder returns a target, or a placeholder that gets no work until
// the target announces itself.
func (s *service) targetOrPlaceholder(now model.Instant, id model.TargetID) *target {
	t, ok := s.targetByID[id]
	if !ok {
		t = s.addTarget(id)
		t.stale = true
		t.startedAt = now
	}
	return t
}

// releaseRestored frees the restored slots that a host no longer holds.
func (s *service) releaseRestored(now model.Instant, host int32, held []proto.HeldSlot) {
	if len(s.restoredSlots) == 0 {
		return
	}
	for _, t := range s.targets {
		for i := len(t.busySlots) - 1; i >= 0; i-- {
			l := t.busySlots[i]
			if l.restored && l.host == host && !slices.ContainsFunc(held, func(h proto.HeldSlot) bool { return h.Slot == l.id }) {
				s.freeSlot(now, l)
			}
		}
	}
}

// recordSlotEnd records the end of a slot that this owner did not assign, and
// reports whether it is the first record. Without the record, a report that arrives
// late would restore the slot again, and a repeat would count twice.
func (s *service) recordSlotEnd(now model.Instant, key askKey) bool {
	if s.hasEnded(key) {
		return false
	}
	if s.endedSlots == nil {
		s.endedSlots = map[askKey]struct{}{}
	}
	s.endedSlots[key] = struct{}{}
	s.endedSlotQueue.push(endedSlot{askKey: key, endedAt: now})
	return true
}

func (s *service) hasEnded(key askKey) bool {
	_, ok := s.endedSlots[key]
	return ok
}

// endedRetentionFactor is how many times RestoreRetention an owner remembers the
// ends of slots, so that no reported broken attempt outlives the record of its end.
const endedRetentionFactor = 2

func (o *Owner) expireEndedSlots(now model.Instant, s *service) {
	for s.endedSlotQueue.len() > 0 && now.Sub(s.endedSlotQueue.peek().endedAt) > endedRetentionFactor*o.tune.RestoreRetention {
		delete(s.endedSlots, s.endedSlotQueue.pop().askKey)
	}
}

// restoreBroken takes the broken attempts of a host like reports of their ends.
func (o *Owner) restoreBroken(now model.Instant, s *service, host int32, list []proto.BrokenAttempt) {
	for _, b := range list {
		o.recordEnd(now, s, host, &proto.SlotDone{
			Service: s.name, Slot: b.Slot, Workspace: b.Workspace, Fingerprint: b.Fingerprint,
			Attempt: model.Attempt{Target: b.Target, Incarnation: b.Incarnation, End: model.AttemptBroken},
		}, now.Add(-max(0, b.Age)))
	}
}

// restoreView adds the quarantined requests of a host's last view, and keeps the
// ejections of the newest view reported. The quarantined requests of all views are
// merged, since the host with the newest view may not know those of an earlier
// owner.
func (o *Owner) restoreView(now model.Instant, s *service, m *proto.RestoreService) {
	for _, q := range m.QuarantinedRequests {
		o.restoreQuarantined(now, s, q)
	}
	newer := cmp.Or(cmp.Compare(m.ViewEpoch, s.viewEpoch), cmp.Compare(m.ViewDigest, s.viewDigest)) > 0
	if !newer || m.ViewEpoch >= s.ownership.epoch {
		return
	}
	s.viewEpoch, s.viewDigest = m.ViewEpoch, m.ViewDigest
	s.restoredEjections = s.restoredEjections[:0]
	for _, e := range m.EjectedTargets {
		s.restoredEjections = append(s.restoredEjections, restoredEjection{
			target: e.Target, incarnation: e.Incarnation, until: now.Add(e.Remaining), severity: e.Severity, count: e.Ejections,
		})
	}
	slices.SortFunc(s.restoredEjections, func(a, b restoredEjection) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), strings.Compare(string(a.target), string(b.target)))
	})
	s.restoredEjectionsUntil = now.Add(o.tune.AnnouncementWait)
	o.reinstateOutdated(now, s)
	o.adoptEjections(now, s)
}

func (o *Owner) restoreQuarantined(now model.Instant, s *service, q proto.QuarantinedRequest) {
	if q.Remaining <= 0 || slices.Contains(s.clearedWorkspaces, q.Workspace) {
		return
	}
	until := now.Add(min(q.Remaining, o.tune.QuarantineDuration))
	i := slices.IndexFunc(s.quarantine, func(x quarantined) bool {
		return x.fingerprint == q.Fingerprint && x.workspace == q.Workspace
	})
	if i >= 0 {
		s.quarantine[i].until = max(s.quarantine[i].until, until)
		return
	}
	s.addQuarantined(quarantined{workspace: q.Workspace, fingerprint: q.Fingerprint, until: until})
	o.refuseQuarantined(s, q.Workspace, q.Fingerprint)
}

// reinstateOutdated reinstates the targets that were ejected according to an older
// view but are not ejected in the newest one.
func (o *Owner) reinstateOutdated(now model.Instant, s *service) {
	for _, t := range s.targets {
		if t.ejected && t.reason == reasonRestored &&
			!slices.ContainsFunc(s.restoredEjections, func(e restoredEjection) bool { return e.target == t.id && e.incarnation == t.incarnation }) {
			o.startProbation(now, s, t)
		}
	}
}

// adoptEjections puts the ejections of the earlier owner in force, the worst first,
// as far as the floor allows. An ejection is tried again with each announcement if
// its target is not announced yet, or if the floor forbids it because other targets
// are not announced yet. A target whose ejection ends meanwhile returns with a
// small share like any other.
func (o *Owner) adoptEjections(now model.Instant, s *service) {
	if len(s.restoredEjections) == 0 || !s.ownership.restore.isComplete {
		return
	}
	if now > s.restoredEjectionsUntil {
		s.restoredEjections = nil
		return
	}
	s.restoredEjections = slices.DeleteFunc(s.restoredEjections, func(e restoredEjection) bool {
		t, ok := s.targetByID[e.target]
		if ok && t.incarnation > e.incarnation {
			return true
		}
		if !ok || !t.ready() || t.incarnation < e.incarnation {
			return false
		}
		if t.ejected {
			return true
		}
		if !s.mayEject(now, t) {
			return false
		}
		t.setEjected(now, e.until)
		t.reason = reasonRestored
		t.severity = e.severity
		t.ejections = max(1, e.count)
		s.version++
		return true
	})
}
