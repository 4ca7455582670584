package model

import (
	"cmp"
	"iter"
	"slices"
)

// Index is an immutable list of values in ascending order of their keys. Each
// change copies the list, so an Index is meant for at most a few thousand values.
type Index[K cmp.Ordered, V any] struct {
	// entries is sorted by key without duplicates, and nil if the index is empty.
	entries []indexEntry[K, V]
}

type indexEntry[K cmp.Ordered, V any] struct {
	key   K
	value V
}

// NewIndex returns the index of the given values, which may be in any order. Of
// several values with the same key, the last one is kept.
func NewIndex[K cmp.Ordered, V any](values []V, key func(V) K) Index[K, V] {
	var entries []indexEntry[K, V]
	for _, v := range slices.Backward(values) {
		entries = append(entries, indexEntry[K, V]{key: key(v), value: v})
	}
	slices.SortStableFunc(entries, func(a, b indexEntry[K, V]) int { return cmp.Compare(a.key, b.key) })
	entries = slices.CompactFunc(entries, func(a, b indexEntry[K, V]) bool { return a.key == b.key })
	return Index[K, V]{entries: entries}
}

// search returns the position of the key, or where it would be inserted, and
// whether it is present.
func (x Index[K, V]) search(key K) (int, bool) {
	return slices.BinarySearchFunc(x.entries, key, func(e indexEntry[K, V], key K) int { return cmp.Compare(e.key, key) })
}

// Len returns the number of values.
func (x Index[K, V]) Len() int { return len(x.entries) }

// Get returns the value with the key. It does not allocate.
func (x Index[K, V]) Get(key K) (V, bool) {
	i, ok := x.search(key)
	if !ok {
		var none V
		return none, false
	}
	return x.entries[i].value, true
}

// All returns the values in ascending order of their keys.
func (x Index[K, V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, e := range x.entries {
			if !yield(e.value) {
				return
			}
		}
	}
}

// With returns an index with the value added, in place of any with the same key.
func (x Index[K, V]) With(key K, value V) Index[K, V] {
	i, ok := x.search(key)
	entries := make([]indexEntry[K, V], 0, len(x.entries)+1)
	entries = append(append(entries, x.entries[:i]...), indexEntry[K, V]{key: key, value: value})
	if ok {
		i++
	}
	return Index[K, V]{entries: append(entries, x.entries[i:]...)}
}

// Without returns an index without the value that has the key.
func (x Index[K, V]) Without(key K) Index[K, V] {
	i, ok := x.search(key)
	switch {
	case !ok:
		return x
	case len(x.entries) == 1:
		return Index[K, V]{}
	default:
		return Index[K, V]{entries: slices.Concat(x.entries[:i], x.entries[i+1:])}
	}
}
