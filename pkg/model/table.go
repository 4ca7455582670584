package model

import (
	"encoding/binary"
	"slices"
	"strings"
)

const (
	// maxGroupChunks is the maximum number of chunks in a group of a table. A
	// change copies one group and the list of groups, which is about 5 KB for a
	// table of 10,000 chunks; a list of all chunks would be 160 KB.
	maxGroupChunks = 128
	// refSize is the size of a keyRef in bytes.
	refSize = 4
)

// layout is the format of the records of a table.
type layout uint8

const (
	// workspaceLayout is a uvarint with the length of the name and two flags, the
	// name and, if flagHasVersion is set, the uvarint of the version that withdrew
	// the workspace. The key of the record is the name.
	workspaceLayout layout = iota + 1
	// keyLayout is the digest, the uvarint of the size of the rest, and the rest:
	// the uvarint of the length of the workspace's name, that name, and the name of
	// the key. The key of the record is the digest.
	keyLayout
	// refLayout is the four bytes of a keyRef, which are also the key of the record.
	refLayout
)

// maxChunkBytes returns the maximum size of a chunk of several records. Smaller
// chunks make lookups and changes cheaper, because a lookup reads half a chunk
// on average and a change copies one; larger chunks save memory, because each
// chunk costs 16 bytes in its group. Records of workspaces are shorter than those
// of keys, so smaller chunks hold the same number of them.
func (l layout) maxChunkBytes() int {
	if l == workspaceLayout {
		return 1024
	}
	return 2048
}

// firstKey returns the key of the first record of s and the size of that record in bytes.
func (l layout) firstKey(s string) (key string, size int) {
	switch l {
	case workspaceLayout:
		head, n := uvarint(s)
		end := n + int(head>>workspaceFlagBits)
		size = end
		if head&flagHasVersion != 0 {
			_, n := uvarint(s[end:])
			size += n
		}
		return s[n:end], size
	case keyLayout:
		rest, n := uvarint(s[len(KeyHash{}):])
		return s[:len(KeyHash{})], len(KeyHash{}) + n + int(rest)
	default:
		return s[:refSize], refSize
	}
}

// uvarint decodes the number at the start of s that binary.AppendUvarint encoded,
// and returns its size in bytes.
func uvarint(s string) (value uint64, size int) {
	if s[0] < 0x80 {
		return uint64(s[0]), 1
	}
	return longUvarint(s)
}

// longUvarint decodes numbers of any size. It is separate from uvarint so that the
// compiler inlines the common case of one byte.
func longUvarint(s string) (value uint64, size int) {
	for i := 0; ; i++ {
		value |= uint64(s[i]&0x7f) << (7 * i)
		if s[i] < 0x80 {
			return value, i + 1
		}
	}
}

// uvarintSize returns the number of bytes that binary.AppendUvarint appends for value.
func uvarintSize(value int) int {
	var data [binary.MaxVarintLen64]byte
	return binary.PutUvarint(data[:], uint64(value))
}

// table is an immutable list of records in ascending order of their keys.
// Records are concatenated to chunks, so that they need no pointers, and chunks
// are listed in groups. A changed table shares all chunks and groups but one or
// two with the table it was made from.
type table struct {
	// groups holds the chunks of each group. No group and no chunk is empty, and
	// groups is nil if the table is empty.
	groups [][]string
	// n is the number of records.
	n int
}

// position is the position of a record in a table: the index of its group, the
// index of its chunk in the group, and its offset in the chunk in bytes. The end
// of a table is the position with the index after its last group.
type position struct{ group, chunk, offset int }

// atEnd reports whether p is the end of the table.
func (t table) atEnd(p position) bool { return p.group == len(t.groups) }

// chunkFrom returns the records from p to the end of its chunk, or "" at the end of the table.
func (t table) chunkFrom(p position) string {
	if t.atEnd(p) {
		return ""
	}
	return t.groups[p.group][p.chunk][p.offset:]
}

// next returns the position after the record at p, which has the given size in bytes.
func (t table) next(p position, size int) position {
	p.offset += size
	if p.offset == len(t.groups[p.group][p.chunk]) {
		return t.nextChunk(p)
	}
	return p
}

// nextChunk returns the position of the first record after the chunk of p.
func (t table) nextChunk(p position) position {
	if p.chunk+1 < len(t.groups[p.group]) {
		return position{group: p.group, chunk: p.chunk + 1}
	}
	return position{group: p.group + 1}
}

