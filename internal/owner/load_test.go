// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// takeoverLog is a store that fixes the order of two steps of a takeover: the jobs are read first,
// and the previous owner is fenced after that.
type takeoverLog struct {
	store.Log
	// isRead is closed once the jobs have been read for the first time.
	isRead chan struct{}
	once   sync.Once
	// beforeFence is called after that and before the previous owner is fenced.
	beforeFence func()
}

func newTakeoverLog(log store.Log, beforeFence func()) *takeoverLog {
	return &takeoverLog{Log: log, isRead: make(chan struct{}), beforeFence: beforeFence}
}

func (l *takeoverLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	newest, err := l.Log.ReadNewest(ctx, topic)
	if topic == owner.TopicJobs {
		l.once.Do(func() { close(l.isRead) })
	}
	return newest, err
}

func (l *takeoverLog) Append(ctx context.Context, a *store.Append) (uint64, error) {
	if a.Topic == owner.TopicJobs && len(a.Records) == 0 {
		<-l.isRead
		l.beforeFence()
	}
	return l.Log.Append(ctx, a)
}

// The jobs are read while the previous owner can still append. What it appends in that time must
// not be missed.
func TestTakeoverSeesAppendsDuringItsRead(t *testing.T) {
	record := recordOf(t, "late")
	log := fakestore.NewLog()
	next := startOwner(t, newTakeoverLog(log, sync.OnceFunc(func() {
		if _, err := log.Append(t.Context(), &store.Append{Topic: owner.TopicJobs, Records: []store.Record{record}}); err != nil {
			t.Error(err)
		}
	})), newFakeWorkers())
	awaitState(t, next, "late", work.JobSucceeded)
}

// recordOf returns the record of a job as an owner stores it.
func recordOf(t *testing.T, id string) store.Record {
	t.Helper()
	log, workers := fakestore.NewLog(), newFakeWorkers()
	workers.gate = make(chan struct{})
	defer close(workers.gate)
	if err := startOwner(t, log, workers).Submit(t.Context(), newJob(id)); err != nil {
		t.Fatal(err)
	}
	newest, err := log.ReadNewest(t.Context(), owner.TopicJobs)
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(newest.Records, func(r store.Record) bool { return r.Key == "j/"+id })
	if i < 0 {
		t.Fatalf("record of %s: got: none, want: one", id)
	}
	return newest.Records[i]
}

// gatedList calls onRead at each read of the worker list. The test's store does not continue before
// the first one.
type gatedList struct {
	oneWorkerList
	onRead func()
}

func (l gatedList) Workers(ctx context.Context) ([]order.Worker, error) {
	l.onRead()
	return l.oneWorkerList.Workers(ctx)
}

// On a store that takes 0.36 s to answer, a takeover that read the jobs and the worker list one
// after the other took 3.7 s from the death of an owner to the first start by the next one.
func TestWorkerListIsReadConcurrentlyWithJobs(t *testing.T) {
	isListed := make(chan struct{})
	log := newTakeoverLog(fakestore.NewLog(), func() { <-isListed })
	o := startOwnerWithList(t, log, newFakeWorkers(), gatedList{onRead: sync.OnceFunc(func() { close(isListed) })})
	if err := o.Submit(t.Context(), newJob("a")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, o, "a", work.JobSucceeded)
}
