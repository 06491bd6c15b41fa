// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
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

// Jobs whose last task ended while the store was out were late by what was left
// of the outage.
func TestAJobEndsWhileTheStoreIsOut(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	release := make(chan struct{})
	workers.gate = release
	o := claimed(t, log, workers)
	if err := o.Submit(t.Context(), &work.Spec{ID: "a", Queue: "q", Steps: []work.Step{{Count: 1, MayMiss: -1}, {Count: 1, MayMiss: -1, After: []int{0}}}}); err != nil {
		t.Fatal(err)
	}
	log.SetFail(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotDone}, false })
	log.SetDown(true)
	close(release)
	awaitState(t, o, "a", work.JobSucceeded)
	if !o.IsUnlogged() {
		t.Error("the owner: got: all is kept, want: the next owner must not rely on it")
	}
	log.SetFail(nil)
	log.SetDown(false)
	await.True(t, "all is kept", func() bool { return !o.IsUnlogged() })
	awaitState(t, o, "a", work.JobSucceeded)
}

// A worker left with the ends that it had listed, the owner ended, and the next
// one ran tasks of a job again that its caller had been told to have succeeded.
func TestAnAnnouncedEndHoldsAtTheNextOwner(t *testing.T) {
	log, workers := fakestore.NewLog(), newFakeWorkers()
	workers.gate = make(chan struct{})
	first := claimed(t, log, workers)
	if err := first.Submit(t.Context(), job("a")); err != nil {
		t.Fatal(err)
	}
	idle := newFakeWorkers()
	idle.gate = make(chan struct{})
	second := claimed(t, log, idle)
	second.TakeEnds([]work.JobEnd{{Job: "a", State: work.JobSucceeded}, {Job: "b", State: work.JobSucceeded}})
	awaitState(t, second, "a", work.JobSucceeded)
	if _, ok, _ := second.State(t.Context(), "b"); ok {
		t.Error("a job that nobody handed in: got: known, want: not known")
	}
}
