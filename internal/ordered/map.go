// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package ordered has a map that iterates over its keys in insertion order, so that decisions that
// depend on the order of iteration are the same each time, and iteration is fast.
package ordered

import "iter"

// Map is a map that iterates in insertion order. The zero value is empty and ready to use. It may
// be changed during an iteration: a key that is deleted is no longer visited, and a key that is
// added may be visited.
type Map[K comparable, V any] struct {
	entries []entry[K, V]
	// index has the position in entries of each key.
	index map[K]int
	// deleted counts the entries that are deleted.
	deleted int
	// iterations counts the iterations in progress: entries are not moved during them.
	iterations int
}

type entry[K comparable, V any] struct {
	key       K
	value     V
	isDeleted bool
}

// Get returns the value of a key, or the zero value if the map does not have the key.
func (m *Map[K, V]) Get(key K) V {
	v, _ := m.Find(key)
	return v
}

// Find returns the value of a key, and whether the map has the key.
func (m *Map[K, V]) Find(key K) (V, bool) {
	i, ok := m.index[key]
	if !ok {
		var none V
		return none, false
	}
	return m.entries[i].value, true
}

// Set sets the value of a key. A key that the map already has keeps its position.
func (m *Map[K, V]) Set(key K, value V) {
	if i, ok := m.index[key]; ok {
		m.entries[i].value = value
		return
	}
	if m.index == nil {
		m.index = map[K]int{}
	}
	m.index[key] = len(m.entries)
	m.entries = append(m.entries, entry[K, V]{key: key, value: value})
}

// Delete deletes a key. It does nothing if the map does not have the key.
func (m *Map[K, V]) Delete(key K) {
	i, ok := m.index[key]
	if !ok {
		return
	}
	delete(m.index, key)
	m.entries[i] = entry[K, V]{isDeleted: true}
	m.deleted++
	m.compact()
}

// Clear deletes all keys.
func (m *Map[K, V]) Clear() {
	for i := range m.entries {
		m.entries[i] = entry[K, V]{isDeleted: true}
	}
	clear(m.index)
	m.deleted = len(m.entries)
	m.compact()
}

// compact removes the deleted entries once at least half of all entries are deleted, unless an
// iteration is in progress.
func (m *Map[K, V]) compact() {
	if m.iterations > 0 || 2*m.deleted < len(m.entries) {
		return
	}
	kept := m.entries[:0]
	for _, e := range m.entries {
		if e.isDeleted {
			continue
		}
		m.index[e.key] = len(kept)
		kept = append(kept, e)
	}
	clear(m.entries[len(kept):])
	m.entries, m.deleted = kept, 0
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.index) }

// All iterates over keys and values in insertion order.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		m.iterations++
		for i := 0; i < len(m.entries); i++ {
			if e := &m.entries[i]; !e.isDeleted && !yield(e.key, e.value) {
				break
			}
		}
		m.iterations--
		m.compact()
	}
}

// AllFrom iterates over all keys and values like All, but starts after the first skipped entries
// and visits these last. Deleted entries that are not yet removed count too, so that the starting
// point is approximate.
func (m *Map[K, V]) AllFrom(skipped int) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		m.iterations++
		n := len(m.entries)
		for i := range n {
			if e := &m.entries[(i+skipped)%n]; !e.isDeleted && !yield(e.key, e.value) {
				break
			}
		}
		m.iterations--
		m.compact()
	}
}
