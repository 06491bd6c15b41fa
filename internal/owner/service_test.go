// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// A log must tell the sizes of the jobs that were accepted, also of those that never end.
func TestLineOfAcceptanceTellsWork(t *testing.T) {
	works := make(chan any, 1)
	o := startOwnerWithClock(t, fakestore.NewLog(), newFakeWorkers(), clock.Real{}, func(e events.Event, keysAndValues ...any) {
		for i := 0; e == events.JobAccepted && i < len(keysAndValues); i += 2 {
			if keysAndValues[i] == "work" {
				works <- keysAndValues[i+1]
			}
		}
	})
	spec := newJob("a")
	spec.Steps = []work.Step{{Count: 3, Need: leverdyke.Resources{MilliCPU: 2000}, Estimate: time.Second, MaxUnavailable: -1}}
	if err := o.Submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	await.True(t, "the job's line tells its work", func() bool { return len(works) > 0 })
	if got, want := <-works, 6*time.Second; got != want {
		t.Errorf("got: %v, want: %v", got, want)
	}
}
