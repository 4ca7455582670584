// Package known keeps the list of known targets of a control host. Control hosts
// send each other the changes of their lists and send the list to entry hosts.
// The owner of a service decides which target gets a request; the list is used
// while a service has no owner, and makes all hosts respect a target that
// drains. The package is pure: it imports no clock, network, disk or lock.
//
// Each host that holds a change of a target's run or state sends it to the other
// control hosts until they report that their disks hold it. A change is
// acknowledged to its target once the disks of a majority hold it, so that it
// outlives a restart of all control hosts and whichever of them received it. A host
// that knows a later run stores nothing of an earlier one. As two majorities have a
// host in common, no leave is acknowledged for a run that was replaced by another
// one whose start was acknowledged.
package known

import (
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// repeatInterval is the interval at which a change is sent again to the control
	// hosts whose disks do not hold it yet, since messages may be lost and hosts may
	// be away. It doubles up to maxRepeatInterval for a target that is ready.
	repeatInterval    = time.Second
	maxRepeatInterval = 8 * time.Second
	// confirmInterval is the interval at which a host confirms to the others that it
	// hears a target, which they would forget after silentRetention.
	confirmInterval = time.Minute
	// repeatDuration is how long a change is sent again.
	repeatDuration = 30 * time.Second
	// leavingRetention is how long a target that drains or leaves stays on the
	// list: longer than it goes on serving and than its late announcements arrive.
	leavingRetention = 30 * time.Second
	// silentRetention is how long a target stays on the list after the last
	// announcement of it, from the target itself or from another control host.
	silentRetention = 2 * time.Minute
)

// List holds the targets of which one control host has received announcements.
type List struct {
	// silenceTimeout is how long a target may send no announcement to this host
	// before the host asks the others for it.
	silenceTimeout time.Duration
	entries        map[model.TargetID]entry
	// cachedTargets is the result of the last call of Targets, or nil after a change.
	cachedTargets []model.Announcement
	// digest is codec.TargetsDigest of the listed entries.
	digest uint64
	// changes holds the latest changes of entries.
	changes changeLog
	// peers are the other control hosts.
	peers []model.HostID
	// unsaved holds the targets whose newest run and state the own disk does not hold.
	unsaved map[model.TargetID]struct{}
}

// Message is sent to other control hosts. It carries a change that they may lack or,
// if Silent is set, the announcement of a target that the sender hears no longer.
type Message struct {
	To           []model.HostID
	Announcement model.Announcement
	Silent       bool
}

// entry holds what is known about one target.
type entry struct {
	// announcement is the latest one, as model.Announcement.Listed returns it.
	announcement model.Announcement
	// runSince is when the list first heard of the run, or 0 if the run was restored
	// from the disk.
	runSince model.Instant
	// receivedAt is when the last announcement arrived, changed or not.
	receivedAt model.Instant
	// isDirect is set if the target sends its announcements to this host.
	isDirect bool
	// heardBy is the control host that told this one of the target last, or empty if
	// the target did itself or the entry was restored from the disk.
	heardBy model.HostID
	// isSilent is set if heardBy, or this host, hears the target no longer and no other
	// control host has said since that it does.
	isSilent bool
	// changedAt is when the announcement last changed, or when the target first sent
	// it to this host if that was later.
	changedAt model.Instant
	// nextRepeatAt is when the announcement is sent again, to the control hosts that
	// lack it or to all, or 0 for never. repeatInterval is the interval after that.
	nextRepeatAt   model.Instant
	repeatInterval time.Duration
	// copies holds the hosts whose disks hold the run, each with the latest state
	// that it reported. They are those of the announcement's incarnation.
	copies []diskCopy
}

// NewList returns an empty list. Targets that have sent no announcement for longer
// than silenceTimeout are not listed, unless another control host hears them.
func NewList(silenceTimeout time.Duration) *List {
	return &List{silenceTimeout: silenceTimeout, entries: map[model.TargetID]entry{}, unsaved: map[model.TargetID]struct{}{}}
}

// Restore adds the targets that the host's disk held when it started, unless the
// list holds a later run or state of them. Those that do not take requests are sent
// to the other control hosts, which may have missed that.
func (l *List) Restore(now model.Instant, targets []model.Announcement) {
	for _, a := range targets {
		if old, ok := l.entries[a.Target]; ok && a.Run().IsBefore(old.announcement.Run()) {
			continue
		}
		e := entry{announcement: a.Listed(), receivedAt: now, changedAt: now}
		e.copies = e.copiesWith("", a.State)
		if a.State != model.TargetReady {
			e.nextRepeatAt, e.repeatInterval = now, repeatInterval
		}
		l.set(e)
	}
}

