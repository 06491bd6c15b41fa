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

// taskRun is a run of a task in progress on a worker; run is its number.
type taskRun struct {
	run  uint64
	step stepSpec
	// workingSince is when it began to work, which a member of a gang does once all are present. It resumed
	// from checkpoint, with the work restored.
	workingSince time.Time
	checkpoint   string
	restored     time.Duration
	timer        *time.Timer
}

// endedRun is a run that has ended and whose result no node has confirmed. number counts the ended runs of the worker.
type endedRun struct {
	number uint64
	task   string
	run    uint64
	result string
	saved  string
}

// Worker is a fake worker. It refuses orders with a fencing token below the highest that it has seen, does not
// check that its tasks fit its capacity (the oracle does), and ends all its runs when its lease expires. It
// is safe for concurrent use.
type Worker struct {
	site *Site
	id   string
	// incarnation names this start of the worker: its ID, followed by a number if it was started under the
	// same ID before.
	incarnation string
	rack        string
	addr        string
	// machine is the VM on which the worker runs.
	machine *machine

	mu      sync.Mutex
	started time.Time
	// clock is the reading of its clock when it started.
	clock time.Duration
	// fence is the highest fencing token seen, deadline the end of the lease by the worker's clock.
	fence    uint64
	deadline time.Duration
	lease    *time.Timer
	// running has the run in progress of each task. highestEndedRun has, by task, the highest number of a run
	// that has ended or was ordered to stop: an order to start that run or an earlier one is refused as old.
	running         map[string]*taskRun
	highestEndedRun map[string]uint64
	endedRuns       []endedRun
	// nextNumber is the number of the next ended run.
	nextNumber uint64
	// confirmed is the highest number of an ended run that a node has confirmed. Runs up to it are dropped
	// from endedRuns, and a later request with a lower number does not bring them back.
	confirmed uint64
	changed   chan struct{}
	isDead    bool
	isLeaving bool
	// hasLapsedEntry means that the worker does not reach the store, so that it writes no entry.
	hasLapsedEntry bool
	// listingRequests counts the requests for a listing, starts the runs that were started.
	listingRequests, starts int
	// failsLongRunning means that each long-running task started from now on fails after longRunningFailDelay.
	failsLongRunning bool
	// unansweredStarts is how many of the next accepted start orders are executed without an answer.
	unansweredStarts int
	// unansweredEnds is how many of the next listings with an end are not answered. crashesAtEnd means that the
	// worker crashes as the next task ends.
	unansweredEnds int
	crashesAtEnd   bool
	// capacity is the current capacity, previousCapacities those before.
	capacity           capacity
	previousCapacities []previousCapacity
}

// now returns what the worker's clock shows.
func (w *Worker) now() time.Duration {
	drift := w.site.options.ClockDrift * hashShare(w.id)
	return time.Duration(float64(time.Since(w.started))*(1-drift)) + w.clock
}

// DropStartAnswers makes the worker execute the next n start orders without answering them.
func (w *Worker) DropStartAnswers(n int) {
	w.site.RecordDisturbance()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unansweredStarts = n
}

// DropEndAnswers makes the worker abort the next n requests for a listing that it would answer with an end.
func (w *Worker) DropEndAnswers(n int) {
	w.site.RecordDisturbance()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unansweredEnds = n
}

// CrashAtEnd makes the worker crash as the next task on it ends as done.
func (w *Worker) CrashAtEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashesAtEnd = true
}

// longRunningFailDelay is how long a long-running task runs on a worker that fails such tasks.
const longRunningFailDelay = 100 * time.Millisecond

// SetFailsLongRunning sets whether each long-running task that the worker starts from now on fails
// longRunningFailDelay after its start. Tasks that already run are not affected; FailLongRunning ends
// them. While it is set, the worker is not among those that accept tasks in the stand-in's snapshot.
func (w *Worker) SetFailsLongRunning(fails bool) {
	w.site.RecordDisturbance()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failsLongRunning = fails
}

// FailLongRunning ends the running long-running tasks as failed.
func (w *Worker) FailLongRunning() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		if r.step.isLongRunning {
			w.end(task, r, "failed")
		}
	}
}

// DelayStarts makes the next n start orders to the worker's machine execute d later, without an answer.
func (w *Worker) DelayStarts(n int, d time.Duration) {
	w.site.RecordDisturbance()
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	w.machine.delayedStarts, w.machine.startDelay = n, d
}

// Restart ends the worker with all its runs and starts a new one under the same ID after a delay. The new
// worker keeps no state of the old one, and its clock starts at clock. The entry in the store stays unless
// the delay exceeds unlistDelay.
func (w *Worker) Restart(delay, clock time.Duration) {
	w.mu.Lock()
	if w.isDead {
		w.mu.Unlock()
		return
	}
	w.terminate()
	w.mu.Unlock()
	removal := time.AfterFunc(unlistDelay, w.removeEntry)
	time.AfterFunc(delay, func() {
		removal.Stop()
		w.machine.restart(w.id, clock)
	})
}

// IsDead reports whether this incarnation of the worker has crashed or ended for a restart.
func (w *Worker) IsDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDead
}

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.id }

