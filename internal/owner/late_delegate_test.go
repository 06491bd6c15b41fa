// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// workerPool is a list of workers that passes orders on to a fake for each.
type workerPool struct {
	oneWorkerList
	byID map[order.WorkerID]*fakeWorkers
}

func newWorkerPool(n int) *workerPool {
	p := &workerPool{byID: map[order.WorkerID]*fakeWorkers{}}
	for i := range n {
		p.byID[order.WorkerID(fmt.Sprintf("w%02d", i))] = newFakeWorkers()
	}
	return p
}

func (p *workerPool) Workers(context.Context) ([]order.Worker, error) {
	out := []order.Worker{}
	for id := range p.byID {
		out = append(out, order.Worker{ID: id, Service: "pool", Zone: "z"})
	}
	return out, nil
}

func (p *workerPool) Start(ctx context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	return p.byID[s.Worker].Start(ctx, fence, s)
}

func (p *workerPool) Stop(ctx context.Context, fence uint64, s *order.Stop) (order.WorkerTime, bool) {
	return p.byID[s.Worker].Stop(ctx, fence, s)
}

// Poll answers with what runs once the wait has passed, where a fakeWorkers would not answer.
func (p *workerPool) Poll(ctx context.Context, fence uint64, h *order.Poll) (*order.Listing, order.PollOutcome) {
	waitCtx, cancel := context.WithTimeout(ctx, h.Wait)
	defer cancel()
	if l, outcome := p.byID[h.Worker].Poll(waitCtx, fence, h); outcome == order.PollAnswered {
		return l, outcome
	}
	now := *h
	now.Wait = 0
	return p.byID[h.Worker].Poll(ctx, fence, &now)
}

func (p *workerPool) Pace(ctx context.Context, fence uint64, a *order.Pace) error {
	return p.byID[a.Worker].Pace(ctx, fence, a)
}

func (*workerPool) SetKeptConns(int) {}

// runsPerTask returns how often each task has run.
func (p *workerPool) runsPerTask() map[work.TaskID]int {
	out := map[work.TaskID]int{}
	for _, w := range p.byID {
		w.mu.Lock()
		for _, e := range w.ends {
			out[e.Task]++
		}
		w.mu.Unlock()
	}
	return out
}

// threeDelegates are three nodes of one zone, of which "late" delays its outcomes.
type threeDelegates struct {
	mu       sync.Mutex
	owner    *owner.Owner
	nodes    []*delegate.Delegate
	sessions map[string]*delegate.Session
}

// lateDelay is longer than an order may be unanswered, and shorter than it takes until a
// delegate is ejected.
const lateDelay = 200 * time.Millisecond

func newThreeDelegates(p *workerPool) *threeDelegates {
	f := &threeDelegates{sessions: map[string]*delegate.Session{}}
	for _, name := range []string{"a", "b", "late"} {
		d := delegate.New(p, clock.Real{})
		f.nodes = append(f.nodes, d)
		f.sessions[name] = d.NewSession(func(o []delegate.Outcome) {
			if name == "late" {
				time.AfterFunc(lateDelay, func() { f.pass(o) })
				return
			}
			f.pass(o)
		})
	}
	return f
}

func (f *threeDelegates) pass(o []delegate.Outcome) {
	f.mu.Lock()
	to := f.owner
	f.mu.Unlock()
	to.HandleOutcomes(o)
}

// Usable is called often enough to serve as the nodes' clock tick.
func (f *threeDelegates) Usable() []delegate.Node {
	for _, d := range f.nodes {
		d.Tick()
	}
	return []delegate.Node{{Name: "a", Zone: "z", LinkID: 1, Capacity: 30}, {Name: "b", Zone: "z", LinkID: 2, Capacity: 30}, {Name: "late", Zone: "z", LinkID: 3, Capacity: 30}}
}

func (f *threeDelegates) Send(node string, b *delegate.Batch) bool {
	f.sessions[node].Execute(context.Background(), b)
	return true
}

// An owner must move workers off a delegate that answers late, and each task must run once
// meanwhile.
func TestOwnerMovesWorkersOffALateDelegate(t *testing.T) {
	pool := newWorkerPool(30)
	f := newThreeDelegates(pool)
	isMoved := atomic.Bool{}
	o := runOwner(t, fakestore.NewLog(), newFakeWorkers(), pool, clock.Real{}, func(e events.Event, keysAndValues ...any) {
		if e == events.WorkersMoved && fmt.Sprint(keysAndValues[3]) == "late" {
			isMoved.Store(true)
		}
	}, func(options *owner.Options) {
		options.Workers, options.Delegates, options.DirectWorkers = poolWithClose{pool}, f, 1
	})
	f.mu.Lock()
	f.owner = o
	f.mu.Unlock()
	await.True(t, "the jobs are read", o.IsLoaded)
	jobs := 0
	await.True(t, "workers move off the late delegate", func() bool {
		job := newJob(fmt.Sprintf("j%d", jobs))
		jobs++
		job.Steps[0].Count, job.Steps[0].MaxPerWorker = 30, 1
		if err := o.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		awaitState(t, o, string(job.ID), work.JobSucceeded)
		return isMoved.Load()
	})
	for id, n := range pool.runsPerTask() {
		if n > 1 {
			t.Errorf("task %v: got: %d runs, want: 1", id, n)
		}
	}
}

// poolWithClose adds what an owner needs of its workers.
type poolWithClose struct{ *workerPool }

func (poolWithClose) Close() {}
