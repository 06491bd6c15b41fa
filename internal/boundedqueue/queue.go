// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package boundedqueue joins goroutines by bounded queues that refuse when full.
package boundedqueue

// Queue is a bounded queue between duties. It is safe for concurrent use.
type Queue[T any] struct {
	ch chan T
}

// NewQueue returns a ring that holds at most size entries; size is at least 1.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{ch: make(chan T, max(size, 1))} }

// TryPut adds v and reports whether there was room.
func (r *Queue[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		return false
	}
}

// Put adds v; it waits for room until done is closed and then reports false.
func (r *Queue[T]) Put(v T, done <-chan struct{}) bool {
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel from which the owner of the ring takes entries.
func (r *Queue[T]) Items() <-chan T { return r.ch }

// Len returns how many entries wait; it is a snapshot.
func (r *Queue[T]) Len() int { return len(r.ch) }
