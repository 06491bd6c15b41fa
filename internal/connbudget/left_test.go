// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package connbudget_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/connbudget"
)

// acceptedConns is how many connections a worker accepts.
const acceptedConns = 64

// Guards against connections that add up without a bound: however many nodes are lost, a worker must
// accept those of a running owner and of one that it replaces.
func TestConnectionsOfLostNodesAreBounded(t *testing.T) {
	left, sum := connbudget.Left(0), 0
	for node := range 1000 {
		kept := left.Kept()
		if kept < 0 || kept > connbudget.MaxOpen {
			t.Fatalf("node %d: kept connections: got: %d, want: 0 to %d", node, kept, connbudget.MaxOpen)
		}
		sum += kept
		left = left.AfterLoss(kept)
		if sum+2*connbudget.MaxOpen > acceptedConns {
			t.Fatalf("node %d: connections left behind: got: %d, want: at most %d", node, sum, acceptedConns-2*connbudget.MaxOpen)
		}
	}
	if int(left) != sum {
		t.Errorf("got: %d left, want: %d", left, sum)
	}
}

// Guards against a record of an earlier version, whose owners kept more connections, that lets the
// number grow beyond its bound or fall.
func TestLossOfManyConnectionsExhaustsTheBudget(t *testing.T) {
	left := connbudget.Left(0)
	for range 10 {
		next := left.AfterLoss(connbudget.MaxOpen)
		if next < left || next.Kept() > left.Kept() {
			t.Fatalf("got: %d after %d, want: no less", next, left)
		}
		left = next
	}
	if got := left.Kept(); got != 0 {
		t.Errorf("kept connections: got: %d, want: 0", got)
	}
}

// Guards against a budget that a few losses use up: orders are then expensive.
func TestSomeConnectionsAreKeptAfterSeveralLosses(t *testing.T) {
	left := connbudget.Left(0)
	for range 10 {
		left = left.AfterLoss(left.Kept())
	}
	if got := left.Kept(); got < 1 {
		t.Errorf("kept connections after ten losses: got: %d, want: at least 1", got)
	}
}
