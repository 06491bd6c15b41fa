// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// taskRun is a run of a task on a worker.
type taskRun struct {
	run   uint64
	step  stepNeed
	began time.Time
	timer *time.Timer
}

// taskEnd is an end as the worker lists it.
type taskEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// Worker is a stand-in for a worker: it obeys the highest fence that it has seen,
// guards no room, and kills all that runs when its lease is over. It is safe for
// concurrent use.
type Worker struct {
	site *Site
	id   string
	// startName names this start of the worker: its ID, and a number from the second one on.
	startName string
	rack      string
	addr      string
	// machine is what the worker is a life of.
	machine *machine

	mu      sync.Mutex
	started time.Time
	// clock is what its clock showed when it started.
	clock    time.Duration
	fence    uint64
	deadline time.Duration
	lease    *time.Timer
	running  map[string]*taskRun
	barred   map[string]uint64
	finished []taskEnd
	next     uint64
	// lastSeen is the highest number up to which ends were confirmed: those are forgotten,
	// also where they come later.
	lastSeen  uint64
	changed   chan struct{}
	isDead    bool
	isLeaving bool
	// holds is how many listings were asked for, starts how many runs began.
	holds, starts int
	// failsLasting means that it fails the tasks that last which it starts, failAfter later.
	failsLasting bool
	// mute is how many of the next orders to start are carried out and not answered.
	mute int
	// room is what it has now, earlier what it had before and until when.
	room    room
	earlier []earlierRoom
}

func (w *Worker) now() time.Duration { return time.Since(w.started) + w.clock }

// MuteStarts makes the next n orders to start be carried out and not answered.
func (w *Worker) MuteStarts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = n
}

// failAfter is how long a task that lasts runs on a worker that fails such tasks.
const failAfter = 100 * time.Millisecond

// SetFailsLasting says whether the worker fails the tasks that last which it starts from now on.
func (w *Worker) SetFailsLasting(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failsLasting = fails
}

// FailLasting ends the tasks that last on the worker as failed.
func (w *Worker) FailLasting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		if r.step.lasts {
			w.end(task, r, "failed")
		}
	}
}

// HoldUpStarts makes the next n orders to start be carried out d later, and not answered.
func (w *Worker) HoldUpStarts(n int, d time.Duration) {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	w.machine.held, w.machine.heldFor = n, d
}

// Restart ends what the worker runs and starts it again some time later under its ID: it
// then holds and knows nothing of before, and its clock shows clock. Its entry stays
// meanwhile, unless it is away for long.
func (w *Worker) Restart(after, clock time.Duration) {
	w.mu.Lock()
	if w.isDead {
		w.mu.Unlock()
		return
	}
	w.die()
	w.mu.Unlock()
	unlisted := time.AfterFunc(unlistedAfter, w.unlist)
	time.AfterFunc(after, func() {
		unlisted.Stop()
		w.machine.bearAgain(w.id, clock)
	})
}

// IsDead reports whether the worker's life is over.
func (w *Worker) IsDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDead
}

// ID returns its name.
func (w *Worker) ID() string { return w.id }

// Holds returns how many listings the worker was asked for.
func (w *Worker) Holds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// Starts returns how many runs began on the worker.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Drain makes the worker say that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.isLeaving = true
	w.mu.Unlock()
	w.beat()
}

// Running returns how many tasks run.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// beat writes the worker's entry into the store.
func (w *Worker) beat() {
	w.mu.Lock()
	state := "ready"
	if w.isLeaving {
		state = "draining"
	}
	dead, has := w.isDead, w.room
	w.mu.Unlock()
	if dead {
		return
	}
	data, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.addr, "zone": "zone-1", "state": state, "machine": w.machine.name, "born": w.started.UnixMilli(),
		"capacity": map[string]any{"cpu": has.cpu, "memMb": has.mem},
		"labels":   []string{"a", w.rack},
	})
	if err != nil {
		panic(err)
	}
	w.site.Store.Put("keyed.servers", w.id, data)
}

// Crash ends the worker's life: nothing of it runs any more, and it is silent.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.die()
	w.mu.Unlock()
	w.unlist()
}

// die ends all that runs; the caller holds the lock.
func (w *Worker) die() {
	w.isDead = true
	for task, r := range w.running {
		r.timer.Stop()
		delete(w.running, task)
		w.site.oracle.ended(task, w.startName)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// unlist takes the worker's entry out of the store.
func (w *Worker) unlist() { w.site.Store.Put("keyed.servers", w.id, nil) }

type orderBody struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
}

// ServeHTTP answers orders.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := orderBody{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.isDead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if body.FencingToken < w.fence {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = body.FencingToken
	w.renew(time.Duration(body.DeadlineMs) * time.Millisecond)
	w.mu.Unlock()
	switch r.URL.Path {
	case "/-/run-start":
		w.serveStart(rw, &body)
	case "/-/run-stop":
		w.serveStop(rw, &body)
	case "/-/hold":
		w.serveHold(rw, r, &body)
	case "/-/pace":
		w.answer(rw, http.StatusOK, nil)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) answer(rw http.ResponseWriter, status int, more map[string]any) {
	out := map[string]any{"currentTimeMs": w.now().Milliseconds()}
	for k, v := range more {
		out[k] = v
	}
	writeJSON(rw, status, out)
}

// renew moves the end of the lease forward; the caller holds the lock.
func (w *Worker) renew(deadline time.Duration) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(deadline-w.now(), w.lapse)
}

