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

// Callers must not be shown the end of a job before it is stored. During an outage of the store
// they were shown ends that only the memory of the nodes and of a worker held: when both were lost,
// the next owner started these jobs again.
func TestEndsShownInAStoreOutageSurviveLossOfNodesAndWorkers(t *testing.T) {
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
