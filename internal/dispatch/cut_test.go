// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The log told how many attempts ended with a worker, not which: a task that crashes
// workers and those beside it looked alike.
func TestTheLogTellsWhichAttemptsEndWithAWorker(t *testing.T) {
	told := map[work.TaskID]int{}
	e := dispatch.NewEngine(dispatch.Options{Log: func(ev events.Event, keysAndValues ...any) {
		if ev == events.AttemptEndedWithWorker {
			told[keysAndValues[1].(work.TaskID)]++
		}
	}})
	c := clock.NewFake()
	e.Advance(c.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: room}}, true)
	e.PollAnswered(&order.Poll{Worker: "w", AskedAt: c.Now()}, &order.Listing{At: 10})
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{step(2, time.Second)}})
	e.Committed(e.TakeBatch())
	e.Schedule()
	e.Committed(e.TakeBatch())
	e.IncarnationEnded("w")
	for i := range 2 {
		if got := told[work.TaskID{Job: "a", Index: i}]; got != 1 {
			t.Errorf("lines on task %d: got: %d, want: 1", i, got)
		}
	}
}
