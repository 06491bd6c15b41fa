// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crash

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// SilentWorkers tracks the workers that became silent recently, whether they crashed or not. The
// zero value has none.
type SilentWorkers struct{ all []silence }

// silence is the silence of a worker whose last answer came at heardAt, and which was found
// silent at silentAt. It crashed, or was partitioned, at some time between the two.
type silence struct {
	worker            order.WorkerID
	heardAt, silentAt time.Time
}

func (s *silence) isOf(worker order.WorkerID) bool { return s.worker == worker }

// Add records that a worker which had answered before was found silent now.
func (s *SilentWorkers) Add(worker order.WorkerID, heardAt, now time.Time) {
	s.all = append(s.all, silence{worker, heardAt, now})
}

// Remove records that a worker answers again.
func (s *SilentWorkers) Remove(worker order.WorkerID) {
	s.all = slices.DeleteFunc(s.all, func(x silence) bool { return x.isOf(worker) })
}

// DropBefore drops the workers that were found silent before then.
func (s *SilentWorkers) DropBefore(then time.Time) {
	s.all = slices.DeleteFunc(s.all, func(x silence) bool { return x.silentAt.Before(then) })
}

// CountOverlapping returns how many other workers may have become silent at the same moment as
// this one: their intervals between last answer and silence overlap with its own. Where the
// worker was not found silent before, its interval is from heardAt, its last answer, to now.
func (s *SilentWorkers) CountOverlapping(worker order.WorkerID, heardAt, now time.Time) int {
	own := silence{worker, heardAt, now}
	if i := slices.IndexFunc(s.all, func(x silence) bool { return x.isOf(worker) }); i >= 0 {
		own = s.all[i]
	}
	n := 0
	for _, x := range s.all {
		if !x.isOf(worker) && !x.heardAt.After(own.silentAt) && !own.heardAt.After(x.silentAt) {
			n++
		}
	}
	return n
}
