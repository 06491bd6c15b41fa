// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// unclear marks the entries of all workers as overwritten by another writer, or as good
// again.
func (w *world) unclear(isUnclear bool) {
	for _, m := range w.each() {
		m.entry.IsUncertain = isUnclear
	}
}

// What runs on a worker whose entry another writer has overwritten is neither stopped
// nor started elsewhere, and the worker gets nothing new until its next good entry.
func TestAWorkerWithAnUnclearEntryKeepsWhatItRuns(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(2, room)
	w.run(time.Second)
	lasting := step(3, time.Hour)
	lasting.IsLongRunning = true
	w.submit("a", lasting)
	w.run(time.Second)
	if w.starts != 3 {
		t.Fatalf("starts: got: %d, want: 3", w.starts)
	}
	w.unclear(true)
	w.run(time.Second)
	w.submit("b", step(1, 100*time.Millisecond))
	w.run(20 * time.Second)
	if w.starts != 3 {
		t.Errorf("starts while the entries are unclear: got: %d, want: 3", w.starts)
	}
	if c := w.engine.Counts(); c.Stopped+c.Lapsed != 0 {
		t.Errorf("stopped and lapsed: got: %d, want: 0", c.Stopped+c.Lapsed)
	}
	w.unclear(false)
	w.run(time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectWhole(t, w)
}

// A new owner that only knows such an entry of a worker keeps alive what runs there, as
// far as the entry tells where the worker is.
func TestANewOwnerKeepsWhatRunsOnAWorkerWithAnUnclearEntry(t *testing.T) {
	w := newWorld(1)
	w.addWorkers(1, room)
	w.run(time.Second)
	lasting := step(2, time.Hour)
	lasting.IsLongRunning = true
	w.submit("a", lasting)
	w.run(time.Second)
	m := w.workers["w00"]
	good := m.entry
	// The model takes its room from its entry; the engine reads none in an unclear one.
	m.entry = order.Worker{ID: good.ID, Addr: netip.MustParseAddrPort("127.0.0.1:80"), Capacity: good.Capacity, IsUncertain: true}
	w.takeOver()
	w.run(20 * time.Second)
	if w.starts != 2 || len(m.running) != 2 {
		t.Errorf("starts, running: got: %d, %d, want: 2, 2", w.starts, len(m.running))
	}
	m.entry = good
	w.submit("b", step(1, 100*time.Millisecond))
	w.run(time.Second)
	expectState(t, w, "b", work.JobSucceeded)
	expectWhole(t, w)
}

// An entry under a key that is no worker's is not asked for anything.
func TestAnUnclearEntryOfAnUnknownWorkerIsNotAsked(t *testing.T) {
	h := newHeir(0)
	h.SetWorkers([]order.Worker{{ID: "x", IsUncertain: true}}, true)
	h.clock.Advance(time.Second)
	h.Advance(h.clock.Now())
	h.Tick()
	if got := h.Actions(); len(got) != 0 {
		t.Errorf("got: %v, want: nothing asked", got)
	}
}
