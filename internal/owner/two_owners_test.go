// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// severableLog is one owner's access to the store, which a test can sever.
type severableLog struct {
	*fakestore.Log
	isSevered atomic.Bool
	// isArmed severs the access right after the next append of jobs.
	isArmed atomic.Bool
}

func (l *severableLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if l.isSevered.Load() {
		return 0, &store.Error{Failure: store.NotApplied}
	}
	if a.Topic == owner.TopicJobs && len(a.Records) > 0 && l.isArmed.CompareAndSwap(true, false) {
		defer l.isSevered.Store(true)
	}
	return l.Log.Append(ctx, a)
}

func (l *severableLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	if l.isSevered.Load() {
		return nil, &store.Error{Failure: store.NotApplied}
	}
	return l.Log.ReadNewest(ctx, topic)
}

// reachableWorkers are one owner's paths to the workers of a pool: only one of them answers it.
type reachableWorkers struct {
	poolWithClose
	reachable order.WorkerID
}

func (r *reachableWorkers) Start(ctx context.Context, fence uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	if s.Worker != r.reachable {
		return order.StartUnknown, 0
	}
	return r.workerPool.Start(ctx, fence, s)
}

func (r *reachableWorkers) Stop(ctx context.Context, fence uint64, s *order.Stop) (order.WorkerTime, bool) {
	if s.Worker != r.reachable {
		return 0, false
	}
	return r.workerPool.Stop(ctx, fence, s)
}

func (r *reachableWorkers) Poll(ctx context.Context, fence uint64, p *order.Poll) (*order.Listing, order.PollOutcome) {
	if p.Worker != r.reachable {
		return nil, order.PollUnanswered
	}
	return r.workerPool.Poll(ctx, fence, p)
}

// ownerInPartition is an owner with a clock and with paths to the store and the workers of its own.
type ownerInPartition struct {
	*owner.Owner
	clock *clock.Fake
	log   *severableLog
}

func startOwnerInPartition(t *testing.T, log *fakestore.Log, pool *workerPool, reachable order.WorkerID, change ...func(*owner.Options)) *ownerInPartition {
	t.Helper()
	p := &ownerInPartition{clock: clock.NewFake(), log: &severableLog{Log: log}}
	change = append([]func(*owner.Options){func(o *owner.Options) {
		o.Workers = &reachableWorkers{poolWithClose{pool}, reachable}
		if o.Claim.Previous != nil {
			o.Claim.HasAllPlacements = !o.Claim.Previous.MayHaveUnpersisted
			o.Claim.Record.MayHaveUnpersisted = o.Claim.Previous.MayHaveUnpersisted
		}
	}}, change...)
	p.Owner = runOwner(t, p.log, newFakeWorkers(), pool, p.clock, nil, change...)
	await.True(t, "the jobs are read", p.IsLoaded)
	return p
}

// severAfterSubmit submits jobs until the owner's access to the store is severed right after it has
// accepted one, while its newest record there does not carry the write-behind flag. It returns the
// ID of that job.
func (p *ownerInPartition) severAfterSubmit(t *testing.T) work.JobID {
	t.Helper()
	id := ""
	n := 0
	await.True(t, "the owner's newest record does not carry the flag", func() bool {
		for range 20 {
			p.clock.Advance(tick)
		}
		n++
		id = fmt.Sprintf("j%d", n)
		p.log.isArmed.Store(true)
		job := newJob(id)
		job.Steps[0].Count = 1
		if p.Submit(t.Context(), job) != nil {
			p.log.isSevered.Store(false)
			return false
		}
		r, _, err := owner.ReadRecord(t.Context(), p.log.Log)
		if err != nil {
			t.Fatal(err)
		}
		if r.HeartbeatSeq > 0 && !r.MayHaveUnpersisted {
			return true
		}
		p.log.isSevered.Store(false)
		return false
	})
	return work.JobID(id)
}

