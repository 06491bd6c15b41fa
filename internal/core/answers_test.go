// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/node"
)

// A node that refused a retry of a request may have stored the answer that
// nothing ran, while the node that has the key ran the request. Only the answer
// of the latter may be accepted.
func TestOnlyTheKeysOwnerMayReportNotRun(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 3, racks: 1, workers: 1, seed: 80})
	requester, keyOwner, other := cl.nodes[0], cl.nodes[1], cl.nodes[2]
	for name, c := range map[string]struct {
		from    *fakeNode
		verdict leverdyke.Verdict
		isKnown bool
	}{
		"the key's owner: not run": {keyOwner, leverdyke.VerdictNotRun, true},
		"the key's owner: ran":     {keyOwner, leverdyke.VerdictRan, true},
		"another node: not run":    {other, leverdyke.VerdictNotRun, false},
		"another node: ran":        {other, leverdyke.VerdictRan, true},
	} {
		reply := make(chan node.SavedAnswerReply, 1)
		id := requester.core.QueryAnswer(keyOwner.id(), idempotency.Key{1}, reply)
		requester.core.OnMessage(&node.Envelope{From: c.from.hello(), Message: node.Message{
			SavedAnswerReply: &node.SavedAnswerReply{ID: id, IsKnown: true, Answer: node.SavedAnswer{Verdict: c.verdict}},
		}})
		if got := <-reply; got.IsKnown != c.isKnown {
			t.Errorf("%s: got: known %v, want: %v", name, got.IsKnown, c.isKnown)
		}
	}
}

// A draining node hands its answers over before the other nodes have read from
// the log that it left. A query meanwhile must also go to its successor.
func TestAnswersOfADrainingNodeAreRequestedFromAllNodes(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 3, racks: 1, workers: 1, seed: 81})
	requester, keyOwner, successor := cl.nodes[0], cl.nodes[1], cl.nodes[2]
	keyOwner.core.Drain()
	cl.run(20 * step)
	reply := make(chan node.SavedAnswerReply, 1)
	id := requester.core.QueryAnswer(keyOwner.id(), idempotency.Key{1}, reply)
	isQueried := false
	for i := range successor.inbox {
		isQueried = isQueried || successor.inbox[i].SavedAnswerRequest != nil
	}
	if !isQueried {
		t.Error("got: no query to the successor, want: one")
	}
	requester.core.AbandonQuery(id)
}
