package node

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// logFleet runs the configuration logs of control hosts with disks that can be full.
// Seats answer at once.
type logFleet struct {
	hosts    []*controlHost
	full     []*atomic.Bool
	messages pond.Pool
	// cut holds the hosts that lose all messages.
	cut sync.Map
}

func newLogFleet(t *testing.T, hosts int) *logFleet {
	f := &logFleet{messages: pond.NewPool(1)}
	var ids []model.HostID
	for i := range hosts {
		ids = append(ids, model.HostID(fmt.Sprintf("c%d", i)))
	}
	tree, stop := super.New("test")
	var closers []func() error
	for i, id := range ids {
		dir := t.TempDir()
		disk, opt := newFullDisk(t, filepath.Join(dir, logFolder))
		c, closeLog, err := openControl(controlSetup{
			self: proto.Member{Host: id, Incarnation: model.Incarnation(i + 1)}, dataDir: dir, timing: lease.DefaultTiming(),
			controls: ids, seats: ids, createFleet: true, log: logr.Discard(), learnMembers: func([]proto.Member) {},
			send:       func(to model.HostID, m proto.Message) { f.send(id, to, m) },
			background: func(task func()) { tree.Go("background", func(context.Context) error { task(); return nil }) },
			storeOpts:  []store.Option{opt},
		})
		require.NoError(t, err)
		f.hosts, f.full, closers = append(f.hosts, c), append(f.full, disk.full), append(closers, closeLog)
	}
	for _, c := range f.hosts {
		tree.Go("log", c.logWrites.run)
		tree.Go("ticks", func(ctx context.Context) error {
			ticker := time.NewTicker(20 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-ticker.C:
					c.tick()
				}
			}
		})
	}
	t.Cleanup(func() {
		stop()
		f.messages.StopAndWait()
		for _, closeLog := range closers {
			require.NoError(t, closeLog())
		}
	})
	return f
}

// send delivers a message in the order of sending.
func (f *logFleet) send(from, to model.HostID, m proto.Message) {
	f.messages.Submit(func() {
		_, fromCut := f.cut.Load(from)
		_, toCut := f.cut.Load(to)
		if fromCut || toCut && to != from {
			return
		}
		if m, ok := m.(proto.SeatStage); ok {
			f.host(from).receive(to, proto.SeatStageReply{Term: m.Term, HeldVersion: m.Newest, Incarnation: 1, Round: m.Round})
			return
		}
		f.host(to).receive(from, m)
	})
}

func (f *logFleet) host(id model.HostID) *controlHost {
	for _, c := range f.hosts {
		if c.self.Host == id {
			return c
		}
	}
	return nil
}

// change submits a whole configuration to hosts in turn until one accepts it.
func (f *logFleet) change(t *testing.T, revision int, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	p := model.Proposal{ID: model.ChangeID(fmt.Sprintf("change-%d", revision)), Change: model.ReplaceContent{Revision: model.Revision(revision), Document: make([]byte, 10_000)}}
	var last model.Result
	for i := revision; time.Now().Before(end); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		last, _ = f.hosts[i%len(f.hosts)].propose(ctx, p)
		cancel()
		if last.Kind == model.ResultAccepted {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(t, "the change is not accepted", "revision %d: %+v", revision, last)
}

// Guards against changes that are refused or not answered long after the disks of
// control hosts, which were full one after the other, have room again. Before, a host
// whose disk was full took no part in control until its process was restarted.
func TestChangesAreAcceptedAfterDisksWereFullOneAfterAnother(t *testing.T) {
	const ackTime = 4 * time.Second
	f := newLogFleet(t, 5)
	revision := 0
	next := func() {
		revision++
		f.change(t, revision, ackTime)
	}
	next()
	for range 2 {
		for _, full := range f.full {
			full.Store(true)
			for end := time.Now().Add(reopenInterval + 300*time.Millisecond); time.Now().Before(end); {
				next()
			}
			full.Store(false)
			next()
		}
	}
	require.Eventually(t, func() bool {
		for _, c := range f.hosts {
			ok := false
			c.core.read(func(model.Instant) {
				s := c.node.Status()
				ok = (s.Role == ctrl.RoleLeader || s.Role == ctrl.RoleFollower) && c.node.Config().Revision == model.Revision(revision)
			})
			if !ok {
				return false
			}
		}
		return true
	}, ackTime, 20*time.Millisecond, "all hosts take part again and hold the newest change")
	for range f.hosts {
		next()
	}
}

// Guards against a control host that returns an older configuration than another one
// did before: it was away while changes were accepted and knows no leader. Seed 1 of
// the soak test found this beside load.
func TestHostWithoutALeaderRefusesReads(t *testing.T) {
	f := newLogFleet(t, 5)
	f.change(t, 1, 10*time.Second)
	away := f.hosts[0]
	if f.hosts[1].metrics().Leader == string(away.self.Host) {
		away = f.hosts[1]
	}
	require.Eventually(t, func() bool { return away.appliedConfig().Revision == 1 }, 5*time.Second, 10*time.Millisecond)
	f.cut.Store(away.self.Host, true)
	f.change(t, 2, 10*time.Second)
	require.Eventually(t, func() bool { return away.metrics().Leader == "" }, 5*time.Second, 10*time.Millisecond)
	for range 50 {
		cfg, err := away.Config(t.Context())
		require.Error(t, err, "revision %d is older than the newest accepted one", cfg.Revision)
		time.Sleep(10 * time.Millisecond)
	}
	f.cut.Delete(away.self.Host)
	f.change(t, 3, 10*time.Second)
}
