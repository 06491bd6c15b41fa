// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package native

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// Mode says how a worker VM is reached.
type Mode string

// The modes of a worker.
const (
	// ModeUp answers.
	ModeUp Mode = "up"
	// ModeCut runs its tasks but nobody reaches it.
	ModeCut Mode = "cut"
	// ModeDead has lost its tasks and answers nobody.
	ModeDead Mode = "dead"
)

const (
	leavingGrace = 5 * time.Second
	usageLag     = 2 * time.Second
	failAfter    = 50 * time.Millisecond
)

// WorkerFaults says how a worker misbehaves. Its zero value is a healthy one.
type WorkerFaults struct {
	Mode Mode `json:"mode"`
	// IsFailingAll makes every task fail soon after its start.
	IsFailingAll bool `json:"failing_all"`
	// UsageFactor is real use over declared use; 0 means 1.
	UsageFactor float64 `json:"usage_factor"`
	// RunFactor is real run time over declared run time; 0 means 1.
	RunFactor float64 `json:"run_factor"`
}

// Worker is a worker VM in memory. It is safe for concurrent use.
type Worker struct {
	Name     string
	Capacity leverdyke.Resources

	mu     sync.Mutex
	clock  clock.Service
	oracle *Oracle
	// epoch is the fence: it only grows, and outlives restarts of the VM.
	epoch     worker.Epoch
	boot      int
	base      time.Time
	rev       uint64
	tasks     map[worker.Key]*attempt
	forgotten map[worker.Key]time.Time
	inFlight  map[worker.Key]int64
	leavingAt time.Time
	faults    WorkerFaults
	changed   chan struct{}
	starts    int
}

type attempt struct {
	task     worker.Task
	notAfter time.Time
	began    time.Time
	end      time.Time
	rev      uint64
	// isUseTold means that its use has been measured and is in the reports.
	isUseTold bool
	// isEnding refuses new requests of a grant until the last one has ended.
	isEnding bool
}

// NewWorker returns a worker that has just booted.
func NewWorker(name string, capacity leverdyke.Resources, c clock.Service, o *Oracle) *Worker {
	return &Worker{
		Name: name, Capacity: capacity, clock: c, oracle: o, boot: 1, base: c.Now(), rev: 1,
		tasks: map[worker.Key]*attempt{}, forgotten: map[worker.Key]time.Time{},
		inFlight: map[worker.Key]int64{}, changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults. ModeDead ends all tasks; leaving it boots anew.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Mode == ModeDead && w.faults.Mode != ModeDead {
		for k, a := range w.tasks {
			if a.task.State == worker.StateRunning {
				w.oracle.ended(w.Name, k)
			}
		}
		w.tasks = map[worker.Key]*attempt{}
		w.forgotten = map[worker.Key]time.Time{}
		w.inFlight = map[worker.Key]int64{}
		w.boot++
	}
	w.faults = f
	w.wake()
}

// Mode returns how the worker is reached.
func (w *Worker) Mode() Mode {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Mode == "" {
		return ModeUp
	}
	return w.faults.Mode
}

// Leave tells the worker that its VM is going to leave.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leavingAt.IsZero() {
		w.leavingAt = w.clock.Now()
		w.rev++
	}
	w.wake()
}

// Sync renews leases and reports at once; Changed says when to ask again.
func (w *Worker) Sync(s *worker.Sync) (*worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(s.Epoch); err != nil {
		return nil, err
	}
	now := w.clock.Now()
	w.expire(now)
	w.renew(s)
	w.forget(s.Forget, now)
	return w.report(s.SinceRevision, now), nil
}

// Changed returns a channel that is closed at the next change, and the current
// revision.
func (w *Worker) Changed() (<-chan struct{}, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed, w.rev
}

// Start starts attempts.
func (w *Worker) Start(s *worker.Start) ([]worker.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(s.Epoch); err != nil {
		return nil, err
	}
	now := w.clock.Now()
	w.expire(now)
	results := make([]worker.StartResult, 0, len(s.Tasks))
	for i := range s.Tasks {
		results = append(results, worker.StartResult{Key: s.Tasks[i].Key, Refused: w.start(s, &s.Tasks[i], now)})
	}
	// A start is answered here; a report that waits need not tell it again.
	return results, nil
}

