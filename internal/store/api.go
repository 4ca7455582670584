// Package store keeps records in an append-only, checksummed file that is
// synced before an append returns, together with an atomically replaced
// snapshot; or in numbered segment files that are deleted as a whole. One
// process holds the lock on a data folder.
package store

// Store is an open data folder. It is safe for concurrent use; concurrent
// appends share one sync.
type Store interface {
	// Append writes records in order and returns once they are synced. After
	// the first error every later call fails with the same kind of error.
	Append(records ...[]byte) error
	// Snapshot atomically replaces the snapshot and drops all records appended before the call.
	Snapshot(data []byte) error
}

// Contents is what a data folder held when it was opened.
type Contents struct {
	// Empty is set when the folder held no store; one was created.
	Empty    bool
	Snapshot []byte
	Records  [][]byte
	// TornBytes counts the bytes of an unfinished last append that were cut.
	TornBytes int64
}
