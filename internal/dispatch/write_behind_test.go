// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"
)

// In write-behind mode the owner orders starts before the store has their placements, and states
// that in its record; the statement is withdrawn when the mode ends. Starts that were queued in
// that mode were once still sent after its end without their placements being stored, so that the
// next owner wrongly assumed that it knew all placements.
func TestNoStartWithoutStoredPlacementAfterWriteBehindEnds(t *testing.T) {
	w := newSim(1)
	w.addWorkers(40, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(160, time.Minute))
	w.runTick()
	w.isStoreDown, w.isWriteBehind, w.lostAnswerShare = true, true, 1
	w.run(100 * time.Millisecond)
	before := w.startCount
	if before == 0 || before == 160 {
		t.Fatalf("starts in write-behind mode: got: %d, want: some but not all of 160, as many as may be unanswered", before)
	}
	w.isWriteBehind = false
	w.run(3 * time.Second)
	if w.startCount != before {
		t.Errorf("starts after the end of write-behind mode, without an answer of the store: got: %d, want: none", w.startCount-before)
	}
	w.isStoreDown, w.lostAnswerShare = false, 0
	w.run(3 * time.Second)
	if w.startCount < 160 {
		t.Errorf("starts once the placements are stored: got: %d, want: at least 160", w.startCount)
	}
	expectNoViolations(t, w)
}
