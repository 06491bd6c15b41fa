// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// Guards against tasks that run twice: an owner that woke up took the heartbeats that waited in its sockets for new ones,
// and acted beside its successor as in an outage of the store.
func TestPeersOfAPausedOwnerAreNoMajorityBeforeTheyAnswer(t *testing.T) {
	c := clock.NewFake()
	peers, conns := newLinkedPeers(t, c)
	asOf := c.Now()
	isMajority := func() bool { return peers.IsMajority(asOf, 0) }
	if !isMajority() {
		t.Fatal("all have answered: got: no majority, want: one")
	}
	_, beforePause := peers.BeginProbes()
	c.Advance(500 * time.Millisecond)
	for i, conn := range conns {
		// What waited in the sockets: heartbeats, answers to probes, and the hellos of links that were made in vain.
		peers.Heartbeat(conn)
		peers.ProbeAnswered(conn, beforePause)
		if i == 0 {
			peers.AddUnverified("n0", conn)
		}
	}
	if isMajority() {
		t.Error("after a pause of half a second: got: a majority, want: none before the peers have answered")
	}
	count, pauses := peers.BeginProbes()
	if count != len(conns) {
		t.Errorf("peers to probe: got: %d, want: %d", count, len(conns))
	}
	for _, conn := range conns {
		peers.ProbeAnswered(conn, pauses)
	}
	if !isMajority() {
		t.Error("all have answered again: got: no majority, want: one")
	}
}

// The nodes that follow an owner have to answer its probes, or it had no majority in an outage of the store.
func TestFollowersAnswerProbes(t *testing.T) {
	log := fakestore.NewLog()
	nodes := []*testNode{}
	for i := range 3 {
		nodes = append(nodes, newNode(t, log, fmt.Sprintf("n%d", i), "1"))
	}
	await.True(t, "a node has two followers that answer", func() bool {
		// Three nodes are the majority of five.
		return slices.ContainsFunc(nodes, func(n *testNode) bool { return n.HasMajority(5) })
	})
}
