// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package pollqueue bounds how many workers a node polls at a time. Each poll in flight holds a
// connection, and an owner whose delegates fail polls all workers itself.
package pollqueue

import (
	"container/heap"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// maxConfirmAge is how long a poll may wait and still confirm ends. The worker may have restarted
// since the poll was created, and a newer incarnation numbers its ends anew.
const maxConfirmAge = 100 * time.Millisecond

// Queue holds the polls that wait for one in flight to end. It does no I/O and reads no clock. It is
// not safe for concurrent use.
type Queue struct {
	// limit is how many polls may be in flight; 0 means any number.
	limit    int
	inFlight int
	waiting  pollHeap
}

// NewQueue returns a queue that lets at most limit polls be in flight; 0 sets no limit.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Add adds a poll.
func (q *Queue) Add(poll order.Poll, now time.Time) {
	heap.Push(&q.waiting, waitingPoll{poll, now})
}

// Next returns the most urgent poll if it may be sent now, and counts it as in flight. A long poll
// may wait at its worker for an end, so it is less urgent by that time. What it has waited here is
// subtracted, and while others are waiting, it does not wait at the worker at all.
func (q *Queue) Next(now time.Time) (order.Poll, bool) {
	if q.waiting.Len() == 0 || q.limit > 0 && q.inFlight >= q.limit {
		return order.Poll{}, false
	}
	w := heap.Pop(&q.waiting).(waitingPoll)
	q.inFlight++
	waited := now.Sub(w.addedAt)
	w.poll.Wait = max(w.poll.Wait-waited, 0)
	if q.waiting.Len() > 0 {
		w.poll.Wait = 0
	}
	if waited > maxConfirmAge {
		w.poll.Confirmed = 0
	}
	return w.poll, true
}

// Done records that a poll has ended.
func (q *Queue) Done() { q.inFlight-- }

// Waiting returns how many polls wait.
func (q *Queue) Waiting() int { return q.waiting.Len() }

// waitingPoll is a poll and the time from which it has waited.
type waitingPoll struct {
	poll    order.Poll
	addedAt time.Time
}

// dueAt is when a poll that was sent at once would be answered at the latest.
func (w *waitingPoll) dueAt() time.Time { return w.addedAt.Add(w.poll.Wait) }

// pollHeap implements heap.Interface: the poll that is due first comes first.
type pollHeap []waitingPoll

// Len returns the number of polls.
func (h pollHeap) Len() int { return len(h) }

// Less reports whether the poll i is due before the poll k.
func (h pollHeap) Less(i, k int) bool { return h[i].dueAt().Before(h[k].dueAt()) }

// Swap swaps two polls.
func (h pollHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push adds a poll at the end.
func (h *pollHeap) Push(x any) { *h = append(*h, x.(waitingPoll)) }

// Pop removes the last poll.
func (h *pollHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
