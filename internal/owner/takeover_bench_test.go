// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// BenchmarkTakeover measures what a takeover reads and appends, and how long it takes from the claim until the
// new owner knows what its predecessor started. Each worker runs four tasks of one job, and its ID is stored.
func BenchmarkTakeover(b *testing.B) {
	for _, workers := range []int{48, 1100, 12_000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) { benchTakeover(b, workers) })
	}
}

const benchTasksPerJob = 4

// busyWorkers each run the tasks of one job, which do not end.
type busyWorkers struct {
	*fakeWorkers
	jobs map[order.WorkerID]work.JobID
	// reported has the workers that have answered their first poll.
	mu       sync.Mutex
	reported map[order.WorkerID]bool
}

func (w *busyWorkers) Poll(ctx context.Context, _ uint64, p *order.Poll) (*order.Listing, order.PollOutcome) {
	w.mu.Lock()
	hasReported := w.reported[p.Worker]
	w.reported[p.Worker] = true
	w.mu.Unlock()
	if hasReported && p.Wait > 0 {
		<-ctx.Done()
		return nil, order.PollUnanswered
	}
	l := &order.Listing{At: w.at()}
	for i := range benchTasksPerJob {
		l.Running = append(l.Running, order.Running{Task: work.TaskID{Job: w.jobs[p.Worker], Index: i}, Run: 1})
	}
	return l, order.PollAnswered
}

// busyWorkerList lists the workers.
type busyWorkerList struct {
	oneWorkerList
	workers []order.Worker
}

func (l *busyWorkerList) Workers(context.Context) ([]order.Worker, error) { return l.workers, nil }

// countingLog counts what is read of the jobs' topic, and the appends to it.
type countingLog struct {
	store.Log
	readBytes, appends atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if a.Topic == owner.TopicJobs {
		l.appends.Add(1)
	}
	return l.Log.Append(ctx, a)
}

func (l *countingLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	newest, err := l.Log.ReadNewest(ctx, topic)
	if err == nil && topic == owner.TopicJobs {
		l.readBytes.Add(int64(sizeOf(newest.Records, "")))
	}
	return newest, err
}

// sizeOf returns the size in bytes of the keys and values of records whose keys have a prefix.
func sizeOf(records []store.Record, prefix string) int {
	n := 0
	for i := range records {
		if strings.HasPrefix(records[i].Key, prefix) {
			n += len(records[i].Key) + len(records[i].Value)
		}
	}
	return n
}

func benchTakeover(b *testing.B, n int) {
	cluster := newBusyCluster(b, n)
	stored := 0
	for _, part := range cluster.parts {
		stored += sizeOf(part, "w/") + sizeOf(part, "q/") + sizeOf(part, "c/")
	}
	log := &countingLog{}
	for b.Loop() {
		b.StopTimer()
		log.Log = fakestore.NewLog()
		cluster.store(b, log.Log)
		workers := &busyWorkers{fakeWorkers: newFakeWorkers(), jobs: cluster.jobs, reported: map[order.WorkerID]bool{}}
		b.StartTimer()
		takeOver(b, log, workers, cluster.list)
	}
	b.ReportMetric(float64(stored)/1000, "kB-of-workers-and-policies")
	b.ReportMetric(float64(log.readBytes.Load())/float64(b.N)/1000, "kB-read/op")
	b.ReportMetric(float64(log.appends.Load())/float64(b.N), "appends/op")
}

// takeOver runs an owner until it knows what its predecessor started.
func takeOver(b *testing.B, log store.Log, workers *busyWorkers, list owner.List) {
	b.Helper()
	previous := owner.Record{Node: "p", Incarnation: "1", Epoch: 1, MayHaveUnpersisted: true, WritesBehindByFlagOnly: true, AreWorkersStored: true, ListedWorkers: len(workers.jobs)}
	r := owner.Record{Node: "n", Incarnation: "1", Epoch: 2, MayHaveUnpersisted: true, WritesBehindByFlagOnly: true, AreWorkersStored: true, ListedWorkers: previous.ListedWorkers}
	if _, err := owner.AppendRecord(b.Context(), log, &r, 0); err != nil {
		b.Fatal(err)
	}
	isKnown := make(chan struct{})
	o := owner.New(owner.Options{
		Claim: owner.Claim{Record: r, Previous: &previous, HasPreviousEnded: true}, Store: log, Workers: workers, List: list,
		DirectWorkers: len(workers.jobs), PermissionChannels: noChannels{}, Clock: clock.Real{}, Metrics: noMetrics{},
		HasStoreOutage: func(time.Time, int) bool { return false }, MaxStrength: func() float64 { return 1 },
		Log: func(e events.Event, _ ...any) {
			if e == events.UncertaintyEnded {
				close(isKnown)
			}
		},
		StopTime: 200 * time.Millisecond, Heartbeat: 1500 * time.Millisecond,
	})
	o.SetPolicy(1, order.Policy{Queues: []order.Queue{{Name: "q", Service: "pool"}}, Customers: []order.Customer{{Name: "ann"}}})
	done := make(chan error, 1)
	go func() { done <- o.Run(context.WithoutCancel(b.Context())) }()
	<-isKnown
	b.StopTimer()
	o.Stop()
	<-done
	b.StartTimer()
}