// set adds or replaces the entry of a target and updates the digest.
func (l *List) set(e entry) {
	old, ok := l.entries[e.announcement.Target]
	if ok && old.announcement.Incarnation != e.announcement.Incarnation {
		e.copies = nil
	}
	l.entries[e.announcement.Target] = e
	if ok && old.announcement == e.announcement && old.isSilent == e.isSilent {
		return
	}
	if !e.isStoredBy("") {
		l.unsaved[e.announcement.Target] = struct{}{}
	}
	l.recordChange(e.announcement.Target)
	l.digest += e.digest() - old.digest()
}

// digest returns the part of the entry in the digest of the list. It is 0 for the
// zero value.
func (e entry) digest() uint64 {
	if e.isSilent || e.announcement.Target == "" {
		return 0
	}
	return codec.TargetDigest(e.announcement)
}

// remove removes a target, if it is on the list, and updates the digest.
func (l *List) remove(id model.TargetID) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	l.recordChange(id)
	l.digest -= e.digest()
	delete(l.entries, id)
	delete(l.unsaved, id)
}

// recordChange records that a target is about to change. It is called before the
// digest is updated.
func (l *List) recordChange(id model.TargetID) {
	l.cachedTargets = nil
	l.changes.add(l.digest, id)
}

// HandleAnnouncement updates the list with an announcement, which came from another
// control host, or from the target itself if from is empty. It returns the messages to
// send to the other control hosts. One that sends an earlier run or state than the
// list holds is told the later one. Whether a target is cold has no order within a
// run; of a target that sends its heartbeats here, other hosts know it later.
func (l *List) HandleAnnouncement(now model.Instant, a model.Announcement, from model.HostID) []Message {
	a = a.Listed()
	isDirect := from == ""
	old, ok := l.entries[a.Target]
	if ok && a.Run().IsBefore(old.announcement.Run()) {
		if isDirect {
			return nil
		}
		return []Message{{To: []model.HostID{from}, Announcement: old.announcement}}
	}
	next := old
	next.runSince = old.sinceOfRun(now, a)
	a.ColdRemaining = old.coldOfRun(a, isDirect)
	next.announcement, next.receivedAt, next.isDirect, next.heardBy, next.isSilent = a, now, isDirect, from, false
	changed := !ok || a != old.announcement
	// The other hosts do not know that this one hears the target.
	isHeardAnew := isDirect && (!old.isDirect || old.isSilent)
	if changed || isHeardAnew {
		next.changedAt, next.nextRepeatAt, next.repeatInterval = now, now.Add(repeatInterval), repeatInterval
	}
	var messages []Message
	if isDirect && changed || isHeardAnew {
		messages = append(messages, l.messageToAll(a))
	}
	l.set(next)
	if changed && a.State == model.TargetReady {
		messages = append(messages, l.endReplacedTargets(now, a, isDirect)...)
	}
	return messages
}

// sinceOfRun returns when the list first heard of the run that a is about.
func (e entry) sinceOfRun(now model.Instant, a model.Announcement) model.Instant {
	if a.Incarnation != e.announcement.Incarnation {
		return now
	}
	return e.runSince
}

// coldOfRun returns the ColdRemaining of a, or that of the entry if a is about the same
// run, came from another host and the target sends its heartbeats to this one.
func (e entry) coldOfRun(a model.Announcement, isDirect bool) time.Duration {
	if a.Incarnation == e.announcement.Incarnation && e.isDirect && !isDirect {
		return e.announcement.ColdRemaining
	}
	return a.ColdRemaining
}

// messageToAll returns a message to all other control hosts.
func (l *List) messageToAll(a model.Announcement) Message {
	return Message{To: l.peers, Announcement: a}
}

// endReplacedTargets marks the targets as leaving whose address a later
// incarnation, announced by a, has taken over. It returns the messages to send to
// the other control hosts.
func (l *List) endReplacedTargets(now model.Instant, a model.Announcement, isDirect bool) []Message {
	var messages []Message
	for _, id := range l.sortedIDs() {
		e := l.entries[id]
		if id == a.Target || e.announcement.Addr != a.Addr || e.announcement.State == model.TargetLeaving || e.announcement.Incarnation >= a.Incarnation {
			continue
		}
		e.announcement.State = model.TargetLeaving
		e.changedAt, e.nextRepeatAt, e.repeatInterval = now, now.Add(repeatInterval), repeatInterval
		if isDirect {
			messages = append(messages, l.messageToAll(e.announcement))
		}
		l.set(e)
	}
	return messages
}

