// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// pausableLog holds back reads of the jobs and records of the owner until its gates are closed.
type pausableLog struct {
	gatedLog
	records chan struct{}
}

func (l *pausableLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if a.Topic == owner.TopicOwner {
		<-l.records
	}
	return l.Log.Append(ctx, a)
}

// fadingWorkers are paths to two workers, of which w00 answers one poll only.
type fadingWorkers struct {
	poolWithClose
	hasAnswered atomic.Bool
}

func (f *fadingWorkers) Poll(ctx context.Context, fence uint64, p *order.Poll) (*order.Listing, order.PollOutcome) {
	if p.Worker == "w00" && f.hasAnswered.Swap(true) {
		return nil, order.PollUnanswered
	}
	return f.workerPool.Poll(ctx, fence, p)
}

// Guards against a task that starts elsewhere while the lease lasts that a previous owner has just renewed: most nodes
// still followed that one, and the successor was paused while it read the jobs.
func TestOwnerPausedInItsLoadAwaitsLeasesOfAPreviousOneWithMajority(t *testing.T) {
	log, pool := fakestore.NewLog(), newWorkerPool(2)
	gate := make(chan struct{})
	pool.byID["w00"].gate = gate
	t.Cleanup(func() { close(gate) })
	previous := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) { o.KnownNodes = func(time.Time) int { return 3 } })
	previous.runTask(t, pool)
	previous.log.isSevered.Store(true)
	next := &ownerInPartition{clock: clock.NewFake()}
	paused := &pausableLog{gatedLog{log, make(chan struct{})}, make(chan struct{})}
	isKnown := atomic.Bool{}
	workers := &fadingWorkers{poolWithClose: poolWithClose{pool}}
	next.Owner = runOwner(t, log, newFakeWorkers(), pool, next.clock, nil, func(o *owner.Options) {
		o.Store, o.Workers = paused, workers
		o.LinkedNodes, o.Claim.ConfirmedAt = func() int { return 1 }, o.Clock.Now()
		o.Log = func(e events.Event, _ ...any) {
			if e == events.PreviousAttemptsKnown {
				isKnown.Store(true)
			}
		}
	})
	next.clock.Advance(6 * time.Second)
	close(paused.gate)
	await.True(t, "w00 reports the task", isKnown.Load)
	close(paused.records)
	next.advance(t, 2*time.Second)
	if pool.hasStarted("w01") {
		t.Error("2 s after the last answer of w00: got: its task starts elsewhere, want: its lease is waited for")
	}
}
