package node

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/internal/wire"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// largeVersion is the version and the log index of the prepared configuration.
const largeVersion = 10

// largeState returns a function that builds a state with many workspaces, each
// with one key.
func largeState(workspaces int) func(controls, seats []model.HostID) codec.ControlState {
	return func(controls, seats []model.HostID) codec.ControlState {
		cfg := model.NewConfig(controls, seats)
		cfg.Version = largeVersion
		for i := range workspaces {
			id := model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
			key := model.Key{ID: model.KeyID(fmt.Sprintf("key-%06d", i)), Workspace: id, Hash: sha256.Sum256([]byte(id))}
			cfg.Workspaces, cfg.Keys = cfg.Workspaces.With(model.Workspace{ID: id}), cfg.Keys.With(key)
		}
		return codec.ControlState{Config: cfg}
	}
}

// writeState writes a snapshot to the disk of a control host that has not started
// yet.
func (f *fleet) writeState(dataDir string) {
	f.t.Helper()
	data, err := codec.EncodeControlState(f.controlState(hostsOf(f.settings.Controls), hostsOf(f.settings.Seats)))
	require.NoError(f.t, err)
	record, _, err := ctrl.EncodePersist(ctrl.Persist{Term: 1, Snapshot: &ctrl.Snapshot{Index: largeVersion, Term: 1, Data: data}})
	require.NoError(f.t, err)
	log, _, closeLog, err := store.Open(filepath.Join(dataDir, logFolder))
	require.NoError(f.t, err)
	require.NoError(f.t, log.Snapshot(record))
	require.NoError(f.t, closeLog())
}

// readControlMetrics reads the metrics of a control host.
func (f *fleet) readControlMetrics(i int) controlMetrics {
	resp, err := http.Get("http://" + f.controls[i].cfg.Listen.Operators + "/debug/vars")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Control controlMetrics `json:"control"`
	}
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&vars))
	return vars.Control
}

// Guards against a configuration larger than the frame limit that never reaches
// an empty control host, a seat or an entry host. The third control host starts
// with an empty disk. A seat and an entry host are restarted while changes are
// made.
func TestConfigurationAboveTheFrameLimit(t *testing.T) {
	const workspaces = 120_000
	f := startFleet(&fleet{t: t, controlState: largeState(workspaces)}, 6)
	data, err := codec.EncodeConfig(*f.entries[5].host.cfg.Load())
	require.NoError(t, err)
	require.Greater(t, len(data), wire.MaxFrame)

	require.Eventually(t, func() bool {
		// The host counts towards the quorum again only once it holds the whole
		// log.
		c := f.readControlMetrics(2)
		return c.CommitIndex > largeVersion && c.Role != int(ctrl.RoleLearner)
	}, 20*time.Second, 50*time.Millisecond)

	for _, i := range []int{0, 5} {
		require.NoError(t, f.entries[i].stop())
		f.applyChange(model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprintf("while-%d-is-away", i))})
		f.startEntry(f.entries[i])
		v := f.applyChange(model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprintf("while-%d-starts", i))})
		require.Eventually(t, func() bool {
			return f.entries[i].host.Config().Version >= v && f.entries[i].host.Fresh()
		}, 20*time.Second, 50*time.Millisecond)
	}
	f.waitInForce(f.applyChange(model.CreateWorkspace{Workspace: "last"}))
	require.Equal(t, workspaces+6, f.entries[0].host.Config().Workspaces.Len())
}
