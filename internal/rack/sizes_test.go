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
	sizeVMs    = 8
	sizeJobs   = 10
	sizeTasks  = 40
	sizeFactor = 3
	sizeTime   = 600
)

var (
	sizeVM   = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32768, Slots: 32}
	sizeEach = leverdyke.Resources{MilliCPU: 250, MemoryMiB: 2048, Slots: 1}
)

// sizeOutcome is what a run with wrong sizes came to.
type sizeOutcome struct {
	// over counts the seconds of VMs whose tasks used more memory than there
	// is, worst the most that one VM's tasks used of it.
	over  int
	worst float64
	// lost counts attempts that were checkpointed, done the seconds until all
	// tasks had ended; 0 if they had not.
	lost, done int
}

// playSizes runs a queue of jobs whose tasks use sizeFactor times, or a third
// of, what they declare. It stands in for the homes: what is refused or
// checkpointed is asked for again.
func playSizes(t *testing.T, factor float64, isReported bool) sizeOutcome {
	t.Helper()
	b := newBench(t, sizeVMs, sizeVM)
	if isReported {
		for _, w := range b.workers {
			w.SetFaults(native.WorkerFaults{UsageFactor: factor})
		}
	}
	waiting, running := []worker.Task{}, map[worker.Key]worker.Task{}
	for i := range sizeJobs * sizeTasks {
		task := b.task(fmt.Sprint("job-", i/sizeTasks), sizeEach, leverdyke.ClassBatch)
		task.RunTime = 30 * time.Second
		waiting = append(waiting, task)
	}
	o := sizeOutcome{}
	ended := 0
	for second := 1; second <= sizeTime && o.done == 0; second++ {
		items := []node.AskItem{}
		for i := range waiting {
			b.attempt++
			waiting[i].Key.Attempt = b.attempt
			items = append(items, node.AskItem{Task: waiting[i], Packing: 1})
		}
		b.ask(items...)
		b.run(1)
		refused := []worker.Task{}
		for _, task := range waiting {
			if b.answers[task.Key].Worker == "" {
				refused = append(refused, task)
			} else {
				running[task.Key] = task
			}
		}
		waiting = refused
		for key, task := range running {
			news, ok := b.news[key]
			if !ok {
				continue
			}
			delete(running, key)
			b.rack.OnNewsAck(&node.NewsAck{Home: home, Keys: []worker.Key{key}})
			if news.State == worker.StateSucceeded {
				ended++
				continue
			}
			o.lost++
			waiting = append(waiting, task)
		}
		o.note(b, factor)
		if ended == sizeJobs*sizeTasks {
			o.done = second
		}
	}
	return o
}

// note counts the VMs whose tasks use more memory than there is.
func (o *sizeOutcome) note(b *bench, factor float64) {
	for _, w := range b.workers {
		used := 0.0
		for job := range sizeJobs {
			used += float64(w.Running(fmt.Sprint("job-", job))) * float64(sizeEach.MemoryMiB) * factor
		}
		part := used / float64(sizeVM.MemoryMiB)
		o.worst = max(o.worst, part)
		if part > 1 {
			o.over++
		}
	}
}

// TestCompareWrongSizes prints what declared sizes cost that are wrong by a
// factor, with reports of use and without.
func TestCompareWrongSizes(t *testing.T) {
	t.Log("\n| real over declared | use is reported | VM-seconds over the memory | worst (%) | attempts checkpointed | all done after (s) |\n|---|---|---|---|---|---|")
	for _, factor := range []float64{1, sizeFactor, 1.0 / sizeFactor} {
		over := map[bool]int{}
		for _, isReported := range []bool{false, true} {
			o := playSizes(t, factor, isReported)
			over[isReported] = o.over
			t.Logf("\n| %.2f | %v | %d | %.0f | %d | %d |", factor, isReported, o.over, 100*o.worst, o.lost, o.done)
		}
		if over[true] > over[false] || (factor > 1 && 4*over[true] > over[false]) {
			t.Errorf("factor %.2f: got: %d VM-seconds over with reports, want: at most a quarter of %d", factor, over[true], over[false])
		}
	}
}

// place asks for tasks of a job, one at a time, and lets their use be reported.
func (b *bench) place(job string, count int, each leverdyke.Resources, change func(*worker.Task)) {
	b.t.Helper()
	for range count {
		task := b.task(job, each, leverdyke.ClassBatch)
		if change != nil {
			change(&task)
		}
		b.ask(node.AskItem{Task: task})
	}
	b.run(6)
}

