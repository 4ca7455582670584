package store

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// openTestSegments opens a folder of segments. It returns the records that
// OpenSegments passed to visit, by position and in order.
func openTestSegments(f Folder) (*Segments, map[Position]string, []string, SegmentContents, error) {
	at, all := map[Position]string{}, []string{}
	s, contents, _, err := OpenSegments("", func(p Position, rec []byte) error {
		at[p] = string(rec)
		all = append(all, string(rec))
		return nil
	}, WithFolder(f))
	return s, at, all, contents, err
}

// Guards against lost, reordered or invented records after a loss of power at
// any point, and against a position or cursor that returns the wrong record.
func TestSegmentsSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFolder()
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		synced, unconfirmed := []string{}, []string(nil)
		state := ""
		for run := range rapid.IntRange(1, 4).Draw(t, "lives") {
			s, at, all, contents, err := openTestSegments(m)
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(all), len(synced))
			require.Equal(t, synced, all[:len(synced):len(synced)])
			require.Equal(t, all, append(slices.Clone(synced), unconfirmed...)[:len(all)])
			if state != "" {
				require.Contains(t, state, string(contents.State))
			}
			synced, unconfirmed = all, nil
			m.failAfter = m.calls + r.IntN(40)
			for i := range r.IntN(30) {
				var batch []string
				var raw [][]byte
				for k := range 1 + r.IntN(3) {
					rec := fmt.Sprintf("%d-%d-%d-%s", run, i, k, bytes.Repeat([]byte{'x'}, r.IntN(1500)))
					batch, raw = append(batch, rec), append(raw, []byte(rec))
				}
				if r.IntN(8) == 0 {
					err = s.SetState([]byte(fmt.Sprintf("s%d-%d.", run, i)))
					state += fmt.Sprintf("s%d-%d.", run, i)
					if err != nil {
						break
					}
				}
				positions, err := s.Append(uint32(10*run+i/4), raw)
				if err != nil {
					require.True(t, IsErrWriteFailed(err))
					unconfirmed = batch
					break
				}
				synced = append(synced, batch...)
				for k, p := range positions {
					at[p] = batch[k]
				}
			}
			for p, want := range at {
				got, err := s.Read(p)
				require.NoError(t, err)
				require.Equal(t, want, string(got))
			}
			require.Equal(t, synced, scanAll(t, s, r.IntN(5000)))
			m = m.crash(r)
		}
	})
}

// scanAll returns all records of the segments, read by calls of Scan with a limit in bytes.
func scanAll(t require.TestingT, s *Segments, limit int) []string {
	out := []string{}
	var at Cursor
	for done := false; !done; {
		var records [][]byte
		var err error
		records, at, done, err = s.Scan(at, limit)
		require.NoError(t, err)
		for _, rec := range records {
			out = append(out, string(rec))
		}
	}
	return out
}

// newFilledFolder returns a folder with three segments of two records each, and
// the records in order.
func newFilledFolder(t require.TestingT) (*memFolder, []string) {
	m := newMemFolder()
	s, _, _, _, err := openTestSegments(m)
	require.NoError(t, err)
	var want []string
	for i := range 6 {
		rec := fmt.Sprint("record ", i, string(bytes.Repeat([]byte{byte('a' + i)}, 100*i)))
		_, err := s.Append(uint32(7+i/2), [][]byte{[]byte(rec)})
		require.NoError(t, err)
		want = append(want, rec)
	}
	require.NoError(t, s.SetState([]byte("state")))
	return m, want
}

// Guards against a segment that is removed although its number is higher, or that
// is back after the folder is opened again.
func TestRemovedSegmentsStayRemoved(t *testing.T) {
	m, want := newFilledFolder(t)
	s, _, _, contents, err := openTestSegments(m)
	require.NoError(t, err)
	require.Equal(t, "state", string(contents.State))
	for _, number := range []uint32{6, 7, 7} {
		require.NoError(t, s.RemoveThrough(number))
	}
	require.Equal(t, want[2:], scanAll(t, s, 0))
	_, _, all, _, err := openTestSegments(m)
	require.NoError(t, err)
	require.Equal(t, want[2:], all)
	require.NoError(t, s.RemoveThrough(9), "the newest segment stays")
	require.Equal(t, want[4:], scanAll(t, s, 0))
}

