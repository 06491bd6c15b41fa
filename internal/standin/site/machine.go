// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Delays of the crashes that tasks cause, and of what follows them.
const (
	// crashDelay is the time from the start of a task that crashes its worker to the crash.
	crashDelay = 10 * time.Millisecond
	// replacementDelay is the time from a crash to the start of the replacement worker. unlistDelay is the
	// time from a crash to the removal of the crashed worker's entry from the store: three missed heartbeats.
	replacementDelay = 700 * time.Millisecond
	unlistDelay      = 3 * heartbeatPeriod
)

// machine is a VM on which one worker process runs after the other, all at the same address. It is safe
// for concurrent use.
type machine struct {
	site                   *Site
	name, rack, addr, zone string

	mu sync.Mutex
	// worker is the worker that runs now, or the last one that did; incarnations counts the workers so far.
	worker       *Worker
	incarnations int
	// delayedStarts is how many of the next start orders are delayed, by startDelay each.
	delayedStarts int
	startDelay    time.Duration
}

// initialClock is the clock reading of a worker that starts for the first time.
const initialClock = time.Hour

// startNew starts a worker with an ID that was not used before.
func (m *machine) startNew(id string) *Worker { return m.startIncarnation(id, id, initialClock) }

// restart starts a worker under an ID that was used before, with a given clock reading. Its incarnation gets a
// number, so that the oracle can distinguish it from the previous one.
func (m *machine) restart(id string, clock time.Duration) *Worker {
	m.mu.Lock()
	incarnation := fmt.Sprintf("%s/%d", id, m.incarnations+1)
	m.mu.Unlock()
	return m.startIncarnation(id, incarnation, clock)
}

func (m *machine) startIncarnation(id, incarnation string, clock time.Duration) *Worker {
	w := &Worker{
		site: m.site, id: id, incarnation: incarnation, rack: m.rack, addr: m.addr, machine: m, started: time.Now(), clock: clock,
		capacity: capacity{m.site.options.MilliCPU, m.site.options.MemoryMiB},
		running:  map[string]*taskRun{}, highestEndedRun: map[string]uint64{}, nextNumber: 1, changed: make(chan struct{}),
	}
	m.mu.Lock()
	m.worker = w
	m.incarnations++
	m.mu.Unlock()
	m.site.mu.Lock()
	m.site.workers = append(m.site.workers, w)
	m.site.mu.Unlock()
	w.heartbeat()
	return w
}

// ServeHTTP passes orders to the current worker. The connection of a delayed order is aborted.
func (m *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/run-start" && m.delays(r) {
		panic(http.ErrAbortHandler)
	}
	m.currentWorker().ServeHTTP(rw, r)
}

func (m *machine) currentWorker() *Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// delays reports whether an order is delayed. If so, the worker that is current at the end of the delay
// executes it, and the sender gets no answer.
func (m *machine) delays(r *http.Request) bool {
	m.mu.Lock()
	isDelayed := m.delayedStarts > 0
	if isDelayed {
		m.delayedStarts--
	}
	delay := m.startDelay
	m.mu.Unlock()
	if !isDelayed {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { m.serveDelayed(delayed) })
	return true
}

// discardWriter discards the response to a delayed order.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (u discardWriter) Header() http.Header { return u.header }

// Write discards the body.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

// serveDelayed executes a delayed order. It is lost if the current worker is dead.
func (m *machine) serveDelayed(r *http.Request) {
	if w := m.currentWorker(); !w.IsDead() {
		w.ServeHTTP(discardWriter{http.Header{}}, r)
	}
}

// nextWorkerID returns the ID of the replacement worker. It ends in the same digit as the first ID, because
// Permits decides by the last digit.
func (m *machine) nextWorkerID() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("i-%d-%s", m.incarnations, m.name[len("m-i-"):])
}

// crashesWorker reports whether a task crashes each worker that starts it: the first task of a step whose
// job's text is "crash".
func crashesWorker(task string, step *stepSpec) bool {
	return step.crashes && strings.HasSuffix(task, ".0")
}

// crashDuring crashes the worker if the run is still in progress, and starts a replacement on its machine
// after replacementDelay.
func (w *Worker) crashDuring(task string, r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDead || w.running[task] != r {
		return
	}
	for other, run := range w.running {
		if crashesWorker(other, &run.step) {
			w.site.oracle.recordCrash(other)
		}
	}
	w.terminate()
	time.AfterFunc(replacementDelay, func() { w.machine.startNew(w.machine.nextWorkerID()) })
	time.AfterFunc(unlistDelay, w.removeEntry)
}
