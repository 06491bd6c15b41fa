// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package discard decides whether work that runs is thrown away: whether an attempt is stopped as
// stuck or too slow, gets a speculative copy, or is preempted for more urgent work. It does no I/O
// and reads no clock; the caller passes what is known of the attempts, and carries out the verdicts.
//
// It handles two loads. In the first, whole steps take several times as long as their callers
// estimated: to start their tasks anew elsewhere only does the same work twice. A task is therefore
// compared with its siblings, the other tasks of its step, on other workers. In the second, all
// capacity is in use: work that is thrown away then delays what waits, so that it has to gain more
// than it costs.
package discard

import "time"

// Action is what to do with a running attempt.
type Action string

// The actions.
const (
	// Keep leaves the attempt alone.
	Keep Action = "keep"
	// Watch leaves the attempt alone for now, until its progress confirms the reason.
	Watch Action = "watch"
	// Replace starts a speculative copy of the attempt or, where the task may have none, stops the
	// attempt so that the task starts elsewhere.
	Replace Action = "replace"
)

// Reason is why work is thrown away. It is logged.
type Reason string

// The reasons.
const (
	// Stalled means that the attempt makes no progress.
	Stalled Reason = "stands still"
	// TooSlow means that the task takes much less time on another worker.
	TooSlow Reason = "too slow"
	// MakesWay means that the attempt is preempted.
	MakesWay Reason = "makes way"
)

// Verdict is the decision about a running attempt. Reason is empty for Keep.
type Verdict struct {
	Action Action
	Reason Reason
}

const (
	// saveInterval is the time of work after which workers save the state of a resumable task.
	saveInterval = 500 * time.Millisecond
	// startTime is how long it takes until a task that waits for no capacity begins elsewhere: its
	// placement is persisted and, for most queues, a permit is queried.
	startTime = 200 * time.Millisecond
)

// Unsaved returns how much of the work of an attempt that has run for a while is done again by the
// next one. hasSaved means that the task has saved its state.
func Unsaved(ran time.Duration, hasSaved bool) time.Duration {
	if hasSaved {
		return min(ran, saveInterval)
	}
	return ran
}
