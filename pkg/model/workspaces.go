package model

import (
	"encoding/binary"
	"fmt"
	"iter"
)

// Flags in the first number of a workspace's record. They are the low
// workspaceFlagBits bits, below the length of the name.
const (
	flagWithdrawn     = 1
	flagHasVersion    = 2
	workspaceFlagBits = 2
)

// Workspaces is an immutable table of workspaces by name. A changed table shares
// memory with the table it was made from.
//
// The names of the returned workspaces are substrings of a chunk of the table.
// Clone a name that is kept for longer than the table, so that it does not keep
// the chunk in memory.
type Workspaces struct{ table table }

// NewWorkspaces returns a table of the listed workspaces. It returns ErrInvalid
// unless they are in ascending order of their names, without duplicates.
func NewWorkspaces(list iter.Seq[Workspace]) (Workspaces, error) {
	b := tableBuilder{layout: workspaceLayout}
	var record []byte
	last, hasLast := WorkspaceID(""), false
	for ws := range list {
		if hasLast && ws.ID <= last {
			return Workspaces{}, unorderedListError("workspaces", string(last), string(ws.ID))
		}
		last, hasLast = ws.ID, true
		record = appendWorkspace(record[:0], ws)
		b.add(record)
	}
	return Workspaces{table: b.finish()}, nil
}

// unorderedListError returns the ErrInvalid for a list with an entry after one that
// is not less than it.
func unorderedListError(field, before, after string) error {
	return ErrInvalid{
		Field: field, Got: fmt.Sprintf("a list with %q before %q", before, after),
		Want: "a list in ascending order without duplicates",
	}
}

// appendWorkspace appends the record of a workspace in workspaceLayout.
func appendWorkspace(data []byte, ws Workspace) []byte {
	head := uint64(len(ws.ID)) << workspaceFlagBits
	if ws.Withdrawn {
		head |= flagWithdrawn
	}
	if ws.WithdrawnAt != 0 {
		head |= flagHasVersion
	}
	data = append(binary.AppendUvarint(data, head), ws.ID...)
	if ws.WithdrawnAt != 0 {
		data = binary.AppendUvarint(data, uint64(ws.WithdrawnAt))
	}
	return data
}

// readWorkspace returns the workspace whose record begins s. Its name is a substring of s.
func readWorkspace(s string) Workspace {
	head, n := uvarint(s)
	end := n + int(head>>workspaceFlagBits)
	ws := Workspace{ID: WorkspaceID(s[n:end]), Withdrawn: head&flagWithdrawn != 0}
	if head&flagHasVersion != 0 {
		at, _ := uvarint(s[end:])
		ws.WithdrawnAt = Version(at)
	}
	return ws
}

// Len returns the number of workspaces.
func (w Workspaces) Len() int { return w.table.n }

// Get returns the workspace with a name. It does not allocate.
func (w Workspaces) Get(id WorkspaceID) (Workspace, bool) {
	s, ok := w.table.get(workspaceLayout, string(id))
	if !ok {
		return Workspace{}, false
	}
	return readWorkspace(s), true
}

// All returns the workspaces in ascending order of their names.
func (w Workspaces) All() iter.Seq[Workspace] {
	return func(yield func(Workspace) bool) {
		w.table.forEach(workspaceLayout, func(record string) bool { return yield(readWorkspace(record)) })
	}
}

// With returns a table with the workspace added, in place of any with the same name.
func (w Workspaces) With(ws Workspace) Workspaces {
	return Workspaces{table: w.table.put(workspaceLayout, string(appendWorkspace(nil, ws)))}
}

// Without returns a table without the workspace that has the name.
func (w Workspaces) Without(id WorkspaceID) Workspaces {
	return Workspaces{table: w.table.without(workspaceLayout, string(id))}
}

// ChangedSince returns the workspaces that are missing or different in an older
// table, in ascending order of their names. Its cost depends on the number of
// changes, because chunks that both tables share are skipped.
func (w Workspaces) ChangedSince(older Workspaces) iter.Seq[Workspace] {
	return func(yield func(Workspace) bool) {
		diffTables(workspaceLayout, older.table, w.table, func(_, after string) bool {
			return after == "" || yield(readWorkspace(after))
		})
	}
}
