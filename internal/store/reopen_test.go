package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against records that are lost, or acknowledged without being on the
// disk, after a disk refused a write and took writes again: the log is opened
// again at any point, the host loses power at any later one.
func TestReopenedLogKeepsAcknowledgedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		folder := newMemFolder()
		log, _, closeLog, err := Open("", WithFolder(folder))
		require.NoError(t, err)
		var acked []string
		state := ""
		for i := range 60 {
			if r.IntN(6) == 0 {
				folder.failAt = folder.calls + r.IntN(8)
			}
			rec := fmt.Sprint("record-", i)
			err := log.Append([]byte(rec))
			if err == nil {
				acked = append(acked, rec)
				if r.IntN(5) == 0 {
					next := fmt.Sprint("snapshot-", i)
					if err = log.Snapshot([]byte(next)); err == nil {
						state, acked = next, nil
					}
				}
			}
			if err == nil {
				continue
			}
			require.True(t, IsErrWriteFailed(err))
			for {
				require.NoError(t, closeLog())
				var contents Contents
				log, contents, closeLog, err = Open("", WithFolder(folder), WithRewrite())
				if err != nil {
					closeLog = func() error { return nil }
					folder.failAt = folder.calls + r.IntN(12)
					if r.IntN(3) == 0 {
						folder.failAt = -1
					}
					continue
				}
				// What the failed call wrote may be there or not.
				state, acked = string(contents.Snapshot), requireAcked(t, contents, state, acked)
				break
			}
			folder.failAt = -1
		}
		_, contents, _, err := Open("", WithFolder(folder.crash(r)))
		require.NoError(t, err)
		requireAcked(t, contents, state, acked)
	})
}

// requireAcked asks that a log holds what was acknowledged, and returns its records.
func requireAcked(t *rapid.T, contents Contents, state string, acked []string) []string {
	got := readAll(contents)
	if string(contents.Snapshot) == state {
		require.GreaterOrEqual(t, len(got), len(acked))
		require.Equal(t, append([]string{}, acked...), append([]string{}, got[:len(acked)]...))
		return got
	}
	// The failed call was a snapshot, which includes all records before it.
	require.Empty(t, got)
	return got
}

// Guards against a log that counts as sound because a second sync succeeds after
// a failed one, though the pages of the first are gone.
func TestReopenedLogIsWrittenAnew(t *testing.T) {
	folder := newMemFolder()
	log, _, closeLog, err := Open("", WithFolder(folder))
	require.NoError(t, err)
	require.NoError(t, log.Append([]byte("one")))
	folder.failAt = folder.calls + 1 // the write succeeds, its sync fails
	require.Error(t, log.Append([]byte("two")))
	require.NoError(t, closeLog())
	folder.failAt = -1
	log, contents, _, err := Open("", WithFolder(folder), WithRewrite())
	require.NoError(t, err)
	require.Equal(t, []string{"one", "two"}, readAll(contents))
	require.NoError(t, log.Append([]byte("three")))

	after := folder.crash(rand.New(rand.NewPCG(1, 1)))
	_, contents, _, err = Open("", WithFolder(after))
	require.NoError(t, err)
	require.Equal(t, []string{"one", "two", "three"}, readAll(contents))
}
