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

const (
	// standstillBound is how long after the last disturbance nothing of a job may run although a task could
	// start: 4 s until the platform counts as calm, and 3 s of standing still.
	standstillBound = 7 * time.Second
	// claimDelay is how long after the loss of an owner the next one may claim the shard.
	claimDelay = 1200 * time.Millisecond
)

// Guards against jobs that stand still for too long where a worker falls silent beside the loss of the owner.
func TestTasksOfSilentWorkersStartAgainInTimeAfterATakeover(t *testing.T) {
	for name, tc := range map[string]struct {
		// hasEnded means that the lost owner is known to have ended, and isCutOff that it runs on without the store.
		hasEnded, isCutOff bool
	}{
		"the owner's node is lost":            {false, false},
		"the owner's process is started anew": {true, false},
		"the owner is cut off":                {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			log, pool := fakestore.NewLog(), newWorkerPool(2)
			gate := make(chan struct{})
			pool.byID["w00"].gate = gate
			t.Cleanup(func() { close(gate) })
			lost := startOwnerInPartition(t, log, pool, "w00", func(o *owner.Options) { o.KnownNodes = func(time.Time) int { return 3 } })
			lost.runTask(t, pool)
			if tc.isCutOff {
				lost.log.isSevered.Store(true)
			} else {
				lost.Stop()
				<-lost.Done()
			}
			isExpired := atomic.Bool{}
			next := startOwnerInPartition(t, log, pool, "w01", func(o *owner.Options) {
				o.Claim.HasPreviousEnded = tc.hasEnded
				o.LinkedNodes = func() int { return 2 }
				o.Log = func(e events.Event, _ ...any) {
					if e == events.PreviousAttemptsEnded {
						isExpired.Store(true)
					}
				}
			})
			next.advance(t, standstillBound-claimDelay)
			if !isExpired.Load() {
				t.Errorf("%v after the loss: got: the task of the silent worker waits for its lease, want: it can start elsewhere", standstillBound)
			}
		})
	}
}
