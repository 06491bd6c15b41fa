// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package lostwork adds up the work of attempts that ended without a result, by queue and by reason,
// so that operators see what the scheduler and its faults throw away.
package lostwork

import (
	"cmp"
	"slices"
	"time"
)

// Loss is the work that attempts of a queue have lost for one reason.
type Loss struct {
	Queue string
	// Reason is why the attempts were stopped, or how they ended by themselves.
	Reason   string
	Attempts int
	// CoreTime is the sum over the attempts of their run times, each multiplied by its processors.
	CoreTime time.Duration
}

// Totals adds up losses. The zero value is empty and ready to use.
type Totals struct{ losses map[key]*Loss }

type key struct{ queue, reason string }

// Add records that an attempt which was given milliCPU thousandths of a processor has lost the work
// of ran.
func (t *Totals) Add(queue, reason string, milliCPU int64, ran time.Duration) {
	k := key{queue, reason}
	if t.losses == nil {
		t.losses = map[key]*Loss{}
	}
	if t.losses[k] == nil {
		t.losses[k] = &Loss{Queue: queue, Reason: reason}
	}
	t.losses[k].Attempts++
	t.losses[k].CoreTime += time.Duration(milliCPU) * ran / 1000
}

// Take returns the losses since the last call and resets them. They are sorted by queue, and within
// a queue the largest comes first.
func (t *Totals) Take() []Loss {
	out := make([]Loss, 0, len(t.losses))
	for _, l := range t.losses {
		out = append(out, *l)
	}
	clear(t.losses)
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(b.CoreTime, a.CoreTime), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
