package model

import (
	"cmp"
	"iter"
	"slices"
)

// Index is an immutable list of values by ascending key. A change copies the
// list, so it is meant for up to some thousand values.
type Index[K cmp.Ordered, V any] struct {
	// entries is nil if the index is empty.
	entries []indexEntry[K, V]
}

type indexEntry[K cmp.Ordered, V any] struct {
	key   K
	value V
}

// NewIndex returns the index of values in any order. The last of several
// values with the same key remains.
func NewIndex[K cmp.Ordered, V any](values []V, key func(V) K) Index[K, V] {
	var entries []indexEntry[K, V]
	for _, v := range slices.Backward(values) {
		entries = append(entries, indexEntry[K, V]{key: key(v), value: v})
	}
	slices.SortStableFunc(entries, func(a, b indexEntry[K, V]) int { return cmp.Compare(a.key, b.key) })
	entries = slices.CompactFunc(entries, func(a, b indexEntry[K, V]) bool { return a.key == b.key })
	return Index[K, V]{entries: entries}
}

func (x Index[K, V]) search(key K) (int, bool) {
	return slices.BinarySearchFunc(x.entries, key, func(e indexEntry[K, V], key K) int { return cmp.Compare(e.key, key) })
}

// Len returns the number of values.
func (x Index[K, V]) Len() int { return len(x.entries) }

// Get returns the value of a key. It does not allocate.
func (x Index[K, V]) Get(key K) (V, bool) {
	i, ok := x.search(key)
	if !ok {
		var none V
		return none, false
	}
	return x.entries[i].value, true
}

// All returns the values by ascending key.
func (x Index[K, V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, e := range x.entries {
			if !yield(e.value) {
				return
			}
		}
	}
}

// With returns an index with a value in place of the one with the same key, if there is one.
func (x Index[K, V]) With(key K, value V) Index[K, V] {
	i, ok := x.search(key)
	entries := make([]indexEntry[K, V], 0, len(x.entries)+1)
	entries = append(append(entries, x.entries[:i]...), indexEntry[K, V]{key: key, value: value})
	if ok {
		i++
	}
	return Index[K, V]{entries: append(entries, x.entries[i:]...)}
}

// Without returns an index without the value of a key.
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
