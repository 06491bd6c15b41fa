// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// claimed claims the shard and returns an owner that runs.
func claimed(t *testing.T, log store.Log, workers *fakeWorkers) *owner.Owner {
	t.Helper()
	return claimedWith(t, log, workers, nil)
}

// claimedWith is claimed with a taker of log lines.
func claimedWith(t *testing.T, log store.Log, workers *fakeWorkers, logged func(events.Event, ...any)) *owner.Owner {
	t.Helper()
	o := claimedBy(t, log, workers, clock.Real{}, logged)
	await.True(t, "the jobs are read", o.IsLoaded)
	return o
}

// claimedFrom is claimed with another list of workers.
func claimedFrom(t *testing.T, log store.Log, workers *fakeWorkers, list owner.List) *owner.Owner {
	t.Helper()
	o := run(t, log, workers, list, clock.Real{}, nil)
	await.True(t, "the jobs are read", o.IsLoaded)
	return o
}

// claimedBy is claimedWith by another clock. The jobs may not be read yet.
func claimedBy(t *testing.T, log store.Log, workers *fakeWorkers, clk clock.Service, logged func(events.Event, ...any)) *owner.Owner {
	t.Helper()
	return run(t, log, workers, oneWorker{}, clk, logged)
}

// run claims the shard and runs an owner until the test ends.
func run(t *testing.T, log store.Log, workers *fakeWorkers, list owner.List, clk clock.Service, logged func(events.Event, ...any), change ...func(*owner.Options)) *owner.Owner {
	t.Helper()
	earlier, at, err := owner.ReadRecord(t.Context(), log)
	if err != nil {
		t.Fatal(err)
	}
	if earlier != nil {
		at++
	}
	r := owner.Record{Node: "n", Life: "l", Epoch: at + 1}
	if _, err := owner.AppendRecord(t.Context(), log, &r, at); err != nil {
		t.Fatal(err)
	}
	options := owner.Options{
		Claim: owner.Claim{Record: r, Offset: at, Earlier: earlier, IsExact: true}, Store: log, Workers: workers, List: list,
		Lanes: noLanes{}, Clock: clk, Metrics: noFigures{}, HasOutage: func() bool { return false }, Strongest: func() float64 { return 1 },
		Log: logged,
	}
	for _, f := range change {
		f(&options)
	}
	o := owner.New(options)
	o.SetPolicy(1, order.Policy{Queues: []order.Queue{{Name: "q", Service: "pool", MaxAttempts: 2}}})
	done := make(chan error, 1)
	go func() { done <- o.Run(context.WithoutCancel(t.Context())) }()
	t.Cleanup(func() {
		o.Stop()
		<-done
	})
	return o
}

func job(id string) *work.Spec {
	return &work.Spec{ID: work.JobID(id), Queue: "q", Steps: []work.Step{{Count: 2, MaxUnavailable: -1}}}
}

func awaitState(t *testing.T, o *owner.Owner, id string, want work.JobState) {
	t.Helper()
	await.True(t, id+" is "+string(want), func() bool {
		state, ok, err := o.State(t.Context(), work.JobID(id), work.Caller{})
		return err == nil && ok && state == want
	})
}

func verdictOf(err error) leverdyke.Verdict {
	if e := (&leverdyke.Error{}); errors.As(err, &e) {
		return e.Verdict
	}
	return ""
}

func TestAJobIsKeptAndRun(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	o := claimed(t, log, workers)
	if err := o.Submit(t.Context(), job("a")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, o, "a", work.JobSucceeded)
	if err := o.Submit(t.Context(), job("a")); err != nil {
		t.Errorf("the same job again: got: %v, want: accepted", err)
	}
	if _, ok, err := o.State(t.Context(), "b", work.Caller{}); ok || err != nil {
		t.Errorf("an unknown job: got: %v, %v, want: not known", ok, err)
	}
	if ok, err := o.Cancel(t.Context(), "b", work.Caller{}); ok || err != nil {
		t.Errorf("cancel of an unknown job: got: %v, %v, want: not known", ok, err)
	}
}

func TestAJobThatTheStoreRefusesNeverRuns(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	o := claimed(t, log, workers)
	log.SetFail(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotDone}, false })
	if got := verdictOf(o.Submit(t.Context(), job("a"))); got != leverdyke.VerdictNotRun {
		t.Errorf("got: %v, want: %v", got, leverdyke.VerdictNotRun)
	}
	log.SetFail(nil)
	if err := o.Submit(t.Context(), job("b")); err != nil {
		await.True(t, "the store is found to serve", func() bool { return o.Submit(t.Context(), job("b")) == nil })
	}
	awaitState(t, o, "b", work.JobSucceeded)
	if _, ok, _ := o.State(t.Context(), "a", work.Caller{}); ok {
		t.Error("the refused job: got: known, want: not known")
	}
}

