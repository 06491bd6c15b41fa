// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// loopWorker is a machine with a worker that the script may crash and start again. Each life has an ID of its own,
// knows nothing of the lives before, and has a steady clock that goes on.
type loopWorker struct {
	play *play
	// number is that of the machine, kind its label.
	number        int
	address, kind string
	// jobs has the tasks of each job.
	jobs *jobSpecs

	mu     sync.Mutex
	server *http.Server
	life   int
	// fence is the highest fencing token that this life has seen, deadline the end of its lease.
	fence      uint64
	deadline   time.Time
	running    map[string]*loopRun
	highestRun map[string]uint64
	finished   [][]any
	nextEnd    int
	changed    chan struct{}
	// failed counts the runs of all lives that have ended `failed`.
	failed int
	// advancedAt is when the work of all tasks was last counted.
	advancedAt time.Time
	harm       harmCheck
	stop       chan struct{}
}

// loopRun is a run of a task.
type loopRun struct {
	run    uint64
	spec   taskSpec
	worked time.Duration
	pace   int
}

// taskSpec says what a task does: it lasts, or ends after some work. One with a target serves users, and one that fills
// disturbs those beside it.
type taskSpec struct {
	lasts, fills bool
	target       float64
	work         time.Duration
	// failsAfter is the time after which each run fails; 0 if none does.
	failsAfter time.Duration
}

// jobSpecs has the tasks of each job, which has one step.
type jobSpecs struct {
	mu    sync.Mutex
	tasks map[string]taskSpec
}

func (j *jobSpecs) set(id string, t taskSpec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tasks[id] = t
}

func (j *jobSpecs) of(task string) taskSpec {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return j.tasks[id]
}

// loopOrder is the body of an order.
type loopOrder struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     int    `json:"lastSeen"`
	Percent      int    `json:"percent"`
	WaitMs       int64  `json:"waitMs"`
}

// newLoopWorker starts a machine of a kind.
func (p *play) newLoopWorker(number int, kind string, jobs *jobSpecs) (*loopWorker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w := &loopWorker{play: p, number: number, address: l.Addr().String(), kind: kind, jobs: jobs, stop: make(chan struct{})}
	w.begin(l)
	go w.runHeartbeats()
	go w.runTasks()
	return w, nil
}

// begin begins a life.
func (w *loopWorker) begin(l net.Listener) {
	w.mu.Lock()
	w.life++
	w.fence, w.deadline, w.running, w.highestRun = 0, time.Time{}, map[string]*loopRun{}, map[string]uint64{}
	w.finished, w.nextEnd, w.changed = nil, 1, make(chan struct{})
	w.server = &http.Server{Handler: w.handler(w.life), ReadHeaderTimeout: 10 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	id := w.id()
	w.mu.Unlock()
	w.play.note("%s starts", id)
	w.heartbeat()
}

func (w *loopWorker) id() string { return fmt.Sprintf("i-7f3a%02x%02x", w.number, w.life) }

// crash ends the worker's process: what runs there ends, its connections are reset, its entry goes after three
// heartbeats.
func (w *loopWorker) crash() {
	w.mu.Lock()
	id, tasks, server := w.id(), len(w.running), w.server
	w.running, w.server = map[string]*loopRun{}, nil
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = server.Close()
	w.play.note("%s crashes with %d tasks", id, tasks)
	time.AfterFunc(1500*time.Millisecond, func() { w.play.Store.Put("keyed.servers", id, nil) })
}

// restart begins another life at the same address.
func (w *loopWorker) restart() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w.begin(l)
	return nil
}

// tasks returns how many tasks run.
func (w *loopWorker) tasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *loopWorker) runHeartbeats() {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
			w.heartbeat()
		}
	}
}

// heartbeat writes the worker's entry.
func (w *loopWorker) heartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	data, err := json.Marshal(map[string]any{
		"service": "pool", "address": w.address, "zone": "zone-1", "version": "1", "slots": 8, "state": "ready", "sequence": time.Now().UnixMilli(),
		"machine": fmt.Sprintf("m-%d", w.number), "capacity": map[string]any{"cpu": 16000, "memMb": 32768}, "labels": []string{w.kind, fmt.Sprintf("r-%d", w.number/8)},
	})
	if err == nil {
		w.play.Store.Put("keyed.servers", w.id(), data)
	}
}

