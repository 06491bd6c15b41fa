// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
)

// A job that has nothing running must be logged, once a second from 3 s on, with why the workers get none
// of its tasks and what came of its last permission query.
func TestJobThatStandsStillIsLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		hold func(w *sim)
		// passedOver is what the lines must say; empty if there must be none.
		passedOver string
		query      permit.Outcome
		// event is that of the lines: JobWaits unless a worker has room.
		event events.Event
	}{
		"it runs":             {func(*sim) {}, "", "", events.JobStandsStill},
		"no room":             {func(w *sim) { w.submit("busy", newStep(8, time.Minute)) }, "full=2", permit.NoCandidates, events.JobWaits},
		"no permission":       {func(w *sim) { w.isPermitted = func(order.WorkerID) bool { return false } }, "denied=2", permit.NoCandidates, events.JobStandsStill},
		"no channel":          {func(w *sim) { w.engine.SetChannels(nil) }, "unasked=2", permit.NoChannel, events.JobStandsStill},
		"draining workers":    {func(w *sim) { w.workers["w00"].entry.IsDraining = true; w.setEntriesUncertain(true) }, "leaving=1 unclear=1", permit.NoCandidates, events.JobStandsStill},
		"unreachable workers": {func(w *sim) { w.workers["w00"].isPartitioned, w.workers["w01"].isPartitioned = true, true }, "silent=2", permit.NoCandidates, events.JobStandsStill},
	} {
		w := newSim(1)
		logged := map[string]int{}
		w.log = func(e events.Event, fields ...any) {
			if e != events.JobStandsStill && e != events.JobWaits {
				return
			}
			if e != tc.event {
				t.Errorf("%s: event: got: %v, want: %v", name, e, tc.event)
			}
			for i := 0; i < len(fields); i += 2 {
				switch fields[i] {
				case "passedOver":
					logged[fmt.Sprint(fields[i+1])]++
				case "query":
					if fields[i+1] != tc.query {
						t.Errorf("%s: outcome of the query: got: %v, want: %v", name, fields[i+1], tc.query)
					}
				}
			}
		}
		queue := testQueue
		queue.Permission = &order.PermissionPolicy{BaseTime: 25 * time.Millisecond, TimePerWorker: time.Millisecond, ValidFor: 2 * time.Second}
		w.queues, w.channels = []order.Queue{queue}, []string{"n1", "n2", "n3"}
		w.takeOver()
		w.addWorkers(2, workerCapacity)
		w.run(12 * time.Second)
		tc.hold(w)
		w.run(time.Second)
		w.submit("a", newStep(1, time.Minute))
		w.run(6 * time.Second)
		want := map[string]int{}
		if tc.passedOver != "" {
			want[tc.passedOver] = 3
		}
		if !maps.Equal(logged, want) {
			t.Errorf("%s: lines about a job that waits for 6 s: got: %v, want: %v", name, logged, want)
		}
	}
}
