// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crash

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// SilentWorkers are the workers that fell silent lately, whether they live or not. The zero value has
// none.
type SilentWorkers struct{ all []silence }

// silence is that of a worker that was heard last at heardAt, and gave no answer at silentAt. What
// befell it came between.
type silence struct {
	worker            order.WorkerID
	heardAt, silentAt time.Time
}

func (s *silence) isOf(worker order.WorkerID) bool { return s.worker == worker }

// Add takes that a worker has not answered now, after it had.
func (s *SilentWorkers) Add(worker order.WorkerID, heardAt, now time.Time) {
	s.all = append(s.all, silence{worker, heardAt, now})
}

// Remove takes that a worker answers again.
func (s *SilentWorkers) Remove(worker order.WorkerID) {
	s.all = slices.DeleteFunc(s.all, func(x silence) bool { return x.isOf(worker) })
}

// DropBefore forgets those that fell silent before then.
func (s *SilentWorkers) DropBefore(then time.Time) {
	s.all = slices.DeleteFunc(s.all, func(x silence) bool { return x.silentAt.Before(then) })
}

// CountOverlapping returns how many other workers may have fallen silent in the same moment as this one,
// which was heard last at heardAt and may not have been found silent before now.
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
