// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// A job that waits for the store to be tried again, and is not known to the engine yet, stays
// cancelled when it is submitted after that.
func TestCancelOfHeldJobIsPersisted(t *testing.T) {
	log := fakestore.NewLog()
	o := startFakeClockOwner(t, log)
	log.SetAppendFault(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotApplied}, false })
	if got := verdictOf(o.Submit(t.Context(), newJob("a"))); got != leverdyke.VerdictNotRun {
		t.Fatalf("while the store refuses: got: %v, want: %v", got, leverdyke.VerdictNotRun)
	}
	log.SetAppendFault(nil)
	o.clock.Advance(60 * time.Millisecond)
	// The caller gives up at once, but its submission has reached the owner.
	gaveUp, cancel := context.WithCancel(t.Context())
	cancel()
	if got := verdictOf(o.Submit(gaveUp, newJob("b"))); got != leverdyke.VerdictMayHaveRun {
		t.Fatalf("the submission without an answer: got: %v, want: %v", got, leverdyke.VerdictMayHaveRun)
	}
	if c := o.awaitResult(t, "the cancellation is answered", o.cancelAsync(t.Context(), "b")); c.err != nil {
		t.Fatalf("the cancellation: got: %v, want: acknowledged", c.err)
	}
	wantCancelled(t, o, "b")
	o.Stop()
	next := startFakeClockOwner(t, log)
	wantCancelled(t, next, "b")
}
