// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The next owner must know that this one ran ahead of the store: by a mark in
// the newest record, or by the age of the newest record without one.
func TestAnOwnerRunsAheadOnlyWhereTheNextOneKnows(t *testing.T) {
	const ms = time.Millisecond
	begin := clock.NewFake().Now()
	for name, tc := range map[string]struct {
		play func(g *owner.AheadGate)
		at   time.Duration
		want bool
	}{
		"the store is quick": {func(*owner.AheadGate) {}, 5000 * ms, false},
		"slow, the plain record is young": {func(g *owner.AheadGate) {
			g.Slow(begin.Add(1100 * ms))
		}, 1100 * ms, false},
		"slow, the plain record is old": {func(g *owner.AheadGate) {
			g.Slow(begin.Add(1100 * ms))
		}, 1300 * ms, true},
		"slow, the mark is written": {func(g *owner.AheadGate) {
			g.Slow(begin.Add(100 * ms))
			g.Compose(begin.Add(150 * ms))
		}, 200 * ms, false},
		"slow, the mark is kept": {func(g *owner.AheadGate) {
			g.Slow(begin.Add(100 * ms))
			g.Kept(g.Compose(begin.Add(150 * ms)))
		}, 200 * ms, true},
		"the mark is kept before, as all workers answer": {func(g *owner.AheadGate) {
			g.Update(begin, false, true)
			g.Kept(g.Compose(begin.Add(50 * ms)))
			g.Slow(begin.Add(100 * ms))
		}, 100 * ms, true},
		"a plain record follows the mark": {func(g *owner.AheadGate) {
			g.Slow(begin.Add(100 * ms))
			g.Kept(g.Compose(begin.Add(150 * ms)))
			g.Update(begin.Add(2000*ms), false, false)
			g.Compose(begin.Add(2000 * ms))
			g.Slow(begin.Add(2100 * ms))
		}, 2200 * ms, false},
		"places are unkept after the store is back": {func(g *owner.AheadGate) {
			g.Slow(begin.Add(100 * ms))
			g.Kept(g.Compose(begin.Add(150 * ms)))
			g.Update(begin.Add(2000*ms), true, false)
			g.Kept(g.Compose(begin.Add(2000 * ms)))
			g.Slow(begin.Add(2100 * ms))
		}, 2200 * ms, true},
	} {
		g := owner.NewAheadGate(begin)
		tc.play(g)
		if got := g.MayRunAhead(begin.Add(tc.at)); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// While the store was out, ends of jobs were told that it did not have: a worker
// left with the ends, all nodes lost their memory, and the next owner ran the tasks
// again. The next step starts ahead of the store, but a job's end waits for it.
func TestAJobsEndIsToldOnlyOnceItIsKept(t *testing.T) {
	for name, isBack := range map[string]bool{"the store is back": true, "all memory and the worker are lost": false} {
		t.Run(name, func(t *testing.T) {
			log, workers := fakestore.NewLog(), newFakeWorkers()
			release, ended := make(chan struct{}), make(chan struct{})
			workers.gate = release
			o := claimedWith(t, log, workers, func(e events.Event, _ ...any) {
				if e == events.JobEnded {
					close(ended)
				}
			})
			if err := o.Submit(t.Context(), &work.Spec{ID: "a", Queue: "q", Steps: []work.Step{{Count: 1, MaxUnavailable: -1}, {Count: 1, MaxUnavailable: -1, After: []int{0}}}}); err != nil {
				t.Fatal(err)
			}
			log.SetFail(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotDone}, false })
			log.SetDown(true)
			close(release)
			<-ended
			if got, _, err := o.State(t.Context(), "a", work.Caller{}); err != nil || got != work.JobRunning {
				t.Errorf("the state while its end is not kept: got: %v, %v, want: %v", got, err, work.JobRunning)
			}
			if !o.IsUnlogged() {
				t.Error("the owner: got: all is kept, want: the next owner must not rely on it")
			}
			if !isBack {
				o.Stop()
				// A writer that is about to send would otherwise find the store back.
				await.True(t, "nothing of the owner is left", workers.isClosed.Load)
				workers = newFakeWorkers()
			}
			log.SetFail(nil)
			log.SetDown(false)
			if !isBack {
				o = claimed(t, log, workers)
			}
			awaitState(t, o, "a", work.JobSucceeded)
			await.True(t, "all is kept", func() bool { return !o.IsUnlogged() })
			if got := len(workers.starts); got != 2 {
				t.Errorf("starts at the worker that is left: got: %d, want: 2", got)
			}
		})
	}
}
