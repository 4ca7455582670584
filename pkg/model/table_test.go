package model

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// tableVersion holds a table of workspaces and a table of keys after some changes,
// with maps of the entries that they should have.
type tableVersion struct {
	workspaces     Workspaces
	keys           Keys
	wantWorkspaces map[WorkspaceID]Workspace
	wantKeys       map[KeyHash]Key
}

// check compares the entries of the tables with the maps, and checks the bounds of groups.
func (v tableVersion) check(t *rapid.T) {
	workspaces := slices.SortedFunc(maps.Values(v.wantWorkspaces), func(a, b Workspace) int { return strings.Compare(string(a.ID), string(b.ID)) })
	keys := slices.SortedFunc(maps.Values(v.wantKeys), func(a, b Key) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	require.Equal(t, workspaces, slices.Collect(v.workspaces.All()))
	require.Equal(t, keys, slices.Collect(v.keys.All()))
	require.Equal(t, len(workspaces), v.workspaces.Len())
	require.Equal(t, len(keys), v.keys.Len())
	for _, tbl := range []table{v.workspaces.table, v.keys.byHash, v.keys.refs} {
		for _, group := range tbl.groups {
			require.NotEmpty(t, group)
			require.LessOrEqual(t, len(group), maxGroupChunks)
			require.NotContains(t, group, "")
		}
	}
}

// drawWorkspace draws one of a few names, some of them long.
func drawWorkspace(t *rapid.T) WorkspaceID {
	name := rapid.StringMatching(`[a-c]{1,2}`).Draw(t, "name")
	// Long names fill a chunk with a few records, so that chunks are split and merged.
	return WorkspaceID(name + strings.Repeat("x", rapid.SampledFrom([]int{0, 9, 300, 2500}).Draw(t, "length")))
}

// drawHash draws one of a few digests.
func drawHash(t *rapid.T) KeyHash {
	// Only the first and the last byte vary, and the first only a little, so that
	// many digests share the prefix that Get searches by.
	return KeyHash{0: byte(rapid.IntRange(0, 3).Draw(t, "first")), 31: byte(rapid.IntRange(0, 20).Draw(t, "last"))}
}

// change returns a copy with one random change made to a table and to its map.
func (v tableVersion) change(t *rapid.T) tableVersion {
	v.wantWorkspaces, v.wantKeys = maps.Clone(v.wantWorkspaces), maps.Clone(v.wantKeys)
	id, hash := drawWorkspace(t), drawHash(t)
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		ws := Workspace{ID: id, Withdrawn: rapid.Bool().Draw(t, "withdrawn"), WithdrawnAt: Version(rapid.Uint64().Draw(t, "at"))}
		v.workspaces, v.wantWorkspaces[id] = v.workspaces.With(ws), ws
	case 1, 2:
		k := Key{ID: KeyID(rapid.StringN(0, 3, -1).Draw(t, "id")), Workspace: id, Hash: hash}
		v.keys, v.wantKeys[hash] = v.keys.With(k), k
	default:
		v.keys = v.keys.Without(hash)
		delete(v.wantKeys, hash)
	}
	return v
}

// Guards against tables that lose, alter or reorder entries, against changes that
// also alter an earlier version through shared memory, and against a comparison
// of two versions that misses a changed workspace or a removed key.
func TestTablesBehaveLikeMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []tableVersion{{wantWorkspaces: map[WorkspaceID]Workspace{}, wantKeys: map[KeyHash]Key{}}}
		for range rapid.IntRange(1, 120).Draw(t, "changes") {
			versions = append(versions, versions[len(versions)-1].change(t))
		}
		for i, v := range versions {
			if i%10 == 0 || i == len(versions)-1 {
				v.check(t)
			}
		}
		last := versions[len(versions)-1]
		old := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "old")]
		last.checkLookups(t)
		last.checkDifference(t, old)
		old.checkDifference(t, last)

		workspaces, err := NewWorkspaces(last.workspaces.All())
		require.NoError(t, err)
		keys, err := NewKeys(last.keys.All())
		require.NoError(t, err)
		tableVersion{workspaces, keys, last.wantWorkspaces, last.wantKeys}.checkDifference(t, old)
		require.Equal(t, slices.Collect(last.keys.All()), slices.Collect(keys.All()))
		require.ElementsMatch(t, refsOf(last.keys), refsOf(keys))
	})
}

// refsOf returns the index records of a table of keys.
func refsOf(k Keys) (refs []string) {
	k.refs.forEach(refLayout, func(ref string) bool {
		refs = append(refs, ref)
		return true
	})
	return refs
}

