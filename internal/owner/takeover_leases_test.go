// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// bubbleClock is the fake clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time       { return time.Now() }
func (bubbleClock) TimeOfDay() time.Time { return time.Now() }

func (bubbleClock) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(period)
	return t.C, t.Stop
}

func (bubbleClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// latencyLog is a store each of whose calls takes a while.
type latencyLog struct {
	*fakestore.Log
	mu      sync.Mutex
	latency time.Duration
}

func (l *latencyLog) set(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = latency
}

// sleep is half of a call.
func (l *latencyLog) sleep() {
	l.mu.Lock()
	d := l.latency / 2
	l.mu.Unlock()
	time.Sleep(d)
}

func (l *latencyLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	l.sleep()
	defer l.sleep()
	return l.Log.Append(ctx, a)
}

func (l *latencyLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	l.sleep()
	defer l.sleep()
	return l.Log.ReadNewest(ctx, topic)
}

// lapsingWorkers run the tasks of a job each, until their leases end.
type lapsingWorkers struct {
	*fakeWorkers
	jobs map[order.WorkerID]work.JobID
	mu   sync.Mutex
	// until is when the lease of each worker ends; a worker is in it once it has one.
	until map[order.WorkerID]time.Time
	// lapsed has the workers whose leases have ended.
	lapsed map[order.WorkerID]bool
	// isPolled has the workers that have got a poll that may wait.
	isPolled map[order.WorkerID]bool
	begin    time.Time
}

// roundTrip is how long a message to a worker and its answer take.
const roundTrip = 4 * time.Millisecond

func (w *lapsingWorkers) Poll(ctx context.Context, _ uint64, p *order.Poll) (*order.Listing, order.PollOutcome) {
	time.Sleep(roundTrip / 2)
	w.renew(p)
	wait := w.waitOf(p)
	select {
	case <-ctx.Done():
		return nil, order.PollUnanswered
	case <-time.After(wait + roundTrip/2):
	}
	l := &order.Listing{At: order.WorkerTime(time.Since(w.begin))}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lapsed[p.Worker] {
		for i := range benchTasksPerJob {
			l.Running = append(l.Running, order.Running{Task: work.TaskID{Job: w.jobs[p.Worker], Index: i}, Run: 1})
		}
	}
	return l, order.PollAnswered
}

// waitOf returns how long a worker waits with its answer. The first waits differ, so that the polls of the workers are spread
// over the time between two of them.
func (w *lapsingWorkers) waitOf(p *order.Poll) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Wait == 0 || w.isPolled[p.Worker] {
		return p.Wait
	}
	w.isPolled[p.Worker] = true
	return p.Wait * time.Duration(len(w.isPolled)) / time.Duration(len(w.jobs))
}

func (w *lapsingWorkers) renew(p *order.Poll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse(p.Worker)
	if until := w.begin.Add(time.Duration(p.Deadline)); p.Deadline > 0 && until.After(w.until[p.Worker]) {
		w.until[p.Worker] = until
	}
}

// lapse ends what runs on a worker whose lease has ended.
func (w *lapsingWorkers) lapse(id order.WorkerID) {
	if until, ok := w.until[id]; ok && !time.Now().Before(until) {
		w.lapsed[id] = true
	}
}

// count returns how many leases have ended, and the shortest time that is left of one.
func (w *lapsingWorkers) count() (lapsed int, shortest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shortest = time.Hour
	for id := range w.jobs {
		w.lapse(id)
		if !w.lapsed[id] {
			shortest = min(shortest, time.Until(w.until[id]))
		}
	}
	return len(w.lapsed), shortest
}

// Guards against work that is lost because a takeover of many workers at a slow store outlasts their leases.
// LEVERDYKE_TAKEOVER_WORKERS sets how many there are; from 2,000 on some leases end (decision 0033).
func TestNoLeaseLapsesAtATakeover(t *testing.T) {
	sizes := []int{48, 500}
	if n, err := strconv.Atoi(os.Getenv("LEVERDYKE_TAKEOVER_WORKERS")); err == nil {
		sizes = []int{n}
	}
	for _, n := range sizes {
		for _, tc := range []takeover{
			{5 * time.Millisecond, 0, false},
			{5 * time.Millisecond, claimDelay, false},
			{350 * time.Millisecond, 0, false},
			{350 * time.Millisecond, claimDelay, false},
			{time.Second, 0, true},
		} {
			t.Run(fmt.Sprintf("%d workers, %v a call, noticed after %v", n, tc.latency, tc.silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLeasesAtATakeover(t, n, tc) })
			})
		}
	}
}

