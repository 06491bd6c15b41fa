// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/cluster"
	"github.com/leverdyke/leverdyke/internal/connbudget"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// awaitRecordOf waits until a node owns the shard, and returns its record.
func awaitRecordOf(t *testing.T, log *fakestore.Log, node string) *owner.Record {
	t.Helper()
	record := &owner.Record{}
	await.True(t, node+" owns the shard", func() bool {
		r, _, err := owner.ReadRecord(t.Context(), log)
		if err != nil || r == nil || r.Node != node {
			return false
		}
		record = r
		return true
	})
	return record
}

// Guards against owners that hand over or are killed being counted as nodes that lost power, which
// makes orders expensive for good.
func TestConnectionsOfAnOwnerThatEndsAreNotCounted(t *testing.T) {
	for name, end := range map[string]func(n *testNode){
		"handed over": func(n *testNode) { n.Leave(t.Context()) },
		"killed":      func(n *testNode) { n.Close() },
	} {
		log := fakestore.NewLog()
		first, _ := newPair(t, log)
		end(first)
		if got := awaitRecordOf(t, log, "n1").LeftConns; got != 0 {
			t.Errorf("%s: connections left open: got: %d, want: 0", name, got)
		}
	}
}

// closedAddr returns an address at which nothing listens any more.
func closedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return addr
}

// Guards against connections of owners that lost power being forgotten when the owner changes: their
// sum then exceeds what a worker accepts.
func TestConnectionsOfALostOwnerAreCounted(t *testing.T) {
	log := fakestore.NewLog()
	lost := owner.Record{Node: "lost", Addr: closedAddr(t), Incarnation: "1", Epoch: 1, LeftConns: 8, KeptConns: 4}
	if _, err := owner.AppendRecord(t.Context(), log, &lost, 0); err != nil {
		t.Fatal(err)
	}
	newNode(t, log, "n0", "1")
	want := connbudget.Left(12)
	r := awaitRecordOf(t, log, "n0")
	if r.LeftConns != want || r.KeptConns != want.Kept() {
		t.Errorf("got: %d left, %d kept, want: %d, %d", r.LeftConns, r.KeptConns, want, want.Kept())
	}
}

// Guards against a power loss that is not counted, because the owner had closed a link before and gone on.
func TestOwnerThatIsLinkedAgainHasNotClosedItsConnections(t *testing.T) {
	closed := cluster.ClosedOwner{}
	if closed.Is(0) {
		t.Error("no owner: got: closed, want: not closed")
	}
	closed.LinkClosed(7)
	closed.Linked(6)
	if !closed.Is(7) || closed.Is(6) {
		t.Errorf("after its link was closed: got: %v, and %v of another one, want: true, false", closed.Is(7), closed.Is(6))
	}
	closed.Linked(7)
	if closed.Is(7) {
		t.Error("after a new link: got: closed, want: not closed")
	}
}