// seek returns the position of the first record whose key is not less than key. A
// key that is shorter than those of the table is less than all keys that begin
// with it.
func (t table) seek(l layout, key string) position {
	lo, hi := 0, len(t.groups)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if first, _ := l.firstKey(t.groups[mid][0]); first < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 {
		return position{}
	}
	group := lo - 1
	lo, hi = 1, len(t.groups[group])
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if first, _ := l.firstKey(t.groups[group][mid]); first < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	chunk := t.groups[group][lo-1]
	for offset := 0; offset < len(chunk); {
		k, size := l.firstKey(chunk[offset:])
		if k >= key {
			return position{group: group, chunk: lo - 1, offset: offset}
		}
		offset += size
	}
	return t.nextChunk(position{group: group, chunk: lo - 1})
}

// get returns a string that begins with the record that has the key, and whether there is one.
func (t table) get(l layout, key string) (string, bool) {
	s := t.chunkFrom(t.seek(l, key))
	if s == "" {
		return "", false
	}
	k, _ := l.firstKey(s)
	return s, k == key
}

// forEach calls yield with each record in order until yield returns false.
func (t table) forEach(l layout, yield func(record string) bool) {
	for _, group := range t.groups {
		for _, chunk := range group {
			for chunk != "" {
				record := firstRecord(l, chunk)
				if !yield(record) {
					return
				}
				chunk = chunk[len(record):]
			}
		}
	}
}

// insert returns a table with the record added before the first record whose key
// is not less than its own.
func (t table) insert(l layout, record string) table {
	key, _ := l.firstKey(record)
	p := t.seek(l, key)
	// A record between two chunks is appended to the first of them.
	switch {
	case p.offset > 0 || p.group+p.chunk == 0:
	case p.chunk > 0:
		p.chunk--
		p.offset = len(t.groups[p.group][p.chunk])
	default:
		p.group--
		p.chunk = len(t.groups[p.group]) - 1
		p.offset = len(t.groups[p.group][p.chunk])
	}
	return t.splice(l, p, 0, record, t.n+1)
}

// put returns a table with the record added, in place of any with the same key.
func (t table) put(l layout, record string) table {
	key, _ := l.firstKey(record)
	p := t.seek(l, key)
	if s := t.chunkFrom(p); s != "" {
		if k, size := l.firstKey(s); k == key {
			return t.splice(l, p, size, record, t.n)
		}
	}
	return t.insert(l, record)
}

// without returns a table without the first record that has the key.
func (t table) without(l layout, key string) table {
	p := t.seek(l, key)
	s := t.chunkFrom(p)
	if s == "" {
		return t
	}
	k, size := l.firstKey(s)
	if k != key {
		return t
	}
	return t.splice(l, p, size, "", t.n-1)
}

// splice returns a table of n records in which the record, or nothing if it is
// empty, replaces size bytes at p.
func (t table) splice(l layout, p position, size int, record string, n int) table {
	if n == 0 {
		return table{}
	}
	if len(t.groups) == 0 {
		return table{groups: [][]string{{record}}, n: n}
	}
	group := t.groups[p.group]
	from, to := p.chunk, p.chunk+1
	old := group[p.chunk]
	last := p.group+1 == len(t.groups) && to == len(group)
	var chunks []string
	if last && p.offset == len(old) && len(old)+len(record) > l.maxChunkBytes() {
		// Records added in ascending order start a new chunk, which leaves the old one full instead of half full.
		chunks = []string{old, record}
	} else {
		chunk := old[:p.offset] + record + old[p.offset+size:]
		if to < len(group) && len(chunk) < l.maxChunkBytes()/4 && len(chunk)+len(group[to]) <= l.maxChunkBytes() {
			chunk += group[to]
			to++
		}
		chunks = l.split(chunk)
	}
	group = slices.Concat(group[:from], chunks, group[to:])
	return table{groups: slices.Concat(t.groups[:p.group], splitGroup(group, last), t.groups[p.group+1:]), n: n}
}