// checkLookups looks up each entry by each of its indexes.
func (v tableVersion) checkLookups(t *rapid.T) {
	for id, want := range v.wantWorkspaces {
		got, ok := v.workspaces.Get(id)
		require.True(t, ok)
		require.Equal(t, want, got)
	}
	of := map[WorkspaceID][]Key{}
	for k := range v.keys.All() {
		got, ok := v.keys.Get(k.Hash)
		require.True(t, ok)
		require.Equal(t, k, got)
		of[k.Workspace] = append(of[k.Workspace], k)
		found, ok := v.keys.Find(k.Workspace, k.ID)
		require.True(t, ok)
		require.Equal(t, k.ID, found.ID)
	}
	for ws, want := range of {
		require.Equal(t, want, slices.Collect(v.keys.Of(ws)))
	}
	_, ok := v.workspaces.Get("missing")
	require.False(t, ok)
	_, ok = v.keys.Get(KeyHash{0: 1, 30: 1})
	require.False(t, ok)
}

// checkDifference compares ChangedSince and RemovedIn with the differences of the maps.
func (v tableVersion) checkDifference(t *rapid.T, old tableVersion) {
	var workspaces []Workspace
	for ws := range v.workspaces.All() {
		if before, ok := old.wantWorkspaces[ws.ID]; !ok || before != ws {
			workspaces = append(workspaces, ws)
		}
	}
	require.Equal(t, workspaces, slices.Collect(v.workspaces.ChangedSince(old.workspaces)))
	var ended []Key
	for k := range old.keys.All() {
		if after, ok := v.wantKeys[k.Hash]; !ok || after.Workspace != k.Workspace {
			ended = append(ended, k)
		}
	}
	require.Equal(t, ended, slices.Collect(old.keys.RemovedIn(v.keys)))
}

// Guards against tables made from unordered lists, in which the search would not find entries.
func TestTablesRefuseUnorderedLists(t *testing.T) {
	for _, list := range [][]Workspace{{{ID: "b"}, {ID: "a"}}, {{ID: "a"}, {ID: "a"}}, {{ID: ""}, {ID: ""}}} {
		_, err := NewWorkspaces(slices.Values(list))
		require.True(t, IsErrInvalid(err))
	}
	for _, list := range [][]Key{{{Hash: KeyHash{2}}, {Hash: KeyHash{1}}}, {{}, {}}} {
		_, err := NewKeys(slices.Values(list))
		require.True(t, IsErrInvalid(err))
	}
}

// Guards against faults that occur only in tables of several groups, with entries
// added in ascending, descending and mixed order.
func TestTablesOfManyGroups(t *testing.T) {
	const entries = 5003 // a prime number, so that steps of any length reach each entry
	pad := strings.Repeat("x", 400)
	name := func(i int) WorkspaceID { return WorkspaceID(fmt.Sprintf("%05d%s", i, pad)) }
	hash := func(i int) KeyHash { return sha256.Sum256([]byte(name(i))) }
	for step, order := range map[int]string{1: "ascending", entries - 1: "descending", 1999: "mixed"} {
		var workspaces Workspaces
		var keys Keys
		for i := range entries {
			n := i * step % entries
			workspaces = workspaces.With(Workspace{ID: name(n)})
			keys = keys.With(Key{Workspace: name(n), Hash: hash(n)})
		}
		require.Greater(t, len(workspaces.table.groups), 5, order)
		n := 0
		for ws := range workspaces.All() {
			require.Equal(t, name(n), ws.ID, order)
			n++
		}
		require.Equal(t, entries, n, order)
		fewer, withdrawn := keys, workspaces
		for i := 0; i < entries; i += 7 {
			found := slices.Collect(fewer.Of(name(i)))
			require.Equal(t, []Key{{Workspace: name(i), Hash: hash(i)}}, found, order)
			fewer = fewer.Without(hash(i))
			withdrawn = withdrawn.With(Workspace{ID: name(i), Withdrawn: true})
		}
		ended := slices.Collect(keys.RemovedIn(fewer))
		require.Len(t, ended, entries/7+1, order)
		changed := slices.Collect(withdrawn.ChangedSince(workspaces))
		require.Len(t, changed, entries/7+1, order)
		for i := range entries {
			_, ok := fewer.Get(hash(i))
			require.Equal(t, i%7 != 0, ok, order)
			ws, _ := withdrawn.Get(name(i))
			require.Equal(t, i%7 == 0, ws.Withdrawn, order)
		}
		for k := range fewer.All() {
			fewer = fewer.Without(k.Hash)
		}
		require.Equal(t, Keys{}, fewer, order)
	}
}
