package node

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// fullDisk is a folder that refuses every write while it is full.
type fullDisk struct {
	store.Folder
	full *atomic.Bool
}

// newFullDisk returns a folder that is not full yet, and the option that makes
// a store use it.
func newFullDisk(t *testing.T, dir string) (fullDisk, store.Option) {
	t.Helper()
	folder, err := store.NewFolder(dir)
	require.NoError(t, err)
	d := fullDisk{Folder: folder, full: &atomic.Bool{}}
	return d, store.WithFolder(d)
}

func (d fullDisk) Create(name string) (store.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.Folder.Create(name)
	return fullFile{File: f, full: d.full}, err
}

func (d fullDisk) Open(name string) (store.File, error) {
	f, err := d.Folder.Open(name)
	return fullFile{File: f, full: d.full}, err
}

// fullFile is a file of a fullDisk. Its writes fail while the disk is full.
type fullFile struct {
	store.File
	full *atomic.Bool
}

func (f fullFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// Guards against a seat that, once its disk was full, grants no shard until its
// process is restarted: three of five such seats left shards without owners.
func TestSeatPersistsGrantsAgainAfterAFullDisk(t *testing.T) {
	dir := t.TempDir()
	disk, opt := newFullDisk(t, filepath.Join(dir, seatFolder))
	m, _, closeFile, err := openSeatStore(dir, logr.Discard(), opt)
	require.NoError(t, err)
	var persistedNumber atomic.Uint64
	m.writes = newDiskQueue(m.write, func(s seatWrite) { persistedNumber.Store(s.persist.Number) }, m.handleDiskError)
	m.writes.reopen = m.reopen
	tree, stop := super.New("test")
	t.Cleanup(stop)
	tree.Go("seat", m.writes.run)
	persist := func(number uint64, shard model.ShardID, epoch model.Epoch) {
		m.writes.add(seatWrite{persist: lease.PersistGrants{Number: number, Grants: []proto.Owner{{Shard: shard, Host: "a", Epoch: epoch}}}})
	}

	persist(1, 1, 10)
	require.Eventually(t, func() bool { return persistedNumber.Load() == 1 }, 5*time.Second, time.Millisecond)
	disk.full.Store(true)
	persist(2, 2, 20)
	time.Sleep(2 * reopenInterval)
	persist(3, 3, 30)
	require.Equal(t, uint64(1), persistedNumber.Load(), "a grant is confirmed only once it is on the disk")
	disk.full.Store(false)
	require.Eventually(t, func() bool {
		persist(4, 4, 40)
		return persistedNumber.Load() == 4
	}, 5*time.Second, 50*time.Millisecond)
	stop()
	require.NoError(t, closeFile())

	_, persisted, closeFile, err := openSeatStore(dir, logr.Discard())
	require.NoError(t, err)
	defer func() { require.NoError(t, closeFile()) }()
	require.Equal(t, []proto.Owner{
		{Shard: 1, Host: "a", Epoch: 10}, {Shard: 2, Host: "a", Epoch: 20}, {Shard: 3, Host: "a", Epoch: 30}, {Shard: 4, Host: "a", Epoch: 40},
	}, persisted.Grants, "also grants that were made while the disk was full")
}

// Guards against a control host that takes no part in control until its process
// is restarted, once its disk was full, and against an accepted change that it loses.
func TestControlTakesPartAgainAfterAFullDisk(t *testing.T) {
	dir := t.TempDir()
	disk, opt := newFullDisk(t, filepath.Join(dir, logFolder))
	hosts := []model.HostID{"c1"}
	setup := controlSetup{
		self: proto.Member{Host: "c1", Incarnation: 1}, dataDir: dir, timing: lease.DefaultTiming(), controls: hosts, seats: hosts, createFleet: true,
		log: logr.Discard(), send: func(model.HostID, proto.Message) {}, learnMembers: func([]proto.Member) {}, background: func(task func()) { task() },
		storeOpts: []store.Option{opt},
	}
	c, stopLog, err := openControl(setup)
	require.NoError(t, err)
	tree, stop := super.New("test")
	t.Cleanup(stop)
	tree.Go("log", c.logWrites.run)
	tree.Go("ticks", func(ctx context.Context) error {
		for ctx.Err() == nil {
			c.tick()
			time.Sleep(5 * time.Millisecond)
		}
		return nil
	})
	has := func(ws model.WorkspaceID) bool {
		cfg := c.appliedConfig()
		_, ok := cfg.Workspaces.Get(ws)
		return ok
	}
	propose := func(id model.ChangeID, ws model.WorkspaceID) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := c.propose(ctx, model.Proposal{ID: id, Base: c.appliedConfig().Version, Change: model.CreateWorkspace{Workspace: ws}})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return c.Ready() == nil }, 10*time.Second, 5*time.Millisecond)
	propose("a", "w1")
	require.Eventually(t, func() bool { return has("w1") }, 10*time.Second, 5*time.Millisecond)

	disk.full.Store(true)
	propose("b", "w2")
	require.Eventually(t, func() bool { return c.Ready() != nil }, 10*time.Second, 5*time.Millisecond)
	time.Sleep(2 * reopenInterval)
	require.Error(t, c.Ready(), "the disk is full still")
	disk.full.Store(false)
	require.Eventually(t, func() bool { return c.Ready() == nil }, 10*time.Second, 5*time.Millisecond)
	// Change "b" may be committed only now. A proposal based on the version before
	// it is refused as a conflict, so it is proposed again when the version moves.
	var base model.Version
	proposals := 0
	require.Eventually(t, func() bool {
		if has("w3") {
			return true
		}
		if v := c.appliedConfig().Version; proposals == 0 || v != base {
			base = v
			proposals++
			propose(model.ChangeID(fmt.Sprintf("c%d", proposals)), "w3")
		}
		return false
	}, 10*time.Second, 5*time.Millisecond)
	require.True(t, has("w1"))
	stop()
	require.NoError(t, stopLog())
}

// Guards against targets that have left and are used again after a restart,
// because the list on the disk was no longer written once the disk had been full.
func TestKnownTargetsAreSavedAgainAfterAFullDisk(t *testing.T) {
	dir := t.TempDir()
	disk, opt := newFullDisk(t, filepath.Join(dir, knownFolder))
	var tasks []func()
	later := func(task func()) { tasks = append(tasks, task) }
	open := func(opts ...store.Option) (*knownTargets, func() error) {
		k, closeFile, err := openKnownTargets(0, dir, time.Minute, logr.Discard(), later, opts...)
		require.NoError(t, err)
		return k, closeFile
	}
	k, closeFile := open(opt)
	a := model.Announcement{Service: "s", Target: "t", Addr: "127.0.0.1:1", Slots: 3, Incarnation: 1, State: model.TargetReady}
	at := func(d time.Duration) model.Instant { return model.Instant(restoredCountLifetime + d) }
	due := func(d time.Duration) {
		k.dueMessages(at(d))
		for _, task := range tasks {
			task()
		}
		tasks = nil
	}
	k.recordAnnouncement(at(0), a, "")
	due(2 * time.Second)
	disk.full.Store(true)
	a.State = model.TargetLeaving
	k.recordAnnouncement(at(3*time.Second), a, "")
	due(4 * time.Second)
	disk.full.Store(false)
	due(6 * time.Second)
	require.NoError(t, closeFile())

	k, closeFile = open()
	defer func() { require.NoError(t, closeFile()) }()
	list := k.targets()
	require.Len(t, list, 1)
	require.Equal(t, model.TargetLeaving, list[0].State)
}
