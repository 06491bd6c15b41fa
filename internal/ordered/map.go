// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package ordered has a map that is gone through in the order in which its keys came, so that
// decisions that walk over it are the same each time, and walks are quick.
package ordered

import "iter"

// Map is a map in the order in which its keys came. The zero value is empty. It may be changed
// while it is gone through: what is deleted is not seen any more, and what is added may be.
type Map[K comparable, V any] struct {
	entries []entry[K, V]
	// index has where the entry of each key is.
	index map[K]int
	// gone counts the entries that are deleted.
	deleted int
	// walks counts those who go through it: entries keep their places meanwhile.
	iterations int
}

type entry[K comparable, V any] struct {
	key       K
	value     V
	isDeleted bool
}

// Get returns the value of a key; the zero value where there is none.
func (m *Map[K, V]) Get(key K) V {
	v, _ := m.Find(key)
	return v
}

// Find returns the value of a key, and whether there is one.
func (m *Map[K, V]) Find(key K) (V, bool) {
	i, ok := m.index[key]
	if !ok {
		var none V
		return none, false
	}
	return m.entries[i].value, true
}

// Set sets the value of a key. One that is there keeps its place.
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

// Delete deletes a key, if it is there.
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

// compact takes out the entries that are deleted, once there are as many as others.
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

// Len returns how many keys there are.
func (m *Map[K, V]) Len() int { return len(m.index) }

// All goes through keys and values, in the order in which the keys came.
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

// AllFrom goes through keys and values as All does, but begins behind about the first skipped ones
// and ends with these.
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