func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now() < w.deadline {
		return
	}
	w.site.oracle.lapsed(w.startName)
	for task, r := range w.running {
		w.end(task, r, "lapsed")
	}
}

// end ends a run; the caller holds the lock.
func (w *Worker) end(task string, r *taskRun, how string) {
	if w.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.barred[task] = max(w.barred[task], r.run)
	w.finished = append(w.finished, taskEnd{w.next, task, r.run, how})
	w.next++
	w.site.oracle.ended(task, w.startName)
	if how == "done" {
		w.site.oracle.done(task, w.startName)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) serveStart(rw http.ResponseWriter, b *orderBody) {
	w.mu.Lock()
	status, reason := w.start(b)
	muted := status == http.StatusOK && w.mute > 0
	if muted {
		w.mute--
	}
	w.mu.Unlock()
	if muted {
		panic(http.ErrAbortHandler)
	}
	w.answer(rw, status, map[string]any{"reason": reason})
}

// start carries out an order; the caller holds the lock.
func (w *Worker) start(b *orderBody) (int, string) {
	old := w.running[b.Task]
	switch {
	case old != nil && old.run == b.Run:
		return http.StatusOK, ""
	case old != nil || b.Run <= w.barred[b.Task]:
		return http.StatusConflict, "old"
	case w.now() >= w.deadline:
		return http.StatusConflict, "late"
	case w.site.options.HasAdvice && b.Ticket != ticketFor(stepOf(b.Task), w.startName):
		return http.StatusConflict, "ticket"
	}
	need, err := w.site.needOf(b.Task)
	if err != nil {
		w.site.oracle.breaks(err.Error())
		return http.StatusBadRequest, ""
	}
	r := &taskRun{run: b.Run, step: need, began: time.Now()}
	w.running[b.Task] = r
	w.starts++
	w.site.oracle.began(b.Task, w)
	if crashesWorker(b.Task, &need) {
		time.AfterFunc(crashAfter, func() { w.crashUnder(b.Task, r) })
	}
	takes := need.takes
	fails := need.fails
	switch {
	case need.lasts && w.failsLasting:
		takes, fails = failAfter, true
	case need.lasts:
		takes = time.Hour
	}
	r.timer = time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		how := "done"
		if fails {
			how = "failed"
		}
		w.end(b.Task, r, how)
	})
	return http.StatusOK, ""
}

func (w *Worker) serveStop(rw http.ResponseWriter, b *orderBody) {
	w.mu.Lock()
	if r := w.running[b.Task]; r != nil && r.run == b.Run {
		w.end(b.Task, r, "stopped")
	}
	w.barred[b.Task] = max(w.barred[b.Task], b.Run)
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, nil)
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request, b *orderBody) {
	w.mu.Lock()
	w.holds++
	w.mu.Unlock()
	deadline := time.After(time.Duration(b.WaitMs) * time.Millisecond)
	for isOver := b.WaitMs == 0; ; {
		w.mu.Lock()
		w.lastSeen = max(w.lastSeen, b.LastSeen)
		kept := w.finished[:0:0]
		for _, e := range w.finished {
			if e.number > w.lastSeen {
				kept = append(kept, e)
			} else if e.how == "done" {
				w.site.oracle.noted(e.task, w.startName)
			}
		}
		w.finished = kept
		if w.isDead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		changed := w.changed
		lists := w.lists()
		w.mu.Unlock()
		if isOver || len(kept) > 0 {
			w.answer(rw, http.StatusOK, lists)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		case <-w.site.Store.closed:
			return
		}
	}
}

// lists returns what runs and what has ended; the caller holds the lock.
func (w *Worker) lists() map[string]any {
	running := [][]any{}
	for task, r := range w.running {
		percent := 100
		if !r.step.lasts {
			percent = min(int(100*time.Since(r.began)/max(r.step.takes, 1)), 100)
		}
		running = append(running, []any{task, r.run, "", percent, 0})
	}
	finished := [][]any{}
	for _, e := range w.finished {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "finished": finished, "born": w.started.UnixMilli()}
}

// stepOf returns the step's part of a task's name.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// ticketFor is the ticket of a worker for a step.
func ticketFor(step, worker string) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s|%s", step, worker)
	return fmt.Sprintf("%08x", h.Sum32())
}
