// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

var (
	slowPolicy = order.PermissionPolicy{BaseTime: 560 * time.Millisecond, TimePerWorker: 8 * time.Millisecond, ValidFor: 2 * time.Second}
	widePolicy = order.PermissionPolicy{BaseTime: 130 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, ValidFor: 2 * time.Second}
)

// newBacklogSim returns a simulation of workers with 32 cores, on each of which a task runs that leaves
// freeCores. Queue "slow" goes before "wide"; both require permits.
func newBacklogSim(workers, channels int, freeCores int64) *sim {
	w := newSim(1)
	slow, wide, running := testQueue, testQueue, testQueue
	slow.Name, slow.Priority, slow.Permission = "slow", 1, &slowPolicy
	wide.Name, wide.Priority, wide.Permission = "wide", 2, &widePolicy
	running.Name = "running"
	w.queues = []order.Queue{slow, wide, running}
	for i := range channels {
		w.channels = append(w.channels, fmt.Sprintf("n%d", i))
	}
	w.takeOver()
	w.addWorkers(workers, loadWorkerCapacity)
	w.run(time.Second)
	if occupied := 32 - freeCores; occupied > 0 {
		w.submitTo("running", "running", work.Step{Count: workers, Need: cores(occupied), Estimate: time.Hour, MaxPerWorker: 1, MaxUnavailable: -1})
	}
	w.run(time.Second)
	return w
}

func cores(n int64) leverdyke.Resources { return leverdyke.Resources{MilliCPU: 1000 * n} }

func gangOf(n int, need leverdyke.Resources) work.Step {
	return work.Step{Count: n, Need: need, Estimate: time.Hour, MaxUnavailable: -1, IsGang: true}
}

// Gangs of a pool with much free capacity that fit on no worker must not occupy all channels before
// smaller tasks of a less urgent queue that could start: large jobs of that queue were never served.
func TestGangsThatCannotStartLeaveChannelsToTasksThatCan(t *testing.T) {
	const workers, channels, gangs, wideSteps, wideTasks = 40, 8, 60, 8, 20
	w := newBacklogSim(workers, channels, 18)
	for i := range gangs {
		w.submitTo("slow", fmt.Sprintf("gang%d", i), gangOf(4, cores(20)))
	}
	w.run(time.Second)
	started := 0
	w.onStart = func(order.Start) { started++ }
	for i := range wideSteps {
		w.submitTo("wide", fmt.Sprintf("wide%d", i), work.Step{Count: wideTasks, Need: cores(3), Estimate: 500 * time.Millisecond, MaxUnavailable: -1})
	}
	// Each gang may ask about all workers once, through the channels that are not kept for short queries.
	exploring := time.Duration(gangs) * (slowPolicy.BaseTime + workers*slowPolicy.TimePerWorker) / (channels - 2)
	asking := time.Duration(wideSteps) * (widePolicy.BaseTime + workers*widePolicy.TimePerWorker)
	w.run(exploring + asking)
	if started != wideSteps*wideTasks {
		t.Errorf("tasks started within %v: got: %d, want: all %d, which fit side by side", exploring+asking, started, wideSteps*wideTasks)
	}
	expectNoViolations(t, w)
}

// A query uses a part of the workers that it names. The others must not count as full for the queries that
// are made meanwhile: these then named many times the workers that they needed.
func TestQueriesInFlightDoNotMakeFreeWorkersLookFull(t *testing.T) {
	const workers, steps, tasks = 60, 8, 3
	w := newBacklogSim(workers, 12, 32)
	queried := map[work.JobID]int{}
	w.onPermissionQuery = func(q order.QueryPermission) { queried[q.Step.Job] = len(q.Workers) }
	for i := range steps {
		w.submitTo("slow", fmt.Sprintf("job%d", i), work.Step{Count: tasks, Need: cores(30), Estimate: time.Hour, MaxUnavailable: -1})
	}
	w.run(100 * time.Millisecond)
	if len(queried) != steps {
		t.Fatalf("steps that query: got: %d, want: %d", len(queried), steps)
	}
	for id, named := range queried {
		if id != "job0" && named > 2*queried["job0"] {
			t.Errorf("%s: got: %d workers named, want: about the %d of the first query, since %d tasks leave most of the %d workers empty", id, named, queried["job0"], steps*tasks, workers)
		}
	}
}

// A gang that holds permits must not wait for capacity that is reserved for one of the same priority that
// holds none, unless that is the first in order: the capacity stood idle.
func TestGangWithPermitsStartsBesideOneThatWaitsWithoutPermits(t *testing.T) {
	const workers = 20
	w := newBacklogSim(workers, 6, 30)
	policy := slowPolicy
	policy.ValidFor = 600 * time.Millisecond
	w.queues[0].Permission = &policy
	w.engine.SetQueues(w.queues)
	w.isStepPermitted = func(_ *order.Queue, s work.StepID, id order.WorkerID) bool { return s.Job != "first" || id < "w05" }
	w.submitTo("running", "busy", work.Step{Count: 8, Need: cores(20), Estimate: time.Hour, MaxPerWorker: 1, MaxUnavailable: -1})
	w.run(time.Second)
	w.submitTo("slow", "first", gangOf(4, cores(31)))
	w.run(2 * time.Second)
	w.submitTo("slow", "large", gangOf(14, cores(20)))
	w.run(2 * time.Second)
	started := map[work.JobID]int{}
	w.onStart = func(a order.Start) { started[a.Task.Job]++ }
	w.submitTo("slow", "small", gangOf(5, cores(20)))
	w.run(10 * time.Second)
	if started["small"] != 5 || started["large"]+started["first"] != 0 {
		t.Errorf("started: got: %v, want: the 5 tasks of the small gang", started)
	}
	expectNoViolations(t, w)
}
