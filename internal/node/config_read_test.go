package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a control host that returns an empty or older configuration
// after a restart, before it knows which entries of its log were accepted. Seed 1
// of the soak test found this.
func TestRestartedControlHostRefusesUnconfirmedRead(t *testing.T) {
	dir := t.TempDir()
	hosts := []model.HostID{"c1"}
	open := func() (*controlHost, func() error) {
		c, stop, err := openControl(controlSetup{
			self: proto.Member{Host: "c1", Incarnation: 1}, dataDir: dir, timing: lease.DefaultTiming(), controls: hosts, seats: hosts, createFleet: true,
			log: logr.Discard(), send: func(model.HostID, proto.Message) {}, learnMembers: func([]proto.Member) {}, background: func(task func()) { task() },
		})
		require.NoError(t, err)
		return c, stop
	}
	c, stop := open()
	_, err := c.Config(t.Context())
	require.NoError(t, err, "an empty fleet has nothing that could be older")
	empty := c.metrics().CommitIndex
	step := func(until func() bool) {
		require.Eventually(t, func() bool {
			c.tick()
			batch := c.logWrites.take()
			require.NoError(t, c.logWrites.process(batch))
			for _, p := range batch {
				c.logWrites.done(p)
			}
			return until()
		}, 10*time.Second, 5*time.Millisecond)
	}
	step(func() bool { return c.Ready() == nil })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.propose(ctx, model.Proposal{ID: "a", Change: model.CreateWorkspace{Workspace: "w"}})
	require.NoError(t, err)
	step(func() bool { return c.metrics().CommitIndex > empty+1 })
	require.NoError(t, stop())

	c, stop = open()
	defer func() { require.NoError(t, stop()) }()
	_, err = c.Config(t.Context())
	require.ErrorAs(t, err, &admin.ErrUnavailable{})
}
