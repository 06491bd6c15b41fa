// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/cluster"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// firstAnswerAt is the time of the worker's clock when it answers first.
const firstAnswerAt order.WorkerTime = 1

// countingWorkers is a list with one idle worker, which counts the polls and starts that it gets.
type countingWorkers struct {
	inactivePlatform
	polls, starts atomic.Int64
}

func (w *countingWorkers) Workers(context.Context) ([]order.Worker, error) {
	return []order.Worker{{ID: "w", Service: "pool"}}, nil
}

func (w *countingWorkers) Poll(ctx context.Context, _ uint64, _ *order.Poll) (*order.Listing, order.PollOutcome) {
	if w.polls.Add(1) > 1 {
		<-ctx.Done()
		return nil, order.PollUnanswered
	}
	return &order.Listing{At: firstAnswerAt}, order.PollAnswered
}

func (w *countingWorkers) Start(context.Context, uint64, *order.Start) (order.StartOutcome, order.WorkerTime) {
	w.starts.Add(1)
	return order.StartSucceeded, 0
}

// Guards against an owner without a configuration that starts tasks of the queues that are in the store,
// without the limits of their customers.
func TestOwnerStartsNothingBeforeItHasAConfiguration(t *testing.T) {
	log := fakestore.NewLog()
	first := newNode(t, log, "n0", "1")
	first.config.set(1)
	await.True(t, "the first node has a configuration", func() bool { return first.config.applied() == 1 })
	first.submit(t, "a")
	first.Close()
	w := &countingWorkers{}
	second := newNodeWith(t, log, "n1", "1", clock.Real{}, func(o *cluster.Options) {
		o.NewOwner = func(fallback.Doer) (owner.Workers, owner.List) { return w, w }
	})
	await.True(t, "the second node owns the job", func() bool { return second.knows(t, "a") })
	await.True(t, "the first answer of its worker is handled", func() bool { return w.polls.Load() >= 2 })
	second.submit(t, "b")
	if got := w.starts.Load(); got != 0 {
		t.Errorf("starts before the configuration: got: %d, want: 0", got)
	}
	second.config.set(1)
	await.True(t, "the tasks start", func() bool { return w.starts.Load() >= 1 })
}
