package model

import (
	"encoding/binary"
	"fmt"
	"iter"
)

// Flags in the head of a workspace's record, below the length of its name.
const (
	flagWithdrawn  = 1
	flagVersion    = 2
	workspaceFlags = 2
)

// Workspaces is an immutable table of workspaces by name. A changed table
// shares its memory with the one it was made from.
//
// The names of the workspaces that it returns share the memory of a chunk;
// clone a name that is kept for longer than the table.
type Workspaces struct{ table table }

// NewWorkspaces returns the table of workspaces that are listed by ascending name.
// It returns ErrInvalid if they are not.
func NewWorkspaces(list iter.Seq[Workspace]) (Workspaces, error) {
	b := builder{layout: workspaceLayout}
	var record []byte
	last, some := WorkspaceID(""), false
	for ws := range list {
		if some && ws.ID <= last {
			return Workspaces{}, unordered("workspaces", string(last), string(ws.ID))
		}
		last, some = ws.ID, true
		record = appendWorkspace(record[:0], ws)
		b.add(record)
	}
	return Workspaces{table: b.finish()}, nil
}

func unordered(field, before, after string) error {
	return ErrInvalid{
		Field: field, Got: fmt.Sprintf("a list with %q before %q", before, after),
		Want: "a list in ascending order without duplicates",
	}
}

func appendWorkspace(data []byte, ws Workspace) []byte {
	head := uint64(len(ws.ID)) << workspaceFlags
	if ws.Withdrawn {
		head |= flagWithdrawn
	}
	if ws.WithdrawnAt != 0 {
		head |= flagVersion
	}
	data = append(binary.AppendUvarint(data, head), ws.ID...)
	if ws.WithdrawnAt != 0 {
		data = binary.AppendUvarint(data, uint64(ws.WithdrawnAt))
	}
	return data
}

// readWorkspace reads the workspace at the start of s.
func readWorkspace(s string) Workspace {
	head, n := uvarint(s)
	end := n + int(head>>workspaceFlags)
	ws := Workspace{ID: WorkspaceID(s[n:end]), Withdrawn: head&flagWithdrawn != 0}
	if head&flagVersion != 0 {
		at, _ := uvarint(s[end:])
		ws.WithdrawnAt = Version(at)
	}
	return ws
}

// Len returns the number of workspaces.
func (w Workspaces) Len() int { return w.table.n }

// Get returns a workspace by its name. It does not allocate.
func (w Workspaces) Get(id WorkspaceID) (Workspace, bool) {
	s, ok := w.table.get(workspaceLayout, string(id))
	if !ok {
		return Workspace{}, false
	}
	return readWorkspace(s), true
}

// All returns the workspaces by ascending name.
func (w Workspaces) All() iter.Seq[Workspace] {
	return func(yield func(Workspace) bool) {
		w.table.each(workspaceLayout, func(record string) bool { return yield(readWorkspace(record)) })
	}
}

// With returns a table that has the workspace in place of the one of the same name, if there is one.
func (w Workspaces) With(ws Workspace) Workspaces {
	return Workspaces{table: w.table.put(workspaceLayout, string(appendWorkspace(nil, ws)))}
}

// Without returns a table without the workspace of a name.
func (w Workspaces) Without(id WorkspaceID) Workspaces {
	return Workspaces{table: w.table.without(workspaceLayout, string(id))}
}

// ChangedSince returns, by ascending name, the workspaces that an older table
// lacks or has otherwise. What both tables share is skipped.
func (w Workspaces) ChangedSince(older Workspaces) iter.Seq[Workspace] {
	return func(yield func(Workspace) bool) {
		changed(workspaceLayout, older.table, w.table, func(_, after string) bool {
			return after == "" || yield(readWorkspace(after))
		})
	}
}
