// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package ring joins goroutines by bounded queues that refuse when full.
package ring

// Ring is a bounded queue between duties. It is safe for concurrent use.
type Ring[T any] struct {
	ch chan T
}

// NewRing returns a ring that holds at most size entries; size is at least 1.
func NewRing[T any](size int) *Ring[T] { return &Ring[T]{ch: make(chan T, max(size, 1))} }

// TryPut adds v and reports whether there was room.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		return false
	}
}

// Put adds v; it waits for room until done is closed and then reports false.
func (r *Ring[T]) Put(v T, done <-chan struct{}) bool {
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}

// Out returns the channel from which the owner of the ring takes entries.
func (r *Ring[T]) Out() <-chan T { return r.ch }

// Len returns how many entries wait; it is a snapshot.
func (r *Ring[T]) Len() int { return len(r.ch) }
