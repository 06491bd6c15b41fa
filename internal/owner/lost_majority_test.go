// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// lossOfNodes is a loss of the owner and of others of seven nodes.
type lossOfNodes struct {
	// outage is how long the store is out until the nodes are lost and it returns.
	outage time.Duration
	// left is how many nodes are left.
	left int
}

func TestTasksOfSilentWorkersStartAgainInTimeAfterTheLossOfSomeNodes(t *testing.T) {
	for name, loss := range map[string]lossOfNodes{
		"in calm":         {0, 4},
		"after an outage": {20 * time.Second, 4},
	} {
		t.Run(name, func(t *testing.T) { testTaskOfSilentWorkerAfterLoss(t, loss) })
	}
}

// Guards against tasks of a silent worker that wait for an owner that was lost with most nodes, while the store serves.
func TestTasksOfSilentWorkersStartAgainInTimeAfterTheLossOfMostNodes(t *testing.T) {
	for name, loss := range map[string]lossOfNodes{
		"in calm":                        {0, 3},
		"after an outage":                {20 * time.Second, 3},
		"of all others, in calm":         {0, 1},
		"of all others, after an outage": {20 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) { testTaskOfSilentWorkerAfterLoss(t, loss) })
	}
}

func testTaskOfSilentWorkerAfterLoss(t *testing.T, loss lossOfNodes) {
	t.Helper()
	log, pool := fakestore.NewLog(), newWorkerPool(2)
	gate := make(chan struct{})
	pool.byID["w00"].gate = gate
	t.Cleanup(func() { close(gate) })
	lost := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) {
		o.KnownNodes = func(time.Time) int { return 7 }
		o.HasStoreOutage = func(time.Time, int) bool { return true }
	})
	lost.runTask(t, pool)
	lost.log.isSevered.Store(true)
	lost.advance(t, loss.outage)
	lost.Stop()
	<-lost.Done()
	isExpired := atomic.Bool{}
	next := startOwnerInPartition(t, log, pool, "w01", func(o *owner.Options) {
		o.Claim.Record.KnownNodes = o.Claim.Previous.KnownNodes
		o.LinkedNodes = func() int { return loss.left }
		o.Log = func(e events.Event, _ ...any) {
			if e == events.PreviousAttemptsEnded {
				isExpired.Store(true)
			}
		}
	})
	next.advance(t, standstillBound-claimDelay)
	waits := standstillBound
	for ; !isExpired.Load() && waits < 2*time.Minute; waits += time.Second {
		next.advance(t, time.Second)
	}
	if waits > standstillBound {
		t.Errorf("after the last disturbance: got: the task of the silent worker waits for %v, want: %v at most", waits, standstillBound)
	}
}
