package known

import (
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// diskCopy is a control host whose disk holds a run of a target in a state. The
// host is empty for the own disk.
type diskCopy struct {
	host  model.HostID
	state model.TargetState
}

// copiesWith returns the copies with that of a host added, or changed if it holds
// an earlier state.
func (e entry) copiesWith(host model.HostID, state model.TargetState) []diskCopy {
	copies := slices.Clone(e.copies)
	i := slices.IndexFunc(copies, func(c diskCopy) bool { return c.host == host })
	if i < 0 {
		return append(copies, diskCopy{host: host, state: state})
	}
	copies[i].state = max(copies[i].state, state)
	return copies
}

// isStoredBy reports whether a host's disk holds the entry's run in its state.
func (e entry) isStoredBy(host model.HostID) bool {
	return slices.ContainsFunc(e.copies, func(c diskCopy) bool { return c.host == host && c.state >= e.announcement.State })
}

// lacking returns those of the hosts whose disks are not known to hold the entry.
func (e entry) lacking(hosts []model.HostID) []model.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), e.isStoredBy)
}

// SetPeers sets the other control hosts, to which changes are sent.
func (l *List) SetPeers(peers []model.HostID) { l.peers = slices.Clone(peers) }

// Peers returns the other control hosts. The caller must not change the slice.
func (l *List) Peers() []model.HostID { return l.peers }

// Unsaved returns the targets, sorted by name, whose newest run and state the own
// disk does not hold yet.
func (l *List) Unsaved() []model.Announcement {
	var list []model.Announcement
	for _, id := range slices.Sorted(maps.Keys(l.unsaved)) {
		list = append(list, l.entries[id].announcement)
	}
	return list
}

// HasUnsaved reports whether Unsaved returns any targets.
func (l *List) HasUnsaved() bool { return len(l.unsaved) > 0 }

// HandleSaved records that the own disk holds targets. It returns those to report
// to the other control hosts, which are all that it did not hold before.
func (l *List) HandleSaved(saved []model.Announcement) []model.TargetRun {
	var runs []model.TargetRun
	for _, a := range saved {
		if !l.IsSaved(a.Run()) && l.addCopy("", a.Run()) {
			runs = append(runs, a.Run())
		}
	}
	return runs
}

// HandleStored records that the disk of another control host holds the runs.
func (l *List) HandleStored(from model.HostID, runs []model.TargetRun) {
	for _, r := range runs {
		l.addCopy(from, r)
	}
}

// addCopy records a copy of a run, and returns false if the list does not hold it.
func (l *List) addCopy(host model.HostID, r model.TargetRun) bool {
	e, ok := l.entries[r.Target]
	if !ok || e.announcement.Incarnation != r.Incarnation {
		return false
	}
	e.copies = e.copiesWith(host, r.State)
	l.entries[r.Target] = e
	if e.isStoredBy("") {
		delete(l.unsaved, r.Target)
	}
	return true
}

// IsSaved reports whether the own disk holds a run in its state or a later one.
func (l *List) IsSaved(r model.TargetRun) bool { return l.copyCount(r, []model.HostID{""}) > 0 }

// CopyCount returns how many of the hosts have a run, in its state or a later one,
// on their disks. The own disk counts as that of self.
func (l *List) CopyCount(r model.TargetRun, self model.HostID, hosts []model.HostID) int {
	hosts = slices.Clone(hosts)
	if i := slices.Index(hosts, self); i >= 0 {
		hosts[i] = ""
	}
	return l.copyCount(r, hosts)
}

func (l *List) copyCount(r model.TargetRun, hosts []model.HostID) int {
	e, ok := l.entries[r.Target]
	if !ok || e.announcement.Incarnation != r.Incarnation {
		return 0
	}
	n := 0
	for _, c := range e.copies {
		if c.state >= r.State && slices.Contains(hosts, c.host) {
			n++
		}
	}
	return n
}
