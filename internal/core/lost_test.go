// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
)

// The home of a service moves while workers still list the ends of attempts
// that others, on other racks, have followed.
func TestMovedHomeStartsNothingForOldEnds(t *testing.T) {
	w := newBusyWorld(t, 30)
	w.isLosingForgets = true
	for _, name := range w.names[:2] {
		w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeCut})
	}
	w.run(3 * worldLease)
	for _, name := range w.names[:2] {
		w.workers[name].SetFaults(native.WorkerFaults{})
	}
	w.run(5 * time.Second)
	w.killInTurn(w.nodes)
	w.expect(t, 6, 6)
}

// A node whose record is in the log, but which hears of it only as part of a
// peer's whole state, must tell whoever waits for the record's fate.
func TestRecordThatComesWithAPeersStateIsSettled(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 1, workers: 1, seed: 31})
	n := w.nodes[0]
	w.cut("log", n.name())
	var got error
	n.core.Append(state.Record{Submit: &state.Submit{Spec: batchSpec("job", 1, time.Second)}}, func(err error) { got = err })
	w.run(step)
	// More than peers keep of the log, so that they send their state.
	for i := range 5 {
		doc := fmt.Sprint("template/large-", i)
		w.nodes[1].core.Append(state.Record{Publish: &state.Publish{Doc: doc, Body: make([]byte, 100<<10)}}, nil)
		w.run(step)
	}
	w.run(10 * time.Second)
	if !errors.Is(got, state.ErrUnseen) {
		t.Errorf("got: %v, want: %v", got, state.ErrUnseen)
	}
	if n.core.State().Jobs["job"] == nil {
		t.Error("got: no such job, want: it is in the state that the peer sent")
	}
}

// acquire takes a slot of a service through a node's router.
func (w *world) acquire(t *testing.T, n *fakeNode, service string) *router.Slot {
	t.Helper()
	slots := make(chan *router.Slot, 1)
	go func() {
		s, _ := n.router.Acquire(context.Background(), service, leverdyke.ClassNormal)
		slots <- s
	}()
	for waiting := 0; waiting == 0; waiting, _, _ = n.router.Load() {
		runtime.Gosched()
	}
	for range 100 {
		w.run(step)
		select {
		case s := <-slots:
			return s
		default:
		}
	}
	t.Fatal("got: no slot in 5 s, want: one")
	return nil
}

// The holder of a grant gives it back while the rack has no owner: the next
// owner, who finds the grant on the worker, must get the slots back.
func TestGrantReturnedToADeadOwnerComesBack(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 1, workers: 1, seed: 32})
	spec := serviceSpec("service", 1)
	spec.Service, spec.Request = "s", leverdyke.Resources{MilliCPU: 100, MemoryMiB: 1, Slots: 1}
	w.mustSubmit(t, spec)
	w.run(5 * time.Second)
	owner := w.ownerOf("rack/r1/k0")
	holder := w.nodes[(owner.index+1)%3]
	slot := w.acquire(t, holder, "s")
	slot.Release(false)
	w.run(1900 * time.Millisecond)
	owner.kill()
	w.run(20 * time.Second)
	if got := w.workers["k0-w0"].Running(slot.Grant.Task.Job); got != 0 {
		t.Errorf("got: %d grants that count on the worker, want: 0: nobody holds one", got)
	}
	w.check(t)
}
