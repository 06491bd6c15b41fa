// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/state"
)

// epochs returns the sum of the epochs of all shards, which grows by one with
// each change of an owner.
func (cl *cluster) epochs() uint64 {
	sum := uint64(0)
	for _, n := range cl.nodes {
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

// A node that receives no heartbeat, while all nodes reach the log, must not
// consider its peers dead and claim their shards: they would claim them back, and
// the shards would change owners over and over.
func TestPartitionedNodeClaimsNothingFromLiveOwners(t *testing.T) {
	for name, block := range map[string]func(cl *cluster, n, o *fakeNode){
		"hears nobody and is not heard": func(cl *cluster, n, o *fakeNode) {
			cl.block(n.name(), o.name())
			cl.block(o.name(), n.name())
		},
		"hears nobody":           func(cl *cluster, n, o *fakeNode) { cl.block(o.name(), n.name()) },
		"is not heard":           func(cl *cluster, n, o *fakeNode) { cl.block(n.name(), o.name()) },
		"hears one of two peers": func(cl *cluster, n, _ *fakeNode) { cl.block(cl.nodes[0].name(), n.name()) },
	} {
		t.Run(name, func(t *testing.T) {
			cl := newClusterWithService(t, 40)
			n := cl.nodes[2]
			before := cl.epochs()
			for _, o := range cl.nodes[:2] {
				block(cl, n, o)
			}
			cl.run(30 * time.Second)
			if got, most := cl.epochs()-before, uint64(cl.shardCount()); got > most {
				t.Errorf("got: %d changes of owners, want: at most one a shard, %d", got, most)
			}
			cl.heal()
			cl.run(30 * time.Second)
			if got := cl.ownedCount(); got != cl.shardCount() {
				t.Errorf("got: %d shards with an owner, want: %d", got, cl.shardCount())
			}
			cl.expectRunning(t, 6, 0)
		})
	}
}

// A node sends to a peer over a connection on which it receives nothing, so that only the peer can
// notice when the connection delivers nothing any more. It stayed in use for as long as it was open.
func TestNodeReplacesLinksOverWhichItIsNotHeard(t *testing.T) {
	cl := newClusterWithService(t, 42)
	n := cl.nodes[2]
	before := n.connects
	cl.run(10 * time.Second)
	if got := n.connects - before; got != 0 {
		t.Errorf("links replaced without need: got: %d, want: 0", got)
	}
	for name, isSilentBothWays := range map[string]bool{"one way": false, "both ways": true} {
		for _, o := range cl.nodes[:2] {
			cl.silentLinks[[2]state.NodeID{n.id(), o.id()}] = true
			if isSilentBothWays {
				cl.silentLinks[[2]state.NodeID{o.id(), n.id()}] = true
			}
		}
		cl.run(6 * time.Second)
		if got := len(cl.silentLinks); got != 0 {
			t.Errorf("%s: silent links after 6 s: got: %d, want: 0", name, got)
		}
	}
}

// The last live node of a region cannot be distinguished from a partitioned one. It must take over
// all shards once its peers have not answered its query in the log.
func TestLastLiveNodeTakesOverAllShards(t *testing.T) {
	cl := newClusterWithService(t, 41)
	cl.nodes[0].kill()
	cl.nodes[1].kill()
	cl.run(8 * time.Second)
	if got := cl.ownedCount(); got != cl.shardCount() {
		t.Errorf("got: %d shards with an owner after 8 s, want: %d", got, cl.shardCount())
	}
	cl.expectRunning(t, 6, 0)
}

// Two nodes that do not receive each other's heartbeats, but reach the log, must
// not claim each other's shards.
func TestTwoPartitionedNodesKeepTheirShards(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 2, racks: 2, workers: 1, seed: 42})
	cl.run(30 * time.Second)
	before := cl.epochs()
	cl.block("n0", "n1")
	cl.block("n1", "n0")
	cl.run(30 * time.Second)
	if got := cl.epochs() - before; got != 0 {
		t.Errorf("got: %d changes of owners, want: 0", got)
	}
	cl.checkInvariants(t)
}

// Dead members that no operator retires stay members. They must not be queried
// repeatedly: each query appends to the log, which would grow without limit.
func TestDeadMembersAreQueriedOnlyOnce(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 5, racks: 2, workers: 1, seed: 43})
	for _, n := range cl.nodes[:3] {
		n.kill()
	}
	cl.run(30 * time.Second)
	page, _, _ := cl.log.Page(0)
	cl.run(2 * time.Minute)
	after, _, _ := cl.log.Page(0)
	if got := after.Next - page.Next; got != 0 {
		t.Errorf("got: %d appends in 2 min after everything was taken over, want: 0", got)
	}
	if got := cl.ownedCount(); got != cl.shardCount() {
		t.Errorf("got: %d shards with an owner, want: %d", got, cl.shardCount())
	}
}
