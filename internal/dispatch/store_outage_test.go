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
func TestEndsShownInAStoreOutageSurviveLossOfNodesAndWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		failShare float64
		want      work.JobState
	}{
		"succeeded": {0, work.JobSucceeded},
		"failed":    {1, work.JobFailed},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1)
			w.addWorkers(3, room)
			w.run(time.Second)
			w.failShare = tc.failShare
			w.submit("a", step(2, 300*time.Millisecond))
			w.run(150 * time.Millisecond)
			w.isOut, w.runsAhead = true, true
			w.run(6 * time.Second)
			for i := range 3 {
				w.crash(order.WorkerID(fmt.Sprintf("w%02d", i)), fmt.Sprintf("x%02d", i))
			}
			w.takeOver()
			w.isOut = false
			w.run(20 * time.Second)
			expectState(t, w, "a", tc.want)
			expectWhole(t, w)
		})
	}
}
