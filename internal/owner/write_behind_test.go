// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The next owner must be able to detect that this one ran write-behind, or does so later: by the flag
// in the newest record. Otherwise it would rely on placements in the store that are incomplete.
func TestWriteBehindIsAlwaysDetectableByNextOwner(t *testing.T) {
	const ms = time.Millisecond
	begin := clock.NewFake().Now()
	for name, tc := range map[string]struct {
		setUp func(g *owner.WriteBehindGate)
		at    time.Duration
		want  bool
	}{
		"the store is quick": {func(*owner.WriteBehindGate) {}, 5000 * ms, false},
		"slow, the unflagged record is young": {func(g *owner.WriteBehindGate) {
			g.RecordSlow(begin.Add(1100 * ms))
		}, 1100 * ms, false},
		"slow, the unflagged record is old": {func(g *owner.WriteBehindGate) {
			g.RecordSlow(begin.Add(1100 * ms))
		}, 1300 * ms, false},
		"slow, the flag is written": {func(g *owner.WriteBehindGate) {
			g.RecordSlow(begin.Add(100 * ms))
			g.NextFlag()
		}, 200 * ms, false},
		"slow, the flag is persisted": {func(g *owner.WriteBehindGate) {
			g.RecordSlow(begin.Add(100 * ms))
			g.Persisted(g.NextFlag())
		}, 200 * ms, true},
		"the flag is persisted before, as all workers respond": {func(g *owner.WriteBehindGate) {
			g.Update(begin, false, true)
			g.Persisted(g.NextFlag())
			g.RecordSlow(begin.Add(100 * ms))
		}, 100 * ms, true},
		"an unflagged record follows the flagged one": {func(g *owner.WriteBehindGate) {
			g.RecordSlow(begin.Add(100 * ms))
			g.Persisted(g.NextFlag())
			g.Update(begin.Add(2000*ms), false, false)
			g.NextFlag()
			g.RecordSlow(begin.Add(2100 * ms))
		}, 2200 * ms, false},
		"placements are not persisted after the store is back": {func(g *owner.WriteBehindGate) {
			g.RecordSlow(begin.Add(100 * ms))
			g.Persisted(g.NextFlag())
			g.Update(begin.Add(2000*ms), true, false)
			g.Persisted(g.NextFlag())
			g.RecordSlow(begin.Add(2100 * ms))
		}, 2200 * ms, true},
	} {
		g := owner.NewWriteBehindGate()
		tc.setUp(g)
		if got := g.MayWriteBehind(begin.Add(tc.at)); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// While the store was down, ends of jobs were reported that were not persisted. A worker left with
// the ends, all nodes lost their memory, and the next owner ran the tasks again. The next step may
// start by write-behind, but the end of a job is reported only once it is persisted.
func TestJobEndIsReportedOnlyOncePersisted(t *testing.T) {
	for name, isStoreBack := range map[string]bool{"the store is back": true, "all memory and the worker are lost": false} {
		t.Run(name, func(t *testing.T) {
			log, workers := fakestore.NewLog(), newFakeWorkers()
			release, ended := make(chan struct{}), make(chan struct{})
			workers.gate = release
			o := startOwnerWithLog(t, log, workers, func(e events.Event, _ ...any) {
				if e == events.JobEnded {
					close(ended)
				}
			})
			if err := o.Submit(t.Context(), &work.Spec{ID: "a", Queue: "q", Steps: []work.Step{{Count: 1, MaxUnavailable: -1}, {Count: 1, MaxUnavailable: -1, After: []int{0}}}}); err != nil {
				t.Fatal(err)
			}
			await.True(t, "the owner's newest record carries the flag", func() bool {
				r, _, err := owner.ReadRecord(t.Context(), log)
				return err == nil && r.MayHaveUnpersisted
			})
			log.SetAppendFault(func(*store.Append) (error, bool) { return &store.Error{Failure: store.NotApplied}, false })
			log.SetDown(true)
			close(release)
			<-ended
			if got, _, err := o.State(t.Context(), "a", work.Caller{}); err != nil || got != work.JobRunning {
				t.Errorf("the state while its end is not persisted: got: %v, %v, want: %v", got, err, work.JobRunning)
			}
			if !o.MayHaveUnpersisted() {
				t.Error("the owner: got: everything is persisted, want: the next owner must not rely on the stored placements")
			}
			if !isStoreBack {
				o.Stop()
				// Otherwise a writer that is about to send could find the store up again.
				await.True(t, "the owner has ended", workers.isClosed.Load)
				workers = newFakeWorkers()
			}
			log.SetAppendFault(nil)
			log.SetDown(false)
			if !isStoreBack {
				o = startOwner(t, log, workers)
			}
			awaitState(t, o, "a", work.JobSucceeded)
			await.True(t, "everything is persisted", func() bool { return !o.MayHaveUnpersisted() })
			if got := len(workers.starts); got != 2 {
				t.Errorf("starts at the remaining worker: got: %d, want: 2", got)
			}
		})
	}
}
