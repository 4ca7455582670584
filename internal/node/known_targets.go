package node

import (
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/known"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// knownFolder is the name of the known targets' folder in the data folder.
	knownFolder = "targets"
	// minSaveInterval is the minimum interval between two writes of the whole list.
	// Changes of runs and states are appended at once.
	minSaveInterval = time.Second
	// restoredCountLifetime is how long the number of entry hosts read from the
	// disk is used. All of them have asked again by then.
	restoredCountLifetime = 10 * time.Second
)

// knownTargets is a control host's list of all targets, which is also kept on its
// disk. A run or state of a target counts as stored here only once a record or a
// snapshot with it is synced. It is safe for concurrent use.
type knownTargets struct {
	log        logr.Logger
	file       *reopenableStore
	background func(task func())
	// reportStored tells the other control hosts which runs this host's disk holds.
	reportStored func([]model.TargetRun)
	// failedTargets holds the failed targets that entry hosts reported.
	failedTargets *failedTargets

	mu sync.Mutex
	// list and the fields below are guarded by mu.
	list           *known.List
	entryHostCount int
	lastSaved      codec.KnownTargets
	savedDigest    uint64
	nextSaveAt     model.Instant
	isSaving       bool
	// restoredHostCount is the number of entry hosts read from the disk. It is
	// used until restoredUntil.
	restoredHostCount int
	restoredUntil     model.Instant
	// lastSaveFailed is set after a failed write. The next write opens the store
	// again first, and writes the whole list.
	lastSaveFailed bool
	// copiesChanged is closed and replaced when a disk is known to hold more.
	copiesChanged chan struct{}
}

// openKnownTargets opens the list of known targets. It returns the list and a
// function that closes its store. Contents that cannot be decoded are ignored,
// because targets announce themselves again.
func openKnownTargets(now model.Instant, dataDir string, staleAfter time.Duration, log logr.Logger, background func(func()), opts ...store.Option) (*knownTargets, func() error, error) {
	file, contents, err := openReopenableStore(filepath.Join(dataDir, knownFolder), "the known targets", log, opts...)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open the known targets")
	}
	k := &knownTargets{
		log: log, file: file, background: background, reportStored: func([]model.TargetRun) {},
		list: known.NewList(staleAfter), failedTargets: newFailedTargets(), copiesChanged: make(chan struct{}),
	}
	k.restore(now, contents)
	return k, file.close, nil
}

// restore adds what the disk held when the host started: the list and the changes
// that were appended to it.
func (k *knownTargets) restore(now model.Instant, contents store.Contents) {
	records := contents.Records
	if len(contents.Snapshot) > 0 {
		records = append([][]byte{contents.Snapshot}, records...)
	}
	if len(records) == 0 {
		return
	}
	for _, data := range records {
		stored, err := codec.DecodeKnownTargets(data)
		if err != nil {
			k.log.Error(err, "cannot decode known targets on the disk; starting without them")
			continue
		}
		k.list.Restore(now, stored.Targets)
		k.restoredHostCount = max(k.restoredHostCount, stored.EntryHostCount)
	}
	k.restoredUntil = now.Add(restoredCountLifetime)
	targets, _ := k.list.Targets()
	k.log.Info("targets known from the disk", "targets", len(targets), "hosts", k.restoredHostCount)
}

// recordAnnouncement records an announcement, from another control host or, if from
// is empty, from the target itself, and returns the messages to send to the other
// control hosts. A new run or state is written to the disk in the background.
func (k *knownTargets) recordAnnouncement(now model.Instant, a model.Announcement, from model.HostID) []known.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	messages := k.list.HandleAnnouncement(now, a, from)
	if k.list.HasUnsaved() {
		k.notifyCopies()
	}
	k.save(now)
	return messages
}

// recordSilence records that another control host hears a target no longer, and returns
// the messages to send to the other control hosts.
func (k *knownTargets) recordSilence(now model.Instant, a model.Announcement, from model.HostID) []known.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.HandleSilence(now, a, from)
}

// newest returns the newest announcement of a target, and false if it is not known.
func (k *knownTargets) newest(id model.TargetID) (model.Announcement, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Newest(id)
}

// dueMessages returns the messages to send to the other control hosts now, and
// saves the list if it changed.
func (k *knownTargets) dueMessages(now model.Instant) []known.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	messages := k.list.Tick(now)
	k.save(now)
	return messages
}

// setPeers sets the other control hosts.
func (k *knownTargets) setPeers(peers []model.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.SetPeers(peers)
}

// peers returns the other control hosts.
func (k *knownTargets) peers() []model.HostID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Peers()
}

// recordStored records that another control host's disk holds runs of targets.
func (k *knownTargets) recordStored(from model.HostID, runs []model.TargetRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.HandleStored(from, runs)
	k.notifyCopies()
}

// notifyCopies wakes the callers of waitForCopies. The caller holds mu.
func (k *knownTargets) notifyCopies() {
	close(k.copiesChanged)
	k.copiesChanged = make(chan struct{})
}

// isSaved reports whether this host's disk holds a run in its state or a later one.
func (k *knownTargets) isSaved(r model.TargetRun) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.IsSaved(r)
}

