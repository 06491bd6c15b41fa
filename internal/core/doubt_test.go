// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"testing"
	"time"
)

// epochs adds the epochs of all shards: it grows by one with each change of an
// owner.
func (w *world) epochs() uint64 {
	sum := uint64(0)
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		total := uint64(0)
		for _, s := range n.core.State().Shards {
			total += s.Epoch
		}
		sum = max(sum, total)
	}
	return sum
}

// A node that hears no peer, while all of them reach the log, gives up what it
// owns and takes nothing: owners do not go to and fro.
func TestCutOffNodeClaimsNothingFromTheLiving(t *testing.T) {
	for name, cut := range map[string]func(w *world, n, o *fakeNode){
		"hears nobody and is not heard": func(w *world, n, o *fakeNode) {
			w.cut(n.name(), o.name())
			w.cut(o.name(), n.name())
		},
		"hears nobody":  func(w *world, n, o *fakeNode) { w.cut(o.name(), n.name()) },
		"is not heard":  func(w *world, n, o *fakeNode) { w.cut(n.name(), o.name()) },
		"is cut by one": func(w *world, n, _ *fakeNode) { w.cut(w.nodes[0].name(), n.name()) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newBusyWorld(t, 40)
			n := w.nodes[2]
			before := w.epochs()
			for _, o := range w.nodes[:2] {
				cut(w, n, o)
			}
			w.run(30 * time.Second)
			if got, most := w.epochs()-before, uint64(w.shards()); got > most {
				t.Errorf("got: %d changes of owners, want: at most one a shard, %d", got, most)
			}
			w.heal()
			w.run(30 * time.Second)
			if got := w.owned(); got != w.shards() {
				t.Errorf("got: %d shards with an owner, want: %d", got, w.shards())
			}
			w.expect(t, 6, 0)
		})
	}
}

// The last node of a region asks through the log, hears nothing, and takes all.
func TestLastNodeTakesAll(t *testing.T) {
	w := newBusyWorld(t, 41)
	w.nodes[0].kill()
	w.nodes[1].kill()
	w.run(8 * time.Second)
	if got := w.owned(); got != w.shards() {
		t.Errorf("got: %d shards with an owner after 8 s, want: %d", got, w.shards())
	}
	w.expect(t, 6, 0)
}

// Of two nodes that do not hear each other none takes anything while both reach
// the log.
func TestTwoNodesThatDoNotHearEachOtherKeepWhatTheyOwn(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 2, racks: 2, workers: 1, seed: 42})
	w.run(30 * time.Second)
	before := w.epochs()
	w.cut("n0", "n1")
	w.cut("n1", "n0")
	w.run(30 * time.Second)
	if got := w.epochs() - before; got != 0 {
		t.Errorf("got: %d changes of owners, want: 0", got)
	}
	w.check(t)
}

// Members that died and that nobody retires are doubted once, not for ever.
func TestDeadMembersAreDoubtedOnce(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 5, racks: 2, workers: 1, seed: 43})
	for _, n := range w.nodes[:3] {
		n.kill()
	}
	w.run(30 * time.Second)
	page, _, _ := w.log.Page(0)
	w.run(2 * time.Minute)
	after, _, _ := w.log.Page(0)
	if got := after.Next - page.Next; got != 0 {
		t.Errorf("got: %d appends in 2 min after everything was taken over, want: 0", got)
	}
	if got := w.owned(); got != w.shards() {
		t.Errorf("got: %d shards with an owner, want: %d", got, w.shards())
	}
}
