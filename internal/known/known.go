// Package known keeps the list of known targets of a control host. Control hosts
// send each other the changes of their lists and send the list to entry hosts.
// The owner of a service decides which target gets a request; the list is used
// while a service has no owner, and makes all hosts respect a target that
// drains. The package is pure: it imports no clock, network, disk or lock.
package known

import (
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// repeatInterval and repeatDuration are how often and for how long a change is
	// sent again to the other control hosts, since messages may be lost.
	repeatInterval = time.Second
	repeatDuration = 2500 * time.Millisecond
	// leavingRetention is how long a target that drains or leaves stays on the
	// list: longer than it goes on serving and than its late announcements arrive.
	leavingRetention = 30 * time.Second
	// relayedRetention is how long a target stays on the list after the last
	// message about it from another control host. That host reports a target that
	// falls silent, so the time matters only if the host itself is lost.
	relayedRetention = 2 * time.Minute
)

// List holds the targets of which one control host has received announcements.
type List struct {
	// silenceTimeout is how long a target may send no announcement before it
	// counts as leaving.
	silenceTimeout time.Duration
	entries        map[model.TargetID]entry
	// cachedTargets is the result of the last call of Targets, or nil after a change.
	cachedTargets []model.Announcement
	// digest is codec.TargetsDigest of all entries.
	digest uint64
	// changes holds the latest changes of entries.
	changes changeLog
}

// entry holds what is known about one target.
type entry struct {
	// announcement is the latest one, without the load.
	announcement model.Announcement
	// receivedAt is when the last announcement arrived, changed or not.
	receivedAt model.Instant
	// isDirect is set if the target sends its announcements to this host.
	isDirect bool
	// changedAt is when the announcement last changed, or when the target first sent
	// it to this host if that was later.
	changedAt model.Instant
	// nextRepeatAt is when the announcement is sent again to the other control
	// hosts, or 0 for never.
	nextRepeatAt model.Instant
}

// NewList returns an empty list. Targets that send no announcement for longer
// than silenceTimeout count as leaving.
func NewList(silenceTimeout time.Duration) *List {
	return &List{silenceTimeout: silenceTimeout, entries: map[model.TargetID]entry{}}
}

// Restore adds the targets that the host knew before it restarted.
func (l *List) Restore(now model.Instant, targets []model.Announcement) {
	for _, a := range targets {
		l.set(entry{announcement: a, receivedAt: now, changedAt: now})
	}
}

// set adds or replaces the entry of a target and updates the digest.
func (l *List) set(e entry) {
	old, ok := l.entries[e.announcement.Target]
	l.entries[e.announcement.Target] = e
	if ok && old.announcement == e.announcement {
		return
	}
	l.recordChange(e.announcement.Target)
	if ok {
		l.digest -= codec.TargetDigest(old.announcement)
	}
	l.digest += codec.TargetDigest(e.announcement)
}

// remove removes a target, if it is on the list, and updates the digest.
func (l *List) remove(id model.TargetID) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	l.recordChange(id)
	l.digest -= codec.TargetDigest(e.announcement)
	delete(l.entries, id)
}

// recordChange records that a target is about to change. It is called before the
// digest is updated.
func (l *List) recordChange(id model.TargetID) {
	l.cachedTargets = nil
	l.changes.add(l.digest, id)
}

// HandleAnnouncement updates the list with an announcement, which came from the
// target itself if isDirect is set and from another control host otherwise. It
// returns the announcements to send to the other control hosts.
func (l *List) HandleAnnouncement(now model.Instant, a model.Announcement, isDirect bool) []model.Announcement {
	a.Load = 0
	old, ok := l.entries[a.Target]
	if ok && isOlder(a, old.announcement) {
		return nil
	}
	next := entry{announcement: a, receivedAt: now, isDirect: isDirect, changedAt: old.changedAt, nextRepeatAt: old.nextRepeatAt}
	changed := !ok || a != old.announcement
	if changed {
		next.changedAt, next.nextRepeatAt = now, 0
	}
	var messages []model.Announcement
	if isDirect && (changed || !old.isDirect) {
		next.changedAt, next.nextRepeatAt = now, now.Add(repeatInterval)
		messages = append(messages, a)
	}
	l.set(next)
	if changed && a.State == model.TargetReady {
		messages = append(messages, l.endReplacedTargets(now, a, isDirect)...)
	}
	return messages
}

// isOlder reports whether announcement a precedes announcement b of the same target.
func isOlder(a, b model.Announcement) bool {
	return a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.State < b.State
}

// endReplacedTargets marks the targets as leaving whose address a later
// incarnation, announced by a, has taken over. It returns the announcements to
// send to the other control hosts.
func (l *List) endReplacedTargets(now model.Instant, a model.Announcement, isDirect bool) []model.Announcement {
	var messages []model.Announcement
	for _, id := range l.sortedIDs() {
		e := l.entries[id]
		if id == a.Target || e.announcement.Addr != a.Addr || e.announcement.State == model.TargetLeaving || e.announcement.Incarnation >= a.Incarnation {
			continue
		}
		e.announcement.State = model.TargetLeaving
		e.changedAt, e.nextRepeatAt = now, 0
		if isDirect {
			e.nextRepeatAt = now.Add(repeatInterval)
			messages = append(messages, e.announcement)
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

// Tick removes expired entries, marks silent targets as leaving and returns the
// announcements to send to the other control hosts now: the targets that fell
// silent, and repetitions of changes whose messages may have been lost.
func (l *List) Tick(now model.Instant) []model.Announcement {
	var messages []model.Announcement
	for _, id := range l.sortedIDs() {
		e := l.entries[id]
		switch silence := now.Sub(e.receivedAt); {
		case e.announcement.State != model.TargetReady && now.Sub(e.changedAt) > leavingRetention, !e.isDirect && silence > relayedRetention:
			l.remove(id)
			continue
		case e.isDirect && e.announcement.State == model.TargetReady && silence > l.silenceTimeout:
			e.announcement.State = model.TargetLeaving
			e.changedAt, e.nextRepeatAt = now, now
		}
		if e.nextRepeatAt != 0 && now >= e.nextRepeatAt {
			messages = append(messages, e.announcement)
			e.nextRepeatAt = now.Add(repeatInterval)
			if now.Sub(e.changedAt) > repeatDuration {
				e.nextRepeatAt = 0
			}
		}
		l.set(e)
	}
	return messages
}

// Targets returns the announcements of all targets, sorted by name, and the
// digest of the list. The caller must not change the slice.
func (l *List) Targets() ([]model.Announcement, uint64) {
	if l.cachedTargets == nil {
		l.cachedTargets = make([]model.Announcement, 0, len(l.entries))
		for _, e := range l.entries {
			l.cachedTargets = append(l.cachedTargets, e.announcement)
		}
		slices.SortFunc(l.cachedTargets, func(a, b model.Announcement) int { return strings.Compare(string(a.Target), string(b.Target)) })
	}
	return l.cachedTargets, l.digest
}

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
		if e, ok := l.entries[id]; ok {
			d.Changed = append(d.Changed, e.announcement)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d, true
}
