// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Guards against a limit that the next owner does not know, because the customer has left the configuration.
func TestOwnersHandOnTheLimitsOfCustomersWithJobs(t *testing.T) {
	log := fakestore.NewLog()
	const perTask, limit = 1000, 2000
	workers := newFakeWorkers()
	workers.gate = make(chan struct{})
	first := runOwner(t, log, workers, largeWorkerList{}, clock.Real{}, nil)
	first.SetPolicy(2, order.Policy{
		Queues:    []order.Queue{{Name: "q", Service: "pool"}},
		Customers: []order.Customer{{Name: "ann", Limit: leverdyke.Resources{MilliCPU: limit}}},
	})
	job := newJob("a")
	job.Customer, job.Steps[0].Count, job.Steps[0].Need = "ann", 4, leverdyke.Resources{MilliCPU: perTask}
	if err := first.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	await.True(t, "the tasks within the limit run", func() bool { return workers.startsOf("a") == limit/perTask })
	first.Stop()
	<-first.Done()

	second := runOwner(t, log, workers, largeWorkerList{}, clock.Real{}, nil)
	if err := second.Submit(t.Context(), newJob("b")); err != nil {
		t.Fatal(err)
	}
	await.True(t, "the job without a customer runs", func() bool { return workers.startsOf("b") > 0 })
	if got := workers.startsOf("a"); got != limit/perTask {
		t.Errorf("starts of the customer's tasks: got: %d, want: %d", got, limit/perTask)
	}
	close(workers.gate)
	await.True(t, "the other tasks of the customer run", func() bool { return workers.startsOf("a") == job.Steps[0].Count })
}

// startsOf returns how many tasks of a job were ordered to start.
func (w *fakeWorkers) startsOf(job work.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.starts {
		if w.starts[i].Task.Job == job {
			n++
		}
	}
	return n
}

// largeWorkerList has one worker on which all tasks of a test fit.
type largeWorkerList struct{ oneWorkerList }

func (largeWorkerList) Workers(context.Context) ([]order.Worker, error) {
	return []order.Worker{{ID: "w", Service: "pool", Capacity: leverdyke.Resources{MilliCPU: 100_000, MemoryMiB: 100_000}}}, nil
}
