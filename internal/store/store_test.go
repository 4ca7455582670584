package store

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var errInjected = errors.New("injected fault")

// memFile is a file in memory that loses unsynced data when its folder crashes.
type memFile struct {
	folder *memFolder
	data   []byte
	// synced is the content that survives a crash.
	synced []byte
	// hasFailedSync is set after a failed sync: reads still return all data, but
	// data that was not synced by then never reaches the disk.
	hasFailedSync bool
}

// memFolder is a Folder in memory with injected faults. Its live files are those
// that processes see, its durable files those at the last sync of the folder.
// Calls fail once there were more than failAfter of them, or never if it is -1.
type memFolder struct {
	live, durable    map[string]*memFile
	calls, failAfter int
	syncs            int
}

func newMemFolder() *memFolder {
	return &memFolder{live: map[string]*memFile{}, durable: map[string]*memFile{}, failAfter: -1}
}

// fault counts a call and returns errInjected if the call must fail.
func (m *memFolder) fault() error {
	m.calls++
	if m.failAfter >= 0 && m.calls > m.failAfter {
		return errInjected
	}
	return nil
}

func (m *memFolder) Lock() (func() error, error) { return func() error { return nil }, nil }

func (m *memFolder) List() ([]string, error) { return slices.Sorted(maps.Keys(m.live)), nil }

func (m *memFolder) Read(name string) ([]byte, error) {
	f, err := m.get(name)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(f.data), nil
}

func (m *memFolder) Reader(name string) (Reader, error) { return m.get(name) }

func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	return bytes.NewReader(f.data).ReadAt(p, off)
}

func (f *memFile) Size() (int64, error) { return int64(len(f.data)), nil }

func (m *memFolder) get(name string) (*memFile, error) {
	if f, ok := m.live[name]; ok {
		return f, nil
	}
	return nil, fmt.Errorf("file %q does not exist", name)
}

func (m *memFolder) Create(name string) (File, error) {
	if err := m.fault(); err != nil {
		return nil, err
	}
	m.live[name] = &memFile{folder: m}
	return m.live[name], nil
}

func (m *memFolder) Open(name string) (File, error) { return m.get(name) }

func (m *memFolder) Rename(from, to string) error {
	if err := m.fault(); err != nil {
		return err
	}
	m.live[to] = m.live[from]
	delete(m.live, from)
	return nil
}

func (m *memFolder) Remove(name string) error {
	delete(m.live, name)
	return m.fault()
}

func (m *memFolder) Sync() error {
	if err := m.fault(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.live)
	return nil
}

// Write writes half of p if it fails.
func (f *memFile) Write(p []byte) (int, error) {
	if err := f.folder.fault(); err != nil {
		half := len(p) / 2
		f.data = append(f.data, p[:half]...)
		return half, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	f.folder.syncs++
	if err := f.folder.fault(); err != nil {
		f.hasFailedSync = true
		return err
	}
	if !f.hasFailedSync {
		f.synced = bytes.Clone(f.data)
	}
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return f.folder.fault()
}

func (f *memFile) Close() error { return nil }

// crash returns the folder as a host finds it after losing power: either the file
// names of the last sync or the current ones, and of each file the synced data,
// followed by a part of the unsynced data in which some sectors read as zeros.
func (m *memFolder) crash(r *rand.Rand) *memFolder {
	names := m.durable
	if r.IntN(2) == 0 {
		names = m.live
	}
	after := newMemFolder()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		f := names[name]
		data := bytes.Clone(f.synced)
		if len(f.data) > len(f.synced) {
			tail := bytes.Clone(f.data[len(f.synced):][:r.IntN(len(f.data)-len(f.synced)+1)])
			data = append(data, loseSectors(r, tail, len(f.synced))...)
		}
		after.live[name] = &memFile{folder: after, data: data, synced: data}
	}
	after.durable = maps.Clone(after.live)
	return after
}

// loseSectors clears random sectors of tail, which starts at an offset in its file.
func loseSectors(r *rand.Rand, tail []byte, offset int) []byte {
	for i := 0; i < len(tail); {
		end := min(len(tail), i+sectorSize-(offset+i)%sectorSize)
		if r.IntN(3) == 0 {
			clear(tail[i:end])
		}
		i = end
	}
	return tail
}

