// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"maps"
	"slices"
	"time"
)

// Usage sums up the calls for the steps of a queue.
type Usage struct {
	Queue string
	// Share is the share of workers that is expected to be permitted.
	Share float64
	// Calls is how many calls were made, Ahead how many of them before the step could start. Failed
	// were not answered, and Wasted were answered when the step had no use for it any more.
	Calls, Ahead, Failed, Wasted int
	// Deferred counts how often a step left the channels to others.
	Deferred int
	// Missing is how many tasks needed workers when the calls were made.
	Missing int
	// Named is how many workers the calls named. Full of them had no free capacity at that time, and
	// Known were known to be permitted.
	Named, Full, Known int
	// Granted is how many permits were issued, Used with how many of them a task was started. The
	// others have expired, or are still valid.
	Granted, Used int
	// Expected is how long the answered calls were to occupy their channels, Took how long they did.
	Expected, Took time.Duration
}

// usages are the usages since they were last taken. The zero value has none.
type usages struct{ byQueue map[string]*Usage }

// of returns the usage of a queue to be counted up.
func (u *usages) of(queue string) *Usage {
	if u.byQueue == nil {
		u.byQueue = map[string]*Usage{}
	}
	if u.byQueue[queue] == nil {
		u.byQueue[queue] = &Usage{Queue: queue}
	}
	return u.byQueue[queue]
}

// take returns the usages sorted by queue and forgets them.
func (u *usages) take() []Usage {
	out := make([]Usage, 0, len(u.byQueue))
	for _, queue := range slices.Sorted(maps.Keys(u.byQueue)) {
		out = append(out, *u.byQueue[queue])
	}
	clear(u.byQueue)
	return out
}
