// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// laggingLog is a store whose first reads of the jobs do not have the newest records yet.
type laggingLog struct {
	store.Log
	// old is what these reads return.
	old *store.Newest
	// oldReads is how many more reads return it.
	oldReads atomic.Int64
}

func (l *laggingLog) ReadNewest(ctx context.Context, topic string) (*store.Newest, error) {
	if topic == owner.TopicJobs && l.oldReads.Add(-1) >= 0 {
		return l.old, nil
	}
	return l.Log.ReadNewest(ctx, topic)
}

// A successor that decides by records from before the end of a job would run its tasks again.
func TestTakeoverReadsUntilItHasAllRecordsOfThePreviousOwner(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	workers.gate = make(chan struct{})
	previous := startOwner(t, log, workers)
	if err := previous.Submit(t.Context(), newJob("a")); err != nil {
		t.Fatal(err)
	}
	old, err := log.ReadNewest(t.Context(), owner.TopicJobs)
	if err != nil {
		t.Fatal(err)
	}
	close(workers.gate)
	awaitState(t, previous, "a", work.JobSucceeded)
	previous.Stop()
	lagging := &laggingLog{Log: log, old: old}
	lagging.oldReads.Store(3)
	workersOfNext := newFakeWorkers()
	awaitState(t, startOwner(t, lagging, workersOfNext), "a", work.JobSucceeded)
	workersOfNext.mu.Lock()
	defer workersOfNext.mu.Unlock()
	if got := len(workersOfNext.starts); got != 0 {
		t.Errorf("starts of the successor: got: %d, want: 0", got)
	}
}