// Guards against an acknowledged record that is lost, reordered or damaged by
// a fault or crash at any call, and against recovered records that nobody appended.
func TestCrashKeepsAcknowledgedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		folder := newMemFolder()
		var acked, attempted []string
		snapshots := map[string]int{"": 0}
		for run := range 3 {
			folder.failAfter = r.IntN(60)
			log, contents, closeLog, err := Open("", WithFolder(folder))
			if err == nil {
				got := readAll(contents)
				base, ok := snapshots[string(contents.Snapshot)]
				require.True(t, ok, "unknown snapshot")
				got = append(slices.Clone(attempted[:base]), got...)
				require.GreaterOrEqual(t, len(got), len(acked))
				require.Equal(t, attempted[:len(got)], got)
				attempted, acked = got, slices.Clone(got)
				for i := range 20 {
					rec := fmt.Sprintf("%d-%d-%s", run, i, bytes.Repeat([]byte("x"), r.IntN(1500)))
					attempted = append(attempted, rec)
					if err = log.Append([]byte(rec)); err != nil {
						break
					}
					acked = slices.Clone(attempted)
					if r.IntN(8) == 0 {
						snap := fmt.Sprintf("snap-%d-%d", run, i)
						snapshots[snap] = len(attempted)
						err = log.Snapshot([]byte(snap))
						if err != nil {
							break
						}
					}
				}
				if err != nil {
					require.True(t, IsErrWriteFailed(err))
					require.True(t, IsErrWriteFailed(log.Append([]byte("later"))), "a failed store must stay failed")
				}
				require.NoError(t, closeLog())
			} else {
				require.ErrorIs(t, err, errInjected)
			}
			folder = folder.crash(r)
		}
	})
}

// readAll returns the records of the contents as strings.
func readAll(c Contents) []string {
	var all []string
	for _, r := range c.Records {
		all = append(all, string(r))
	}
	return all
}

// Guards against writes that succeed after a sync has failed: a second sync
// succeeds although the data of the first one is lost.
func TestFailedSyncIsFinal(t *testing.T) {
	folder := newMemFolder()
	log, contents, _, err := Open("", WithFolder(folder))
	require.NoError(t, err)
	require.True(t, contents.Empty)
	folder.failAfter = folder.calls + 1
	require.True(t, IsErrWriteFailed(log.Append([]byte("a"))))
	folder.failAfter = -1
	require.True(t, IsErrWriteFailed(log.Append([]byte("b"))))
	require.True(t, IsErrWriteFailed(log.Snapshot([]byte("c"))))
	require.True(t, IsErrTooLarge(log.Append(make([]byte, MaxRecordBytes+1))))
}

// Guards against two processes in one folder, and against a folder that cannot be
// opened again after a clean close.
func TestDiskFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	log, contents, closeLog, err := Open(dir)
	require.NoError(t, err)
	require.True(t, contents.Empty)
	_, _, _, err = Open(dir)
	require.True(t, IsErrLocked(err))
	require.NoError(t, log.Append([]byte("a"), nil, []byte("b")))
	require.NoError(t, log.Snapshot([]byte("s")))
	require.NoError(t, log.Append([]byte("c")))
	require.NoError(t, closeLog())
	require.True(t, IsErrWriteFailed(log.Append([]byte("d"))))
	_, contents, closeLog, err = Open(dir)
	require.NoError(t, err)
	require.Equal(t, Contents{Snapshot: []byte("s"), Records: [][]byte{[]byte("c")}}, contents)
	require.NoError(t, closeLog())
}

