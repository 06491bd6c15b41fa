// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// blockedWorkers are many workers that answer no poll until they are released.
type blockedWorkers struct {
	*fakeWorkers
	release chan struct{}

	mu sync.Mutex
	// inFlight and mostInFlight count polls at a time; polled has the workers that were polled.
	inFlight, mostInFlight int
	polled                 map[order.WorkerID]bool
}

func (w *blockedWorkers) Poll(ctx context.Context, fence uint64, poll *order.Poll) (*order.Listing, order.PollOutcome) {
	w.mu.Lock()
	w.inFlight++
	w.mostInFlight = max(w.mostInFlight, w.inFlight)
	w.polled[poll.Worker] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.inFlight--
	}()
	select {
	case <-w.release:
	case <-ctx.Done():
	}
	return w.fakeWorkers.Poll(ctx, fence, poll)
}

func (w *blockedWorkers) counts() (inFlight, mostInFlight, polled int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight, w.mostInFlight, len(w.polled)
}

// manyWorkerList lists 300 workers.
type manyWorkerList struct{ oneWorkerList }

func (manyWorkerList) Workers(context.Context) ([]order.Worker, error) {
	out := make([]order.Worker, manyWorkers)
	for i := range out {
		out[i] = order.Worker{ID: order.WorkerID(fmt.Sprintf("w%03d", i)), Service: "pool"}
	}
	return out, nil
}

const manyWorkers = 300

// An owner without delegates opened connections to all its workers at once, more than a small node
// may have files.
func TestPollsInFlightAreBounded(t *testing.T) {
	const limit = 20
	w := &blockedWorkers{fakeWorkers: newFakeWorkers(), release: make(chan struct{}), polled: map[order.WorkerID]bool{}}
	o := runOwner(t, fakestore.NewLog(), w, manyWorkerList{}, clock.Real{}, nil, func(o *owner.Options) { o.MaxDirectPolls = limit })
	await.True(t, "polls are in flight", func() bool {
		inFlight, _, _ := w.counts()
		return inFlight == limit
	})
	if _, _, err := o.State(t.Context(), "a", work.Caller{}); err != nil {
		t.Fatal(err)
	}
	close(w.release)
	await.True(t, "all workers are polled", func() bool {
		_, _, polled := w.counts()
		return polled == manyWorkers
	})
	if _, most, _ := w.counts(); most > limit {
		t.Errorf("polls in flight: got: %d, want: at most %d", most, limit)
	}
}