// A successor relied on the placements in the store, and the previous owner, which had lost the
// store but not all workers, started the same task ahead of the store.
func TestOwnerWithoutStoreStartsNothingThatItsSuccessorRuns(t *testing.T) {
	log, pool := fakestore.NewLog(), newWorkerPool(2)
	previous := startOwnerInPartition(t, log, pool, "w00")
	id := previous.severAfterSubmit(t)
	successor := startOwnerInPartition(t, log, pool, "w01")
	await.True(t, "the successor has run the job", func() bool {
		successor.clock.Advance(tick)
		state, _, _ := successor.State(t.Context(), id, work.Caller{})
		return state == work.JobSucceeded
	})
	await.True(t, "the previous owner has stopped", func() bool {
		previous.clock.Advance(tick)
		return !previous.MayActAsOwner()
	})
	for task, runs := range pool.runsPerTask() {
		if task.Job == id && runs != 1 {
			t.Errorf("%v: got: %d runs, want: 1", task, runs)
		}
	}
}

// A previous owner that most nodes follow goes on without the store and renews the leases of workers
// that its successor cannot reach. The successor counted them as expired and started their tasks again.
func TestLeasesOfPreviousOwnerAreNotExpiredWhileItMayHaveMajority(t *testing.T) {
	for name, tc := range map[string]struct {
		isEarlierVersion bool
		// waits is how long the successor waits at least once most nodes have left the previous owner.
		waits time.Duration
	}{
		"this version":       {false, session.OwnLeaseBound - time.Second/2},
		"an earlier version": {true, 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { testLeasesWhileMostNodesFollow(t, tc.isEarlierVersion, tc.waits) })
	}
}

// ofEarlierVersion makes the previous owner one that does not say how long its leases last.
func ofEarlierVersion(o *owner.Options) {
	o.Claim.Record.LeaseBound = 0
	if o.Claim.Previous != nil {
		o.Claim.Previous.LeaseBound = 0
	}
}

func testLeasesWhileMostNodesFollow(t *testing.T, isEarlierVersion bool, waits time.Duration) {
	t.Helper()
	log, pool := fakestore.NewLog(), newWorkerPool(2)
	gate := make(chan struct{})
	pool.byID["w00"].gate = gate
	t.Cleanup(func() { close(gate) })
	previous := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) {
		o.KnownNodes = func(time.Time) int { return 3 }
		o.HasStoreOutage = func(time.Time, int) bool { return true }
	})
	job := newJob("a")
	job.Steps[0].Count = 1
	if err := previous.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	await.True(t, "the placement is persisted", func() bool {
		previous.clock.Advance(tick)
		r, _, err := owner.ReadRecord(t.Context(), log)
		return err == nil && r.KnownNodes == 3 && pool.hasStarted("w00")
	})
	previous.log.isSevered.Store(true)
	linked := atomic.Int64{}
	linked.Store(1)
	isExpired := atomic.Bool{}
	successor := startOwnerInPartition(t, log, pool, "w01", func(o *owner.Options) {
		o.KnownNodes = func(time.Time) int { return 1 }
		o.LinkedNodes = func() int { return int(linked.Load()) }
		if isEarlierVersion {
			ofEarlierVersion(o)
		}
		o.Log = func(e events.Event, _ ...any) {
			if e == events.PreviousAttemptsEnded {
				isExpired.Store(true)
			}
		}
	})
	advance := func(d time.Duration) {
		for range int(d / tick) {
			previous.clock.Advance(tick)
			successor.clock.Advance(tick)
			await.True(t, "the successor is confirmed as the owner", func() bool {
				_, _, err := successor.State(t.Context(), "a", work.Caller{})
				return err == nil
			})
		}
	}
	advance(20 * time.Second)
	if !previous.MayActAsOwner() || isExpired.Load() {
		t.Errorf("most nodes follow the previous owner: got: it may act: %v, its leases have expired: %v, want: true, false", previous.MayActAsOwner(), isExpired.Load())
	}
	linked.Store(2)
	advance(waits)
	if isExpired.Load() {
		t.Error("most nodes have just left it: got: its leases have expired, want: its last renewals are waited for")
	}
	await.True(t, "its leases have expired", func() bool {
		successor.clock.Advance(tick)
		return isExpired.Load()
	})
}

