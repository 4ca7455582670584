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

func openMemory(t *testing.T, dir string) (*seatMemory, lease.PersistedState, func()) {
	t.Helper()
	m, memory, closeFile, err := openSeatMemory(dir, logr.Discard())
	require.NoError(t, err)
	m.disk = newPersister(m.write, func(seatSave) {}, m.fail)
	return m, memory, func() { require.NoError(t, closeFile()) }
}

func keepOf(shard model.ShardID, host model.HostID, epoch model.Epoch) seatSave {
	return seatSave{keep: lease.PersistGrants{Number: 1, Grants: []proto.Owner{{Shard: shard, Host: host, Epoch: epoch}}}}
}

// Guards against a seat that forgets a grant or a settled configuration over a
// restart, also after its file was rewritten many times.
func TestSeatMemorySurvivesRestarts(t *testing.T) {
	dir := t.TempDir()
	cfg := model.NewConfig([]model.HostID{"a"}, []model.HostID{"a", "b", "c"}).WithVersion(7)
	m, memory, closeFile := openMemory(t, dir)
	require.Equal(t, lease.PersistedState{}, memory)
	m.note(lease.ConfigChanged{Config: cfg})
	m.note(lease.QuorumsChanged{Version: 7, Lists: [][]model.HostID{cfg.Seats}})
	m.save(1)
	require.NoError(t, m.write(m.disk.take()))
	for i := range model.Epoch(3 * seatRecords) {
		require.NoError(t, m.write([]seatSave{keepOf(3, "a", i+1), keepOf(4, "b", i+2)}))
	}
	closeFile()

	_, memory, closeFile = openMemory(t, dir)
	defer closeFile()
	require.True(t, memory.SeatsSettled)
	require.Equal(t, cfg.Seats, memory.Config.Seats)
	require.Equal(t, model.Version(7), memory.Config.Version)
	require.Equal(t, []proto.Owner{
		{Shard: 3, Host: "a", Epoch: 3 * seatRecords}, {Shard: 4, Host: "b", Epoch: 3*seatRecords + 1},
	}, memory.Grants)
}

// Guards against a configuration that is kept although a change of the seats is
// not in force everywhere yet.
func TestSeatMemoryKeepsOnlySettledConfigurations(t *testing.T) {
	m, _, closeFile := openMemory(t, t.TempDir())
	defer closeFile()
	cfg := model.NewConfig(nil, []model.HostID{"a", "b"}).WithVersion(8)
	m.note(lease.ConfigChanged{Config: cfg})
	m.note(lease.QuorumsChanged{Version: 8, Lists: [][]model.HostID{{"a"}, {"a", "b"}}})
	m.save(1)
	require.Empty(t, m.disk.take())
	m.note(lease.QuorumsChanged{Version: 8, Lists: [][]model.HostID{{"a", "b"}}})
	m.save(2)
	require.Len(t, m.disk.take(), 1)
	m.save(3)
	require.Empty(t, m.disk.take(), "the same version is kept once")
}

// Guards against a torn last record after a power loss that keeps the host from
// starting, or hides the records before it.
func TestSeatMemoryCutsATornRecord(t *testing.T) {
	dir := t.TempDir()
	m, _, closeFile := openMemory(t, dir)
	require.NoError(t, m.write([]seatSave{keepOf(3, "a", 5)}))
	closeFile()
	logs, err := filepath.Glob(filepath.Join(dir, seatFolder, "log-*"))
	require.NoError(t, err)
	require.Len(t, logs, 1)
	f, err := os.OpenFile(logs[0], os.O_WRONLY|os.O_APPEND, 0)
	require.NoError(t, err)
	_, err = f.Write([]byte{9, 0, 0})
	require.NoError(t, err)
	require.NoError(t, f.Close())

	_, memory, closeFile := openMemory(t, dir)
	defer closeFile()
	require.Equal(t, []proto.Owner{{Shard: 3, Host: "a", Epoch: 5}}, memory.Grants)
}
