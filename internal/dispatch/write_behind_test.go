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
func TestNoStartWithoutStoredPlacementAfterWriteBehindEnds(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(40, room)
	w.run(time.Second)
	w.submit("a", step(160, time.Minute))
	w.step()
	w.isOut, w.runsAhead, w.lostShare = true, true, 1
	w.run(100 * time.Millisecond)
	before := w.starts
	if before == 0 || before == 160 {
		t.Fatalf("starts ahead of the store: got: %d, want: as many as go without an answer", before)
	}
	w.runsAhead = false
	w.run(3 * time.Second)
	if w.starts != before {
		t.Errorf("starts while the store is waited for: got: %d, want: none", w.starts-before)
	}
	w.isOut, w.lostShare = false, 0
	w.run(3 * time.Second)
	if w.starts < 160 {
		t.Errorf("starts once the places are kept: got: %d, want: 160", w.starts)
	}
	expectWhole(t, w)
}
