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
	"github.com/leverdyke/leverdyke/internal/served"
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

// What was served must be seen in the report, in the sample for the metrics and in the owner's log.
func TestOwnerTellsWhatWasServed(t *testing.T) {
	clk, lines := clock.NewFake(), make(chan []any, 100)
	o := startOwnerWithClock(t, fakestore.NewLog(), newFakeWorkers(), clk, func(e events.Event, keysAndValues ...any) {
		if e == events.JobsServed {
			lines <- keysAndValues
		}
	})
	accepted := make(chan error, 1)
	go func() { accepted <- o.Submit(t.Context(), newJob("a")) }()
	await.True(t, "the job is accepted", func() bool {
		clk.Advance(tick)
		return len(accepted) > 0
	})
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	await.True(t, "a line tells what was served", func() bool {
		clk.Advance(10 * tick)
		return len(lines) > 0
	})
	if line := <-lines; line[1] != "q" || line[3] != served.Rest || line[5] != 1 {
		t.Errorf("the line: got: %v, want: the one job of q", line)
	}
	report, err := o.Inspect(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for what, counts := range map[string][]served.Count{"report": report.Served, "sample": o.Served()} {
		if len(counts) != 3 || counts[2].Accepted != 1 {
			t.Errorf("%s: got: %+v, want: the one job of q", what, counts)
		}
	}
}