// An owner that ended soon after its claim was taken as proof that the owner before it, which was cut
// off, renewed no more leases either.
func TestLeasesOfAnOwnerBeforeThePreviousOneAreNotExpiredWhileItMayRenewThem(t *testing.T) {
	for name, tc := range map[string]struct {
		// ownedFor is how long the owner in between owned the shard.
		ownedFor time.Duration
		// mayHaveMajority means that most nodes may follow the first owner all the time.
		mayHaveMajority bool
		// waits is for how long the last owner has to wait at least. leasesLast is for how long after the
		// claim of the owner in between the leases of the first one may last, if that ends the wait.
		waits, leasesLast time.Duration
		isEarlierVersion  bool
	}{
		"it ended at once":                                             {time.Second, false, session.OwnLeaseBound - time.Second/2, 0, false},
		"it outlived the first owner":                                  {3500 * time.Millisecond, false, 0, session.OwnLeaseBound, false},
		"it ended while the first may act longer":                      {5 * time.Second, true, 12 * time.Second, 0, false},
		"of an earlier version: it ended at once":                      {time.Second, false, 8500 * time.Millisecond, 0, true},
		"of an earlier version: it outlived the first owner":           {5 * time.Second, false, 0, owner.ConfirmationTimeout + 6*time.Second, true},
		"of an earlier version: it ended while first may act for long": {5 * time.Second, true, 12 * time.Second, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			log, pool := fakestore.NewLog(), newWorkerPool(2)
			gate := make(chan struct{})
			pool.byID["w00"].gate = gate
			t.Cleanup(func() { close(gate) })
			first := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) { o.KnownNodes = func(time.Time) int { return 3 } })
			job := newJob("a")
			job.Steps[0].Count = 1
			if err := first.Submit(t.Context(), job); err != nil {
				t.Fatal(err)
			}
			await.True(t, "the placement is persisted", func() bool {
				first.clock.Advance(tick)
				r, _, err := owner.ReadRecord(t.Context(), log)
				return err == nil && r.KnownNodes == 3 && pool.hasStarted("w00")
			})
			first.log.isSevered.Store(true)
			linked := 3
			if tc.mayHaveMajority {
				linked = 1
			}
			setLinked := func(o *owner.Options) {
				o.LinkedNodes = func() int { return linked }
				o.Claim.Record.KnownNodes = o.Claim.Previous.KnownNodes
				if tc.isEarlierVersion {
					ofEarlierVersion(o)
				}
			}
			second := startOwnerInPartition(t, log, pool, "w01", setLinked)
			claimedAt := second.clock.Now()
			second.advance(t, tc.ownedFor)
			second.awaitRecord(t)
			waits := max(tc.waits, tc.leasesLast-second.clock.Now().Sub(claimedAt))
			second.Stop()
			<-second.Done()
			isExpired := atomic.Bool{}
			third := startOwnerInPartition(t, log, pool, "w01", setLinked, func(o *owner.Options) {
				o.Claim.HasPreviousEnded = true
				o.Log = func(e events.Event, _ ...any) {
					if e == events.PreviousAttemptsEnded {
						isExpired.Store(true)
					}
				}
			})
			third.advance(t, waits)
			if isExpired.Load() {
				t.Errorf("leases of the first owner after %v: got: expired, want: waited for", waits)
			}
			if tc.mayHaveMajority {
				return
			}
			third.advance(t, 10*time.Second-waits)
			await.True(t, "they have expired", func() bool {
				third.clock.Advance(tick)
				return isExpired.Load()
			})
		})
	}
}

// advance advances the owner's clock by d, while the store confirms the owner.
func (p *ownerInPartition) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for range int(d / tick) {
		p.clock.Advance(tick)
		await.True(t, "the owner is confirmed", func() bool {
			_, _, err := p.State(t.Context(), "a", work.Caller{})
			return err == nil
		})
	}
}

// runTask submits the job a of one task, and waits until the task runs on w00 and its placement is persisted.
func (p *ownerInPartition) runTask(t *testing.T, pool *workerPool) {
	t.Helper()
	job := newJob("a")
	job.Steps[0].Count = 1
	if err := p.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	await.True(t, "the task runs", func() bool {
		p.clock.Advance(tick)
		return pool.hasStarted("w00")
	})
	p.awaitRecord(t)
}

// awaitRecord waits for a record of the owner that is sent from now on.
func (p *ownerInPartition) awaitRecord(t *testing.T) {
	t.Helper()
	before, _ := p.LastRecord()
	await.True(t, "two more records", func() bool {
		p.clock.Advance(tick)
		n, _ := p.LastRecord()
		return n >= before+2
	})
}

// hasStarted reports whether a worker has got an order to start.
func (p *workerPool) hasStarted(id order.WorkerID) bool {
	w := p.byID[id]
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts) > 0
}