// Act does deeds to tasks.
func (w *Worker) Act(a *worker.Act) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(a.Epoch); err != nil {
		return err
	}
	for _, k := range a.Keys {
		w.act(a.Action, k)
	}
	w.wake()
	return nil
}

// Expire ends what has lapsed or finished by now.
func (w *Worker) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expire(w.clock.Now()) {
		w.wake()
	}
}

// Begin takes a request under a grant; the function that it returns ends it.
// An empty refusal means that the request runs.
func (w *Worker) Begin(grant worker.Key, onceKey string) (func(), string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(w.clock.Now())
	a := w.tasks[grant]
	if a == nil || a.task.State != worker.StateRunning || a.isEnding {
		return nil, "no such grant"
	}
	if w.inFlight[grant] >= a.task.Declared.Slots {
		w.oracle.overCommitted(w.Name, "requests of grant "+grant.String())
	}
	if !w.leavingAt.IsZero() && w.clock.Now().Sub(w.leavingAt) > leavingGrace {
		w.oracle.startedOnLeaving(w.Name, grant)
	}
	w.inFlight[grant]++
	w.oracle.served(onceKey)
	return func() { w.finish(grant) }, ""
}

func (w *Worker) finish(grant worker.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight[grant] > 0 {
		w.inFlight[grant]--
	}
	if w.inFlight[grant] > 0 {
		return
	}
	delete(w.inFlight, grant)
	if a := w.tasks[grant]; a != nil && a.isEnding && a.task.State == worker.StateRunning {
		w.endAttempt(grant, a, worker.StateStopped)
		w.wake()
	}
}

func (w *Worker) fence(e worker.Epoch) error {
	if e < w.epoch {
		w.oracle.count(func(r *OracleReport) { r.Fenced++ })
		return &worker.FencedError{Seen: w.epoch}
	}
	w.epoch = e
	return nil
}

func (w *Worker) bootName() string { return fmt.Sprintf("%s#%d", w.Name, w.boot) }

func (w *Worker) renew(s *worker.Sync) {
	if s.Incarnation != w.bootName() {
		return
	}
	until := w.base.Add(time.Duration(s.AsOf)).Add(s.TTL)
	for _, a := range w.tasks {
		if a.task.State == worker.StateRunning && until.After(a.notAfter) {
			a.notAfter = until
		}
	}
}

func (w *Worker) forget(keys []worker.Key, now time.Time) {
	for _, k := range keys {
		a := w.tasks[k]
		if a == nil || a.task.State == worker.StateRunning {
			continue
		}
		delete(w.tasks, k)
		w.forgotten[k] = now
	}
}

func (w *Worker) report(seen uint64, now time.Time) *worker.Report {
	r := &worker.Report{
		Incarnation: w.bootName(), Now: int64(now.Sub(w.base)), Revision: w.rev, IsLeaving: !w.leavingAt.IsZero(), Capacity: w.Capacity,
		IsFullList: seen == 0 || seen > w.rev,
	}
	for _, a := range w.tasks {
		if !r.IsFullList && a.rev <= seen {
			continue
		}
		t := a.task
		if a.isUseTold {
			t.Usage = w.usage(&t)
		}
		if !r.IsFullList {
			t = worker.Task{Key: t.Key, State: t.State, Usage: t.Usage, IsThrottled: t.IsThrottled}
		}
		r.Tasks = append(r.Tasks, t)
	}
	return r
}

func (w *Worker) usage(t *worker.Task) leverdyke.Resources {
	f := w.faults.UsageFactor
	if f == 0 {
		f = 1
	}
	u := t.Declared
	u.MilliCPU = int64(float64(u.MilliCPU) * f)
	u.MemoryMiB = int64(float64(u.MemoryMiB) * f)
	if t.IsThrottled {
		u.MilliCPU /= worker.ThrottleDivisor
	}
	return u
}

