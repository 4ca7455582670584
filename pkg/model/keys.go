package model

import (
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"iter"
	"slices"
)

// seekBytes is the part of a digest that Get searches by. It is long enough
// to tell digests apart; the whole digest is then compared in constant time.
const seekBytes = 8

// Keys is an immutable table of keys by digest, with an index by workspace. A
// changed table shares its memory with the one it was made from.
//
// The names in the keys that it returns share the memory of a chunk; clone a
// name that is kept for longer than the table.
type Keys struct {
	byHash table
	// refs has one keyRef for each key, so that the keys of a workspace are
	// found without their names being stored twice.
	refs table
}

// keyRef leads from a workspace to its keys: two bytes of a digest of the
// workspace's name, then the first two bytes of the key's digest. With 320,000
// keys some five share either half, so that Find compares about 25 records.
func keyRef(ws WorkspaceID, hash KeyHash) [refSize]byte {
	var ref [refSize]byte
	binary.BigEndian.PutUint16(ref[:], nameDigest(ws))
	copy(ref[refSize/2:], hash[:])
	return ref
}

// nameDigest is the 32-bit FNV-1a hash of a name, folded to 16 bits.
func nameDigest(ws WorkspaceID) uint16 {
	h := uint32(2166136261)
	for i := range len(ws) {
		h = (h ^ uint32(ws[i])) * 16777619
	}
	return uint16(h>>16) ^ uint16(h)
}

// NewKeys returns the table of keys that are listed by ascending digest. It
// returns ErrInvalid if they are not.
func NewKeys(list iter.Seq[Key]) (Keys, error) {
	b := builder{layout: keyLayout}
	var record []byte
	var refs []uint32
	var last KeyHash
	for k := range list {
		if len(refs) > 0 && slices.Compare(last[:], k.Hash[:]) >= 0 {
			return Keys{}, unordered("keys", fmt.Sprintf("%x", last[:4]), fmt.Sprintf("%x", k.Hash[:4]))
		}
		last = k.Hash
		record = appendKey(record[:0], k)
		b.add(record)
		ref := keyRef(k.Workspace, k.Hash)
		refs = append(refs, binary.BigEndian.Uint32(ref[:]))
	}
	slices.Sort(refs)
	r := builder{layout: refLayout}
	for _, ref := range refs {
		r.add(binary.BigEndian.AppendUint32(record[:0], ref))
	}
	return Keys{byHash: b.finish(), refs: r.finish()}, nil
}

func appendKey(data []byte, k Key) []byte {
	data = append(data, k.Hash[:]...)
	data = binary.AppendUvarint(data, uint64(uvarintSize(len(k.Workspace))+len(k.Workspace)+len(k.ID)))
	data = binary.AppendUvarint(data, uint64(len(k.Workspace)))
	return append(append(data, k.Workspace...), k.ID...)
}

// readKey reads the key at the start of s.
func readKey(s string) Key {
	var k Key
	s = s[copy(k.Hash[:], s):]
	size, n := uvarint(s)
	s = s[n : n+int(size)]
	length, n := uvarint(s)
	end := n + int(length)
	k.Workspace, k.ID = WorkspaceID(s[n:end]), KeyID(s[end:])
	return k
}

// Len returns the number of keys.
func (k Keys) Len() int { return k.byHash.n }

// Get returns the key with a digest. It does not allocate, and it compares
// digests in constant time: the search sees only the first bytes of the
// digest, which a caller that tries keys cannot steer.
func (k Keys) Get(hash KeyHash) (Key, bool) {
	found := ""
	for record := range k.prefixed(hash[:seekBytes]) {
		var stored KeyHash
		copy(stored[:], record)
		if subtle.ConstantTimeCompare(stored[:], hash[:]) == 1 {
			found = record
		}
	}
	if found == "" {
		return Key{}, false
	}
	return readKey(found), true
}

// prefixed returns the records whose digests begin with prefix.
func (k Keys) prefixed(prefix []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		t := k.byHash
		for p := t.seek(keyLayout, string(prefix)); !t.ended(p); {
			record := firstRecord(keyLayout, t.at(p))
			if record[:len(prefix)] != string(prefix) || !yield(record) {
				return
			}
			p = t.after(p, len(record))
		}
	}
}

// Of returns the keys of a workspace by ascending digest.
func (k Keys) Of(ws WorkspaceID) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		var start [refSize / 2]byte
		binary.BigEndian.PutUint16(start[:], nameDigest(ws))
		seen := ""
		for p := k.refs.seek(refLayout, string(start[:])); !k.refs.ended(p); p = k.refs.after(p, refSize) {
			ref := k.refs.at(p)[:refSize]
			if ref[:len(start)] != string(start[:]) {
				return
			}
			if ref == seen {
				continue
			}
			seen = ref
			for record := range k.prefixed([]byte(ref[len(start):])) {
				if key := readKey(record); key.Workspace == ws && !yield(key) {
					return
				}
			}
		}
	}
}

// Find returns the key of a workspace with a name.
func (k Keys) Find(ws WorkspaceID, id KeyID) (Key, bool) {
	for key := range k.Of(ws) {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// All returns the keys by ascending digest.
func (k Keys) All() iter.Seq[Key] {
	return func(yield func(Key) bool) {
		k.byHash.each(keyLayout, func(record string) bool { return yield(readKey(record)) })
	}
}

// With returns a table that has the key in place of the one with the same digest, if there is one.
func (k Keys) With(key Key) Keys {
	k = k.Without(key.Hash)
	ref := keyRef(key.Workspace, key.Hash)
	return Keys{
		byHash: k.byHash.insert(keyLayout, string(appendKey(nil, key))),
		refs:   k.refs.insert(refLayout, string(ref[:])),
	}
}

// Without returns a table without the key that has a digest.
func (k Keys) Without(hash KeyHash) Keys {
	key, ok := k.Get(hash)
	if !ok {
		return k
	}
	ref := keyRef(key.Workspace, hash)
	return Keys{
		byHash: k.byHash.without(keyLayout, string(hash[:])),
		refs:   k.refs.without(refLayout, string(ref[:])),
	}
}

// RemovedIn returns, by ascending digest, the keys that a newer table lacks or
// has for another workspace. What both tables share is skipped.
func (k Keys) RemovedIn(newer Keys) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		changed(keyLayout, k.byHash, newer.byHash, func(before, after string) bool {
			if before == "" {
				return true
			}
			key := readKey(before)
			if after != "" && readKey(after).Workspace == key.Workspace {
				return true
			}
			return yield(key)
		})
	}
}