// takeover is a loss of an owner while each call of the store takes a while.
type takeover struct {
	latency time.Duration
	// silence is how long it takes until the next owner begins to claim.
	silence time.Duration
	// mayLapse means that until the jobs are read more time passes than may be left of a lease.
	mayLapse bool
}

func testLeasesAtATakeover(t *testing.T, n int, tc takeover) {
	t.Helper()
	cluster := newBusyCluster(t, n)
	log := &latencyLog{Log: fakestore.NewLog()}
	cluster.store(t, log.Log)
	workers := &lapsingWorkers{fakeWorkers: newFakeWorkers(), jobs: cluster.jobs, until: map[order.WorkerID]time.Time{}, lapsed: map[order.WorkerID]bool{}, isPolled: map[order.WorkerID]bool{}, begin: time.Now().Add(-time.Hour)}
	run := func(o *owner.Options) {
		o.Workers, o.DirectWorkers = workers, n
		o.StopTime, o.Heartbeat = 200*time.Millisecond, 1500*time.Millisecond
		o.Claim.Record.AreWorkersStored = true
	}
	lost := runOwner(t, log, newFakeWorkers(), cluster.list, bubbleClock{}, nil, run)
	time.Sleep(4 * time.Second)
	log.set(tc.latency)
	time.Sleep(6 * time.Second)
	before, left := workers.count()
	lost.Stop()
	lostAt := time.Now()
	time.Sleep(tc.silence)
	next := runOwner(t, log, newFakeWorkers(), cluster.list, bubbleClock{}, nil, run)
	<-next.Loaded()
	took := time.Since(lostAt)
	time.Sleep(5 * time.Second)
	after, _ := workers.count()
	t.Logf("leases that ended: %d before the loss of the owner, %d after; shortest left then: %v; the jobs were read %v after it", before, after-before, left, took)
	if before > 0 || after > 0 && !tc.mayLapse {
		t.Errorf("leases that ended: got: %d before the loss of the owner and %d after, want: none", before, after-before)
	}
	next.Stop()
	// The calls that are under way end.
	time.Sleep(5 * time.Second)
}

// busyCluster has workers of which each runs the tasks of one job.
type busyCluster struct {
	list  *busyWorkerList
	jobs  map[order.WorkerID]work.JobID
	parts [][]store.Record
}

func newBusyCluster(tb testing.TB, n int) *busyCluster {
	tb.Helper()
	c := &busyCluster{list: &busyWorkerList{}, jobs: map[order.WorkerID]work.JobID{}}
	batch := &dispatch.Batch{Progress: map[work.JobID]*work.Progress{}, Queues: []order.Queue{{Name: "q", Service: "pool"}}, Customers: []order.Customer{{Name: "ann"}}}
	for i := range n {
		id, job := order.NewWorkerID(fmt.Sprintf("i-%05d", i), time.UnixMilli(1791916135672)), work.JobID(fmt.Sprintf("%016x", i))
		c.jobs[id] = job
		c.list.workers = append(c.list.workers, order.Worker{ID: id, Service: "pool", Capacity: leverdyke.Resources{MilliCPU: 16_000, MemoryMiB: 32_768}})
		spec := &work.Spec{ID: job, Queue: "q", Customer: "ann", Payload: strings.Repeat("x", 800), Steps: []work.Step{{Count: benchTasksPerJob, Need: leverdyke.Resources{MilliCPU: 1000}, Estimate: time.Hour, MaxUnavailable: -1}}}
		step := work.StepProgress{Run: 1}
		for k := range benchTasksPerJob {
			step.Placements = append(step.Placements, work.Placement{Index: k, Worker: string(id), Run: 1})
		}
		batch.NewJobs, batch.AddedWorkers = append(batch.NewJobs, spec), append(batch.AddedWorkers, id)
		batch.Progress[job] = &work.Progress{State: work.JobRunning, Rounds: map[int][]work.StepProgress{0: {step}}}
	}
	parts, err := owner.EncodeBatch(batch)
	if err != nil {
		tb.Fatal(err)
	}
	c.parts = parts
	return c
}

// store appends the jobs.
func (c *busyCluster) store(tb testing.TB, log store.Log) {
	tb.Helper()
	for _, part := range c.parts {
		if _, err := log.Append(tb.Context(), &store.Append{Topic: owner.TopicJobs, Records: part}); err != nil {
			tb.Fatal(err)
		}
	}
}