// split divides a chunk that is too long into two. Both are copies, so that
// neither keeps the memory of the other. It returns nil for an empty chunk.
func (l layout) split(chunk string) []string {
	switch {
	case chunk == "":
		return nil
	case len(chunk) <= l.maxChunkBytes():
		return []string{chunk}
	}
	middle := 0
	for middle < len(chunk)/2 {
		_, size := l.firstKey(chunk[middle:])
		middle += size
	}
	if middle == len(chunk) {
		return []string{chunk}
	}
	return []string{strings.Clone(chunk[:middle]), strings.Clone(chunk[middle:])}
}

// splitGroup divides a group that is too long into two. It splits the last group
// of a table after maxGroupChunks chunks instead of in the middle, so that groups
// are full when records are added in ascending order.
func splitGroup(group []string, last bool) [][]string {
	switch {
	case len(group) == 0:
		return nil
	case len(group) <= maxGroupChunks:
		return [][]string{group}
	}
	middle := len(group) / 2
	if last {
		middle = maxGroupChunks
	}
	return [][]string{slices.Clone(group[:middle]), slices.Clone(group[middle:])}
}

// tableBuilder builds a table from records that are added in ascending order of
// their keys.
type tableBuilder struct {
	layout layout
	// table holds the complete groups and the number of all records.
	table table
	// openGroup holds the complete chunks of the group that is being filled.
	openGroup []string
	// openChunk holds the records of the chunk that is being filled.
	openChunk []byte
}

func (b *tableBuilder) add(record []byte) {
	if len(b.openChunk) > 0 && len(b.openChunk)+len(record) > b.layout.maxChunkBytes() {
		b.closeChunk()
	}
	b.openChunk = append(b.openChunk, record...)
	b.table.n++
}

func (b *tableBuilder) closeChunk() {
	b.openGroup = append(b.openGroup, string(b.openChunk))
	b.openChunk = b.openChunk[:0]
	if len(b.openGroup) == maxGroupChunks {
		b.closeGroup()
	}
}

func (b *tableBuilder) closeGroup() {
	b.table.groups = append(b.table.groups, slices.Clone(b.openGroup))
	b.openGroup = b.openGroup[:0]
}

func (b *tableBuilder) finish() table {
	if len(b.openChunk) > 0 {
		b.closeChunk()
	}
	if len(b.openGroup) > 0 {
		b.closeGroup()
	}
	b.table.groups = slices.Clip(b.table.groups)
	return b.table
}

// diffTables calls yield with each record that differs between two tables, in
// ascending order of the keys, until yield returns false. The missing record of a
// key that only one table has is "". Each key must occur at most once in each
// table. Groups and chunks that both tables share are skipped.
func diffTables(l layout, before, after table, yield func(before, after string) bool) {
	var p, q position
	for !before.atEnd(p) || !after.atEnd(q) {
		if skipShared(before, after, &p, &q) {
			continue
		}
		a, b := firstRecord(l, before.chunkFrom(p)), firstRecord(l, after.chunkFrom(q))
		switch order := compareRecords(l, a, b); {
		case order < 0:
			b = ""
		case order > 0:
			a = ""
		}
		if a != b && !yield(a, b) {
			return
		}
		if a != "" {
			p = before.next(p, len(a))
		}
		if b != "" {
			q = after.next(q, len(b))
		}
	}
}

// skipShared advances both positions past a group or chunk that the two tables
// share, and reports whether there was one.
func skipShared(before, after table, p, q *position) bool {
	if before.atEnd(*p) || after.atEnd(*q) || p.offset > 0 || q.offset > 0 {
		return false
	}
	g, h := before.groups[p.group], after.groups[q.group]
	if p.chunk == 0 && q.chunk == 0 && len(g) == len(h) && &g[0] == &h[0] {
		p.group++
		q.group++
		return true
	}
	// The comparison is cheap for shared chunks: strings with the same address are equal.
	if g[p.chunk] != h[q.chunk] {
		return false
	}
	*p, *q = before.nextChunk(*p), after.nextChunk(*q)
	return true
}

// firstRecord returns the first record of s, or "" if s is empty.
func firstRecord(l layout, s string) string {
	if s == "" {
		return ""
	}
	_, size := l.firstKey(s)
	return s[:size]
}

// compareRecords orders records by key. A missing record, "", comes last.
func compareRecords(l layout, a, b string) int {
	switch {
	case a == "":
		return 1
	case b == "":
		return -1
	}
	ka, _ := l.firstKey(a)
	kb, _ := l.firstKey(b)
	return strings.Compare(ka, kb)
}