// handler answers the orders of one life.
func (w *loopWorker) handler(life int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b := loopOrder{}
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.life != life || w.server == nil:
			panic(http.ErrAbortHandler)
		case r.Header.Get("X-Expect-Instance") != w.id():
			w.answer(rw, http.StatusMisdirectedRequest, nil)
			return
		case b.FencingToken < w.fence:
			w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		w.fence = b.FencingToken
		if until := w.play.begin.Add(time.Duration(b.DeadlineMs) * time.Millisecond); b.DeadlineMs > 0 && until.After(w.deadline) {
			w.deadline = until
		}
		switch r.URL.Path {
		case "/-/run-start":
			w.start(rw, &b)
		case "/-/run-stop":
			if a := w.running[b.Task]; a != nil && a.run == b.Run {
				w.end(b.Task, "stopped")
			}
			w.highestRun[b.Task] = max(w.highestRun[b.Task], b.Run)
			w.answer(rw, http.StatusOK, nil)
		case "/-/pace":
			if a := w.running[b.Task]; a != nil && a.run == b.Run {
				w.advance()
				a.pace = b.Percent
			}
			w.answer(rw, http.StatusOK, nil)
		case "/-/hold":
			w.hold(rw, r, &b, life)
		default:
			w.answer(rw, http.StatusOK, nil)
		}
	})
}

// answer writes an answer. Callers must hold the lock, also of the methods below.
func (w *loopWorker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	out := map[string]any{"currentTimeMs": time.Since(w.play.begin).Milliseconds()}
	for k, v := range fields {
		out[k] = v
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out)
}

func (w *loopWorker) start(rw http.ResponseWriter, b *loopOrder) {
	a := w.running[b.Task]
	switch {
	case a != nil && a.run == b.Run:
		w.answer(rw, http.StatusOK, nil)
	case a != nil || b.Run <= w.highestRun[b.Task]:
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
	case !time.Now().Before(w.deadline):
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
	default:
		w.advance()
		w.running[b.Task] = &loopRun{run: b.Run, spec: w.jobs.of(b.Task), pace: 100}
		w.play.note("%s starts %s, run %d", w.id(), b.Task, b.Run)
		w.answer(rw, http.StatusOK, nil)
	}
}

func (w *loopWorker) end(task, how string) {
	run := w.running[task].run
	delete(w.running, task)
	w.highestRun[task] = max(w.highestRun[task], run)
	w.finished = append(w.finished, []any{w.nextEnd, task, run, how, ""})
	w.nextEnd++
	if how == "failed" {
		w.failed++
	}
	w.play.note("%s ends %s, run %d: %s", w.id(), task, run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// startTime is how long a task that lasts takes until it is at work.
const startTime = 400 * time.Millisecond

func (a *loopRun) percent() int {
	of := a.spec.work
	if a.spec.lasts {
		of = startTime
	}
	return min(int(100*a.worked/max(of, 1)), 100)
}

// runTasks lets the tasks work.
func (w *loopWorker) runTasks() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}
}

// advance counts the work of all tasks up to now, and ends those that are done.
func (w *loopWorker) advance() {
	now := time.Now()
	passed := now.Sub(w.advancedAt)
	if w.advancedAt.IsZero() {
		passed = 0
	}
	w.advancedAt = now
	w.harm.observe(w, now)
	for task, a := range w.running {
		a.worked += passed * time.Duration(a.pace) / 100
		if a.spec.failsAfter > 0 && a.worked >= a.spec.failsAfter {
			w.end(task, "failed")
			continue
		}
		if !a.spec.lasts && a.worked >= a.spec.work {
			w.end(task, "done")
		}
	}
}

// hold answers with what runs and what has ended, at once or when something has ended.
func (w *loopWorker) hold(rw http.ResponseWriter, r *http.Request, b *loopOrder, life int) {
	until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond)
	for {
		if time.Now().After(w.deadline) {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		for len(w.finished) > 0 && w.finished[0][0].(int) <= b.LastSeen {
			w.finished = w.finished[1:]
		}
		left := time.Until(until)
		if left <= 0 || len(w.finished) > 0 {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.life != life || w.server == nil {
			panic(http.ErrAbortHandler)
		}
	}
	w.advance()
	running := [][]any{}
	for task, a := range w.running {
		running = append(running, []any{task, a.run, "", a.percent(), w.rowFigure(a)})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, w.finished...)})
}