// ListingRequests returns how many requests for a listing the worker received.
func (w *Worker) ListingRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listingRequests
}

// Starts returns how many runs were started on the worker.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Drain makes the worker report that it is leaving, at once and in each later heartbeat.
func (w *Worker) Drain() {
	w.site.RecordDisturbance()
	w.mu.Lock()
	w.isLeaving = true
	w.mu.Unlock()
	w.heartbeat()
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// heartbeat writes the worker's entry into the store, unless the worker is dead or does not reach the store.
func (w *Worker) heartbeat() {
	w.mu.Lock()
	isSilent := w.isDead || w.hasLapsedEntry
	w.mu.Unlock()
	if !isSilent {
		w.site.Store.Put(topicEntries, w.id, mustEncode(w.entry()))
	}
}

// entry returns the worker's entry as it is now.
func (w *Worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.isLeaving {
		state = "draining"
	}
	return map[string]any{
		"service": serviceName, "address": w.addr, "zone": w.machine.zone, "state": state, "machine": w.machine.name, "born": w.started.UnixMilli(),
		"capacity": map[string]any{"cpu": w.capacity.cpu, "memMb": w.capacity.mem},
		"labels":   []string{"a", w.rack},
	}
}

// Crash ends the worker with all its runs and removes its entry from the store. It does not answer any more.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.terminate()
	w.mu.Unlock()
	w.removeEntry()
}

// CrashSilently is Crash, but the entry stays until the worker has missed heartbeats for unlistDelay.
func (w *Worker) CrashSilently() {
	w.mu.Lock()
	w.terminate()
	w.mu.Unlock()
	time.AfterFunc(unlistDelay, w.removeEntry)
}

// terminate marks the worker as dead and drops all its runs. Callers must hold the lock.
func (w *Worker) terminate() {
	w.site.RecordDisturbance()
	w.isDead = true
	for task, r := range w.running {
		r.timer.Stop()
		delete(w.running, task)
		w.site.oracle.recordEnd(task, w.incarnation)
		if r.step.isGang {
			w.site.gangs.leave(task, r.run, "crashed")
		}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// removeEntry removes the worker's entry from the store.
func (w *Worker) removeEntry() { w.site.Store.Put(topicEntries, w.id, nil) }

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Permit       string `json:"ticket"`
	Checkpoint   string `json:"checkpoint"`
}

// ServeHTTP executes orders and answers requests for a listing. It refuses those for another worker ID and those with
// an old fencing token; every other one may renew the lease.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := order{}
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
		w.serveListing(rw, r, &body)
	case "/-/pace":
		w.answer(rw, http.StatusOK, nil)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	out := map[string]any{"currentTimeMs": w.now().Milliseconds()}
	for k, v := range fields {
		out[k] = v
	}
	writeJSON(rw, status, out)
}

// renew extends the lease to deadline, if that is later than its current end. Callers must hold the lock.
func (w *Worker) renew(deadline time.Duration) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(deadline-w.now(), w.expireLease)
}

func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now() < w.deadline {
		return
	}
	w.site.oracle.recordLeaseExpiry(w.incarnation)
	for task, r := range w.running {
		w.end(task, r, "lapsed")
	}
}

