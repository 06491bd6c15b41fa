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

// A worker that slows down in the middle of its tasks must be detected by their latest rate of
// progress. Such a worker was once detected only when its tasks had taken two and a half times as
// long as they should.
func TestWorkerThatSlowsDownIsDetectedByItsLatestRate(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		percents []int
		wantSlow bool
	}{
		"goes on":             {[]int{25, 50, 90}, false},
		"turns slow":          {[]int{25, 50, 53}, true},
		"slow from the start": {[]int{3, 6, 10}, true},
	} {
		fakeClock := clock.NewFake()
		startedAt := fakeClock.Now()
		isSlow := false
		e := dispatch.NewEngine(dispatch.Options{Log: func(event events.Event, _ ...any) { isSlow = isSlow || event == events.WorkerSlow }})
		e.Advance(fakeClock.Now())
		e.SetOwnershipConfirmed(true)
		e.SetQueues([]order.Queue{testQueue})
		e.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: workerCapacity}}, true)
		workerTime := func() order.WorkerTime { return order.WorkerTime(time.Second + fakeClock.Now().Sub(startedAt)) }
		e.PollAnswered(&order.Poll{Worker: "w", AskedAt: fakeClock.Now()}, &order.Listing{At: workerTime()})
		for _, id := range []work.JobID{"a", "b"} {
			e.AddJob(&work.Spec{ID: id, Queue: "q", Steps: []work.Step{newStep(1, time.Second)}})
		}
		e.Schedule()
		for b := e.TakeBatch(); b != nil; b = e.TakeBatch() {
			e.Committed(b)
			e.Schedule()
		}
		running := []order.Running{}
		for _, a := range e.Actions() {
			if s, ok := a.(order.Start); ok {
				e.StartAnswered("w", s.Task, s.Run, order.StartSucceeded, workerTime())
				running = append(running, order.Running{Task: s.Task, Run: s.Run})
			}
		}
		for _, percent := range tc.percents {
			fakeClock.Advance(300 * ms)
			e.Advance(fakeClock.Now())
			for i := range running {
				running[i].Percent = percent
			}
			e.PollAnswered(&order.Poll{Worker: "w", AskedAt: fakeClock.Now()}, &order.Listing{At: workerTime(), Running: running})
		}
		if len(running) != 2 || isSlow != tc.wantSlow {
			t.Errorf("%s: slow: got: %v with %d tasks, want: %v with 2", name, isSlow, len(running), tc.wantSlow)
		}
	}
}
