// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	vmCount     = 8
	jobCount    = 10
	tasksPerJob = 40
	usageFactor = 3
	maxSeconds  = 600
)

var (
	largeVM      = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32768, Slots: 32}
	declaredSize = leverdyke.Resources{MilliCPU: 250, MemoryMiB: 2048, Slots: 1}
)

// simulationResult is the outcome of a simulation with wrong declared sizes.
type simulationResult struct {
	// overusedVMSeconds counts, per VM and second, how often tasks used more
	// memory than the VM has. peakMemoryFraction is the highest use on one VM,
	// as a fraction of its memory.
	overusedVMSeconds  int
	peakMemoryFraction float64
	// checkpointed counts the attempts that ended by a checkpoint. finishedAt
	// is the second at which all tasks had ended; 0 if they had not.
	checkpointed, finishedAt int
}

// simulateWrongSizes runs a queue of jobs whose tasks use factor times the
// memory that they declare. It takes the place of the job shards: it requests
// refused and checkpointed tasks again.
func simulateWrongSizes(t *testing.T, factor float64, isUsageReported bool) simulationResult {
	t.Helper()
	h := newHarness(t, vmCount, largeVM)
	if isUsageReported {
		for _, w := range h.workers {
			w.SetFaults(native.WorkerFaults{UsageFactor: factor})
		}
	}
	waiting, running := []worker.Task{}, map[worker.Key]worker.Task{}
	for i := range jobCount * tasksPerJob {
		task := h.newTask(fmt.Sprint("job-", i/tasksPerJob), declaredSize, leverdyke.ClassBatch)
		task.RunTime = 30 * time.Second
		waiting = append(waiting, task)
	}
	result := simulationResult{}
	ended := 0
	for second := 1; second <= maxSeconds && result.finishedAt == 0; second++ {
		items := []node.StartItem{}
		for i := range waiting {
			h.attempt++
			waiting[i].Key.Attempt = h.attempt
			items = append(items, node.StartItem{Task: waiting[i], PackingWeight: 1})
		}
		h.requestStarts(items...)
		h.advanceSeconds(1)
		refused := []worker.Task{}
		for _, task := range waiting {
			if h.answers[task.Key].Worker == "" {
				refused = append(refused, task)
			} else {
				running[task.Key] = task
			}
		}
		waiting = refused
		for key, task := range running {
			update, ok := h.updates[key]
			if !ok {
				continue
			}
			delete(running, key)
			h.rack.OnUpdateAck(&node.AttemptReportAck{JobShard: jobShard, Keys: []worker.Key{key}})
			if update.State == worker.StateSucceeded {
				ended++
				continue
			}
			result.checkpointed++
			waiting = append(waiting, task)
		}
		// recordMemoryUsage counts the VMs whose tasks use more memory than
		// there is.
		result.recordMemoryUsage(h, factor)
		if ended == jobCount*tasksPerJob {
			result.finishedAt = second
		}
	}
	return result
}

// note counts the VMs whose tasks use more memory than there is.
func (result *simulationResult) recordMemoryUsage(h *harness, factor float64) {
	for _, w := range h.workers {
		used := 0.0
		for job := range jobCount {
			used += float64(w.Running(fmt.Sprint("job-", job))) * float64(declaredSize.MemoryMiB) * factor
		}
		fraction := used / float64(largeVM.MemoryMiB)
		result.peakMemoryFraction = max(result.peakMemoryFraction, fraction)
		if fraction > 1 {
			result.overusedVMSeconds++
		}
	}
}

// TestCompareWrongDeclaredSizes prints what wrong declared sizes cost, with and
// without reports of usage. With reports, tasks that use more than they declare
// must cause at most a quarter of the overuse.
func TestCompareWrongDeclaredSizes(t *testing.T) {
	t.Log("\n| real over declared | use is reported | VM-seconds over the memory | worst (%) | attempts checkpointed | all done after (s) |\n|---|---|---|---|---|---|")
	for _, factor := range []float64{1, usageFactor, 1.0 / usageFactor} {
		overusedVMSeconds := map[bool]int{}
		for _, isUsageReported := range []bool{false, true} {
			result := simulateWrongSizes(t, factor, isUsageReported)
			overusedVMSeconds[isUsageReported] = result.overusedVMSeconds
			t.Logf("\n| %.2f | %v | %d | %.0f | %d | %d |", factor, isUsageReported, result.overusedVMSeconds, 100*result.peakMemoryFraction, result.checkpointed, result.finishedAt)
		}
		if overusedVMSeconds[true] > overusedVMSeconds[false] || (factor > 1 && 4*overusedVMSeconds[true] > overusedVMSeconds[false]) {
			t.Errorf("factor %.2f: got: %d VM-seconds over with reports, want: at most a quarter of %d", factor, overusedVMSeconds[true], overusedVMSeconds[false])
		}
	}
}