// Guards against concurrent appends that lose a record or that do not share syncs.
func TestConcurrentAppendsShareSyncs(t *testing.T) {
	dir := t.TempDir()
	log, _, closeLog, err := Open(dir)
	require.NoError(t, err)
	const callers, each = 32, 8
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for i := range each {
				if err := log.Append(fmt.Appendf(nil, "%d-%d", c, i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	require.Less(t, log.nextSeq, uint64(callers*each))
	require.NoError(t, closeLog())
	_, contents, closeLog, err := Open(dir)
	require.NoError(t, err)
	require.Len(t, contents.Records, callers*each)
	require.NoError(t, closeLog())
}

// newSampleLog returns a folder with a snapshot and a log of three frames of one
// record each, the name of the log file and the three records.
func newSampleLog(t require.TestingT) (*memFolder, string, []string) {
	folder := newMemFolder()
	log, _, _, err := Open("", WithFolder(folder))
	require.NoError(t, err)
	require.NoError(t, log.Append([]byte("old")))
	require.NoError(t, log.Snapshot([]byte("snapshot")))
	records := []string{"first", string(bytes.Repeat([]byte("second"), 200)), "third"}
	for _, r := range records {
		require.NoError(t, log.Append([]byte(r)))
	}
	return folder, logName(1), records
}

// FuzzRecover guards against panics and against acknowledged records that are
// dropped without an error: a prefix of the log must yield its complete frames,
// a flipped byte in any file a typed error.
func FuzzRecover(f *testing.F) {
	f.Add(uint16(0), uint16(30), byte(1), true)
	f.Add(uint16(100), uint16(0), byte(0), false)
	f.Add(uint16(9999), uint16(9999), byte(255), false)
	f.Fuzz(func(t *testing.T, cut, flip uint16, mask byte, inSnapshot bool) {
		checkRecovery(t, int(cut), int(flip), mask, inSnapshot)
	})
}

// checkRecovery cuts the log to a length, applies a mask to one byte of the log
// or the snapshot and checks that recovery fails or returns the first records.
func checkRecovery(t *testing.T, cut, flip int, mask byte, inSnapshot bool) {
	folder, name, records := newSampleLog(t)
	log := folder.live[name]
	full := len(log.data)
	cut = min(cut, full)
	log.data = log.data[:cut]
	damaged := log
	if inSnapshot {
		damaged = folder.live[snapshotName]
	}
	flipped := mask != 0 && flip < len(damaged.data)
	if flipped {
		damaged.data[flip] ^= mask
	}
	_, contents, _, err := Open("", WithFolder(folder))
	if err != nil {
		require.True(t, IsErrDamaged(err) || IsErrFormat(err), err.Error())
		require.True(t, flipped || cut < fileHeaderSize, "an intact prefix must be recovered")
		return
	}
	got := readAll(contents)
	require.True(t, slices.Equal(records[:len(got)], got), "%q", got)
	if flipped {
		require.Less(t, cut, full, "a flipped byte among synced frames must be an error")
	}
}

// Guards against the failures that FuzzRecover looks for, with every prefix of
// the log and every flipped byte, which random inputs would reach late.
func TestRecoveryAtEveryByte(t *testing.T) {
	folder, name, _ := newSampleLog(t)
	full := len(folder.live[name].data)
	for i := range full {
		checkRecovery(t, i, 0, 0, false)
		checkRecovery(t, full, i, 1<<(i%8), false)
		checkRecovery(t, full, i, 0xff, true)
	}
}

// BenchmarkAppend measures synced appends by one caller and by many that share syncs.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log, _, closeLog, err := Open(b.TempDir())
			require.NoError(b, err)
			record := make([]byte, 200)
			var group sync.WaitGroup
			b.ResetTimer()
			for c := range callers {
				group.Go(func() {
					for i := c; i < b.N; i += callers {
						if err := log.Append(record); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
			require.NoError(b, closeLog())
		})
	}
}

// BenchmarkRecover measures opening a folder with 10,000 records, with and without a snapshot.
func BenchmarkRecover(b *testing.B) {
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("changes=10000/snapshot=%t", snapshot), func(b *testing.B) {
			dir := b.TempDir()
			log, _, closeLog, err := Open(dir)
			require.NoError(b, err)
			record := make([]byte, 200)
			for range 10_000 {
				require.NoError(b, log.Append(record))
			}
			if snapshot {
				require.NoError(b, log.Snapshot(make([]byte, 10_000*100)))
			}
			require.NoError(b, closeLog())
			for b.Loop() {
				_, _, closeLog, err := Open(dir)
				require.NoError(b, err)
				require.NoError(b, closeLog())
			}
		})
	}
}
