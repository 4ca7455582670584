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
	// knownFolder is the folder of the known targets below the data folder.
	knownFolder = "targets"
	// saveEvery is the least interval between two writes of the known targets.
	saveEvery = time.Second
	// hostsFor is how long the number of entry hosts that the disk told holds:
	// until all of them have asked again.
	hostsFor = 10 * time.Second
)

// knownTargets is the list of targets of a control host, kept on its disk. It
// is safe for concurrent use.
type knownTargets struct {
	log  logr.Logger
	file *diskFile
	run  func(task func())
	// failed holds what entry hosts tell.
	failed *failedTargets

	mu sync.Mutex
	// list is guarded by mu, as is all below.
	list   *known.List
	hosts  int
	saved  codec.KnownTargets
	digest uint64
	saveAt model.Instant
	saving bool
	// restored is the number of entry hosts that the disk told, until restoredTo.
	restored   int
	restoredTo model.Instant
	// unsaved is set after a failed write; the next one opens the file again.
	unsaved bool
}

// openKnown opens the known targets and returns the clean-up function. What
// cannot be read is left out: targets announce themselves again.
func openKnown(now model.Instant, dataDir string, staleAfter time.Duration, log logr.Logger, run func(func()), opts ...store.Option) (*knownTargets, func() error, error) {
	file, contents, err := openDiskFile(filepath.Join(dataDir, knownFolder), "the known targets", log, opts...)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open the known targets")
	}
	k := &knownTargets{log: log, file: file, run: run, list: known.NewList(staleAfter), failed: newFailedTargets()}
	if len(contents.Snapshot) == 0 {
		return k, file.close, nil
	}
	before, err := codec.DecodeKnownTargets(contents.Snapshot)
	if err != nil {
		log.Error(err, "the known targets of the disk are not used")
		return k, file.close, nil
	}
	k.list.Restore(now, before.Targets)
	k.restored, k.restoredTo = before.EntryHostCount, now.Add(hostsFor)
	log.Info("targets known from the disk", "targets", len(before.Targets), "hosts", before.EntryHostCount)
	return k, file.close, nil
}

// hear takes an announcement and returns what the other control hosts must be told.
func (k *knownTargets) hear(now model.Instant, a model.Announcement, own bool) []model.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Hear(now, a, own)
}

// due returns what the other control hosts must be told now, and saves what changed.
func (k *knownTargets) due(now model.Instant) []model.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	tell := k.list.Due(now)
	k.save(now)
	return tell
}

// setHosts notes the number of live entry hosts.
func (k *knownTargets) setHosts(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts = n
}

// targets returns all targets.
func (k *knownTargets) targets() []model.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	list, _ := k.list.Targets()
	return list
}

// tell puts into a reply what brings an asker's list with a digest up to date.
// The number of entry hosts is at least that before a restart while they return.
func (k *knownTargets) tell(now model.Instant, reply *proto.FreshReply, have uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now < k.restoredTo {
		reply.EntryHostCount = max(reply.EntryHostCount, k.restored)
	}
	list, digest := k.list.Targets()
	reply.TargetsDigest = digest
	if digest == have {
		return
	}
	if d, ok := k.list.Since(have); ok {
		reply.TargetsBaseDigest, reply.Targets, reply.RemovedTargets = have, d.Changed, d.Gone
		return
	}
	reply.Targets = list
}

// save writes the list in the background if it changed. After an error it is
// tried again: a restart would bring back targets that have left since.
func (k *knownTargets) save(now model.Instant) {
	list, digest := k.list.Targets()
	if k.saving || now < k.saveAt || now < k.restoredTo || digest == k.digest && k.hosts == k.saved.EntryHostCount {
		return
	}
	k.saved = codec.KnownTargets{Targets: list, EntryHostCount: k.hosts}
	k.digest, k.saveAt, k.saving = digest, now.Add(saveEvery), true
	state, reopen := k.saved, k.unsaved
	k.run(func() { k.write(state, reopen) })
}

func (k *knownTargets) write(state codec.KnownTargets, reopen bool) {
	err := k.writeFile(state, reopen)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.saving = false
	if err != nil && !k.unsaved {
		k.log.Error(err, "cannot save the known targets; it is tried again")
	}
	if k.unsaved = err != nil; k.unsaved {
		k.digest = 0
	}
}

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
