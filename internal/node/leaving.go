package node

import (
	"slices"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// leavingKeep is how long a target that leaves is listed: longer than it
	// goes on serving, and than late announcements of it arrive.
	leavingKeep = 30 * time.Second
	// leavingRepeat is the interval and leavingFor the time in which the host
	// that was told repeats it to the other control hosts.
	leavingRepeat = 400 * time.Millisecond
	leavingFor    = 3 * time.Second
)

// leavings are the targets that a control host knows to leave. It is safe for
// concurrent use. Control hosts tell each other, and relays tell entry hosts,
// so that an acknowledged drain holds also where a service has no owner.
type leavings struct {
	mu sync.Mutex
	// known is guarded by mu.
	known map[model.TargetID]leaving
}

type leaving struct {
	news  model.Announcement
	since model.Instant
	// repeatAt is when the news is sent again, or 0 on hosts that were told by another.
	repeatAt model.Instant
}

func newLeavings() *leavings { return &leavings{known: map[model.TargetID]leaving{}} }

// add notes an announcement of a target that leaves. Own is set on the host
// that took it from the target. It reports whether it is news.
func (l *leavings) add(now model.Instant, a model.Announcement, own bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.known[a.Target]
	if a.State == model.TargetReady {
		if ok && a.Incarnation > old.news.Incarnation {
			delete(l.known, a.Target)
		}
		return false
	}
	if ok && (a.Incarnation < old.news.Incarnation || a.Incarnation == old.news.Incarnation && a.State <= old.news.State) {
		return false
	}
	entry := leaving{news: a, since: now}
	if own {
		entry.repeatAt = now.Add(leavingRepeat)
	}
	l.known[a.Target] = entry
	return true
}

// due returns what is to be sent again, and forgets what was known for long.
func (l *leavings) due(now model.Instant) []model.Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []model.Announcement
	for id, entry := range l.known {
		if now.Sub(entry.since) > leavingKeep {
			delete(l.known, id)
			continue
		}
		if entry.repeatAt == 0 || now < entry.repeatAt {
			continue
		}
		out = append(out, entry.news)
		entry.repeatAt = now.Add(leavingRepeat)
		if now.Sub(entry.since) > leavingFor {
			entry.repeatAt = 0
		}
		l.known[id] = entry
	}
	return out
}

// list returns the targets by name.
func (l *leavings) list() []proto.LeavingTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]proto.LeavingTarget, 0, len(l.known))
	for id, entry := range l.known {
		list = append(list, proto.LeavingTarget{Target: id, Incarnation: entry.news.Incarnation})
	}
	slices.SortFunc(list, lease.CompareLeaving)
	return list
}
