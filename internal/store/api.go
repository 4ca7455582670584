// Package store keeps records durably in a data folder, in one of two layouts:
// a Log is one append-only file with a snapshot that replaces older records,
// and Segments are numbered files that are deleted as a whole. All contents are
// checksummed, and an append returns only after its sync. A lock file keeps a
// second process out of the folder.
package store

// Store is an open data folder that holds a snapshot and the records appended
// since. It is safe for concurrent use; concurrent appends share one sync.
type Store interface {
	// Append writes records in order and returns once they are synced. After a
	// failed write or sync every later call fails with the same kind of error.
	Append(records ...[]byte) error
	// Snapshot atomically replaces the snapshot and drops all records appended before the call.
	Snapshot(data []byte) error
}

// Contents holds what Open found in a data folder.
type Contents struct {
	// Empty is set if the folder held no store, so that Open created one.
	Empty bool
	// Snapshot is nil if none was written yet.
	Snapshot []byte
	// Records were appended after the snapshot, oldest first.
	Records [][]byte
	// TornBytes counts the bytes of an unfinished last append that Open cut off.
	TornBytes int64
}
