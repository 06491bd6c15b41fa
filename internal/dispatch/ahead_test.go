// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"
)

// An owner that runs ahead of the store says so in its record, and no longer does when it
// stops. Starts that waited for their turn meanwhile left without their places being kept, so
// that the next owner could take all places as known.
func TestNothingStartsUnkeptOnceTheStoreIsWaitedForAgain(t *testing.T) {
	w := newSim(1)
	w.addWorkers(40, workerCapacity)
	w.run(time.Second)
	w.submit("a", newStep(160, time.Minute))
	w.runTick()
	w.isStoreDown, w.isWriteBehind, w.lostAnswerShare = true, true, 1
	w.run(100 * time.Millisecond)
	before := w.startCount
	if before == 0 || before == 160 {
		t.Fatalf("starts ahead of the store: got: %d, want: as many as go without an answer", before)
	}
	w.isWriteBehind = false
	w.run(3 * time.Second)
	if w.startCount != before {
		t.Errorf("starts while the store is waited for: got: %d, want: none", w.startCount-before)
	}
	w.isStoreDown, w.lostAnswerShare = false, 0
	w.run(3 * time.Second)
	if w.startCount < 160 {
		t.Errorf("starts once the places are kept: got: %d, want: 160", w.startCount)
	}
	expectNoViolations(t, w)
}
