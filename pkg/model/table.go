package model

import (
	"encoding/binary"
	"slices"
	"strings"
)

const (
	// maxGroup bounds a group of a table in chunks. A change copies one group
	// and the list of groups, so that a table of 10,000 chunks is changed for
	// about 5 KB instead of 160 KB.
	maxGroup = 128
	// refSize is the size of a keyRef.
	refSize = 4
)

// layout says how the records of a table are stored.
type layout uint8

const (
	// workspaceLayout is a head (uvarint of the name's length and two flags),
	// the name and, if a flag says so, the uvarint of the version that withdrew it.
	workspaceLayout layout = iota + 1
	// keyLayout is the digest, the size of the rest, and the rest: the
	// workspace with its length before it, and the key's name.
	keyLayout
	// refLayout is the four bytes of a keyRef.
	refLayout
)

// maxChunk returns the bound of a chunk in bytes. A lookup reads half a chunk
// and a change copies one, while each chunk costs 16 bytes in its group. The
// short records of workspaces need smaller chunks than those of keys for the
// same number of records.
func (l layout) maxChunk() int {
	if l == workspaceLayout {
		return 1024
	}
	return 2048
}

// record returns the key and the size of the first record of s.
func (l layout) record(s string) (key string, size int) {
	switch l {
	case workspaceLayout:
		head, n := uvarint(s)
		end := n + int(head>>workspaceFlags)
		size = end
		if head&flagVersion != 0 {
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

// uvarint reads what binary.AppendUvarint wrote.
func uvarint(s string) (value uint64, size int) {
	if s[0] < 0x80 {
		return uint64(s[0]), 1
	}
	return longUvarint(s)
}

// longUvarint is apart from uvarint so that the common case is inlined.
func longUvarint(s string) (value uint64, size int) {
	for i := 0; ; i++ {
		value |= uint64(s[i]&0x7f) << (7 * i)
		if s[i] < 0x80 {
			return value, i + 1
		}
	}
}

// uvarintSize returns how many bytes binary.AppendUvarint writes.
func uvarintSize(value int) int {
	var data [binary.MaxVarintLen64]byte
	return binary.PutUvarint(data[:], uint64(value))
}

// table is an immutable list of records in ascending order of their keys.
// Records are packed into chunks, so that they cost no pointers, and chunks
// are listed in groups. A changed table shares all but one or two chunks and
// groups with the table it was made from.
type table struct {
	// groups and their chunks are never empty. The list is nil if the table is empty.
	groups [][]string
	n      int
}

// position is the place of a record. The end of a table is the group behind its last.
type position struct{ group, chunk, offset int }

// ended reports whether p is the end of the table.
func (t table) ended(p position) bool { return p.group == len(t.groups) }

// at returns the chunk of a table from a position on, or "" at the end.
func (t table) at(p position) string {
	if t.ended(p) {
		return ""
	}
	return t.groups[p.group][p.chunk][p.offset:]
}

// after returns the position behind the record of the given size at p.
func (t table) after(p position, size int) position {
	p.offset += size
	if p.offset == len(t.groups[p.group][p.chunk]) {
		return t.nextChunk(p)
	}
	return p
}

// nextChunk returns the start of the chunk behind that of p.
func (t table) nextChunk(p position) position {
	if p.chunk+1 < len(t.groups[p.group]) {
		return position{group: p.group, chunk: p.chunk + 1}
	}
	return position{group: p.group + 1}
}

// seek returns the position of the first record whose key is not less than
// key. A key may be shorter than those of the table; it then stands before
// the keys that it begins.
func (t table) seek(l layout, key string) position {
	lo, hi := 0, len(t.groups)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if first, _ := l.record(t.groups[mid][0]); first < key {
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
		if first, _ := l.record(t.groups[group][mid]); first < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	chunk := t.groups[group][lo-1]
	for offset := 0; offset < len(chunk); {
		k, size := l.record(chunk[offset:])
		if k >= key {
			return position{group: group, chunk: lo - 1, offset: offset}
		}
		offset += size
	}
	return t.nextChunk(position{group: group, chunk: lo - 1})
}

// get returns the chunk from the record with the key on.
func (t table) get(l layout, key string) (string, bool) {
	s := t.at(t.seek(l, key))
	if s == "" {
		return "", false
	}
	k, _ := l.record(s)
	return s, k == key
}

// each calls yield with the records in order until it returns false.
func (t table) each(l layout, yield func(record string) bool) {
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

// insert returns a table with the record before the first one whose key is not less.
func (t table) insert(l layout, record string) table {
	key, _ := l.record(record)
	p := t.seek(l, key)
	// A record between two chunks goes to the end of the first.
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

// put returns a table in which the record stands in place of the one with the same key, if there is one.
func (t table) put(l layout, record string) table {
	key, _ := l.record(record)
	p := t.seek(l, key)
	if s := t.at(p); s != "" {
		if k, size := l.record(s); k == key {
			return t.splice(l, p, size, record, t.n)
		}
	}
	return t.insert(l, record)
}

// without returns a table without the first record of the key.
func (t table) without(l layout, key string) table {
	p := t.seek(l, key)
	s := t.at(p)
	if s == "" {
		return t
	}
	k, size := l.record(s)
	if k != key {
		return t
	}
	return t.splice(l, p, size, "", t.n-1)
}

// splice returns a table of n records in which a record stands in place of size bytes at p.
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
	if last && p.offset == len(old) && len(old)+len(record) > l.maxChunk() {
		// Records that arrive in order fill their chunks.
		chunks = []string{old, record}
	} else {
		chunk := old[:p.offset] + record + old[p.offset+size:]
		if to < len(group) && len(chunk) < l.maxChunk()/4 && len(chunk)+len(group[to]) <= l.maxChunk() {
			chunk += group[to]
			to++
		}
		chunks = l.split(chunk)
	}
	group = slices.Concat(group[:from], chunks, group[to:])
	return table{groups: slices.Concat(t.groups[:p.group], splitGroup(group, last), t.groups[p.group+1:]), n: n}
}

// split divides a chunk that is too long. Both parts are copies, so that
// neither keeps the memory of the other.
func (l layout) split(chunk string) []string {
	switch {
	case chunk == "":
		return nil
	case len(chunk) <= l.maxChunk():
		return []string{chunk}
	}
	middle := 0
	for middle < len(chunk)/2 {
		_, size := l.record(chunk[middle:])
		middle += size
	}
	if middle == len(chunk) {
		return []string{chunk}
	}
	return []string{strings.Clone(chunk[:middle]), strings.Clone(chunk[middle:])}
}

// splitGroup divides a group that is too long, the last one of a table so
// that groups that grow in order are full.
func splitGroup(group []string, last bool) [][]string {
	switch {
	case len(group) == 0:
		return nil
	case len(group) <= maxGroup:
		return [][]string{group}
	}
	middle := len(group) / 2
	if last {
		middle = maxGroup
	}
	return [][]string{slices.Clone(group[:middle]), slices.Clone(group[middle:])}
}

// builder makes a table of records that are added in ascending order.
type builder struct {
	layout layout
	table  table
	chunks []string
	open   []byte
}

func (b *builder) add(record []byte) {
	if len(b.open) > 0 && len(b.open)+len(record) > b.layout.maxChunk() {
		b.closeChunk()
	}
	b.open = append(b.open, record...)
	b.table.n++
}

func (b *builder) closeChunk() {
	b.chunks = append(b.chunks, string(b.open))
	b.open = b.open[:0]
	if len(b.chunks) == maxGroup {
		b.closeGroup()
	}
}

func (b *builder) closeGroup() {
	b.table.groups = append(b.table.groups, slices.Clone(b.chunks))
	b.chunks = b.chunks[:0]
}

func (b *builder) finish() table {
	if len(b.open) > 0 {
		b.closeChunk()
	}
	if len(b.chunks) > 0 {
		b.closeGroup()
	}
	b.table.groups = slices.Clip(b.table.groups)
	return b.table
}

// changed calls yield, by ascending key, with each record that only one of
// two tables has or that differs between them; "" stands for a record that is
// missing. What both tables share is skipped. Each key occurs once in a table.
func changed(l layout, before, after table, yield func(before, after string) bool) {
	var p, q position
	for !before.ended(p) || !after.ended(q) {
		if skipShared(before, after, &p, &q) {
			continue
		}
		a, b := firstRecord(l, before.at(p)), firstRecord(l, after.at(q))
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
			p = before.after(p, len(a))
		}
		if b != "" {
			q = after.after(q, len(b))
		}
	}
}

// skipShared moves two positions behind a group or chunk that both tables have
// there, and reports whether they do.
func skipShared(before, after table, p, q *position) bool {
	if before.ended(*p) || after.ended(*q) || p.offset > 0 || q.offset > 0 {
		return false
	}
	g, h := before.groups[p.group], after.groups[q.group]
	if p.chunk == 0 && q.chunk == 0 && len(g) == len(h) && &g[0] == &h[0] {
		p.group++
		q.group++
		return true
	}
	// Shared chunks have the same address, which the comparison of strings tests first.
	if g[p.chunk] != h[q.chunk] {
		return false
	}
	*p, *q = before.nextChunk(*p), after.nextChunk(*q)
	return true
}

// firstRecord returns the first record of s, or "".
func firstRecord(l layout, s string) string {
	if s == "" {
		return ""
	}
	_, size := l.record(s)
	return s[:size]
}

// compareRecords orders records by key and puts a missing one last.
func compareRecords(l layout, a, b string) int {
	switch {
	case a == "":
		return 1
	case b == "":
		return -1
	}
	ka, _ := l.record(a)
	kb, _ := l.record(b)
	return strings.Compare(ka, kb)
}
