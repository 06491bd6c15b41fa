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

// How a worker crashes under a task, and comes back.
const (
	// crashAfter is the time from the start of a task that crashes its worker to the crash.
	crashDelay = 10 * time.Millisecond
	// backAfter is the time from a crash to the next life, unlistedAfter that to the end of
	// the entry of the one before: three entries that stay away.
	replacementDelay = 700 * time.Millisecond
	unlistDelay      = 3 * heartbeatPeriod
)

// machine is where one worker lives after the other, at one address. It is safe for
// concurrent use.
type machine struct {
	site             *Site
	name, rack, addr string

	mu sync.Mutex
	// life is the worker that lives, or the last one that did; lives counts them.
	worker       *Worker
	incarnations int
	// held counts the next orders to start that are held up, for heldFor.
	delayedStarts int
	startDelay    time.Duration
}

// firstClock is what the clock of a worker shows that starts for the first time.
const initialClock = time.Hour

// bear begins a life.
func (m *machine) startNew(id string) *Worker { return m.startIncarnation(id, id, initialClock) }

// bearAgain begins one under the ID of the one before.
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

// ServeHTTP passes orders to the life that is.
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

// holdsUp reports whether an order is held up. It is carried out later by the life that is
// then, and not answered.
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

// unheard takes an answer that nobody gets.
type discardWriter struct{ header http.Header }

// Header returns the header, which goes nowhere.
func (u discardWriter) Header() http.Header { return u.header }

// Write drops what is written.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}

// carryOut serves an order that was held up. One to a worker that is down is lost.
func (m *machine) serveDelayed(r *http.Request) {
	if w := m.currentWorker(); !w.IsDead() {
		w.ServeHTTP(discardWriter{http.Header{}}, r)
	}
}

// nextID returns the name of the next life. It ends in the digit of the first one, by
// which the stand-in permits workers.
func (m *machine) nextWorkerID() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("i-%d-%s", m.incarnations, m.name[len("m-i-"):])
}

// crashesWorker reports whether a task crashes each worker that starts it: the first one
// of a step that does.
func crashesWorker(task string, step *stepSpec) bool {
	return step.crashes && strings.HasSuffix(task, ".0")
}

// crashUnder ends the worker's life under a task that still runs, and begins the next one
// of its machine some time later.
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