func TestOverusedVMIsRelieved(t *testing.T) {
	once := func(task *worker.Task) { task.IsOnce = true }
	urgent := func(task *worker.Task) { task.Class = leverdyke.ClassUrgent }
	processors := leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 100, Slots: 1}
	memory := leverdyke.Resources{MilliCPU: 100, MemoryMiB: 1000, Slots: 1}
	for name, c := range map[string]struct {
		each   leverdyke.Resources
		change func(*worker.Task)
		// running tasks of 4 are left, and as many ends have been told.
		running int
	}{
		"too few processors throttle":       {processors, nil, 4},
		"too little memory checkpoints":     {memory, nil, 2},
		"what may not be repeated is left":  {memory, once, 4},
		"what is urgent is left":            {memory, urgent, 4},
		"processors of once-only work stay": {processors, once, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, vm)
			b.workers["w0"].SetFaults(native.WorkerFaults{UsageFactor: 2})
			b.place("j", 4, c.each, c.change)
			if got := b.workers["w0"].Running("j"); got != c.running {
				t.Errorf("got: %d running, want: %d", got, c.running)
			}
			throttled := 0
			rep, err := b.workers["w0"].Sync(&worker.Sync{Epoch: epoch})
			if err != nil {
				t.Fatal(err)
			}
			for i := range rep.Tasks {
				if rep.Tasks[i].IsThrottled {
					throttled++
				}
			}
			b.run(20)
			pushes, reports := 0, 0
			for _, e := range b.events {
				switch e.Kind {
				case rack.EventPreempted:
					pushes++
				case rack.EventWorkerOverused:
					reports++
				}
			}
			if want := c.change != nil; (reports == 1) != want {
				t.Errorf("got: %d reports to the operator, want one: %v", reports, want)
			}
			if pushes > 4 {
				t.Errorf("got: %d tasks pushed, want: at most one push a task", pushes)
			}
			if want := c.each == processors && c.change == nil; (throttled > 0) != want {
				t.Errorf("got: %d throttled, want some: %v", throttled, want)
			}
			for key, n := range b.news {
				if n.State != worker.StateCheckpointed || n.IsBlamed {
					t.Errorf("%s: got: %+v, want: checkpointed and nobody blamed", key, n)
				}
			}
		})
	}
}

// A task of a job whose others use more than they declare is placed by what
// they use, but is never kept from running where it fits an empty VM.
func TestTaskIsPlacedByWhatOthersOfItsJobUse(t *testing.T) {
	b := newBench(t, 2, vm)
	for _, w := range b.workers {
		w.SetFaults(native.WorkerFaults{UsageFactor: 3})
	}
	b.place("j", 1, small, nil)
	b.place("j", 2, small, nil)
	for _, id := range b.names {
		if got := b.workers[id].Running("j"); got != 1 {
			t.Errorf("%s: got: %d running, want: 1: two use more than there is", id, got)
		}
	}
	if len(b.news) > 0 {
		t.Errorf("got: %v, want: no task that had to be moved", b.news)
	}
	huge := newBench(t, 1, vm)
	huge.workers["w0"].SetFaults(native.WorkerFaults{UsageFactor: 9})
	huge.place("j", 1, small, func(task *worker.Task) { task.RunTime = 4 * time.Second })
	huge.place("j", 1, small, nil)
	if got := huge.workers["w0"].Starts(); got != 2 {
		t.Errorf("got: %d starts, want: 2: the VM was empty", got)
	}
}

// No decision hangs on how long a task says that it runs.
func TestWrongRunTimesChangeNoDecision(t *testing.T) {
	decide := func(factor time.Duration) string {
		b := newBench(t, 3, vm)
		for i := range 40 {
			task := b.task(fmt.Sprint("j", i%5), leverdyke.Resources{MilliCPU: int64(300 + 97*i%1500), MemoryMiB: int64(200 + 61*i%900), Slots: 1}, leverdyke.ClassNormal)
			task.RunTime = time.Minute * factor / 10
			b.ask(node.AskItem{Task: task, Packing: 1})
		}
		return fmt.Sprint(b.decided)
	}
	want := decide(10)
	for _, factor := range []time.Duration{1, 100} {
		if got := decide(factor); got != want {
			t.Errorf("factor %d/10: got: %v, want: %v", factor, got, want)
		}
	}
}
