// Package known is the list of targets that control hosts keep, tell each other
// and tell entry hosts. The owner of a service decides which target gets a
// request; the list serves while a service has no owner, and makes a drain hold
// everywhere. It is pure: it imports no clock, network, disk or lock.
package known

import (
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// repeatEvery is the interval and repeatFor the time in which the host that
	// a target told repeats a change to the other control hosts.
	repeatEvery = time.Second
	repeatFor   = 2500 * time.Millisecond
	// keepLeaving is how long a target that leaves stays on the list: longer than
	// it goes on serving, and than late announcements of it arrive.
	keepLeaving = 30 * time.Second
	// keepForeign is how long a target stays that another host looks after. That
	// host tells when the target falls silent, unless it is lost itself.
	keepForeign = 2 * time.Minute
)

// List is the list of one control host.
type List struct {
	// staleAfter is how long a target may be silent.
	staleAfter time.Duration
	entries    map[model.TargetID]entry
	// cached is the result of the last call of Targets, or nil after a change.
	cached []model.Announcement
	// digest is codec.TargetsDigest of all entries, and steps are their latest changes.
	digest uint64
	steps  steps
}

type entry struct {
	news  model.Announcement
	heard model.Instant
	// own is set on the host that the target sends its announcements to.
	own   bool
	since model.Instant
	// repeatAt is when the news is told again, or 0.
	repeatAt model.Instant
}

// NewList returns an empty list.
func NewList(staleAfter time.Duration) *List {
	return &List{staleAfter: staleAfter, entries: map[model.TargetID]entry{}}
}

// Restore takes the targets that a host knew before it restarted.
func (l *List) Restore(now model.Instant, targets []model.Announcement) {
	for _, a := range targets {
		l.set(entry{news: a, heard: now, since: now})
	}
}

// set adds or replaces a target.
func (l *List) set(e entry) {
	old, ok := l.entries[e.news.Target]
	l.entries[e.news.Target] = e
	if ok && old.news == e.news {
		return
	}
	l.changed(e.news.Target)
	if ok {
		l.digest -= codec.TargetDigest(old.news)
	}
	l.digest += codec.TargetDigest(e.news)
}

func (l *List) remove(id model.TargetID) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	l.changed(id)
	l.digest -= codec.TargetDigest(e.news)
	delete(l.entries, id)
}

// changed notes that a target is about to change.
func (l *List) changed(id model.TargetID) {
	l.cached = nil
	l.steps.add(l.digest, id)
}

// HandleAnnouncement takes an announcement, with own from the target itself and without it
// from another control host. It returns what the other control hosts must be told.
func (l *List) HandleAnnouncement(now model.Instant, a model.Announcement, own bool) []model.Announcement {
	a.Load = 0
	old, ok := l.entries[a.Target]
	if ok && older(a, old.news) {
		return nil
	}
	next := entry{news: a, heard: now, own: own, since: old.since, repeatAt: old.repeatAt}
	changed := !ok || a != old.news
	if changed {
		next.since, next.repeatAt = now, 0
	}
	var tell []model.Announcement
	if own && (changed || !old.own) {
		next.since, next.repeatAt = now, now.Add(repeatEvery)
		tell = append(tell, a)
	}
	l.set(next)
	if changed && a.State == model.TargetReady {
		tell = append(tell, l.evict(now, a, own)...)
	}
	return tell
}

// older reports whether an announcement is behind another one of the same target.
func older(a, b model.Announcement) bool {
	return a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.State < b.State
}

// evict ends the targets whose address a later incarnation has taken over.
func (l *List) evict(now model.Instant, a model.Announcement, own bool) []model.Announcement {
	var tell []model.Announcement
	for _, id := range l.names() {
		e := l.entries[id]
		if id == a.Target || e.news.Addr != a.Addr || e.news.State == model.TargetLeaving || e.news.Incarnation >= a.Incarnation {
			continue
		}
		e.news.State = model.TargetLeaving
		e.since, e.repeatAt = now, 0
		if own {
			e.repeatAt = now.Add(repeatEvery)
			tell = append(tell, e.news)
		}
		l.set(e)
	}
	return tell
}

func (l *List) names() []model.TargetID {
	ids := make([]model.TargetID, 0, len(l.entries))
	for id := range l.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Tick returns what the other control hosts must be told now: changes that may
// have been lost, and targets that fell silent.
func (l *List) Tick(now model.Instant) []model.Announcement {
	var tell []model.Announcement
	for _, id := range l.names() {
		e := l.entries[id]
		switch silent := now.Sub(e.heard); {
		case e.news.State != model.TargetReady && now.Sub(e.since) > keepLeaving, !e.own && silent > keepForeign:
			l.remove(id)
			continue
		case e.own && e.news.State == model.TargetReady && silent > l.staleAfter:
			e.news.State = model.TargetLeaving
			e.since, e.repeatAt = now, now
		}
		if e.repeatAt != 0 && now >= e.repeatAt {
			tell = append(tell, e.news)
			e.repeatAt = now.Add(repeatEvery)
			if now.Sub(e.since) > repeatFor {
				e.repeatAt = 0
			}
		}
		l.set(e)
	}
	return tell
}

// Targets returns the list by name and its digest. The list must not be changed.
func (l *List) Targets() ([]model.Announcement, uint64) {
	if l.cached == nil {
		l.cached = make([]model.Announcement, 0, len(l.entries))
		for _, e := range l.entries {
			l.cached = append(l.cached, e.news)
		}
		slices.SortFunc(l.cached, func(a, b model.Announcement) int { return strings.Compare(string(a.Target), string(b.Target)) })
	}
	return l.cached, l.digest
}

// Difference is what brings an earlier list up to date.
type Difference struct {
	Changed []model.Announcement
	Removed []model.TargetID
}

// DiffSince returns the difference to the list with a digest. It returns false if
// that list is not known any more, or if the difference is not much smaller than
// the list.
func (l *List) DiffSince(digest uint64) (Difference, bool) {
	ids, ok := l.steps.since(digest)
	if !ok || 2*len(ids) > len(l.entries) {
		return Difference{}, false
	}
	var d Difference
	for _, id := range ids {
		if e, ok := l.entries[id]; ok {
			d.Changed = append(d.Changed, e.news)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d, true
}
