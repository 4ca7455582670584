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
	// minSaveInterval is the minimum interval between two writes of the known
	// targets.
	minSaveInterval = time.Second
	// restoredCountLifetime is how long the number of entry hosts read from the
	// disk is used. All of them have asked again by then.
	restoredCountLifetime = 10 * time.Second
)

// knownTargets is a control host's list of all targets, which is also kept on its
// disk. It is safe for concurrent use.
type knownTargets struct {
	log        logr.Logger
	file       *reopenableStore
	background func(task func())
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
	// again first.
	lastSaveFailed bool
}

// openKnownTargets opens the list of known targets. It returns the list and a
// function that closes its store. Contents that cannot be decoded are ignored,
// because targets announce themselves again.
func openKnownTargets(now model.Instant, dataDir string, staleAfter time.Duration, log logr.Logger, background func(func()), opts ...store.Option) (*knownTargets, func() error, error) {
	file, contents, err := openReopenableStore(filepath.Join(dataDir, knownFolder), "the known targets", log, opts...)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open the known targets")
	}
	k := &knownTargets{log: log, file: file, background: background, list: known.NewList(staleAfter), failedTargets: newFailedTargets()}
	if len(contents.Snapshot) == 0 {
		return k, file.close, nil
	}
	stored, err := codec.DecodeKnownTargets(contents.Snapshot)
	if err != nil {
		log.Error(err, "cannot decode the known targets on the disk; starting with an empty list")
		return k, file.close, nil
	}
	k.list.Restore(now, stored.Targets)
	k.restoredHostCount, k.restoredUntil = stored.EntryHostCount, now.Add(restoredCountLifetime)
	log.Info("targets known from the disk", "targets", len(stored.Targets), "hosts", stored.EntryHostCount)
	return k, file.close, nil
}

// recordAnnouncement records an announcement, from the target itself or from
// another control host, and returns the announcements to send to the other
// control hosts.
func (k *knownTargets) recordAnnouncement(now model.Instant, a model.Announcement, fromTarget bool) []model.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.HandleAnnouncement(now, a, fromTarget)
}

// dueAnnouncements returns the announcements to send to the other control hosts
// now, and saves the list if it changed.
func (k *knownTargets) dueAnnouncements(now model.Instant) []model.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	announcements := k.list.Tick(now)
	k.save(now)
	return announcements
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

// save writes the list in the background if it changed. A failed write is
// repeated, because a restart with an older list would bring back targets that
// have left since.
func (k *knownTargets) save(now model.Instant) {
	list, digest := k.list.Targets()
	if k.isSaving || now < k.nextSaveAt || now < k.restoredUntil || digest == k.savedDigest && k.entryHostCount == k.lastSaved.EntryHostCount {
		return
	}
	k.lastSaved = codec.KnownTargets{Targets: list, EntryHostCount: k.entryHostCount}
	k.savedDigest, k.nextSaveAt, k.isSaving = digest, now.Add(minSaveInterval), true
	state, reopen := k.lastSaved, k.lastSaveFailed
	k.background(func() { k.write(state, reopen) })
}

// write saves the list. A failure is logged unless the previous write failed
// too, and the next write follows even if the list has not changed.
func (k *knownTargets) write(state codec.KnownTargets, reopen bool) {
	err := k.writeFile(state, reopen)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isSaving = false
	if err != nil && !k.lastSaveFailed {
		k.log.Error(err, "cannot save the known targets; retrying")
	}
	if k.lastSaveFailed = err != nil; k.lastSaveFailed {
		k.savedDigest = 0
	}
}

// writeFile replaces the saved list. It opens the store again first if reopen
// is set.
func (k *knownTargets) writeFile(state codec.KnownTargets, reopen bool) error {
	data, err := codec.EncodeKnownTargets(state)
	if err != nil {
		return err
	}
	if reopen {
		if _, err := k.file.reopen(); err != nil {
			return err
		}
	}
	return k.file.store().Snapshot(data)
}
