// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// BenchmarkOwner measures what a task costs the owner of many workers with delegates, from the
// submission of its job to its end: the loop, the engine, messages in both directions and the
// records. The workers are simulated in the same process by timers, whose cost is included. Two
// thirds of the total capacity are in use.
//
// With one processor and 1,100 workers a task takes 180 us. It took 366 us before attempts were
// checked less often, the rate of polls was limited by the number of workers, and scheduling passes
// were throttled.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{350, 1100, 5000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) { benchOwner(b, workers) })
	}
}

// simulatedWorkers run each task that they start for the task's duration.
type simulatedWorkers struct {
	n         int
	mu        sync.Mutex
	byID      map[order.WorkerID]*simulatedWorker
	owner     *owner.Owner
	done      atomic.Int64
	durations map[work.JobID]time.Duration
	startedAt time.Time
}

type simulatedWorker struct {
	running  map[work.TaskID]*order.Running
	finished []order.End
	lastEnd  uint64
	// pendingPoll is a long poll that waits for the end of a task.
	pendingPoll *delegate.Order
}

func newSimulatedWorkers(n int) *simulatedWorkers {
	return &simulatedWorkers{n: n, byID: map[order.WorkerID]*simulatedWorker{}, durations: map[work.JobID]time.Duration{}, startedAt: time.Now()}
}

func (l *simulatedWorkers) DrainedZones(context.Context) ([]string, error) { return nil, nil }

func (l *simulatedWorkers) Workers(context.Context) ([]order.Worker, error) {
	out := make([]order.Worker, l.n)
	for i := range out {
		out[i] = order.Worker{
			ID: order.WorkerID(fmt.Sprintf("i-%010x", i)), Service: "pool", Zone: fmt.Sprintf("z%d", i%5),
			Capacity: leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32768},
		}
	}
	return out, nil
}

func (l *simulatedWorkers) Usable() []delegate.Node {
	out := make([]delegate.Node, 15)
	for i := range out {
		out[i] = delegate.Node{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%5), LinkID: 1, Capacity: l.n}
	}
	return out
}

// Send receives orders in the form in which they arrive over a link.
func (l *simulatedWorkers) Send(_ string, batch *delegate.Batch) bool {
	data, err := codec.MarshalCompact(batch)
	if err != nil {
		panic(err)
	}
	go l.runBatch(data)
	return true
}

