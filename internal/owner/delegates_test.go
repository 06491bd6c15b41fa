// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// fakeDelegates is one node that is a delegate of an owner, over a link that can be cut.
type fakeDelegates struct {
	mu    sync.Mutex
	owner *owner.Owner
	// session receives the orders; delegated counts them.
	session   *delegate.Session
	delegated int
	// isSilent means that orders are lost, isUnlinked that none can be sent.
	isSilent, isUnlinked bool
}

func newFakeDelegates(w *fakeWorkers) *fakeDelegates {
	f := &fakeDelegates{}
	f.session = delegate.New(w, clock.Real{}).NewSession(func(o []delegate.Outcome) {
		f.mu.Lock()
		to := f.owner
		f.mu.Unlock()
		to.HandleOutcomes(o)
	})
	return f
}

func (*fakeDelegates) Usable() []delegate.Node {
	return []delegate.Node{{Name: "c", Zone: "z", LinkID: 1, Capacity: 10}}
}

func (f *fakeDelegates) Send(_ string, b *delegate.Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isUnlinked {
		return false
	}
	f.delegated += len(b.Orders)
	if !f.isSilent {
		f.session.Execute(context.Background(), b)
	}
	return true
}

func (f *fakeDelegates) setFault(isSilent, isUnlinked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isSilent, f.isUnlinked = isSilent, isUnlinked
}

func (f *fakeDelegates) delegatedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delegated
}

// twoWorkerList lists one worker more than the owner talks to itself. The second is only an entry
// in the list: no process answers for it.
type twoWorkerList struct{ oneWorkerList }

func (twoWorkerList) Workers(context.Context) ([]order.Worker, error) {
	return []order.Worker{{ID: "w", Service: "pool"}, {ID: "other", Service: "elsewhere"}}, nil
}

// startDelegatingOwner returns an owner that leaves its workers to a delegate.
func startDelegatingOwner(t *testing.T, workers *fakeWorkers) (*owner.Owner, *fakeDelegates) {
	t.Helper()
	return startDelegatingOwnerOn(t, fakestore.NewLog(), workers)
}

// startDelegatingOwnerOn is startDelegatingOwner with a store.
func startDelegatingOwnerOn(t *testing.T, log store.Log, workers *fakeWorkers) (*owner.Owner, *fakeDelegates) {
	t.Helper()
	f := newFakeDelegates(workers)
	o := runOwner(t, log, workers, twoWorkerList{}, clock.Real{}, nil, func(options *owner.Options) {
		options.Delegates, options.DirectWorkers = f, 1
	})
	f.mu.Lock()
	f.owner = o
	f.mu.Unlock()
	await.True(t, "the jobs are read", o.IsLoaded)
	return o, f
}

// Orders must reach workers through the delegate, and their outcomes must come back to the owner.
func TestDelegateRunsJobsForOwner(t *testing.T) {
	o, f := startDelegatingOwner(t, newFakeWorkers())
	for i := range 20 {
		id := fmt.Sprintf("j%d", i)
		if err := o.Submit(t.Context(), newJob(id)); err != nil {
			t.Fatal(err)
		}
		awaitState(t, o, id, work.JobSucceeded)
	}
	if f.delegatedCount() == 0 {
		t.Error("orders handed to the delegate: got: 0, want: some")
	}
}

// While the delegate fails and recovers, all jobs must end and each task must run once only. An
// order that the delegate lost could otherwise block its job, or its repetition could run the task
// twice.
func TestJobsRunOnceWhenDelegateFails(t *testing.T) {
	for name, fail := range map[string]func(f *fakeDelegates, isFailing bool){
		"silent":     func(f *fakeDelegates, isFailing bool) { f.setFault(isFailing, false) },
		"not linked": func(f *fakeDelegates, isFailing bool) { f.setFault(false, isFailing) },
	} {
		workers := newFakeWorkers()
		o, f := startDelegatingOwner(t, workers)
		await.True(t, "orders are handed to the delegate", func() bool { return f.delegatedCount() > 0 })
		for i := range 6 {
			fail(f, i%2 == 0)
			id := fmt.Sprintf("j%d", i)
			if err := o.Submit(t.Context(), newJob(id)); err != nil {
				t.Fatal(err)
			}
			awaitState(t, o, id, work.JobSucceeded)
		}
		done := map[work.TaskID]int{}
		workers.mu.Lock()
		for _, e := range workers.ends {
			done[e.Task]++
		}
		workers.mu.Unlock()
		for id, n := range done {
			if n > 1 {
				t.Errorf("%s: task %v: got: %d runs, want: 1", name, id, n)
			}
		}
	}
}