// An owner wrote the write-behind flag with its next heartbeat only. It started nothing during an outage
// of the store that began before that.
func TestWriteBehindFlagIsWrittenAsSoonAsNeeded(t *testing.T) {
	log := fakestore.NewLog()
	o := startFakeClockOwner(t, log)
	advanced := time.Duration(0)
	await.True(t, "the newest record carries the flag before the next heartbeat is due", func() bool {
		if advanced+tick < owner.HeartbeatPeriod {
			advanced += tick
			o.clock.Advance(tick)
		}
		r, _, err := owner.ReadRecord(t.Context(), log)
		return err == nil && r.MayHaveUnpersisted
	})
}

// Guards against tasks of a crashed worker that wait for renewals by an owner whose process has been replaced. Owners
// of this version renew no lease beyond what their successors wait for in any case.
func TestLeasesEndSoonerOnceThePreviousOwnersProcessIsReplaced(t *testing.T) {
	for name, tc := range map[string]struct {
		incarnation string
		// isOnlyOwner is what the previous owner's record says of those before it.
		isOnlyOwner bool
		want        bool
	}{
		"another process greets":            {"next", true, true},
		"the same one greets":               {"first", true, false},
		"owners before it may renew leases": {"next", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			log, pool := fakestore.NewLog(), newWorkerPool(2)
			gate := make(chan struct{})
			pool.byID["w00"].gate = gate
			t.Cleanup(func() { close(gate) })
			addr := netip.MustParseAddrPort("127.0.0.1:7")
			first := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) {
				o.Claim.Record.Node, o.Claim.Record.Addr, o.Claim.Record.Incarnation = "a", addr, "first"
			})
			first.runTask(t, pool)
			first.Stop()
			<-first.Done()
			isExpired := atomic.Bool{}
			second := startOwnerInPartition(t, log, pool, "w01", ofEarlierVersion, func(o *owner.Options) {
				o.Claim.Previous.IsOnlyOwner = tc.isOnlyOwner
				o.Log = func(e events.Event, _ ...any) {
					if e == events.PreviousAttemptsEnded {
						isExpired.Store(true)
					}
				}
			})
			if second.Replaced("a", addr, tc.incarnation) != nil {
				second.PreviousEnded()
			}
			second.advance(t, 6400*time.Millisecond)
			if isExpired.Load() {
				t.Error("while its last lease may last: got: expired, want: waited for")
			}
			second.advance(t, 600*time.Millisecond)
			if got := isExpired.Load(); got != tc.want {
				t.Errorf("7 s after the greeting: got: expired: %v, want: %v", got, tc.want)
			}
		})
	}
}

// Guards against a task that runs twice: an owner that read the jobs late knew one that its successor had accepted.
func TestOwnerThatReadsJobsOfALaterOneEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		// epoch is that of a job, and hasLaterOwner means that the newest record is of epoch 2.
		epoch                  uint64
		hasLaterOwner, wantEnd bool
	}{
		"accepted in calm":                  {0, false, false},
		"accepted by itself":                {1, false, false},
		"accepted by a later owner":         {2, true, true},
		"of an epoch that no owner has had": {2, false, false},
	} {
		epoch, wantEnd := tc.epoch, tc.wantEnd
		log := fakestore.NewLog()
		spec := newJob("a")
		spec.Epoch = epoch
		parts, err := owner.EncodeBatch(&dispatch.Batch{NewJobs: []*work.Spec{spec}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), &store.Append{Topic: owner.TopicJobs, Records: parts[0]}); err != nil {
			t.Fatal(err)
		}
		o := runOwner(t, log, newFakeWorkers(), newWorkerPool(1), clock.NewFake(), nil, func(*owner.Options) {
			if !tc.hasLaterOwner {
				return
			}
			if _, err := owner.AppendRecord(t.Context(), log, &owner.Record{Node: "m", Incarnation: "m", Epoch: 2}, 1); err != nil {
				t.Fatal(err)
			}
		})
		if o.Epoch() != 1 {
			t.Fatalf("epoch of the owner: got: %d, want: 1", o.Epoch())
		}
		hasEnded := false
		await.True(t, "the owner has read the jobs or ended", func() bool {
			select {
			case <-o.Done():
				hasEnded = true
			default:
			}
			return hasEnded || o.IsLoaded()
		})
		if hasEnded != wantEnd {
			t.Errorf("a job %s: got: ended: %v, want: %v", name, hasEnded, wantEnd)
		}
	}
}
