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

// Mode says whether a worker VM runs and whether it can be reached.
type Mode string

// The modes of a worker VM.
const (
	// ModeUp is a VM that runs and answers.
	ModeUp Mode = "up"
	// ModePartitioned is a VM that runs its tasks but cannot be reached.
	ModePartitioned Mode = "cut"
	// ModeDead is a VM that has lost its tasks and does not answer.
	ModeDead Mode = "dead"
)

const (
	// leavingGrace is how long after its announcement a leaving worker may still be sent starts.
	leavingGrace = 5 * time.Second
	// usageLag is how long a task runs before its usage is reported.
	usageLag = 2 * time.Second
	// failDelay is how long a task runs that fails.
	failDelay = 50 * time.Millisecond
)

// WorkerFaults are the faults that a worker injects. The zero value is a healthy worker.
type WorkerFaults struct {
	Mode Mode `json:"mode"`
	// IsFailingAll makes every task fail failDelay after its start.
	IsFailingAll bool `json:"failing_all"`
	// UsageFactor is the ratio of actual to declared resource usage; 0 means 1.
	UsageFactor float64 `json:"usage_factor"`
	// RunFactor is the ratio of actual to declared run time; 0 means 1.
	RunFactor float64 `json:"run_factor"`
}

// Worker is a fake worker VM in memory. It is safe for concurrent use.
type Worker struct {
	Name     string
	Capacity leverdyke.Resources

	mu     sync.Mutex
	clock  clock.Service
	oracle *Oracle
	// epoch is the highest epoch seen: requests with a lower one are refused. It survives restarts of the VM.
	epoch worker.Epoch
	boot  int
	// clockBase is the zero of the clock that the reports show.
	clockBase time.Time
	// rev is the revision of the newest change, by which a caller says what it has seen.
	rev   uint64
	tasks map[worker.Key]*attempt
	// forgotten has the attempts whose end was acknowledged, with the time: they must not start again.
	forgotten map[worker.Key]time.Time
	// requestsInFlight counts the requests in progress under each grant.
	requestsInFlight map[worker.Key]int64
	// leavingAt is when the worker was informed that its VM is leaving; zero if it was not.
	leavingAt time.Time
	faults    WorkerFaults
	changed   chan struct{}
	starts    int
}

type attempt struct {
	task     worker.Task
	leaseEnd time.Time
	began    time.Time
	finishAt time.Time
	// rev is the revision of its newest change.
	rev uint64
	// isUsageReported means that the reports include the usage of the task.
	isUsageReported bool
	// isStopping means that the grant is to stop: new requests are refused, and it ends with the last
	// request in flight.
	isStopping bool
}

// NewWorker returns a worker that has booted once and runs nothing.
func NewWorker(name string, capacity leverdyke.Resources, c clock.Service, o *Oracle) *Worker {
	return &Worker{
		Name: name, Capacity: capacity, clock: c, oracle: o, boot: 1, clockBase: c.Now(), rev: 1,
		tasks: map[worker.Key]*attempt{}, forgotten: map[worker.Key]time.Time{},
		requestsInFlight: map[worker.Key]int64{}, changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults. Changing to ModeDead loses all tasks; the worker has a new boot number
// from then on.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Mode == ModeDead && w.faults.Mode != ModeDead {
		for k, a := range w.tasks {
			if a.task.State == worker.StateRunning {
				w.oracle.recordEnd(w.Name, k)
			}
		}
		w.tasks = map[worker.Key]*attempt{}
		w.forgotten = map[worker.Key]time.Time{}
		w.requestsInFlight = map[worker.Key]int64{}
		w.boot++
	}
	w.faults = f
	w.wake()
}

// Mode returns the worker's mode.
func (w *Worker) Mode() Mode {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Mode == "" {
		return ModeUp
	}
	return w.faults.Mode
}

// AnnounceLeaving informs the worker that its VM is going to leave. Its reports say so from then on.
func (w *Worker) AnnounceLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leavingAt.IsZero() {
		w.leavingAt = w.clock.Now()
		w.rev++
	}
	w.wake()
}

// Sync renews the leases and returns a report without waiting. A caller that wants to wait for changes uses Changed.
func (w *Worker) Sync(s *worker.Sync) (*worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(s.Epoch); err != nil {
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

// Start starts attempts and returns for each whether it was refused, and why.
func (w *Worker) Start(s *worker.Start) ([]worker.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(s.Epoch); err != nil {
		return nil, err
	}
	now := w.clock.Now()
	w.expire(now)
	results := make([]worker.StartResult, 0, len(s.Tasks))
	for i := range s.Tasks {
		results = append(results, worker.StartResult{Key: s.Tasks[i].Key, Refused: w.start(s, &s.Tasks[i], now)})
	}
	// The answer already says what was started, so long polls for a report are not woken.
	return results, nil
}

// Act applies an action, such as a stop, to attempts. Attempts that do not run are skipped.
func (w *Worker) Act(a *worker.Act) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(a.Epoch); err != nil {
		return err
	}
	for _, k := range a.Keys {
		w.act(a.Action, k)
	}
	w.wake()
	return nil
}

// Expire ends the attempts whose lease has expired or that have finished.
func (w *Worker) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expire(w.clock.Now()) {
		w.wake()
	}
}

