// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// losableWorkers are paths to the workers of a pool on which the only one that answers can be lost.
type losableWorkers struct {
	*reachableWorkers
	isLost atomic.Bool
	// misses counts the polls without an answer since then.
	misses atomic.Int64
}

func (l *losableWorkers) Start(ctx context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	if l.isLost.Load() {
		return order.StartUnknown, 0
	}
	return l.reachableWorkers.Start(ctx, fence, s)
}

func (l *losableWorkers) Poll(ctx context.Context, fence uint64, p *order.Poll) (*order.Listing, order.PollOutcome) {
	listing, outcome := l.reachableWorkers.Poll(ctx, fence, p)
	if !l.isLost.Load() {
		return listing, outcome
	}
	if p.Worker == l.reachable {
		l.misses.Add(1)
	}
	return nil, order.PollUnanswered
}

// Guards against a lease that begins anew where an owner hands over, although it knows when the lease of a worker
// that has fallen silent a second before ends.
func TestHandOverHandsOnTheLeasesOfWorkersJustLost(t *testing.T) {
	const (
		silence = time.Second
		// bound is how long after the last disturbance nothing of a job may run although a task could start.
		bound = 7 * time.Second
	)
	log, pool := fakestore.NewLog(), newWorkerPool(2)
	gate := make(chan struct{})
	pool.byID["w00"].gate = gate
	t.Cleanup(func() { close(gate) })
	workers := &losableWorkers{reachableWorkers: &reachableWorkers{poolWithClose{pool}, "w00"}}
	first := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) { o.Workers = workers })
	first.runTask(t, pool)
	workers.isLost.Store(true)
	lostAt := first.clock.Now()
	await.True(t, "a poll has no answer", func() bool { return workers.misses.Load() > 0 })
	first.advance(t, silence)
	go first.HandOver(t.Context())
	await.True(t, "the owner has ended", func() bool {
		first.clock.Advance(tick)
		select {
		case <-first.Done():
			return true
		default:
			return false
		}
	})
	isExpired := atomic.Bool{}
	next := startOwnerInPartition(t, log, pool, "w01", func(o *owner.Options) {
		o.Claim.HasPreviousEnded = true
		o.Log = func(e events.Event, _ ...any) {
			if e == events.PreviousAttemptsEnded {
				isExpired.Store(true)
			}
		}
	})
	next.advance(t, bound-first.clock.Now().Sub(lostAt))
	if !isExpired.Load() {
		t.Errorf("%v after the worker was lost: got: its task waits for a lease, want: it can start elsewhere", bound)
	}
}
