// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// A job that arrives shortly before the store is tried again waits for that, instead of being
// refused because an earlier append failed.
func TestJobIsHeldUntilTheStoreIsTriedAgain(t *testing.T) {
	log := fakestore.NewLog()
	o := startFakeClockOwner(t, log)
	log.SetAppendFault(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotApplied}, false })
	if got := verdictOf(o.Submit(t.Context(), newJob("a"))); got != leverdyke.VerdictNotRun {
		t.Fatalf("while the store refuses: got: %v, want: %v", got, leverdyke.VerdictNotRun)
	}
	log.SetAppendFault(nil)
	o.clock.Advance(60 * time.Millisecond)
	if r := o.awaitResult(t, "the job is answered", o.submitAsync(t.Context(), "b")); r.err != nil {
		t.Errorf("40 ms before the next try: got: %v, want: accepted", r.err)
	}
}