// Reading the jobs at a takeover took twice as long while each job that was over
// still had its steps in the store.
func TestOfAJobThatIsOverOnlyTheStateIsKept(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	o := claimed(t, log, workers)
	if err := o.Submit(t.Context(), job("a")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, o, "a", work.JobSucceeded)
	newest, err := log.ReadNewest(t.Context(), owner.TopicJobs)
	if err != nil || len(newest.Records) != 1 || newest.Records[0].Key != "p/a" {
		t.Errorf("records: got: %v, %v, want: p/a only", newest, err)
	}
	o.Stop()
	next := claimed(t, log, newFakeWorkers())
	awaitState(t, next, "a", work.JobSucceeded)
	if err := next.Submit(t.Context(), job("a")); err != nil {
		t.Errorf("the same job again: got: %v, want: accepted", err)
	}
	if ok, err := next.Cancel(t.Context(), "a", work.Caller{}); !ok || err != nil {
		t.Errorf("cancelling it: got: %v, %v, want: known", ok, err)
	}
	if state, _, _ := next.State(t.Context(), "a", work.Caller{}); state != work.JobSucceeded {
		t.Errorf("its state then: got: %v, want: %v", state, work.JobSucceeded)
	}
}

// A lost answer is settled by the same sequence number: the job is kept once.
func TestALostAnswerIsSettled(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	o := claimed(t, log, workers)
	lost := 0
	log.SetFail(func(*store.Append) (error, bool) {
		if lost++; lost <= 2 {
			return &store.Error{Failure: store.Unknown}, lost == 1
		}
		return nil, false
	})
	if err := o.Submit(t.Context(), job("a")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, o, "a", work.JobSucceeded)
	specs := log.CountKey(owner.TopicJobs, "j/a")
	if specs != 1 {
		t.Errorf("records of the job: got: %d, want: 1", specs)
	}
}

func TestANewOwnerEndsTheEarlierOne(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	first := claimed(t, log, workers)
	if err := first.Submit(t.Context(), job("a")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, first, "a", work.JobSucceeded)
	second := claimed(t, log, newFakeWorkers())
	<-first.Done()
	if got := verdictOf(first.Submit(t.Context(), job("b"))); got != leverdyke.VerdictMayHaveRun && got != leverdyke.VerdictNotRun {
		t.Errorf("a job at the earlier owner: got: %v, want: a refusal", got)
	}
	awaitState(t, second, "a", work.JobSucceeded)
	if second.Epoch() <= first.Epoch() {
		t.Errorf("epochs: got: %d after %d, want: a higher one", second.Epoch(), first.Epoch())
	}
}

func TestHandOverEndsTheOwner(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	o := claimed(t, log, workers)
	if err := o.Submit(t.Context(), job("a")); err != nil {
		t.Fatal(err)
	}
	if !o.HandOver(t.Context()) {
		t.Error("got: kept, want: handed over")
	}
	<-o.Done()
	await.True(t, "its connections to workers are closed", workers.isClosed.Load)
}

// Nobody could claim the shard while the store is out: the owner keeps it.
func TestHandOverIsLeftOutWhileTheStoreIsOut(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	o := claimed(t, log, workers)
	log.SetDown(true)
	if err := o.Submit(t.Context(), job("a")); err == nil {
		t.Fatal("got: accepted, want: refused")
	}
	if o.HandOver(t.Context()) {
		t.Error("got: handed over, want: kept")
	}
	select {
	case <-o.Done():
		t.Error("got: ended, want: the owner goes on")
	default:
	}
}

// slowLink is a store behind a link over which each request for the jobs takes an
// hour, all the time moving: a context that ends sooner cuts it.
type slowLink struct{ store.Log }

func (s slowLink) cut(ctx context.Context, topic string) error {
	if end, ok := ctx.Deadline(); ok && topic == owner.TopicJobs && time.Until(end) < time.Hour {
		return &store.Error{Failure: store.Unknown, Err: context.DeadlineExceeded}
	}
	return nil
}

func (s slowLink) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	if err := s.cut(ctx, topic); err != nil {
		return nil, err
	}
	return s.Log.ReadNewest(ctx, topic)
}

func (s slowLink) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if err := s.cut(ctx, a.Topic); err != nil {
		return 0, err
	}
	return s.Log.Append(ctx, a)
}

// A node with a link of 10 Mbit/s could not read a state of over 1.9 MB within the
// 1.5 s that it allowed itself, and began anew for ever.
func TestAWeakNodeTakesOverALargeState(t *testing.T) {
	log := fakestore.NewLog()
	workers := newFakeWorkers()
	first := claimed(t, log, workers)
	if err := first.Submit(t.Context(), job("j1")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, first, "j1", work.JobSucceeded)
	second := claimed(t, slowLink{log}, workers)
	awaitState(t, second, "j1", work.JobSucceeded)
	if err := second.Submit(t.Context(), job("j2")); err != nil {
		t.Errorf("an append over the slow link: got: %v, want: kept", err)
	}
}
