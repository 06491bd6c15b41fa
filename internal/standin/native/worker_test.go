// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package native_test

import (
	"errors"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const ttl = 10 * time.Second

func newWorker() (*native.Worker, *clock.Fake, *native.Oracle) {
	c, o := clock.NewFake(), native.NewOracle()
	return native.NewWorker("w", leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000, Slots: 2}, c, o), c, o
}

func newTask(index int, attempt uint64) worker.Task {
	return worker.Task{
		Key:      worker.Key{Task: leverdyke.TaskID{Job: "j", Index: index}, Attempt: attempt},
		Declared: leverdyke.Resources{MilliCPU: 100, MemoryMiB: 100, Slots: 1},
	}
}

func start(t *testing.T, w *native.Worker, report *worker.Report, epoch worker.Epoch, task worker.Task) string {
	t.Helper()
	results, err := w.Start(&worker.Start{Epoch: epoch, Incarnation: report.Incarnation, AsOf: report.Now, TTL: ttl, Tasks: []worker.Task{task}})
	if err != nil {
		t.Fatal(err)
	}
	return results[0].Refused
}

func sync(t *testing.T, w *native.Worker, s *worker.Sync) *worker.Report {
	t.Helper()
	report, err := w.Sync(s)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestWorkerRefusesALowerEpoch(t *testing.T) {
	w, _, _ := newWorker()
	sync(t, w, &worker.Sync{Epoch: 2})
	fenced := &worker.FencedError{}
	if _, err := w.Start(&worker.Start{Epoch: 1}); !errors.As(err, &fenced) || fenced.Seen != 2 {
		t.Errorf("start: got: %v, want: fenced by 2", err)
	}
	if err := w.Act(&worker.Act{Epoch: 1}); !errors.As(err, &fenced) {
		t.Errorf("act: got: %v, want: fenced", err)
	}
	if _, err := w.Sync(&worker.Sync{Epoch: 1}); !errors.As(err, &fenced) {
		t.Errorf("sync: got: %v, want: fenced", err)
	}
}

func TestRunsEndWhenTheirLeaseIsNotRenewed(t *testing.T) {
	w, c, o := newWorker()
	report := sync(t, w, &worker.Sync{Epoch: 1})
	if got := start(t, w, report, 1, newTask(0, 1)); got != "" {
		t.Fatalf("got: %q, want: started", got)
	}
	c.Advance(ttl / 2)
	// The renewal arrives late. It extends the lease from the time of the report on which it is based, not from
	// its arrival, and so does not extend it at all.
	sync(t, w, &worker.Sync{Epoch: 1, Incarnation: report.Incarnation, AsOf: report.Now, TTL: ttl})
	c.Advance(ttl / 2)
	w.Expire()
	if got := o.Report().LeaseExpirations; got != 1 {
		t.Errorf("got: %d expired leases, want: 1", got)
	}
}

func TestStartAfterLeaseExpiryIsRefused(t *testing.T) {
	w, c, _ := newWorker()
	report := sync(t, w, &worker.Sync{Epoch: 1})
	c.Advance(ttl)
	if got := start(t, w, report, 1, newTask(0, 1)); got == "" {
		t.Error("got: started, want: refused")
	}
}

func TestAttemptStartsOnce(t *testing.T) {
	w, _, o := newWorker()
	report := sync(t, w, &worker.Sync{Epoch: 1})
	task := newTask(0, 1)
	for range 3 {
		start(t, w, report, 1, task)
	}
	if err := w.Act(&worker.Act{Epoch: 1, Action: worker.ActionStop, Keys: []worker.Key{task.Key}}); err != nil {
		t.Fatal(err)
	}
	sync(t, w, &worker.Sync{Epoch: 1, Forget: []worker.Key{task.Key}})
	start(t, w, report, 1, task)
	if got := o.Report().Starts; got != 1 {
		t.Errorf("got: %d starts, want: 1", got)
	}
}

func TestOracleReportsEachViolation(t *testing.T) {
	w, c, o := newWorker()
	report := sync(t, w, &worker.Sync{Epoch: 1})
	start(t, w, report, 1, newTask(0, 1))
	start(t, w, report, 1, newTask(0, 2))
	start(t, w, report, 1, newTask(1, 1))
	once := newTask(2, 1)
	once.IsOnce = true
	start(t, w, report, 1, once)
	once.Key.Attempt = 2
	start(t, w, report, 1, once)
	w.AnnounceLeaving()
	c.Advance(6 * time.Second)
	start(t, w, report, 1, newTask(3, 1))
	got := o.Report()
	if got.DoubleRuns != 2 || got.Repeated != 1 || got.OverCommits == 0 || got.StartsOnLeaving != 1 {
		t.Errorf("got: %+v, want: 2 double runs, 1 repeated, over-commits, 1 start on leaving", got)
	}
}
