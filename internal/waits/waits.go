// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package waits sums up what tasks that could begin wait for, so that operators see what binds.
package waits

import (
	"cmp"
	"slices"
	"time"
)

// Reason is what tasks wait for.
type Reason string

// The reasons.
const (
	// Priority means that others are looked at first.
	Priority Reason = "turn"
	// Uncertainty means that they may run by an earlier owner's order.
	Uncertainty Reason = "doubt"
	// Limit means that their customer has all running that it may.
	Limit Reason = "limit"
	// Permission means that it is being asked which workers may run them, Lane that no way to
	// ask is free.
	Permission Reason = "permission"
	Channel    Reason = "lane"
	// Capacity means that the workers which may run them are full.
	Capacity Reason = "room"
)

// Wait is how long tasks of a queue have waited for one reason, in all.
type Wait struct {
	Queue  string
	Reason Reason
	// Time is the sum over the tasks.
	Time time.Duration
}

// Totals adds up waits. The zero value has none.
type Totals struct{ times map[key]time.Duration }

type key struct {
	queue  string
	reason Reason
}

// Add notes that so many tasks of a queue have waited for so long.
func (t *Totals) Add(queue string, reason Reason, tasks int, d time.Duration) {
	if t.times == nil {
		t.times = map[key]time.Duration{}
	}
	t.times[key{queue, reason}] += time.Duration(tasks) * d
}

// Take returns the sums since the last call, by queue, the longest first.
func (t *Totals) Take() []Wait {
	out := make([]Wait, 0, len(t.times))
	for k, d := range t.times {
		out = append(out, Wait{k.queue, k.reason, d})
	}
	clear(t.times)
	slices.SortFunc(out, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(b.Time, a.Time), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
