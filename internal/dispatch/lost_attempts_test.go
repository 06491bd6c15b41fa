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

// The log must name each attempt that is lost with its worker. It once had only their number, so
// that a task that crashes workers could not be distinguished from those that ran beside it.
func TestLogNamesAttemptsLostWithTheirWorker(t *testing.T) {
	logged := map[work.TaskID]int{}
	e := dispatch.NewEngine(dispatch.Options{Log: func(event events.Event, keysAndValues ...any) {
		if event == events.AttemptEndedWithWorker {
			logged[keysAndValues[1].(work.TaskID)]++
		}
	}})
	fakeClock := clock.NewFake()
	e.Advance(fakeClock.Now())
	e.SetOwnershipConfirmed(true)
	e.SetQueues([]order.Queue{testQueue})
	e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: workerCapacity}}, true)
	e.PollAnswered(&order.Poll{Worker: "w", AskedAt: fakeClock.Now()}, &order.Listing{At: 10})
	e.AddJob(&work.Spec{ID: "a", Queue: "q", Steps: []work.Step{newStep(2, time.Second)}})
	e.Committed(e.TakeBatch())
	e.Schedule()
	e.Committed(e.TakeBatch())
	e.IncarnationEnded("w")
	for i := range 2 {
		if got := logged[work.TaskID{Job: "a", Index: i}]; got != 1 {
			t.Errorf("log lines on the lost attempt of task %d: got: %d, want: 1", i, got)
		}
	}
}
