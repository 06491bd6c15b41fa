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

// Three times as many jobs as workers can do: what waits is looked at in turn, what is
// most urgent each time, and all of it is served in the end.
func TestOverloadServesEarliestJobsFirst(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(4, room)
	w.run(time.Second)
	for i := range 400 {
		w.submit(fmt.Sprintf("j%03d", i), step(2, 200*time.Millisecond))
	}
	w.run(2 * time.Second)
	for i := range 24 {
		if got := state(w, work.JobID(fmt.Sprintf("j%03d", i))); got == work.JobQueued {
			t.Errorf("job %d, one of the first: got: %v, want: begun", i, got)
		}
	}
	w.run(40 * time.Second)
	for i := range 400 {
		expectState(t, w, work.JobID(fmt.Sprintf("j%03d", i)), work.JobSucceeded)
	}
	expectWhole(t, w)
}

// A small task behind many large ones that find no room is found in its turn.
func TestSmallTaskBehindManyLargeOnesIsStarted(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(4, room)
	w.run(time.Second)
	longTask := step(1, time.Hour)
	longTask.Need.MilliCPU = 3000
	for i := range 4 {
		w.submit(fmt.Sprintf("full%d", i), longTask)
	}
	w.run(500 * time.Millisecond)
	large := step(1, time.Second)
	large.Need.MilliCPU = 2000
	for i := range 300 {
		w.submit(fmt.Sprintf("large%d", i), large)
	}
	w.submit("small", step(1, 100*time.Millisecond))
	w.run(3 * time.Second)
	expectState(t, w, "small", work.JobSucceeded)
	expectWhole(t, w)
}

// An owner that hands over orders the rest of a gang of which members are ordered: these
// would wait for the others in vain.
func TestPausedOwnerOrdersTheRestOfAStartedGang(t *testing.T) {
	const members = 120
	fakeClock := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(fakeClock.Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	entries := []order.Worker{}
	for i := range members {
		entries = append(entries, order.Worker{ID: order.WorkerID(fmt.Sprint(i)), Service: "pool", Capacity: step(1, 0).Need})
	}
	e.SetWorkers(entries, true)
	for _, a := range e.Actions() {
		poll := a.(order.Poll)
		e.PollAnswered(&poll, &order.Listing{At: 1})
	}
	gang := step(members, time.Second)
	gang.IsGang = true
	e.AddJob(&work.Spec{ID: "g", Queue: "q", Steps: []work.Step{gang}})
	e.Committed(e.TakeBatch())
	e.Decide()
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
	if !e.HasReady() {
		t.Fatalf("members that wait for their turn: got: none, want: some of %d", members)
	}
	for range members {
		answerStarts()
	}
	if started != members || e.HasReady() {
		t.Errorf("members ordered: got: %d, want: %d", started, members)
	}
}

// A member of a gang that cannot be ordered any more takes the others with it: they would
// wait for it until their gang time is over.
func TestGangIsAbandonedWhenAMemberCannotBeOrdered(t *testing.T) {
	fakeClock := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(fakeClock.Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	entries := []order.Worker{}
	for i := range 3 {
		entries = append(entries, order.Worker{ID: order.WorkerID(fmt.Sprint(i)), Service: "pool", Capacity: step(1, 0).Need})
	}
	e.SetWorkers(entries, true)
	for _, a := range e.Actions() {
		poll := a.(order.Poll)
		e.PollAnswered(&poll, &order.Listing{At: 1})
	}
	gang := step(3, time.Second)
	gang.IsGang = true
	e.AddJob(&work.Spec{ID: "g", Queue: "q", Steps: []work.Step{gang}})
	e.Committed(e.TakeBatch())
	e.Decide()
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
		t.Errorf("members that wait for one that was not ordered: got: %v, want: none", ordered)
	}
}

// The end of an earlier attempt may come between the order to start another one and its
// handing out: that order must not leave any more. It broke a promise once in some 3,000
// plays of TestPromisesHoldInAnyLab (seed 15116943577760558889).
func TestStartOfAnEndedTaskIsNotSent(t *testing.T) {
	fakeClock := clock.NewFake()
	e := dispatch.NewEngine(dispatch.Options{})
	e.Advance(fakeClock.Now())
	e.SetTrusted(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "v", Service: "pool", Capacity: room}}, true)
	for _, a := range e.Actions() {
		poll := a.(order.Poll)
		e.PollAnswered(&poll, &order.Listing{At: 1})
	}
	e.Actions()
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(1, time.Second)}})
	e.Committed(e.TakeBatch())
	e.Decide()
	e.Committed(e.TakeBatch())
	// Its end on another worker is told, of an attempt that an earlier owner started.
	task := work.TaskID{Job: "a"}
	e.PollAnswered(&order.Poll{Worker: "v", IsImmediate: true}, &order.Listing{At: 2, Finished: []order.End{{Number: 1, Task: task, Run: 7, Kind: order.EndSucceeded}}})
	if state, _ := e.State("a"); state != work.JobRunning {
		t.Fatalf("state: got: %v, want: %v until it is kept", state, work.JobRunning)
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
