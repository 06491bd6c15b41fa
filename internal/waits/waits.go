// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package waits adds up how long tasks that are ready to start have waited, by queue and by reason,
// so that operators see what limits the throughput of a queue.
package waits

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

// Reason is what a task waits for.
type Reason string

// The reasons.
const (
	// Priority means that the scheduler tries other steps first.
	Priority Reason = "turn"
	// Uncertainty means that the task may already run, started by a previous owner of the shard.
	Uncertainty Reason = "doubt"
	// Limit means that its customer already uses as much as its limit allows.
	Limit Reason = "limit"
	// Permission means that the permission service has been asked which workers may run the task,
	// and has not answered yet. Channel means that the query could not be sent, as no
	// channel to the permission service is free.
	Permission Reason = "permission"
	Channel    Reason = "lane"
	// Denied means that the permission service lets none of the workers run the task.
	Denied Reason = "denied"
	// Capacity means that the workers that may run the task have no free capacity for it.
	Capacity Reason = "room"
)

// Wait is how long tasks of a queue have waited for one reason.
type Wait struct {
	Queue  string
	Reason Reason
	// Time is the sum over the tasks.
	Time time.Duration
}

// Waiting sums up the tasks of one queue and customer that wait for the same reason now.
type Waiting struct {
	Queue    string            `json:"queue"`
	Customer work.CustomerName `json:"customer,omitempty"`
	Reason   Reason            `json:"reason"`
	Steps    int               `json:"steps"`
	Tasks    int               `json:"tasks"`
	// Longest is the time since the oldest of the steps could begin.
	Longest time.Duration `json:"longestNs"`
}

// Summarize merges the entries of the same queue, customer and reason, and sorts them by these.
func Summarize(entries []Waiting) []Waiting {
	slices.SortStableFunc(entries, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Reason, b.Reason))
	})
	out := []Waiting{}
	for _, w := range entries {
		if n := len(out); n > 0 && out[n-1].Queue == w.Queue && out[n-1].Customer == w.Customer && out[n-1].Reason == w.Reason {
			last := &out[n-1]
			last.Steps, last.Tasks, last.Longest = last.Steps+w.Steps, last.Tasks+w.Tasks, max(last.Longest, w.Longest)
			continue
		}
		out = append(out, w)
	}
	return out
}

// Totals adds up waiting times. The zero value is empty and ready to use.
type Totals struct{ times map[key]time.Duration }

type key struct {
	queue  string
	reason Reason
}

// Add records that the given number of tasks of a queue have each waited for d.
func (t *Totals) Add(queue string, reason Reason, tasks int, d time.Duration) {
	if t.times == nil {
		t.times = map[key]time.Duration{}
	}
	t.times[key{queue, reason}] += time.Duration(tasks) * d
}

// Take returns the totals since the last call and resets them. They are sorted by queue, and
// within a queue the longest wait comes first.
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