// waitForCopies waits until the disks of at least need of the hosts, of which this
// host is self, hold a run in its state or a later one. It returns false if that
// does not happen before the deadline, or once a later run of the target is known.
func (k *knownTargets) waitForCopies(r model.TargetRun, self model.HostID, hosts []model.HostID, need int, deadline time.Time) bool {
	end := time.NewTimer(time.Until(deadline))
	defer end.Stop()
	for {
		k.mu.Lock()
		n, changed := k.list.CopyCount(r, self, hosts), k.copiesChanged
		newest, _ := k.list.Newest(r.Target)
		k.mu.Unlock()
		if n >= need {
			return true
		}
		if newest.Incarnation > r.Incarnation {
			return false
		}
		select {
		case <-changed:
		case <-end.C:
			return false
		}
	}
}

// setEntryHostCount sets the number of live entry hosts.
func (k *knownTargets) setEntryHostCount(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.entryHostCount = n
}

// targets returns all targets.
func (k *knownTargets) targets() []model.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	list, _ := k.list.Targets()
	return list
}

// age returns the time since this host first heard of the run of a target.
func (k *knownTargets) age(now model.Instant, id model.TargetID) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Age(now, id)
}

// fillReply adds to a reply what brings a list with the digest heldDigest up to
// date. For restoredCountLifetime after a restart, the reported number of entry
// hosts is at least the one before the restart, since not all of them may have
// asked again.
func (k *knownTargets) fillReply(now model.Instant, reply *proto.FreshReply, heldDigest uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now < k.restoredUntil {
		reply.EntryHostCount = max(reply.EntryHostCount, k.restoredHostCount)
	}
	list, digest := k.list.Targets()
	reply.TargetsDigest = digest
	if digest == heldDigest {
		return
	}
	if d, ok := k.list.DiffSince(heldDigest); ok {
		reply.TargetsBaseDigest, reply.Targets, reply.RemovedTargets = heldDigest, d.Changed, d.Removed
		return
	}
	reply.Targets = list
}

// save writes what changed in the background: new runs and states at once, the
// whole list at most once in minSaveInterval. A failed write is repeated, because a
// restart with an older list would bring back targets that have left since. The
// caller holds mu.
func (k *knownTargets) save(now model.Instant) {
	if k.isSaving || k.lastSaveFailed && now < k.nextSaveAt {
		return
	}
	changed := k.list.Digest() != k.savedDigest || k.entryHostCountAt(now) != k.lastSaved.EntryHostCount
	whole := k.lastSaveFailed || changed && now >= k.nextSaveAt
	if !whole && !k.list.HasUnsaved() {
		return
	}
	k.isSaving = true
	k.background(func() { k.write(now, whole) })
}

// entryHostCountAt returns the number of entry hosts to save. For
// restoredCountLifetime after a restart it is at least the one before.
func (k *knownTargets) entryHostCountAt(now model.Instant) int {
	if now < k.restoredUntil {
		return max(k.entryHostCount, k.restoredHostCount)
	}
	return k.entryHostCount
}

// write appends new runs and states until none is left, and then writes the whole
// list if whole is set. After a failure it begins with the whole list. It is the only
// writer, so a list that it writes includes each change appended before. A failure is logged unless the previous write failed too,
// and the next write follows even if the list has not changed.
func (k *knownTargets) write(now model.Instant, whole bool) {
	for {
		k.mu.Lock()
		state, reopen := codec.KnownTargets{Targets: k.list.Unsaved()}, k.lastSaveFailed
		writeAll := whole && (reopen || len(state.Targets) == 0)
		if writeAll {
			whole = false
			state.Targets, k.savedDigest = k.list.Stored(), k.list.Digest()
			state.EntryHostCount = k.entryHostCountAt(now)
			k.lastSaved, k.nextSaveAt = state, now.Add(minSaveInterval)
		}
		if !writeAll && len(state.Targets) == 0 {
			k.isSaving = false
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		if err := k.writeFile(state, writeAll, reopen); err != nil {
			k.handleSaveError(now, err)
			return
		}
		k.handleSaved(state.Targets)
	}
}

// handleSaveError makes the next write open the store again after minSaveInterval.
func (k *knownTargets) handleSaveError(now model.Instant, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lastSaveFailed {
		k.log.Error(err, "cannot save the known targets; retrying")
	}
	k.isSaving, k.lastSaveFailed, k.savedDigest, k.nextSaveAt = false, true, 0, now.Add(minSaveInterval)
}

// handleSaved records that the disk holds targets, and reports those that it did
// not hold before to the other control hosts.
func (k *knownTargets) handleSaved(targets []model.Announcement) {
	k.mu.Lock()
	k.lastSaveFailed = false
	runs := k.list.HandleSaved(targets)
	k.notifyCopies()
	k.mu.Unlock()
	if len(runs) > 0 {
		k.reportStored(runs)
	}
}

// writeFile replaces the saved list if whole is set, and appends to it otherwise.
// It opens the store again first if reopen is set.
func (k *knownTargets) writeFile(state codec.KnownTargets, whole, reopen bool) error {
	data, err := codec.EncodeKnownTargets(state)
	if err != nil {
		return err
	}
	if reopen {
		if _, err := k.file.reopen(); err != nil {
			return err
		}
	}
	if whole {
		return k.file.store().Snapshot(data)
	}
	return k.file.store().Append(data)
}
