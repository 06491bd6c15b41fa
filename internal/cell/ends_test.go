// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// What callers were told while the store was slow must be known to whoever owns
// the jobs next, and is forgotten when the store has it.
func TestAnnouncedEndsAreRememberedUntilTheyAreKept(t *testing.T) {
	log := fakestore.NewLog()
	first := newNode(t, log, "n0", "1")
	first.submit(t, "a")
	second := newNode(t, log, "n1", "1")
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	log.SetFail(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotDone}, false })
	cancelled := make(chan error, 1)
	go func() {
		_, err := first.Cancel(t.Context(), "a")
		cancelled <- err
	}()
	await.True(t, "the owner runs ahead", first.IsUnlogged)
	end := work.JobEnd{Job: "b", State: work.JobSucceeded}
	first.Announce([]work.JobEnd{end})
	await.True(t, "the follower remembers", func() bool { return slices.Contains(second.Announced(), end) })
	third := newNode(t, log, "n2", "1")
	await.True(t, "a later one is told", func() bool { return slices.Contains(third.Announced(), end) })
	log.SetFail(nil)
	if err := <-cancelled; err != nil {
		t.Error(err)
	}
	for _, n := range []*testNode{first, second, third} {
		await.True(t, "it is forgotten", func() bool { return len(n.Announced()) == 0 })
	}
}

func TestAnOwnerThatMayHaveRunAheadIsNotReliedOn(t *testing.T) {
	clk := &steppedClock{}
	n := newNodeWith(t, fakestore.NewLog(), "n0", "1", clk)
	for name, tc := range map[string]struct {
		record *owner.Record
		want   bool
	}{
		"none":        {nil, true},
		"young":       {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(-800 * time.Millisecond)}, true},
		"old":         {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(-1000 * time.Millisecond)}, false},
		"marked":      {&owner.Record{Epoch: 7, SentAt: clk.Now(), IsUnlogged: true}, false},
		"clock ahead": {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(2 * time.Second)}, false},
	} {
		if got := n.IsExact(tc.record); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
