package pool

import (
	"cmp"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// restore is the reconstruction of a shard's state from the reports of the
// entry hosts. Nothing is assigned in the shard until it is complete.
type restore struct {
	shard    model.ShardID
	until    model.Instant
	complete bool
	// marks holds, by host number, the newest report taken.
	marks []reportMark
	// reported counts the marks that are set.
	reported int
}

// reportMark identifies a report of a host. Serials start at 1.
type reportMark struct {
	incarnation model.Incarnation
	serial      uint64
}

func (m reportMark) compare(other reportMark) int {
	return cmp.Or(cmp.Compare(m.incarnation, other.incarnation), cmp.Compare(m.serial, other.serial))
}

func (r *restore) mark(host int32) *reportMark {
	for int(host) >= len(r.marks) {
		r.marks = append(r.marks, reportMark{})
	}
	return &r.marks[host]
}

// endedSlot remembers the end of a slot that this owner did not give.
type endedSlot struct {
	askKey
	at model.Instant
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

// setHosts replaces the live entry hosts.
func (o *Owner) setHosts(now model.Instant, hosts []model.HostID) {
	o.live = slices.Clone(hosts)
	slices.Sort(o.live)
	o.liveKnown = true
	for _, r := range o.restores {
		o.finishRestore(now, r)
	}
}

func (o *Owner) isLive(id model.HostID) bool {
	_, ok := slices.BinarySearch(o.live, id)
	return ok || !o.liveKnown
}

// report takes what an entry host knows of a shard. A report replaces the
// earlier ones of the host. One that arrives after a newer one has no effect;
// one of a host that is not live stays unanswered, since the host's slots were freed.
func (o *Owner) report(now model.Instant, from model.HostID, m *proto.RestoreReport) {
	t, ok := o.tenures[m.Shard]
	if !ok || m.Epoch != t.epoch || now >= t.until || !o.isLive(from) {
		return
	}
	r := t.restore
	host := o.host(from)
	mark := r.mark(host)
	next := reportMark{incarnation: m.Incarnation, serial: m.Serial}
	order := next.compare(*mark)
	if order < 0 || m.Serial == 0 {
		return
	}
	if order > 0 {
		if mark.serial == 0 {
			r.reported++
		}
		*mark = next
		o.takeReport(now, host, m)
	}
	if !r.complete && o.finishRestore(now, r) {
		return
	}
	o.send(from, proto.RestoreAck{Shard: m.Shard, Epoch: m.Epoch, Serial: m.Serial, Ready: r.complete})
}

func (o *Owner) takeReport(now model.Instant, host int32, m *proto.RestoreReport) {
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
		s.releaseRestored(host, x.Slots)
		for _, h := range x.Slots {
			o.restoreSlot(now, s, host, h)
		}
		o.restoreView(now, s, x)
		o.dispatch(now, s)
	}
	for _, s := range o.ordered {
		if s.shard == m.Shard && !slices.ContainsFunc(m.Services, func(x proto.RestoreService) bool { return x.Service == s.name }) {
			s.releaseRestored(host, nil)
			o.dispatch(now, s)
		}
	}
}

// finishRestore begins to assign once every live host has reported or the wait
// is over, and reports whether it just did.
func (o *Owner) finishRestore(now model.Instant, r *restore) bool {
	if r.complete || now < r.until && !o.allReported(r) {
		return false
	}
	r.complete = true
	for host, mark := range r.marks {
		if mark.serial != 0 {
			o.send(o.hostNames[host], proto.RestoreAck{
				Shard: r.shard, Epoch: o.tenures[r.shard].epoch, Serial: mark.serial, Ready: true,
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

func (o *Owner) allReported(r *restore) bool {
	if !o.liveKnown || r.reported < len(o.live) {
		return false
	}
	for _, id := range o.live {
		host, ok := o.hostIndex[id]
		if !ok || r.mark(host).serial == 0 {
			return false
		}
	}
	return true
}

// restoreSlot counts a slot that another owner gave or the host chose itself.
func (o *Owner) restoreSlot(now model.Instant, s *service, host int32, h proto.HeldSlot) {
	key := askKey{host: host, nonce: h.Slot}
	if _, ok := s.restored[key]; ok || s.gave(h.Slot) || s.hasEnded(key) {
		return
	}
	t := s.targetOrPlaceholder(now, h.Target)
	if t.announced() && h.Incarnation < t.incarnation {
		// That run of the target ended, and the attempt with it.
		return
	}
	l := s.newSlot()
	*l = slot{
		askKey: key, id: h.Slot, restored: true, target: t, workspace: s.workspace(h.Workspace),
		start: now, expires: now.Add(max(0, h.Remaining) + o.tune.SlotExpiryGrace),
	}
	t.busy = append(t.busy, l)
	t.restoredSlots++
	t.giveTo(now, host)
	l.workspace.inUse++
	s.trust(host).inUse++
	if s.restored == nil {
		s.restored = map[askKey]*slot{}
	}
	s.restored[key] = l
}

// gave reports whether a slot's number is one of this owner's.
func (s *service) gave(id uint64) bool {
	return id&localSlot == 0 && slotEpoch(id) == epochBits(s.tenure.epoch)
}

// targetOrPlaceholder returns a target, or a placeholder that takes no work
// until the target announces itself.
func (s *service) targetOrPlaceholder(now model.Instant, id model.TargetID) *target {
	t, ok := s.byTarget[id]
	if !ok {
		t = s.addTarget(id)
		t.stale = true
		t.since = now
	}
	return t
}

// releaseRestored frees the restored slots of a host that it holds no more.
func (s *service) releaseRestored(host int32, held []proto.HeldSlot) {
	if len(s.restored) == 0 {
		return
	}
	for _, t := range s.targets {
		for i := len(t.busy) - 1; i >= 0; i-- {
			l := t.busy[i]
			if l.restored && l.host == host && !slices.ContainsFunc(held, func(h proto.HeldSlot) bool { return h.Slot == l.id }) {
				s.free(l)
			}
		}
	}
}

// firstEnd records the end of a slot that this owner did not give, and reports
// whether it is news. Otherwise a report that was overtaken would restore the
// slot, and a repeat would count twice.
func (s *service) firstEnd(now model.Instant, key askKey) bool {
	if s.hasEnded(key) {
		return false
	}
	if s.ended == nil {
		s.ended = map[askKey]struct{}{}
	}
	s.ended[key] = struct{}{}
	s.endings.push(endedSlot{askKey: key, at: now})
	return true
}

func (s *service) hasEnded(key askKey) bool {
	_, ok := s.ended[key]
	return ok
}

// endedMemory is how many times RestoreMemory an owner remembers the ends of
// slots, so that no broken attempt outlives the memory of its end.
const endedMemory = 2

func (o *Owner) expireEnded(now model.Instant, s *service) {
	for s.endings.len() > 0 && now.Sub(s.endings.peek().at) > endedMemory*o.tune.RestoreRetention {
		delete(s.ended, s.endings.pop().askKey)
	}
}

// restoreBroken takes the broken attempts of a host like reports of their ends.
func (o *Owner) restoreBroken(now model.Instant, s *service, host int32, list []proto.BrokenAttempt) {
	for _, b := range list {
		o.ended(now, s, host, &proto.SlotDone{
			Service: s.name, Slot: b.Slot, Workspace: b.Workspace, Fingerprint: b.Fingerprint,
			Attempt: model.Attempt{Target: b.Target, Incarnation: b.Incarnation, End: model.AttemptBroken},
		}, now.Add(-max(0, b.Age)))
	}
}

// restoreView adds the quarantined requests of a host's last view and keeps the
// ejections of the newest view reported. Quarantined requests are united,
// since the host with the newest view may not know those of an earlier owner.
func (o *Owner) restoreView(now model.Instant, s *service, m *proto.RestoreService) {
	for _, q := range m.QuarantinedRequests {
		o.restoreQuarantined(now, s, q)
	}
	newer := cmp.Or(cmp.Compare(m.ViewEpoch, s.viewEpoch), cmp.Compare(m.ViewDigest, s.viewDigest)) > 0
	if !newer || m.ViewEpoch >= s.tenure.epoch {
		return
	}
	s.viewEpoch, s.viewDigest = m.ViewEpoch, m.ViewDigest
	s.ejections = s.ejections[:0]
	for _, e := range m.EjectedTargets {
		s.ejections = append(s.ejections, restoredEjection{
			target: e.Target, incarnation: e.Incarnation, until: now.Add(e.Remaining), severity: e.Severity, count: e.Ejections,
		})
	}
	slices.SortFunc(s.ejections, func(a, b restoredEjection) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), strings.Compare(string(a.target), string(b.target)))
	})
	s.ejectionsUntil = now.Add(o.tune.AnnouncementWait)
	o.returnOutdated(now, s)
	o.adoptEjections(now, s)
}

func (o *Owner) restoreQuarantined(now model.Instant, s *service, q proto.QuarantinedRequest) {
	if q.Remaining <= 0 || slices.Contains(s.cleared, q.Workspace) {
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

// returnOutdated returns the targets that were ejected because of an older
// view, and are not ejected in the newest one.
func (o *Owner) returnOutdated(now model.Instant, s *service) {
	for _, t := range s.targets {
		if t.ejected && t.reason == reasonRestored &&
			!slices.ContainsFunc(s.ejections, func(e restoredEjection) bool { return e.target == t.id && e.incarnation == t.incarnation }) {
			o.takeBack(now, s, t)
		}
	}
}

// adoptEjections puts ejections of the earlier owner in force, worst first, as
// far as the floor allows. Those of targets that are not announced yet, or that
// the floor forbids because others are not, are tried again with each announcement.
// A target whose time ran out meanwhile returns with a small share like any other.
func (o *Owner) adoptEjections(now model.Instant, s *service) {
	if len(s.ejections) == 0 || !s.tenure.restore.complete {
		return
	}
	if now > s.ejectionsUntil {
		s.ejections = nil
		return
	}
	s.ejections = slices.DeleteFunc(s.ejections, func(e restoredEjection) bool {
		t, ok := s.byTarget[e.target]
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
		t.takeOut(now, e.until)
		t.reason = reasonRestored
		t.severity = e.severity
		t.ejections = max(1, e.count)
		s.version++
		return true
	})
}
