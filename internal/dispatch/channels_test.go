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

// Steps that wait for capacity in a full pool must not occupy all channels with permission queries
// that cannot lead to a start: jobs of an empty pool then had no channel.
func TestStepsWaitingForCapacityLeaveChannelsToOtherPools(t *testing.T) {
	w := newSim(1)
	officeQueue := fractionQueue
	officeQueue.Name, officeQueue.Service = "office", "office"
	w.queues, w.channels = []order.Queue{wholeWorkerQueue, officeQueue}, []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	w.takeOver()
	w.addWorkers(40, acceleratorCapacity)
	for name, m := range w.allWorkers() {
		if name >= "w20" {
			m.entry.Service = "office"
		}
	}
	w.run(time.Second)
	w.submitTo("whole", "running", wholeWorkerStep(20, time.Hour))
	w.run(3 * time.Second)
	for i := range 60 {
		gang := wholeWorkerStep(2, time.Hour)
		gang.IsGang = true
		w.submitTo("whole", fmt.Sprintf("gang%02d", i), gang)
	}
	w.run(3 * time.Second)
	submittedAt := w.elapsed()
	for i := range 20 {
		w.submitTo("office", fmt.Sprintf("job%02d", i), fractionStep(2, 500*time.Millisecond))
	}
	w.run(15 * time.Second)
	longestWait := time.Duration(0)
	for i := range 20 {
		id := work.JobID(fmt.Sprintf("job%02d", i))
		expectState(t, w, id, work.JobSucceeded)
		longestWait = max(longestWait, w.endedAt[id]-submittedAt)
	}
	t.Logf("longest time from submission to end: %v", longestWait)
	if longestWait > 5*time.Second {
		t.Errorf("longest time from submission to end of 20 jobs of 0.5 s on empty workers: got: %v, want: at most 5s", longestWait)
	}
	expectNoViolations(t, w)
}
