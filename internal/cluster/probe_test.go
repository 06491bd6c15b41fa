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
	_, beforePause := peers.BeginProbes(false)
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
	count, round := peers.BeginProbes(false)
	if count != len(conns) {
		t.Errorf("peers to probe: got: %d, want: %d", count, len(conns))
	}
	for _, conn := range conns {
		peers.ProbeAnswered(conn, round)
	}
	if !isMajority() {
		t.Error("all have answered again: got: no majority, want: one")
	}
}

// Guards against leases that outlast what a successor waits for: in an outage they are counted from when most nodes were
// last known to follow the owner, which is when the probes were sent that they have answered.
func TestLeasesAreCountedFromProbesThatMostNodesHaveAnswered(t *testing.T) {
	c := clock.NewFake()
	peers, conns := newLinkedPeers(t, c)
	begin := c.Now()
	answeredAt := func(minNodes int) time.Duration { return peers.MajorityAnsweredAt(begin, minNodes).Sub(begin) }
	if count, _ := peers.BeginProbes(true); count != 0 {
		t.Errorf("peers to probe right after their answers: got: %d, want: none", count)
	}
	c.Advance(300 * time.Millisecond)
	if count, _ := peers.BeginProbes(false); count != 0 {
		t.Errorf("peers to probe while the store confirms the owner: got: %d, want: none", count)
	}
	count, round := peers.BeginProbes(true)
	if count != len(conns) {
		t.Errorf("peers to probe 0.3 s after their answers: got: %d, want: %d", count, len(conns))
	}
	c.Advance(100 * time.Millisecond)
	for i, want := range []time.Duration{0, 0, 300 * time.Millisecond, 300 * time.Millisecond} {
		if got := answeredAt(0); got != want {
			t.Errorf("%d of four have answered again: got: %v, want: %v", i, got, want)
		}
		peers.ProbeAnswered(conns[i], round)
	}
	if got := answeredAt(9); got != 300*time.Millisecond {
		t.Errorf("of nine nodes: got: %v, want: 0.3 s", got)
	}
	if got := peers.MajorityAnsweredAt(begin, 10); !got.IsZero() {
		t.Errorf("of ten nodes: got: %v, want: none, as five are no majority", got)
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
