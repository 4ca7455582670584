package model

import (
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"iter"
	"slices"
)

// searchPrefixBytes is the length of the prefix of a digest that Get searches by.
// Eight bytes are enough to tell digests apart; the whole digest is then compared
// in constant time.
const searchPrefixBytes = 8

// Keys is an immutable table of keys by digest, with an index by workspace. A
// changed table shares memory with the table it was made from.
//
// The names in the returned keys are substrings of a chunk of the table. Clone a
// name that is kept for longer than the table, so that it does not keep the
// chunk in memory.
type Keys struct {
	byHash table
	// refs holds the keyRef of each key, by which the keys of a workspace are
	// found without storing their names twice.
	refs table
}

// keyRef returns the index record by which a workspace's key is found: two bytes
// of the digest of the workspace's name, then the first two bytes of the key's
// digest. With 320,000 keys, about five keys share each half, so that Find
// compares about 25 records.
func keyRef(ws WorkspaceID, hash KeyHash) [refSize]byte {
	var ref [refSize]byte
	binary.BigEndian.PutUint16(ref[:], nameDigest(ws))
	copy(ref[refSize/2:], hash[:])
	return ref
}

// nameDigest returns the 32-bit FNV-1a hash of a name, folded to 16 bits.
func nameDigest(ws WorkspaceID) uint16 {
	h := uint32(2166136261)
	for i := range len(ws) {
		h = (h ^ uint32(ws[i])) * 16777619
	}
	return uint16(h>>16) ^ uint16(h)
}

// NewKeys returns a table of the listed keys. It returns ErrInvalid unless the
// keys are in ascending order of their digests, without duplicates.
func NewKeys(list iter.Seq[Key]) (Keys, error) {
	recordBuilder := tableBuilder{layout: keyLayout}
	var record []byte
	var refs []uint32
	var last KeyHash
	for k := range list {
		if len(refs) > 0 && slices.Compare(last[:], k.Hash[:]) >= 0 {
			return Keys{}, unorderedListError("keys", fmt.Sprintf("%x", last[:4]), fmt.Sprintf("%x", k.Hash[:4]))
		}
		last = k.Hash
		record = appendKey(record[:0], k)
		recordBuilder.add(record)
		ref := keyRef(k.Workspace, k.Hash)
		refs = append(refs, binary.BigEndian.Uint32(ref[:]))
	}
	slices.Sort(refs)
	refBuilder := tableBuilder{layout: refLayout}
	for _, ref := range refs {
		refBuilder.add(binary.BigEndian.AppendUint32(record[:0], ref))
	}
	return Keys{byHash: recordBuilder.finish(), refs: refBuilder.finish()}, nil
}

// appendKey appends the record of a key in keyLayout. The uvarint after the digest
// is the size of the rest, which consists of the uvarint of the length of the
// workspace's name, that name, and the name of the key.
func appendKey(data []byte, k Key) []byte {
	data = append(data, k.Hash[:]...)
	data = binary.AppendUvarint(data, uint64(uvarintSize(len(k.Workspace))+len(k.Workspace)+len(k.ID)))
	data = binary.AppendUvarint(data, uint64(len(k.Workspace)))
	return append(append(data, k.Workspace...), k.ID...)
}

// readKey returns the key whose record is s. Its names are substrings of s.
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

// Get returns the key with a digest. It does not allocate. Whole digests are
// compared in constant time. The search before it looks only at the first
// searchPrefixBytes bytes of the digest, which a caller that guesses keys cannot
// choose.
func (k Keys) Get(hash KeyHash) (Key, bool) {
	found := ""
	for record := range k.recordsWithPrefix(hash[:searchPrefixBytes]) {
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

// recordsWithPrefix returns the records of the keys whose digests begin with prefix.
func (k Keys) recordsWithPrefix(prefix []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		t := k.byHash
		for p := t.seek(keyLayout, string(prefix)); !t.atEnd(p); {
			record := firstRecord(keyLayout, t.chunkFrom(p))
			if record[:len(prefix)] != string(prefix) || !yield(record) {
				return
			}
			p = t.next(p, len(record))
		}
	}
}

// Of returns the keys of a workspace in ascending order of their digests.
func (k Keys) Of(ws WorkspaceID) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		var start [refSize / 2]byte
		binary.BigEndian.PutUint16(start[:], nameDigest(ws))
		seen := ""
		for p := k.refs.seek(refLayout, string(start[:])); !k.refs.atEnd(p); p = k.refs.next(p, refSize) {
			ref := k.refs.chunkFrom(p)[:refSize]
			if ref[:len(start)] != string(start[:]) {
				return
			}
			if ref == seen {
				continue
			}
			seen = ref
			for record := range k.recordsWithPrefix([]byte(ref[len(start):])) {
				if key := readKey(record); key.Workspace == ws && !yield(key) {
					return
				}
			}
		}
	}
}

// Find returns the key of a workspace that has the name id.
func (k Keys) Find(ws WorkspaceID, id KeyID) (Key, bool) {
	for key := range k.Of(ws) {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// All returns the keys in ascending order of their digests.
func (k Keys) All() iter.Seq[Key] {
	return func(yield func(Key) bool) {
		k.byHash.forEach(keyLayout, func(record string) bool { return yield(readKey(record)) })
	}
}

// With returns a table with the key added, in place of any with the same digest.
func (k Keys) With(key Key) Keys {
	k = k.Without(key.Hash)
	ref := keyRef(key.Workspace, key.Hash)
	return Keys{
		byHash: k.byHash.insert(keyLayout, string(appendKey(nil, key))),
		refs:   k.refs.insert(refLayout, string(ref[:])),
	}
}

// Without returns a table without the key that has the digest.
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

// RemovedIn returns the keys that a newer table lacks or has for another
// workspace, in ascending order of their digests. Its cost depends on the number
// of changes, because chunks that both tables share are skipped.
func (k Keys) RemovedIn(newer Keys) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		diffTables(keyLayout, k.byHash, newer.byHash, func(before, after string) bool {
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
