// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// fakeClockOwner is an owner whose clock moves only when the test advances it: it sends its first
// heartbeat and no further one.
type fakeClockOwner struct {
	*owner.Owner
	clock *clock.Fake
	// ended receives each job that the owner regards as ended.
	ended chan work.JobID
}

func startFakeClockOwner(t *testing.T, log *fakestore.Log) *fakeClockOwner {
	t.Helper()
	o := &fakeClockOwner{clock: clock.NewFake(), ended: make(chan work.JobID, 8)}
	o.Owner = startOwnerWithClock(t, log, newFakeWorkers(), o.clock, func(e events.Event, keysAndValues ...any) {
		if e == events.JobEnded {
			o.ended <- keysAndValues[1].(work.JobID)
		}
	})
	await.True(t, "the first heartbeat is persisted and the jobs are read", func() bool {
		heartbeatSeq, _ := o.LastRecord()
		return heartbeatSeq > 0 && o.IsLoaded()
	})
	return o
}

// result is the outcome of a call in the background.
type result struct {
	isKnown bool
	err     error
}

func (o *fakeClockOwner) submitAsync(ctx context.Context, id string) <-chan result {
	ch := make(chan result, 1)
	go func() { ch <- result{true, o.Submit(ctx, newJob(id))} }()
	return ch
}

func (o *fakeClockOwner) cancelAsync(ctx context.Context, id string) <-chan result {
	ch := make(chan result, 1)
	go func() {
		ok, err := o.Cancel(ctx, work.JobID(id), work.Caller{})
		ch <- result{ok, err}
	}()
	return ch
}

// awaitResult waits for the outcome of a call and advances the owner's clock meanwhile.
func (o *fakeClockOwner) awaitResult(t *testing.T, what string, ch <-chan result) result {
	t.Helper()
	var r result
	await.True(t, what, func() bool {
		select {
		case r = <-ch:
			return true
		default:
			o.clock.Advance(tick)
			return false
		}
	})
	return r
}

// tick is the period of the owner's loop.
const tick = 20 * time.Millisecond

// wantCancelled submits a job again, as a caller does whose first try got no answer, and checks
// that the job stays cancelled.
func wantCancelled(t *testing.T, o *fakeClockOwner, id string) {
	t.Helper()
	var err error
	await.True(t, "the store serves again", func() bool {
		o.clock.Advance(tick)
		err = o.Submit(t.Context(), newJob(id))
		return verdictOf(err) != leverdyke.VerdictNotRun
	})
	state, _, _ := o.State(t.Context(), work.JobID(id), work.Caller{})
	if state != work.JobCancelled {
		t.Errorf("the job, submitted again (%v) after its cancellation was acknowledged: got: %v, want: %v", err, state, work.JobCancelled)
	}
}

// An owner refused a job because the store stalled, and the job was cancelled meanwhile. The retry
// of its submission brought it back.
func TestCancelOfJobRefusedInStallIsPersisted(t *testing.T) {
	log := fakestore.NewLog()
	o := startFakeClockOwner(t, log)
	entered, release := make(chan bool), make(chan bool)
	isFirst := true
	log.SetAppendFault(func(*store.Append) (error, bool) {
		if isFirst {
			isFirst = false
			close(entered)
			<-release
		}
		return nil, false
	})
	other := o.submitAsync(t.Context(), "b")
	<-entered
	submitted := o.submitAsync(t.Context(), "a")
	await.True(t, "the owner has the job", func() bool {
		// That a job is unknown is only answered after the next heartbeat.
		ctx, cancel := context.WithTimeout(t.Context(), tick)
		defer cancel()
		_, ok, _ := o.State(ctx, "a", work.Caller{})
		return ok
	})
	cancelled := o.cancelAsync(t.Context(), "a")
	<-o.ended
	// A stalled append makes the owner refuse new jobs after 0.7 s.
	o.clock.Advance(800 * time.Millisecond)
	if got := verdictOf((<-submitted).err); got != leverdyke.VerdictNotRun {
		t.Fatalf("the first try: got: %v, want: %v", got, leverdyke.VerdictNotRun)
	}
	close(release)
	if b := o.awaitResult(t, "the other job is answered", other); b.err != nil {
		t.Fatal(b.err)
	}
	if c := o.awaitResult(t, "the cancellation is answered", cancelled); c.err != nil {
		t.Fatalf("the cancellation: got: %v, want: acknowledged, as the store serves again", c.err)
	}
	wantCancelled(t, o, "a")
}

// A batch that the store refused was sent again at once, thousands of times a second. Each call is
// charged and counts towards the rate limit at which the store refuses.
func TestRefusedBatchIsNotResentAtOnce(t *testing.T) {
	log := fakestore.NewLog()
	o := startFakeClockOwner(t, log)
	if err := o.Submit(t.Context(), newJob("a")); err != nil {
		t.Fatal(err)
	}
	appends := atomic.Int64{}
	log.SetAppendFault(func(*store.Append) (error, bool) {
		appends.Add(1)
		return &store.Error{Failure: store.NotApplied}, false
	})
	cancelled := o.cancelAsync(t.Context(), "a")
	<-o.ended
	// The clock does not move: whatever requests the loop gets, nothing new is due to be sent.
	for range 5000 {
		_, _, _ = o.State(t.Context(), "a", work.Caller{})
	}
	if got := appends.Load(); got > 2 {
		t.Errorf("appends in no time: got: %d, want: 2 at most", got)
	}
	log.SetAppendFault(nil)
	if c := o.awaitResult(t, "the cancellation is answered", cancelled); !c.isKnown || c.err != nil {
		t.Errorf("the cancellation: got: %v, %v, want: acknowledged", c.isKnown, c.err)
	}
}

// A node that refuses all requests must not report itself ready. One that was cut off from the
// store received callers' requests for as long as that lasted.
func TestUnconfirmedOwnerMayNotAct(t *testing.T) {
	log := fakestore.NewLog()
	o := startFakeClockOwner(t, log)
	if !o.MayActAsOwner() {
		t.Error("after a heartbeat: got: may not act, want: may act")
	}
	log.SetDown(true)
	o.clock.Advance(owner.ConfirmationTimeout + tick)
	await.True(t, "it may not act", func() bool { return !o.MayActAsOwner() })
	log.SetDown(false)
	await.True(t, "it may act again", func() bool {
		o.clock.Advance(tick)
		return o.MayActAsOwner()
	})
}