// placeTasks requests tasks of a job one at a time, and then runs until their
// usage is reported.
func (h *harness) placeTasks(job string, count int, each leverdyke.Resources, change func(*worker.Task)) {
	h.t.Helper()
	for range count {
		task := h.newTask(job, each, leverdyke.ClassBatch)
		if change != nil {
			change(&task)
		}
		h.requestStarts(node.StartItem{Task: task})
	}
	h.advanceSeconds(6)
}

// A VM whose tasks use more than it has must be relieved by the mildest action
// that helps. Urgent tasks and those that must not run twice stay; the operator
// then gets one event.
func TestOverusedVMPreemptsTasks(t *testing.T) {
	once := func(task *worker.Task) { task.IsOnce = true }
	urgent := func(task *worker.Task) { task.Class = leverdyke.ClassUrgent }
	processors := leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 100, Slots: 1}
	memory := leverdyke.Resources{MilliCPU: 100, MemoryMiB: 1000, Slots: 1}
	for name, c := range map[string]struct {
		each   leverdyke.Resources
		change func(*worker.Task)
		// running is how many of the 4 tasks are left; the ends of the others
		// must be reported.
		running int
	}{
		"too few processors: throttled":                       {processors, nil, 4},
		"too little memory: checkpointed":                     {memory, nil, 2},
		"tasks that must not run twice stay":                  {memory, once, 4},
		"urgent tasks stay":                                   {memory, urgent, 4},
		"tasks that must not run twice keep their processors": {processors, once, 4},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, vmCapacity)
			h.workers["w0"].SetFaults(native.WorkerFaults{UsageFactor: 2})
			h.placeTasks("j", 4, c.each, c.change)
			if got := h.workers["w0"].Running("j"); got != c.running {
				t.Errorf("got: %d running, want: %d", got, c.running)
			}
			throttled := 0
			rep, err := h.workers["w0"].Sync(&worker.Sync{Epoch: epoch})
			if err != nil {
				t.Fatal(err)
			}
			for i := range rep.Tasks {
				if rep.Tasks[i].IsThrottled {
					throttled++
				}
			}
			h.advanceSeconds(20)
			preemptions, overuseEvents := 0, 0
			for _, e := range h.events {
				switch e.Kind {
				case rack.EventPreempted:
					preemptions++
				case rack.EventWorkerOverused:
					overuseEvents++
				}
			}
			if want := c.change != nil; (overuseEvents == 1) != want {
				t.Errorf("got: %d overuse events, want one: %v", overuseEvents, want)
			}
			if preemptions > 4 {
				t.Errorf("got: %d preemptions, want: at most one per task", preemptions)
			}
			if want := c.each == processors && c.change == nil; (throttled > 0) != want {
				t.Errorf("got: %d throttled, want some: %v", throttled, want)
			}
			for key, n := range h.updates {
				if n.State != worker.StateCheckpointed || n.IsWorkerAtFault {
					t.Errorf("%s: got: %+v, want: checkpointed and the worker not at fault", key, n)
				}
			}
		})
	}
}

// A task must be placed by what other tasks of its job use, if that is more
// than it declares, or its VM is overused at once. It must still start on an
// empty VM that holds its declared size, even if the others use more than the
// VM has.
func TestTaskIsPlacedByUsageOfOthersInItsJob(t *testing.T) {
	h := newHarness(t, 2, vmCapacity)
	for _, w := range h.workers {
		w.SetFaults(native.WorkerFaults{UsageFactor: 3})
	}
	h.placeTasks("j", 1, small, nil)
	h.placeTasks("j", 2, small, nil)
	for _, id := range h.names {
		if got := h.workers[id].Running("j"); got != 1 {
			t.Errorf("%s: got: %d running, want: 1: two use more than there is", id, got)
		}
	}
	if len(h.updates) > 0 {
		t.Errorf("got: %v, want: no task preempted", h.updates)
	}
	huge := newHarness(t, 1, vmCapacity)
	huge.workers["w0"].SetFaults(native.WorkerFaults{UsageFactor: 9})
	huge.placeTasks("j", 1, small, func(task *worker.Task) { task.RunTime = 4 * time.Second })
	huge.placeTasks("j", 1, small, nil)
	if got := huge.workers["w0"].Starts(); got != 2 {
		t.Errorf("got: %d starts, want: 2: the VM was empty", got)
	}
}

// Declared run times are often wrong, so no decision may depend on them.
func TestWrongRunTimesChangeNoDecision(t *testing.T) {
	decide := func(factor time.Duration) string {
		h := newHarness(t, 3, vmCapacity)
		for i := range 40 {
			task := h.newTask(fmt.Sprint("j", i%5), leverdyke.Resources{MilliCPU: int64(300 + 97*i%1500), MemoryMiB: int64(200 + 61*i%900), Slots: 1}, leverdyke.ClassNormal)
			task.RunTime = time.Minute * factor / 10
			h.requestStarts(node.StartItem{Task: task, PackingWeight: 1})
		}
		return fmt.Sprint(h.decisions)
	}
	want := decide(10)
	for _, factor := range []time.Duration{1, 100} {
		if got := decide(factor); got != want {
			t.Errorf("factor %d/10: got: %v, want: %v", factor, got, want)
		}
	}
}
