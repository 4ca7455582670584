package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against acknowledged records that are lost after a disk failed for a
// while and then works again. Writes and syncs fail at random, the log is
// reopened with WithRewrite after each failure, and at the end the host loses
// power.
func TestReopenedLogKeepsAcknowledgedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		folder := newMemFolder()
		log, _, closeLog, err := Open("", WithFolder(folder))
		require.NoError(t, err)
		var acknowledged []string
		snapshot := ""
		for i := range 60 {
			if r.IntN(6) == 0 {
				folder.failAfter = folder.calls + r.IntN(8)
			}
			rec := fmt.Sprint("record-", i)
			err := log.Append([]byte(rec))
			if err == nil {
				acknowledged = append(acknowledged, rec)
				if r.IntN(5) == 0 {
					next := fmt.Sprint("snapshot-", i)
					if err = log.Snapshot([]byte(next)); err == nil {
						snapshot, acknowledged = next, nil
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
					folder.failAfter = folder.calls + r.IntN(12)
					if r.IntN(3) == 0 {
						folder.failAfter = -1
					}
					continue
				}
				// The records of the failed call may or may not have been written.
				snapshot, acknowledged = string(contents.Snapshot), requireAcknowledged(t, contents, snapshot, acknowledged)
				break
			}
			folder.failAfter = -1
		}
		_, contents, _, err := Open("", WithFolder(folder.crash(r)))
		require.NoError(t, err)
		requireAcknowledged(t, contents, snapshot, acknowledged)
	})
}

// requireAcknowledged checks that a log holds all acknowledged records and returns its records.
func requireAcknowledged(t *rapid.T, contents Contents, snapshot string, acknowledged []string) []string {
	got := readAll(contents)
	if string(contents.Snapshot) == snapshot {
		require.GreaterOrEqual(t, len(got), len(acknowledged))
		require.Equal(t, append([]string{}, acknowledged...), append([]string{}, got[:len(acknowledged)]...))
		return got
	}
	// The failed call was a snapshot, which includes all records before it.
	require.Empty(t, got)
	return got
}

// Guards against lost records after a failed sync: a second sync of the same file
// succeeds although the kernel has dropped the pages of the first one, so
// WithRewrite must write the records to a new file.
func TestReopenAfterFailedSyncRewritesLog(t *testing.T) {
	folder := newMemFolder()
	log, _, closeLog, err := Open("", WithFolder(folder))
	require.NoError(t, err)
	require.NoError(t, log.Append([]byte("one")))
	folder.failAfter = folder.calls + 1 // the write succeeds, its sync fails
	require.Error(t, log.Append([]byte("two")))
	require.NoError(t, closeLog())
	folder.failAfter = -1
	log, contents, _, err := Open("", WithFolder(folder), WithRewrite())
	require.NoError(t, err)
	require.Equal(t, []string{"one", "two"}, readAll(contents))
	require.NoError(t, log.Append([]byte("three")))

	after := folder.crash(rand.New(rand.NewPCG(1, 1)))
	_, contents, _, err = Open("", WithFolder(after))
	require.NoError(t, err)
	require.Equal(t, []string{"one", "two", "three"}, readAll(contents))
}