// sortedIDs returns the names of all targets in ascending order.
func (l *List) sortedIDs() []model.TargetID {
	ids := make([]model.TargetID, 0, len(l.entries))
	for id := range l.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Tick removes expired entries and returns the messages to send to the other control
// hosts now: the targets that fell silent, and changes that the disks of some hosts do
// not hold yet.
func (l *List) Tick(now model.Instant) []Message {
	var messages []Message
	for _, id := range l.sortedIDs() {
		e := l.entries[id]
		switch silence := now.Sub(e.receivedAt); {
		case e.announcement.State != model.TargetReady && now.Sub(e.changedAt) > leavingRetention, silence > silentRetention:
			l.remove(id)
			continue
		case e.isDirect && !e.isSilent && e.announcement.State == model.TargetReady && silence > l.silenceTimeout:
			e.isSilent, e.nextRepeatAt, e.repeatInterval = true, now, repeatInterval
		}
		if e.nextRepeatAt != 0 && now >= e.nextRepeatAt {
			messages = append(messages, l.repeat(now, &e)...)
		}
		l.set(e)
	}
	return messages
}

// repeat returns the message that sends an entry again to the hosts that lack it,
// if there are any, and schedules the next one.
func (l *List) repeat(now model.Instant, e *entry) []Message {
	if e.isSilent {
		e.nextRepeatAt = now.Add(e.repeatInterval)
		e.repeatInterval = min(2*e.repeatInterval, maxRepeatInterval)
		return []Message{{To: l.peers, Announcement: e.announcement, Silent: true}}
	}
	if now.Sub(e.changedAt) > repeatDuration {
		if !e.isDirect || e.announcement.State != model.TargetReady {
			e.nextRepeatAt = 0
			return nil
		}
		e.nextRepeatAt = now.Add(confirmInterval)
		return []Message{l.messageToAll(e.announcement)}
	}
	e.nextRepeatAt = now.Add(e.repeatInterval)
	lacking := e.lacking(l.peers)
	if len(lacking) == 0 {
		return nil
	}
	if e.announcement.State == model.TargetReady {
		e.repeatInterval = min(2*e.repeatInterval, maxRepeatInterval)
	}
	return []Message{{To: lacking, Announcement: e.announcement}}
}

// Targets returns the announcements of the listed targets, sorted by name, and the
// digest of the list. The caller must not change the slice.
func (l *List) Targets() ([]model.Announcement, uint64) {
	if l.cachedTargets == nil {
		l.cachedTargets = make([]model.Announcement, 0, len(l.entries))
		for _, e := range l.entries {
			if !e.isSilent {
				l.cachedTargets = append(l.cachedTargets, e.announcement)
			}
		}
		slices.SortFunc(l.cachedTargets, func(a, b model.Announcement) int { return strings.Compare(string(a.Target), string(b.Target)) })
	}
	return l.cachedTargets, l.digest
}

// Stored returns what the disk has to hold, sorted by name: the listed targets and
// those that have fallen silent, whose runs other hosts may count on.
func (l *List) Stored() []model.Announcement {
	var list []model.Announcement
	for _, id := range l.sortedIDs() {
		list = append(list, l.entries[id].announcement)
	}
	return list
}

// Newest returns the newest announcement of a target, and false if the list does not
// hold the target.
func (l *List) Newest(id model.TargetID) (model.Announcement, bool) {
	e, ok := l.entries[id]
	return e.announcement, ok
}

// restoredAge is the age of a run from the disk, whose start is not known. It is longer
// than any cold time.
const restoredAge = 24 * time.Hour

// Age returns the time since the list first heard of the run of a target that it holds.
func (l *List) Age(now model.Instant, id model.TargetID) time.Duration {
	since := l.entries[id].runSince
	if since == 0 {
		return restoredAge
	}
	return now.Sub(since)
}

// Digest returns the digest of the list.
func (l *List) Digest() uint64 { return l.digest }

// Difference holds the changes that bring an earlier state of a list up to date.
type Difference struct {
	// Changed holds the targets that were added or replaced.
	Changed []model.Announcement
	// Removed holds the targets that are no longer on the list.
	Removed []model.TargetID
}

// DiffSince returns the difference to the earlier state of the list that had the
// digest. It returns false if that state is no longer recorded, or if more than
// half of the targets have changed, so that the difference is not worth its cost.
func (l *List) DiffSince(digest uint64) (Difference, bool) {
	ids, ok := l.changes.changedSince(digest)
	if !ok || 2*len(ids) > len(l.entries) {
		return Difference{}, false
	}
	var d Difference
	for _, id := range ids {
		if e, ok := l.entries[id]; ok && !e.isSilent {
			d.Changed = append(d.Changed, e.announcement)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d, true
}
