// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/served"
)

// A log must tell which sizes of jobs of a queue end, and which of them in time.
func TestLineOfEndTellsSizeAndObjective(t *testing.T) {
	w := newSim(1)
	ended := map[string]any{}
	w.log = func(e events.Event, keysAndValues ...any) {
		for i := 0; e == events.JobEnded && i < len(keysAndValues); i += 2 {
			ended[keysAndValues[i].(string)] = keysAndValues[i+1]
		}
	}
	w.queues[0].Stretch, w.queues[0].TargetLatency = 2, time.Second
	w.takeOver()
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	first, second := newStep(2, time.Second), newStep(1, 2*time.Second)
	second.After = []int{0}
	w.submit("j", first, second)
	w.run(10 * time.Second)
	want := first.Work() + second.Work()
	if got := ended["work"]; want == 0 || got != want || ended["queue"] != "q" {
		t.Errorf("got: queue %v, work %v, want: q, %v", ended["queue"], got, want)
	}
	if got, _ := ended["objective"].(time.Duration); got < 6*time.Second || got > 10*time.Second {
		t.Errorf("objective: got: %v, want: about 1 s and twice the 3 s of the chain", got)
	}
}

// Operators must see that the large jobs of a queue are not served while its small ones are. A new
// owner goes on with the jobs that are open.
func TestServedTellsThatLargeJobsAreMissing(t *testing.T) {
	w := newSim(1)
	w.queues[0].Stretch, w.queues[0].TargetLatency = 2, time.Second
	w.takeOver()
	w.addWorkers(4, workerCapacity)
	w.run(time.Second)
	for i := range 9 {
		w.submit(fmt.Sprintf("s%d", i), newStep(1, 500*time.Millisecond))
		w.run(500 * time.Millisecond)
	}
	w.submit("late", newStep(1, 500*time.Millisecond))
	w.engine.SetPaused(true)
	w.run(3 * time.Second)
	w.engine.SetPaused(false)
	w.run(2 * time.Second)
	w.submit("large", newStep(4, time.Hour))
	w.submitted["large"].AcceptedAt = w.clock.Now()
	w.run(5 * time.Second)
	largest, rest := served.Count{Queue: "q", Class: served.Largest, Accepted: 1, Open: 1}, served.Count{Queue: "q", Class: served.Rest, Accepted: 10, InTime: 9, Late: 1}
	compareServed(t, "the first owner", w, []served.Count{largest, {Queue: "q", Class: served.Large}, rest}, 5*time.Second)
	w.takeOver()
	w.run(5 * time.Second)
	// Its only job is not the largest of ten.
	compareServed(t, "the next owner", w, []served.Count{
		{Queue: "q", Class: served.Largest},
		{Queue: "q", Class: served.Large},
		{Queue: "q", Class: served.Rest, Accepted: 1, Open: 1},
	}, 10*time.Second)
}

// compareServed compares the counts but for the age of the only open job, which is about oldest.
func compareServed(t *testing.T, what string, w *sim, want []served.Count, oldest time.Duration) {
	t.Helper()
	got := w.engine.Served()
	for i := range got {
		if c := &got[i]; c.Open > 0 {
			if d := c.Oldest - oldest; d < -time.Second || d > time.Second {
				t.Errorf("%s: the oldest open job: got: %v, want: about %v", what, c.Oldest, oldest)
			}
			c.Oldest = 0
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: got: %+v, want: %+v", what, got, want)
	}
}

// Jobs without an end have no objective and are not counted, nor are those that were never accepted.
func TestServedLeavesOutJobsWithoutAnEnd(t *testing.T) {
	w := newSim(1)
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	forever := newStep(1, time.Second)
	forever.IsLongRunning = true
	w.submit("forever", forever)
	w.engine.Cancel("unknown", "")
	w.run(time.Second)
	if got := w.engine.Served(); len(got) > 0 {
		t.Errorf("got: %+v, want: none", got)
	}
}
