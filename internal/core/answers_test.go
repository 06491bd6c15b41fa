// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/node"
)

// A node that refused a retry must not speak for the one that was first: only
// the first may say that nothing ran.
func TestOnlyTheFirstNodeSaysThatNothingRan(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 1, workers: 1, seed: 80})
	asker, first, other := w.nodes[0], w.nodes[1], w.nodes[2]
	for name, c := range map[string]struct {
		from    *fakeNode
		verdict leverdyke.Verdict
		isKnown bool
	}{
		"the first: not run": {first, leverdyke.VerdictNotRun, true},
		"the first: ran":     {first, leverdyke.VerdictRan, true},
		"another: not run":   {other, leverdyke.VerdictNotRun, false},
		"another: ran":       {other, leverdyke.VerdictRan, true},
	} {
		reply := make(chan node.OnceReply, 1)
		id := asker.core.AskOnce(first.id(), idempotency.Key{1}, reply)
		asker.core.OnMessage(&node.Envelope{From: c.from.hello(), Message: node.Message{
			OnceReply: &node.OnceReply{ID: id, IsKnown: true, Answer: node.SavedAnswer{Verdict: c.verdict}},
		}})
		if got := <-reply; got.IsKnown != c.isKnown {
			t.Errorf("%s: got: known %v, want: %v", name, got.IsKnown, c.isKnown)
		}
	}
}

// A node that says that it stops has given its answers away before everybody
// has read that it left.
func TestAnswersOfAStoppingNodeAreSoughtEverywhere(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 1, workers: 1, seed: 81})
	asker, first, heir := w.nodes[0], w.nodes[1], w.nodes[2]
	first.core.Drain()
	w.run(20 * step)
	reply := make(chan node.OnceReply, 1)
	id := asker.core.AskOnce(first.id(), idempotency.Key{1}, reply)
	isAsked := false
	for i := range heir.inbox {
		isAsked = isAsked || heir.inbox[i].OnceAsk != nil
	}
	if !isAsked {
		t.Error("got: the heir is not asked, want: asked")
	}
	asker.core.GiveUpOnce(id)
}