// Guards against a folder that opens although a file in it is missing, cut,
// renamed or damaged.
func TestDamagedSegmentFolderIsRefused(t *testing.T) {
	cases := map[string]func(*memFolder){
		"segment missing": func(m *memFolder) { delete(m.live, segmentName(8)) },
		"segment cut at a frame": func(m *memFolder) {
			f := m.live[segmentName(7)]
			f.data = f.data[:len(f.data)-frameHeaderSize-recordLengthSize-checksumSize-108]
		},
		"segment with other name": func(m *memFolder) { m.live[segmentName(10)] = m.live[segmentName(9)] },
		"state":                   func(m *memFolder) { m.live[stateName].data[fileHeaderSize+frameHeaderSize+4] ^= 1 },
		"first frame":             func(m *memFolder) { f := m.live[segmentName(9)]; f.data = f.data[:fileHeaderSize+8] },
		"name":                    func(m *memFolder) { m.live["segment-8"] = m.live[segmentName(9)] },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			m, _ := newFilledFolder(t)
			damage(m)
			_, _, _, _, err := openTestSegments(m)
			require.True(t, IsErrDamaged(err), "%v", err)
			require.ErrorContains(t, err, "restart this host with an empty one")
		})
	}
}

// Guards against a write that succeeds after an earlier one has failed.
func TestFailedSegmentsStayFailed(t *testing.T) {
	m, _ := newFilledFolder(t)
	s, _, _, _, err := openTestSegments(m)
	require.NoError(t, err)
	m.failAfter = m.calls + 1
	_, err = s.Append(9, [][]byte{[]byte("x")})
	require.True(t, IsErrWriteFailed(err))
	m.failAfter = -1
	_, err = s.Append(9, [][]byte{[]byte("x")})
	require.ErrorIs(t, err, errInjected)
	require.True(t, IsErrWriteFailed(s.SetState(nil)))
	require.True(t, IsErrWriteFailed(s.RemoveThrough(7)))
	_, err = s.Append(9, [][]byte{make([]byte, MaxRecordBytes+1)})
	require.True(t, IsErrTooLarge(err))
}

// Guards against the failures that FuzzSegmentRecovery looks for, with a cut and
// a flipped bit at every byte of every file.
func TestSegmentRecoveryAtEveryByte(t *testing.T) {
	m, _ := newFilledFolder(t)
	for file, name := range slices.Sorted(maps.Keys(m.live)) {
		for place := range m.live[name].data {
			checkDamage(t, uint8(file), uint32(place), 0, true)
			checkDamage(t, uint8(file), uint32(place), 1<<(place%8), false)
		}
	}
}

// FuzzSegmentRecovery guards against a panic, and against synced records that
// recovery drops without an error. After a flipped byte or a cut in any file,
// recovery must fail or return all records; only a cut of the newest segment may
// lose records at its end.
func FuzzSegmentRecovery(f *testing.F) {
	f.Add(uint8(2), uint32(0), uint8(1), true)
	f.Add(uint8(2), uint32(60), uint8(255), false)
	f.Add(uint8(0), uint32(400), uint8(7), false)
	f.Fuzz(checkDamage)
}

// checkDamage flips bits of one byte of a file or cuts the file there, and checks
// that recovery fails or returns the records that are left.
func checkDamage(t *testing.T, file uint8, place uint32, flip uint8, cut bool) {
	m, want := newFilledFolder(t)
	name := slices.Sorted(maps.Keys(m.live))[int(file)%len(m.live)]
	data := m.live[name].data
	i := int(place) % len(data)
	if cut {
		m.live[name].data = data[:i]
	} else {
		data[i] ^= flip
	}
	_, _, all, contents, err := openTestSegments(m)
	if err != nil {
		require.True(t, IsErrDamaged(err) || IsErrFormat(err), "%v", err)
		return
	}
	require.Equal(t, want[:len(all)], all)
	require.True(t, len(all) >= 4, "an older segment lost records")
	if len(all) < len(want) {
		require.Equal(t, segmentName(9), name)
		require.True(t, cut, "a flipped byte must not cut synced records")
	}
	require.Equal(t, "state", string(contents.State))
	again, _, second, _, err := openTestSegments(m)
	require.NoError(t, err)
	require.Equal(t, all, second)
	_, err = again.Append(9, [][]byte{[]byte("next")})
	require.NoError(t, err)
	require.Equal(t, append(all, "next"), scanAll(t, again, 0))
}
