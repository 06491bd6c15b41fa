// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// While the store was out, callers were told ends of jobs that only the nodes' memory
// and a worker knew: when both were gone, the next owner started them again.
func TestWhatIsToldInAnOutageSurvivesAllMemoryAndTheWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		failShare float64
		want      work.JobState
	}{
		"succeeded": {0, work.JobSucceeded},
		"failed":    {1, work.JobFailed},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSim(1)
			w.addWorkers(3, workerCapacity)
			w.run(time.Second)
			w.failureShare = tc.failShare
			w.submit("a", newStep(2, 300*time.Millisecond))
			w.run(150 * time.Millisecond)
			w.isStoreDown, w.isWriteBehind = true, true
			w.run(6 * time.Second)
			for i := range 3 {
				w.crashAndReplace(order.WorkerID(fmt.Sprintf("w%02d", i)), fmt.Sprintf("x%02d", i))
			}
			w.takeOver()
			w.isStoreDown = false
			w.run(20 * time.Second)
			expectState(t, w, "a", tc.want)
			expectNoViolations(t, w)
		})
	}
}