func (w *Worker) start(s *worker.Start, t *worker.Task, now time.Time) string {
	if s.Incarnation != w.bootName() {
		return "the worker has restarted"
	}
	until := w.base.Add(time.Duration(s.AsOf)).Add(s.TTL)
	if !until.After(now) {
		return "the lease has run out"
	}
	if _, ok := w.tasks[t.Key]; ok {
		return ""
	}
	if _, ok := w.forgotten[t.Key]; ok {
		return ""
	}
	if !w.leavingAt.IsZero() {
		if now.Sub(w.leavingAt) > leavingGrace {
			w.oracle.startedOnLeaving(w.Name, t.Key)
		}
		return "the worker is leaving"
	}
	w.checkRoom(t)
	w.oracle.started(w.Name, t)
	w.starts++
	w.rev++
	a := &attempt{task: *t, notAfter: until, began: now, rev: w.rev}
	a.task.State = worker.StateRunning
	a.end = w.endOf(&a.task, now)
	w.tasks[t.Key] = a
	return ""
}

func (w *Worker) endOf(t *worker.Task, now time.Time) time.Time {
	if t.Holder != "" {
		return time.Time{}
	}
	if w.faults.IsFailingAll || strings.Contains(t.Key.Task.Job, "always-fails") {
		return now.Add(failAfter)
	}
	if t.RunTime == 0 {
		return time.Time{}
	}
	f := w.faults.RunFactor
	if f == 0 {
		f = 1
	}
	return now.Add(time.Duration(float64(t.RunTime) * f))
}

func (w *Worker) checkRoom(t *worker.Task) {
	used := t.Declared
	for _, a := range w.tasks {
		if a.task.State == worker.StateRunning {
			used = used.Add(chargeOf(&a.task))
		}
	}
	if lacks := used.Lacks(w.Capacity); lacks != "" {
		w.oracle.overCommitted(w.Name, lacks)
	}
}

// chargeOf is what a task takes: a throttled one takes a quarter of its
// processors.
func chargeOf(t *worker.Task) leverdyke.Resources {
	r := t.Declared
	if t.IsThrottled {
		r.MilliCPU /= worker.ThrottleDivisor
	}
	return r
}

func (w *Worker) act(d worker.Action, k worker.Key) {
	a := w.tasks[k]
	if a == nil || a.task.State != worker.StateRunning {
		return
	}
	switch d {
	case worker.ActionThrottle:
		a.task.IsThrottled = true
	case worker.ActionUnthrottle:
		a.task.IsThrottled = false
	case worker.ActionCheckpoint:
		w.endAttempt(k, a, worker.StateCheckpointed)
		return
	case worker.ActionStop:
		if w.inFlight[k] > 0 {
			// A grant's requests are finished first; new ones are refused.
			a.isEnding = true
			return
		}
		w.endAttempt(k, a, worker.StateStopped)
		return
	}
	w.rev++
	a.rev = w.rev
}

func (w *Worker) endAttempt(k worker.Key, a *attempt, s worker.TaskState) {
	w.oracle.ended(w.Name, k)
	w.oracle.count(func(r *OracleReport) { r.Stops++ })
	w.rev++
	a.rev = w.rev
	a.task.State = s
}

func (w *Worker) expire(now time.Time) bool {
	isChanged := false
	for k, a := range w.tasks {
		if a.task.State != worker.StateRunning {
			continue
		}
		switch {
		case !now.Before(a.notAfter):
			w.endAttempt(k, a, worker.StateStopped)
			w.oracle.count(func(r *OracleReport) { r.Lapses++ })
		case !a.end.IsZero() && !now.Before(a.end):
			w.endAttempt(k, a, w.result(a))
		case !a.isUseTold && now.Sub(a.began) > usageLag:
			a.isUseTold = true
			w.rev++
			a.rev = w.rev
		default:
			continue
		}
		isChanged = true
	}
	return isChanged
}

func (w *Worker) result(a *attempt) worker.TaskState {
	if w.faults.IsFailingAll || strings.Contains(a.task.Key.Task.Job, "always-fails") {
		return worker.StateFailed
	}
	return worker.StateSucceeded
}

func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Starts returns how many attempts were started here.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Running counts the running attempts of a job.
func (w *Worker) Running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for k, a := range w.tasks {
		if k.Task.Job == job && a.task.State == worker.StateRunning {
			count++
		}
	}
	return count
}