func (l *simulatedWorkers) runBatch(data []byte) {
	batch := &delegate.Batch{}
	if err := codec.Unmarshal(data, batch); err != nil {
		panic(err)
	}
	time.Sleep(3 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []delegate.Outcome{}
	for i := range batch.Orders {
		if o := l.handle(&batch.Orders[i]); o != nil {
			out = append(out, *o)
		}
	}
	l.reply(out)
}

func (l *simulatedWorkers) reply(out []delegate.Outcome) {
	if len(out) == 0 {
		return
	}
	data, err := codec.MarshalCompact(out)
	if err != nil {
		panic(err)
	}
	go l.runReply(data)
}

// runReply is the owner's end of a link.
func (l *simulatedWorkers) runReply(data []byte) {
	out := []delegate.Outcome{}
	if err := codec.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	l.owner.HandleOutcomes(out)
}

func (l *simulatedWorkers) at() order.WorkerTime { return order.WorkerTime(time.Since(l.startedAt)) }

func (l *simulatedWorkers) worker(id order.WorkerID) *simulatedWorker {
	w := l.byID[id]
	if w == nil {
		w = &simulatedWorker{running: map[work.TaskID]*order.Running{}}
		l.byID[id] = w
	}
	return w
}

func (l *simulatedWorkers) handle(o *delegate.Order) *delegate.Outcome {
	switch {
	case o.Start != nil:
		w := l.worker(o.Start.Worker)
		w.running[o.Start.Task] = &order.Running{Task: o.Start.Task, Run: o.Start.Run}
		time.AfterFunc(l.durations[o.Start.Task.Job], func() { l.end(w, o.Start.Task) })
		return &delegate.Outcome{ID: o.ID, Start: order.StartSucceeded, At: l.at()}
	case o.Poll != nil:
		w := l.worker(o.Poll.Worker)
		for len(w.finished) > 0 && w.finished[0].Number <= o.Poll.Confirmed {
			w.finished = w.finished[1:]
		}
		if o.Poll.Wait == 0 || len(w.finished) > 0 {
			return l.listing(w, o)
		}
		w.pendingPoll = o
		time.AfterFunc(o.Poll.Wait, func() { l.expirePoll(w, o) })
		return nil
	case o.Stop != nil:
		return &delegate.Outcome{ID: o.ID, IsStopKnown: true, At: l.at()}
	}
	return nil
}

func (l *simulatedWorkers) listing(w *simulatedWorker, o *delegate.Order) *delegate.Outcome {
	listing := &order.Listing{At: l.at(), Finished: append([]order.End{}, w.finished...)}
	for _, r := range w.running {
		r.Percent = min(r.Percent+7, 99)
		listing.Running = append(listing.Running, *r)
	}
	return &delegate.Outcome{ID: o.ID, Poll: order.PollAnswered, Listing: listing}
}

func (l *simulatedWorkers) expirePoll(w *simulatedWorker, o *delegate.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.pendingPoll == o {
		w.pendingPoll = nil
		l.reply([]delegate.Outcome{*l.listing(w, o)})
	}
}

func (l *simulatedWorkers) end(w *simulatedWorker, id work.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.lastEnd++
	w.finished = append(w.finished, order.End{Number: w.lastEnd, Task: id, Run: w.running[id].Run, Kind: order.EndSucceeded})
	delete(w.running, id)
	l.done.Add(1)
	if o := w.pendingPoll; o != nil {
		w.pendingPoll = nil
		l.reply([]delegate.Outcome{*l.listing(w, o)})
	}
}

// fakeChannels permit seven tenths of the workers.
type fakeChannels struct{}

func (fakeChannels) Names() []string {
	out := make([]string, 147)
	for i := range out {
		out[i] = fmt.Sprintf("n%03d", i)
	}
	return out
}

func (fakeChannels) Query(_ context.Context, _ string, _ work.StepID, workers []order.WorkerID) ([]order.Permit, time.Duration, error) {
	time.Sleep(33 * time.Millisecond)
	out := []order.Permit{}
	for i, w := range workers {
		if i%10 < 7 {
			out = append(out, order.Permit{Worker: w, Text: "0123456789abcdef"})
		}
	}
	return out, 2500 * time.Millisecond, nil
}

func cpuTime() time.Duration {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchOwner(b *testing.B, n int) {
	workers := newSimulatedWorkers(n)
	log := fakestore.NewLog()
	r := owner.Record{Node: "n", Incarnation: "l", Epoch: 1}
	if _, err := owner.AppendRecord(b.Context(), log, &r, 0); err != nil {
		b.Fatal(err)
	}
	o := owner.New(owner.Options{
		Claim: owner.Claim{Record: r, HasAllPlacements: true}, Store: slowLog{log}, Workers: newFakeWorkers(), List: workers,
		Delegates: workers, DirectWorkers: 1, PermissionChannels: fakeChannels{}, Clock: clock.Real{}, Metrics: noMetrics{},
		HasStoreOutage: func(time.Time, int) bool { return false }, MaxStrength: func() float64 { return 1 }, Log: func(events.Event, ...any) {},
		StopTime: 200 * time.Millisecond, Heartbeat: 1500 * time.Millisecond,
	})
	workers.owner = o
	o.SetPolicy(1, order.Policy{Queues: []order.Queue{
		{Name: "short", Service: "pool", MaxAttempts: 3, Stretch: 1.5, TargetLatency: 250 * time.Millisecond, Permission: &order.PermissionPolicy{BaseTime: 33 * time.Millisecond, TimePerWorker: time.Millisecond / 2, ValidFor: 2500 * time.Millisecond}},
		{Name: "long", Service: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2.2, TargetLatency: 1200 * time.Millisecond, Permission: &order.PermissionPolicy{BaseTime: 33 * time.Millisecond, TimePerWorker: time.Millisecond / 2, ValidFor: 2500 * time.Millisecond}},
	}})
	done := make(chan error, 1)
	go func() { done <- o.Run(b.Context()) }()
	for !o.IsLoaded() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	// A sixth of the capacity for tasks of 1 s, half of it for tasks of 6 s.
	capacity := float64(n) * 16
	go submitLoad(b, workers, "short", 13, 3500, time.Second, capacity/6/3.5/13, stop)
	go submitLoad(b, workers, "long", 26, 4500, 6*time.Second, capacity/2/4.5/26/6, stop)
	for workers.done.Load() < int64(n) {
		time.Sleep(10 * time.Millisecond)
	}
	b.ResetTimer()
	startedAt, cpu, doneBefore := time.Now(), cpuTime(), workers.done.Load()
	for workers.done.Load()-doneBefore < int64(b.N) {
		time.Sleep(10 * time.Millisecond)
	}
	took, used, tasks := time.Since(startedAt), cpuTime()-cpu, workers.done.Load()-doneBefore
	b.StopTimer()
	b.ReportMetric(float64(used.Microseconds())/float64(tasks), "cpu-us/task")
	b.ReportMetric(float64(tasks)/took.Seconds(), "tasks/s")
	b.ReportMetric(used.Seconds()/took.Seconds(), "cores")
	close(stop)
	o.Stop()
	<-done
}

// submitLoad submits jobs at a constant rate until stop is closed.
func submitLoad(b *testing.B, l *simulatedWorkers, queue string, tasks int, milli int64, duration time.Duration, perSecond float64, stop <-chan struct{}) {
	b.Helper()
	rng := rand.New(rand.NewPCG(1, uint64(tasks)))
	payload := strings.Repeat("x", 800)
	ticks := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticks.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		id := work.JobID(fmt.Sprintf("%s%012x", queue[:4], i))
		l.mu.Lock()
		l.durations[id] = time.Duration((0.5 + rng.Float64()) * float64(duration))
		l.mu.Unlock()
		go func() {
			_ = l.owner.Submit(context.Background(), &work.Spec{
				ID: id, Queue: queue, Payload: payload, AcceptedAt: time.Now(),
				Steps: []work.Step{{Count: tasks, Need: leverdyke.Resources{MilliCPU: milli, MemoryMiB: 3600}, Estimate: duration, MaxUnavailable: -1}},
			})
		}()
	}
}

// slowLog is a store that answers in 4 ms.
type slowLog struct{ store.Log }

func (l slowLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	time.Sleep(4 * time.Millisecond)
	return l.Log.Append(ctx, a)
}