// end ends a run and lists it with its result. Callers must hold the lock.
func (w *Worker) end(task string, r *taskRun, result string) {
	if w.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.highestEndedRun[task] = max(w.highestEndedRun[task], r.run)
	w.endedRuns = append(w.endedRuns, endedRun{w.nextNumber, task, r.run, result, r.saved(task, result == "stopped")})
	w.nextNumber++
	w.site.oracle.recordEnd(task, w.incarnation)
	if result == "done" {
		w.site.oracle.recordSuccess(task, w.incarnation)
	}
	if r.step.isGang {
		w.site.gangs.leave(task, r.run, result)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if w.crashesAtEnd && result == "done" {
		w.crashesAtEnd = false
		go w.CrashSilently()
	}
}

func (w *Worker) serveStart(rw http.ResponseWriter, b *order) {
	w.mu.Lock()
	status, reason := w.start(b)
	isDropped := status == http.StatusOK && w.unansweredStarts > 0
	if isDropped {
		w.unansweredStarts--
	}
	w.mu.Unlock()
	if isDropped {
		panic(http.ErrAbortHandler)
	}
	w.answer(rw, status, map[string]any{"reason": reason})
}

// start executes a start order and returns the status of the answer and the reason of a refusal. Callers must
// hold the lock.
func (w *Worker) start(b *order) (int, string) {
	current := w.running[b.Task]
	switch {
	case current != nil && current.run == b.Run:
		return http.StatusOK, ""
	case current != nil || b.Run <= w.highestEndedRun[b.Task]:
		return http.StatusConflict, "old"
	case w.now() >= w.deadline:
		return http.StatusConflict, "late"
	case w.site.options.HasPermissionService && b.Permit != permitFor(stepName(b.Task), w.incarnation):
		return http.StatusConflict, "ticket"
	}
	step, err := w.site.stepOfTask(b.Task)
	if err != nil {
		w.site.oracle.addViolation(err.Error())
		return http.StatusBadRequest, ""
	}
	restored, isOwn := parseCheckpoint(b.Checkpoint, b.Task, &step)
	if !isOwn {
		w.site.oracle.addViolation(fmt.Sprintf("%s starts with the checkpoint %q, which is none of it", b.Task, b.Checkpoint))
	}
	if early := step.earliest(b.Task).Sub(time.Now()); early > 0 {
		w.site.oracle.addViolation(fmt.Sprintf("%s starts %v too early", b.Task, early))
	}
	r := &taskRun{run: b.Run, step: step, checkpoint: b.Checkpoint, restored: restored}
	w.running[b.Task] = r
	w.starts++
	w.site.oracle.recordStart(b.Task, w)
	if step.isGang {
		r.timer = time.AfterFunc(gangTimeout, func() { w.endGang(b.Task, b.Run, "alone") })
		if text := w.site.gangs.join(w, b.Task, r); text != "" {
			w.site.oracle.addViolation(text)
		}
		return http.StatusOK, ""
	}
	if crashesWorker(b.Task, &step) {
		time.AfterFunc(crashDelay, func() { w.crashDuring(b.Task, r) })
	}
	w.work(b.Task, r)
	return http.StatusOK, ""
}

// work makes a run begin to work, until it ends. Callers must hold the lock.
func (w *Worker) work(task string, r *taskRun) {
	r.workingSince = time.Now()
	duration := max(r.step.duration-r.restored, 0)
	if r.restored > 0 {
		r.workingSince = r.workingSince.Add(restoreDelay)
		duration += restoreDelay
	}
	fails := r.step.fails
	switch {
	case r.step.isLongRunning && (w.failsLongRunning || r.step.fails):
		duration, fails = longRunningFailDelay, true
	case r.step.isLongRunning:
		duration = time.Hour
	case w.site.failsFirst(task, r.run):
		fails = true
	}
	r.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		result := "done"
		if fails {
			result = "failed"
		}
		w.end(task, r, result)
	})
}

// failsFirst reports whether a run is the first one of a task that fails once.
func (s *Site) failsFirst(task string, run uint64) bool {
	return run == 1 && hashShare(task) < s.options.FailureShare
}

func (w *Worker) serveStop(rw http.ResponseWriter, b *order) {
	w.mu.Lock()
	if r := w.running[b.Task]; r != nil && r.run == b.Run {
		w.end(b.Task, r, "stopped")
	}
	w.highestEndedRun[b.Task] = max(w.highestEndedRun[b.Task], b.Run)
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, nil)
}

// serveListing answers a request for a listing. With a WaitMs above 0 it is a long poll: the answer waits until an
// ended run is unconfirmed or WaitMs has passed.
func (w *Worker) serveListing(rw http.ResponseWriter, r *http.Request, b *order) {
	w.mu.Lock()
	w.listingRequests++
	w.mu.Unlock()
	deadline := time.After(time.Duration(b.WaitMs) * time.Millisecond)
	for isExpired := b.WaitMs == 0; ; {
		w.mu.Lock()
		w.confirmed = max(w.confirmed, b.LastSeen)
		unconfirmed := w.endedRuns[:0:0]
		for _, e := range w.endedRuns {
			if e.number > w.confirmed {
				unconfirmed = append(unconfirmed, e)
			} else if e.result == "done" {
				w.site.oracle.recordConfirmation(e.task, w.incarnation)
			}
		}
		w.endedRuns = unconfirmed
		if w.isDead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		changed := w.changed
		listing := w.listing()
		w.mu.Unlock()
		if len(unconfirmed) > 0 && w.dropsEndAnswer() {
			panic(http.ErrAbortHandler)
		}
		if isExpired || len(unconfirmed) > 0 {
			w.answer(rw, http.StatusOK, listing)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isExpired = true
		case <-r.Context().Done():
			return
		case <-w.site.Store.closed:
			return
		}
	}
}

// dropsEndAnswer reports whether the answer with an end is lost.
func (w *Worker) dropsEndAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unansweredEnds == 0 {
		return false
	}
	w.unansweredEnds--
	return true
}

// listing returns the running tasks and the unconfirmed ended runs in the format of the platform. Callers must
// hold the lock.
func (w *Worker) listing() map[string]any {
	running := [][]any{}
	for task, r := range w.running {
		percent := 100
		if !r.step.isLongRunning {
			percent = min(int(100*r.worked()/max(r.step.duration, 1)), 100)
		}
		running = append(running, []any{task, r.run, r.saved(task, false), percent, 0})
	}
	finished := [][]any{}
	for _, e := range w.endedRuns {
		finished = append(finished, []any{e.number, e.task, e.run, e.result, e.saved})
	}
	return map[string]any{"running": running, "finished": finished, "born": w.started.UnixMilli()}
}

// stepName returns the name of a task's step: the task's name up to the last dot.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// permitFor returns the permit with which a worker, named by its incarnation, may run a step.
func permitFor(step, worker string) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s|%s", step, worker)
	return fmt.Sprintf("%08x", h.Sum32())
}
