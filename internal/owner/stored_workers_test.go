// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Guards against a second owner that does not know on which workers the first one may have started
// tasks, because the owner in between began with an empty list.
func TestOwnersHandOnOnWhichWorkersTasksMayRun(t *testing.T) {
	log := fakestore.NewLog()
	first := runOwner(t, log, newFakeWorkers(), oneWorkerList{}, clock.Real{}, nil)
	if err := first.Submit(t.Context(), newJob("a")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, first, "a", work.JobSucceeded)
	await.True(t, "the worker is stored", func() bool { return isStored(t, log, "w") })
	await.True(t, "the record says so", func() bool { return newestRecord(t, log).AreWorkersStored })
	before := newestRecord(t, log)
	first.Stop()
	<-first.Done()
	second := runOwner(t, log, newFakeWorkers(), emptyList{}, clock.Real{}, nil, func(o *owner.Options) {
		o.Claim.HasAllPlacements = false
		o.Claim.Record.ListedWorkers, o.Claim.Record.AreWorkersStored = before.ListedWorkers, before.AreWorkersStored
	})
	await.True(t, "the second owner writes records", func() bool { n, _ := second.LastRecord(); return n >= 3 })
	r := newestRecord(t, log)
	if r.ListedWorkers != before.ListedWorkers || !r.AreWorkersStored || !isStored(t, log, "w") {
		t.Errorf("got: %d listed, stored: %v, %v, want: %d, true, true", r.ListedWorkers, r.AreWorkersStored, isStored(t, log, "w"), before.ListedWorkers)
	}
}

// Guards against reliance on stored workers after an owner of an earlier version, which stores none.
func TestWorkersOfAnEarlierVersionAreNotReliedOn(t *testing.T) {
	log := fakestore.NewLog()
	claimShard(t, log)
	o := runOwner(t, log, newFakeWorkers(), emptyList{}, clock.Real{}, nil, func(o *owner.Options) { o.Claim.HasAllPlacements = false })
	await.True(t, "it writes records", func() bool { n, _ := o.LastRecord(); return n >= 3 })
	if newestRecord(t, log).AreWorkersStored {
		t.Error("it is not known what the previous owner started: got: its workers are stored, want: not")
	}
}

// emptyList is a list of workers without entries.
type emptyList struct{ oneWorkerList }

func (emptyList) Workers(context.Context) ([]order.Worker, error) { return nil, nil }

func newestRecord(t *testing.T, log store.Log) *owner.Record {
	t.Helper()
	r, _, err := owner.ReadRecord(t.Context(), log)
	if err != nil || r == nil {
		t.Fatalf("got: %v, %v, want: a record", r, err)
	}
	return r
}

// isStored reports whether the ID of a worker is in the store.
func isStored(t *testing.T, log store.Log, id order.WorkerID) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	newest, err := log.ReadNewest(ctx, owner.TopicJobs)
	if err != nil {
		t.Fatal(err)
	}
	for i := range newest.Records {
		if newest.Records[i].Key == "w/"+string(id) && len(newest.Records[i].Value) > 0 {
			return true
		}
	}
	return false
}
