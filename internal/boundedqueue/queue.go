// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package boundedqueue provides FIFO queues of bounded length between goroutines. A
// full queue refuses further items or makes the sender wait.
package boundedqueue

// Queue is a FIFO queue of bounded length. It is safe for concurrent use.
type Queue[T any] struct {
	ch chan T
}

// NewQueue returns a queue for at most size items; a size below 1 counts as 1.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{ch: make(chan T, max(size, 1))} }

// TryPut appends v and reports true, or reports false at once if the queue is full.
func (q *Queue[T]) TryPut(v T) bool {
	select {
	case q.ch <- v:
		return true
	default:
		return false
	}
}

// Put appends v and reports true. While the queue is full it waits; it reports false if
// done is closed before there is space.
func (q *Queue[T]) Put(v T, done <-chan struct{}) bool {
	select {
	case q.ch <- v:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel from which the consumer receives the items in order.
func (q *Queue[T]) Items() <-chan T { return q.ch }

// Len returns the number of queued items. It may change before the caller uses it.
func (q *Queue[T]) Len() int { return len(q.ch) }
