// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// leasedWorkers are an owner's paths to workers whose clocks run with the owner's. They record the latest end of a lease.
type leasedWorkers struct {
	owner.Workers
	clock *clock.Fake
	begin time.Time

	mu    sync.Mutex
	until time.Duration
}

func (l *leasedWorkers) at() order.WorkerTime {
	return order.WorkerTime(time.Hour + l.clock.Now().Sub(l.begin))
}

func (l *leasedWorkers) record(deadline order.WorkerTime) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = max(l.until, time.Duration(deadline)-time.Hour)
}

// lastEnd returns when the last lease ends.
func (l *leasedWorkers) lastEnd() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begin.Add(l.until)
}

func (l *leasedWorkers) Start(ctx context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	l.record(s.Deadline)
	outcome, _ := l.Workers.Start(ctx, fence, s)
	return outcome, l.at()
}

func (l *leasedWorkers) Poll(ctx context.Context, fence uint64, p *order.Poll) (*order.Listing, order.PollOutcome) {
	l.record(p.Deadline)
	if p.Wait > 0 {
		select {
		case <-l.clock.After(p.Wait):
		case <-ctx.Done():
			return nil, order.PollUnanswered
		}
	}
	now := *p
	now.Wait = 0
	listing, outcome := l.Workers.Poll(ctx, fence, &now)
	if listing != nil {
		listing.At = l.at()
	}
	return listing, outcome
}

// Guards against tasks that start elsewhere while a previous owner's lease lasts. For ConfirmationTimeout that one acts without
// the store's word, and the successor may be none of the few nodes that it knows.
func TestNoLeaseOutlastsTheWaitOfTheSuccessor(t *testing.T) {
	for name, tc := range map[string]struct {
		// nodes is how many nodes the previous owner knows, and areAnswering means that they answer its probes.
		nodes        int
		areAnswering bool
	}{
		"it knows no other node":             {1, true},
		"the only one that it knows is lost": {2, false},
		"the only one that it knows answers": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			log, pool := fakestore.NewLog(), newWorkerPool(2)
			gate := make(chan struct{})
			pool.byID["w00"].gate = gate
			t.Cleanup(func() { close(gate) })
			leased := &leasedWorkers{}
			previous := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) {
				leased.Workers, leased.clock, leased.begin = o.Workers, o.Clock.(*clock.Fake), o.Clock.Now()
				o.Workers = leased
				o.KnownNodes = func(time.Time) int { return tc.nodes }
				o.MajorityAnsweredAt = func(time.Time, int) time.Time {
					if tc.areAnswering {
						return leased.clock.Now()
					}
					return time.Time{}
				}
			})
			previous.runTask(t, pool)
			previous.log.isSevered.Store(true)
			isExpired := atomic.Bool{}
			successor := startOwnerInPartition(t, log, pool, "w01", func(o *owner.Options) {
				o.KnownNodes, o.LinkedNodes = func(time.Time) int { return 1 }, func() int { return 1 }
				o.Log = func(e events.Event, _ ...any) {
					if e == events.PreviousAttemptsEnded {
						isExpired.Store(true)
					}
				}
			})
			await.True(t, "its leases have expired", func() bool {
				previous.clock.Advance(tick)
				successor.advance(t, tick)
				return isExpired.Load()
			})
			if left := leased.lastEnd().Sub(previous.clock.Now()); left > 0 {
				t.Errorf("when the task can start elsewhere: got: a lease that lasts %v more, want: none", left)
			}
		})
	}
}

// gatedLog holds back reads of the jobs until its gate is closed.
type gatedLog struct {
	store.Log
	gate chan struct{}
}

func (l *gatedLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	if topic == owner.TopicJobs {
		<-l.gate
	}
	return l.Log.ReadNewest(ctx, topic)
}

// Guards against tasks of silent workers that wait for the leases of a previous owner that has no majority, counted from
// when the jobs were read: on a slow store that takes seconds.
func TestWaitForLeasesBeginsWithTheClaim(t *testing.T) {
	log, pool := fakestore.NewLog(), newWorkerPool(2)
	gate := make(chan struct{})
	pool.byID["w00"].gate = gate
	t.Cleanup(func() { close(gate) })
	lost := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) { o.KnownNodes = func(time.Time) int { return 3 } })
	lost.runTask(t, pool)
	lost.Stop()
	<-lost.Done()
	isExpired := atomic.Bool{}
	next := &ownerInPartition{clock: clock.NewFake()}
	reads := &gatedLog{log, make(chan struct{})}
	next.Owner = runOwner(t, reads, newFakeWorkers(), pool, next.clock, nil, func(o *owner.Options) {
		o.Workers = &reachableWorkers{poolWithClose{pool}, "w01"}
		o.LinkedNodes = func() int { return 3 }
		o.Log = func(e events.Event, _ ...any) {
			if e == events.PreviousAttemptsEnded {
				isExpired.Store(true)
			}
		}
	})
	claimedAt := next.clock.Now()
	for next.clock.Now().Sub(claimedAt) < 2*time.Second {
		next.clock.Advance(tick)
	}
	close(reads.gate)
	await.True(t, "the jobs are read", next.IsLoaded)
	next.advance(t, session.OwnLeaseBound+time.Second/2-next.clock.Now().Sub(claimedAt))
	if !isExpired.Load() {
		t.Errorf("%v after the claim: got: the task of the silent worker waits for its lease, want: it can start elsewhere", next.clock.Now().Sub(claimedAt))
	}
}
