// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// There are three times as many jobs as the workers can serve, and a scheduling pass covers only
// some of the waiting steps: the most urgent ones each time, and the others in rotation. The
// earliest jobs must start first, and all jobs must be served in the end.
func TestOverloadServesEarliestJobsFirst(t *testing.T) {
	w := newSim(1)
	w.addWorkers(4, workerCapacity)
	w.run(time.Second)
	for i := range 400 {
		w.submit(fmt.Sprintf("j%03d", i), newStep(2, 200*time.Millisecond))
	}
	w.run(2 * time.Second)
	for i := range 24 {
		if got := jobState(w, work.JobID(fmt.Sprintf("j%03d", i))); got == work.JobQueued {
			t.Errorf("job %d, one of the first 24: got: %v, want: started", i, got)
		}
	}
	w.run(40 * time.Second)
	for i := range 400 {
		expectState(t, w, work.JobID(fmt.Sprintf("j%03d", i)), work.JobSucceeded)
	}
	expectNoViolations(t, w)
}

// A small task behind 300 large ones that do not fit anywhere must be reached by the rotation and
// start.
func TestSmallTaskBehindManyLargeOnesIsStarted(t *testing.T) {
	w := newSim(1)
	w.addWorkers(4, workerCapacity)
	w.run(time.Second)
	longTask := newStep(1, time.Hour)
	longTask.Need.MilliCPU = 3000
	for i := range 4 {
		w.submit(fmt.Sprintf("full%d", i), longTask)
	}
	w.run(500 * time.Millisecond)
	large := newStep(1, time.Second)
	large.Need.MilliCPU = 2000
	for i := range 300 {
		w.submit(fmt.Sprintf("large%d", i), large)
	}
	w.submit("small", newStep(1, 100*time.Millisecond))
	w.run(3 * time.Second)
	expectState(t, w, "small", work.JobSucceeded)
	expectNoViolations(t, w)
}

// An owner that hands over starts nothing new, but must still order the remaining members of a gang
// of which some are ordered: these would wait for members that never start.
func TestPausedOwnerOrdersTheRestOfAStartedGang(t *testing.T) {
	const members = 120
	fakeClock := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(fakeClock.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	entries := []order.Worker{}
	for i := range members {
		entries = append(entries, order.Worker{ID: order.WorkerID(fmt.Sprint(i)), Service: "pool", Capacity: newStep(1, 0).Need})
	}
	e.SetWorkers(entries, true)
	for _, a := range e.Actions() {
		poll := a.(order.Poll)
		e.PollAnswered(&poll, &order.Listing{At: 1})
	}
	gang := newStep(members, time.Second)
	gang.IsGang = true
	e.AddJob(&work.Spec{ID: "g", Queue: "q", Steps: []work.Step{gang}})
	e.Committed(e.TakeBatch())
	e.Schedule()
	e.Committed(e.TakeBatch())
	started := 0
	answerStarts := func() {
		for _, a := range e.Actions() {
			if s, ok := a.(order.Start); ok {
				started++
				e.StartAnswered(s.Worker, s.Task, s.Run, order.StartSucceeded, 2)
			}
		}
	}
	e.SetPaused(true)
	if !e.HasReadyStarts() {
		t.Fatalf("members ready to be ordered: got: none, want: some of %d", members)
	}
	for range members {
		answerStarts()
	}
	if started != members || e.HasReadyStarts() {
		t.Errorf("members ordered: got: %d, want: %d", started, members)
	}
}

// If a member of a gang can no longer be ordered, the whole gang must be abandoned: the other
// members would wait for it until the gang's time limit has passed.
func TestGangIsAbandonedWhenAMemberCannotBeOrdered(t *testing.T) {
	fakeClock := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(fakeClock.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	entries := []order.Worker{}
	for i := range 3 {
		entries = append(entries, order.Worker{ID: order.WorkerID(fmt.Sprint(i)), Service: "pool", Capacity: newStep(1, 0).Need})
	}
	e.SetWorkers(entries, true)
	for _, a := range e.Actions() {
		poll := a.(order.Poll)
		e.PollAnswered(&poll, &order.Listing{At: 1})
	}
	gang := newStep(3, time.Second)
	gang.IsGang = true
	e.AddJob(&work.Spec{ID: "g", Queue: "q", Steps: []work.Step{gang}})
	e.Committed(e.TakeBatch())
	e.Schedule()
	b := e.TakeBatch()
	entries[1].IsDraining = true
	e.SetWorkers(entries, true)
	e.Committed(b)
	ordered := map[order.WorkerID]bool{}
	for _, a := range e.Actions() {
		switch a := a.(type) {
		case order.Start:
			ordered[a.Worker] = true
		case order.Stop:
			delete(ordered, a.Worker)
		}
	}
	if len(ordered) > 0 {
		t.Errorf("members ordered that wait for one that cannot be: got: %v, want: none", ordered)
	}
}

// The end of an earlier attempt may be reported after the next start was decided and before its
// order is sent: the order must then not be sent. This violated an invariant about once in 3,000
// runs of TestInvariantsHoldOnAcceleratorWorkers (seed 15116943577760558889).
func TestStartOfAnEndedTaskIsNotSent(t *testing.T) {
	fakeClock := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(fakeClock.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "v", Service: "pool", Capacity: workerCapacity}}, true)
	for _, a := range e.Actions() {
		poll := a.(order.Poll)
		e.PollAnswered(&poll, &order.Listing{At: 1})
	}
	e.Actions()
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}})
	e.Committed(e.TakeBatch())
	e.Schedule()
	e.Committed(e.TakeBatch())
	// The worker reports the end of another attempt, which a previous owner had started.
	task := work.TaskID{Job: "a"}
	e.PollAnswered(&order.Poll{Worker: "v", IsImmediate: true}, &order.Listing{At: 2, Finished: []order.End{{Number: 1, Task: task, Run: 7, Kind: order.EndSucceeded}}})
	if state, _ := e.State("a"); state != work.JobRunning {
		t.Fatalf("state: got: %v, want: %v until the end is persisted", state, work.JobRunning)
	}
	for _, a := range e.Actions() {
		if s, ok := a.(order.Start); ok {
			t.Errorf("got: an order to start %v, want: none", s.Task)
		}
	}
	if got := e.Counts().Starts; got != 0 {
		t.Errorf("starts counted: got: %d, want: 0", got)
	}
}