// Begin starts a caller's request under a grant. The caller of Begin must call the returned function when the
// request has ended. A refusal that is not empty says why the request does not run.
func (w *Worker) Begin(grant worker.Key, onceKey string) (func(), string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(w.clock.Now())
	a := w.tasks[grant]
	if a == nil || a.task.State != worker.StateRunning || a.isStopping {
		return nil, "no such grant"
	}
	if w.requestsInFlight[grant] >= a.task.Declared.Slots {
		w.oracle.recordOverCommit(w.Name, "requests of grant "+grant.String())
	}
	if !w.leavingAt.IsZero() && w.clock.Now().Sub(w.leavingAt) > leavingGrace {
		w.oracle.recordStartOnLeaving(w.Name, grant)
	}
	w.requestsInFlight[grant]++
	w.oracle.recordRequest(onceKey)
	return func() { w.finish(grant) }, ""
}

func (w *Worker) finish(grant worker.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requestsInFlight[grant] > 0 {
		w.requestsInFlight[grant]--
	}
	if w.requestsInFlight[grant] > 0 {
		return
	}
	delete(w.requestsInFlight, grant)
	if a := w.tasks[grant]; a != nil && a.isStopping && a.task.State == worker.StateRunning {
		w.endAttempt(grant, a, worker.StateStopped)
		w.wake()
	}
}

func (w *Worker) checkEpoch(e worker.Epoch) error {
	if e < w.epoch {
		w.oracle.update(func(r *OracleReport) { r.Fenced++ })
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
	leaseEnd := w.clockBase.Add(time.Duration(s.AsOf)).Add(s.TTL)
	for _, a := range w.tasks {
		if a.task.State == worker.StateRunning && leaseEnd.After(a.leaseEnd) {
			a.leaseEnd = leaseEnd
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
		Incarnation: w.bootName(), Now: int64(now.Sub(w.clockBase)), Revision: w.rev, IsLeaving: !w.leavingAt.IsZero(), Capacity: w.Capacity,
		IsFullList: seen == 0 || seen > w.rev,
	}
	for _, a := range w.tasks {
		if !r.IsFullList && a.rev <= seen {
			continue
		}
		t := a.task
		if a.isUsageReported {
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
	factor := w.faults.UsageFactor
	if factor == 0 {
		factor = 1
	}
	u := t.Declared
	u.MilliCPU = int64(float64(u.MilliCPU) * factor)
	u.MemoryMiB = int64(float64(u.MemoryMiB) * factor)
	if t.IsThrottled {
		u.MilliCPU /= worker.ThrottleDivisor
	}
	return u
}

func (w *Worker) start(s *worker.Start, t *worker.Task, now time.Time) string {
	if s.Incarnation != w.bootName() {
		return "the worker has restarted"
	}
	leaseEnd := w.clockBase.Add(time.Duration(s.AsOf)).Add(s.TTL)
	if !leaseEnd.After(now) {
		return "the lease has expired"
	}
	if _, ok := w.tasks[t.Key]; ok {
		return ""
	}
	if _, ok := w.forgotten[t.Key]; ok {
		return ""
	}
	if !w.leavingAt.IsZero() {
		if now.Sub(w.leavingAt) > leavingGrace {
			w.oracle.recordStartOnLeaving(w.Name, t.Key)
		}
		return "the worker is leaving"
	}
	w.checkCapacity(t)
	w.oracle.recordStart(w.Name, t)
	w.starts++
	w.rev++
	a := &attempt{task: *t, leaseEnd: leaseEnd, began: now, rev: w.rev}
	a.task.State = worker.StateRunning
	a.finishAt = w.finishTime(&a.task, now)
	w.tasks[t.Key] = a
	return ""
}

func (w *Worker) finishTime(t *worker.Task, now time.Time) time.Time {
	if t.Holder != "" {
		return time.Time{}
	}
	if w.faults.IsFailingAll || strings.Contains(t.Key.Task.Job, "always-fails") {
		return now.Add(failDelay)
	}
	if t.RunTime == 0 {
		return time.Time{}
	}
	factor := w.faults.RunFactor
	if factor == 0 {
		factor = 1
	}
	return now.Add(time.Duration(float64(t.RunTime) * factor))
}

func (w *Worker) checkCapacity(t *worker.Task) {
	used := t.Declared
	for _, a := range w.tasks {
		if a.task.State == worker.StateRunning {
			used = used.Add(allocationOf(&a.task))
		}
	}
	if missing := used.Lacks(w.Capacity); missing != "" {
		w.oracle.recordOverCommit(w.Name, missing)
	}
}

// allocationOf returns the resources that a task occupies: a throttled task occupies a quarter of its
// processors.
func allocationOf(t *worker.Task) leverdyke.Resources {
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
		if w.requestsInFlight[k] > 0 {
			// The requests in flight under the grant finish first, and new ones are refused.
			a.isStopping = true
			return
		}
		w.endAttempt(k, a, worker.StateStopped)
		return
	}
	w.rev++
	a.rev = w.rev
}

func (w *Worker) endAttempt(k worker.Key, a *attempt, s worker.TaskState) {
	w.oracle.recordEnd(w.Name, k)
	w.oracle.update(func(r *OracleReport) { r.Stops++ })
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
		case !now.Before(a.leaseEnd):
			w.endAttempt(k, a, worker.StateStopped)
			w.oracle.update(func(r *OracleReport) { r.LeaseExpirations++ })
		case !a.finishAt.IsZero() && !now.Before(a.finishAt):
			w.endAttempt(k, a, w.finalState(a))
		case !a.isUsageReported && now.Sub(a.began) > usageLag:
			a.isUsageReported = true
			w.rev++
			a.rev = w.rev
		default:
			continue
		}
		isChanged = true
	}
	return isChanged
}

func (w *Worker) finalState(a *attempt) worker.TaskState {
	if w.faults.IsFailingAll || strings.Contains(a.task.Key.Task.Job, "always-fails") {
		return worker.StateFailed
	}
	return worker.StateSucceeded
}

func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Starts returns how many attempts were started on the worker.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Running returns the number of running attempts of a job.
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
