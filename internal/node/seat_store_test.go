package node

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func openTestSeatStore(t *testing.T, dir string) (*seatStore, lease.PersistedState, func()) {
	t.Helper()
	m, persisted, closeFile, err := openSeatStore(dir, logr.Discard())
	require.NoError(t, err)
	m.writes = newDiskQueue(m.write, func(seatWrite) {}, m.handleDiskError)
	return m, persisted, func() { require.NoError(t, closeFile()) }
}

func writeOf(shard model.ShardID, host model.HostID, epoch model.Epoch) seatWrite {
	return seatWrite{persist: lease.PersistGrants{Number: 1, Grants: []proto.Owner{{Shard: shard, Host: host, Epoch: epoch}}}}
}

// Guards against a store that loses a grant or a settled configuration over a
// restart, also after its file was rewritten many times.
func TestSeatStoreSurvivesRestarts(t *testing.T) {
	dir := t.TempDir()
	cfg := model.NewConfig([]model.HostID{"a"}, []model.HostID{"a", "b", "c"}).WithVersion(7)
	m, persisted, closeFile := openTestSeatStore(t, dir)
	require.Equal(t, lease.PersistedState{}, persisted)
	m.recordEffect(lease.ConfigChanged{Config: cfg})
	m.recordEffect(lease.QuorumsChanged{Version: 7, Lists: [][]model.HostID{cfg.Seats}})
	m.saveConfig(1)
	require.NoError(t, m.write(m.writes.take()))
	for i := range model.Epoch(3 * maxSeatRecords) {
		require.NoError(t, m.write([]seatWrite{writeOf(3, "a", i+1), writeOf(4, "b", i+2)}))
	}
	closeFile()

	_, persisted, closeFile = openTestSeatStore(t, dir)
	defer closeFile()
	require.True(t, persisted.SeatsSettled)
	require.Equal(t, cfg.Seats, persisted.Config.Seats)
	require.Equal(t, model.Version(7), persisted.Config.Version)
	require.Equal(t, []proto.Owner{
		{Shard: 3, Host: "a", Epoch: 3 * maxSeatRecords}, {Shard: 4, Host: "b", Epoch: 3*maxSeatRecords + 1},
	}, persisted.Grants)
}

// Guards against a saved configuration whose change of the seats is not in force
// everywhere yet.
func TestSeatStoreSavesOnlySettledConfigurations(t *testing.T) {
	m, _, closeFile := openTestSeatStore(t, t.TempDir())
	defer closeFile()
	cfg := model.NewConfig(nil, []model.HostID{"a", "b"}).WithVersion(8)
	m.recordEffect(lease.ConfigChanged{Config: cfg})
	m.recordEffect(lease.QuorumsChanged{Version: 8, Lists: [][]model.HostID{{"a"}, {"a", "b"}}})
	m.saveConfig(1)
	require.Empty(t, m.writes.take())
	m.recordEffect(lease.QuorumsChanged{Version: 8, Lists: [][]model.HostID{{"a", "b"}}})
	m.saveConfig(2)
	require.Len(t, m.writes.take(), 1)
	m.saveConfig(3)
	require.Empty(t, m.writes.take(), "the same version is saved once")
}

// Guards against a torn last record after a power failure that prevents the host
// from starting or hides the records before it.
func TestSeatStoreDropsTornRecord(t *testing.T) {
	dir := t.TempDir()
	m, _, closeFile := openTestSeatStore(t, dir)
	require.NoError(t, m.write([]seatWrite{writeOf(3, "a", 5)}))
	closeFile()
	logs, err := filepath.Glob(filepath.Join(dir, seatFolder, "log-*"))
	require.NoError(t, err)
	require.Len(t, logs, 1)
	f, err := os.OpenFile(logs[0], os.O_WRONLY|os.O_APPEND, 0)
	require.NoError(t, err)
	_, err = f.Write([]byte{9, 0, 0})
	require.NoError(t, err)
	require.NoError(t, f.Close())

	_, persisted, closeFile := openTestSeatStore(t, dir)
	defer closeFile()
	require.Equal(t, []proto.Owner{{Shard: 3, Host: "a", Epoch: 5}}, persisted.Grants)
}
