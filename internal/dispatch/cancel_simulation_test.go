// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// These bounds are for how long a task of a cancelled job may run on after the acknowledgement, its
// own start and the last disturbance, whichever was last. Callers are promised no less than 3 s and
// the stop time.
const (
	// maxRunAfterCancel: a worker that was unreachable is polled again after a second at the latest,
	// and its listing shows what is to be stopped. The rest is for the messages.
	maxRunAfterCancel = 1200*time.Millisecond + modelStopTime
	// maxHeldUpRunAfterCancel is for a start that was held up: a worker without known tasks is polled
	// every 2 s.
	maxHeldUpRunAfterCancel = 2300*time.Millisecond + modelStopTime
)

// maxLossyRunAfterCancel is the bound while up to a third of all messages are lost: polls and stops are
// sent again.
const maxLossyRunAfterCancel = 3500*time.Millisecond + modelStopTime

// maxCancelTime is how long a cancellation may be unanswered while the store takes batches.
const maxCancelTime = 2 * time.Second

// quietTime is how long there must have been no disturbance until a task of a cancelled job may run
// on for maxQuietRunAfterCancel only, if its start had not been held up.
const (
	quietTime              = 5 * time.Second
	maxQuietRunAfterCancel = 300*time.Millisecond + modelStopTime
)

// cancelFaults says which faults cancelSim has in addition to those of injectRandomFault.
type cancelFaults struct {
	// hasRestarts makes workers restart under their names. hasLateOrders lets orders arrive late;
	// with both, late orders may reach a newer incarnation first.
	hasRestarts, hasLateOrders bool
}

// cancelSim is a simulation in which callers cancel jobs. It checks what callers rely on after the
// acknowledgement of a cancellation.
type cancelSim struct {
	*sim
	faults cancelFaults
	// submits and cancels are the calls that are not answered yet, with the engine that has them.
	submits, cancels map[work.JobID]*dispatch.Engine
	// cancelAt is how long after its acceptance a job is cancelled.
	cancelAt map[work.JobID]time.Duration
	// sentAt is when the last call to cancel a job was sent.
	sentAt map[work.JobID]time.Duration
	// acknowledgedAt is when the cancellation of a job was acknowledged.
	acknowledgedAt map[work.JobID]time.Duration
	// takenOverAt is when the last owner began, lossyAt when messages were last lost, unreachableAt
	// when each worker was last partitioned or down. A fault of the store is no excuse for what runs
	// after an acknowledgement.
	takenOverAt, lossyAt, storeFailedAt time.Duration
	unreachableAt                       map[string]time.Duration
	// isUnconfirmed means that the store has not confirmed the ownership for a while.
	isUnconfirmed bool
	// cancelViolations are the violations of what callers of a cancellation rely on.
	cancelViolations []string
	counts           cancelCounts
}

// cancelCounts counts what the seeds of the model have covered.
type cancelCounts struct {
	Jobs, Acknowledged, Takeovers int
	// BeforeAcceptance are the cancellations of jobs that the store did not have, Resubmitted the
	// submissions after an acknowledgement, Ran the jobs of which something ran at that time.
	BeforeAcceptance, Resubmitted, Ran int
	// Longest is for how long a task whose start was not held up ran on after the acknowledgement and
	// the last disturbance, LongestLossy the same for all where the loss of messages does not count as one.
	Longest, LongestLossy time.Duration
}

func (n *cancelCounts) add(o cancelCounts) {
	n.Jobs += o.Jobs
	n.Acknowledged += o.Acknowledged
	n.BeforeAcceptance += o.BeforeAcceptance
	n.Resubmitted += o.Resubmitted
	n.Ran += o.Ran
	n.Longest, n.LongestLossy = max(n.Longest, o.Longest), max(n.LongestLossy, o.LongestLossy)
	n.Takeovers += o.Takeovers
}

func newCancelSim(seed uint64, faults cancelFaults) *cancelSim {
	c := &cancelSim{
		sim: newSim(seed), faults: faults, submits: map[work.JobID]*dispatch.Engine{}, cancels: map[work.JobID]*dispatch.Engine{},
		cancelAt: map[work.JobID]time.Duration{}, acknowledgedAt: map[work.JobID]time.Duration{}, unreachableAt: map[string]time.Duration{}, sentAt: map[work.JobID]time.Duration{},
	}
	c.workersStartedAt, c.hasFullPollWaits, c.excusedUntil = c.startedAt, true, map[work.JobID]time.Duration{}
	c.onStart = c.checkOrder
	c.addWorkers(6, workerCapacity)
	return c
}

func (c *cancelSim) reportCancelViolation(format string, args ...any) {
	c.cancelViolations = append(c.cancelViolations, fmt.Sprintf("%8v ", c.elapsed())+fmt.Sprintf(format, args...))
}

// checkOrder checks that no start of a cancelled job is ordered.
func (c *cancelSim) checkOrder(s order.Start) {
	if at, ok := c.acknowledgedAt[s.Task.Job]; ok {
		c.reportCancelViolation("%s run %d is ordered on %s, its cancellation was acknowledged at %v", s.Task, s.Run, s.Worker, at)
	}
}

// runCancels is run with the callers and the checks of cancellations.
func (c *cancelSim) runCancels(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.clock.Advance(tick)
		if c.isStoreDown && c.rng.IntN(10) == 0 {
			c.engine.RefuseNew()
		}
		c.runTick()
		c.answerCalls()
		c.observeDisturbance()
		c.checkCancelled()
	}
}

// answerCalls answers the callers whose jobs or cancellations are persisted. Of those whose calls
// fail, because the job is refused or the owner changes, most try again.
func (c *cancelSim) answerCalls() {
	for _, id := range slices.Sorted(maps.Keys(c.cancels)) {
		switch {
		case c.cancels[id] != c.engine:
			delete(c.cancels, id)
			if c.rng.IntN(10) < 7 {
				c.schedule(c.draw(time.Second), func() { c.cancel(id) })
			}
		case c.engine.IsFinalPersisted(id):
			delete(c.cancels, id)
			c.acknowledgedAt[id] = c.elapsed()
			c.counts.Acknowledged++
			if c.specs[id] == nil {
				c.counts.BeforeAcceptance++
			}
			if c.runningTasks(id) > 0 {
				c.counts.Ran++
			}
		case c.elapsed()-max(c.sentAt[id], c.storeFailedAt) > maxCancelTime:
			c.reportCancelViolation("the cancellation of %s at %v is not answered", id, c.sentAt[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.submits)) {
		_, isKnown := c.engine.State(id)
		isPersisted := c.submits[id] == c.engine && c.engine.IsPersisted(id)
		switch {
		case isPersisted:
			delete(c.submits, id)
			if at, ok := c.cancelAt[id]; ok {
				delete(c.cancelAt, id)
				c.schedule(at, func() { c.cancel(id) })
			}
			if c.rng.IntN(10) == 0 {
				c.resubmitAfter(id, 4*time.Second)
			}
		case c.submits[id] != c.engine || !isKnown:
			delete(c.submits, id)
			if c.rng.IntN(10) < 7 {
				c.resubmitAfter(id, 2*time.Second)
			}
		}
	}
}

func (c *cancelSim) draw(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

func (c *cancelSim) resubmitAfter(id work.JobID, d time.Duration) {
	c.schedule(c.draw(d), func() { c.send(id) })
}

// send sends the submission of a job to the current owner, for the first time or again.
func (c *cancelSim) send(id work.JobID) {
	if _, ok := c.acknowledgedAt[id]; ok {
		c.counts.Resubmitted++
	}
	spec := *c.submitted[id]
	if !c.engine.IsPersisted(id) {
		c.engine.AddJob(&spec)
	}
	c.submits[id] = c.engine
}

// cancel cancels a job at the current owner.
func (c *cancelSim) cancel(id work.JobID) {
	if _, ok := c.acknowledgedAt[id]; ok {
		return
	}
	if c.cancels[id] != c.engine {
		c.excusedUntil[id] = c.elapsed()
	}
	c.engine.Cancel(id, "")
	c.cancels[id], c.sentAt[id] = c.engine, c.elapsed()
	if c.rng.IntN(6) == 0 {
		c.disturbCancel(id)
	}
}

// disturbCancel makes the workers that run a job unreachable for a while, in which the owner may be
// replaced. The next one does not know what they run.
func (c *cancelSim) disturbCancel(id work.JobID) {
	d := 200*time.Millisecond + c.draw(3*time.Second)
	for _, m := range c.allWorkers() {
		for task := range m.running {
			if task.Job == id && !m.isPartitioned {
				m.isPartitioned = true
				c.schedule(d, func() { m.isPartitioned = false })
				break
			}
		}
	}
	if c.rng.IntN(2) == 0 {
		c.schedule(d-c.draw(200*time.Millisecond), c.takeOverMidBatch)
	}
}

// submitRandom submits a job of a random kind, and draws when its caller cancels it.
func (c *cancelSim) submitRandom(id work.JobID) {
	c.counts.Jobs++
	spec := &work.Spec{ID: id, Queue: "q"}
	short := func() work.Step { return newStep(1+c.rng.IntN(4), 100*time.Millisecond+c.draw(2500*time.Millisecond)) }
	switch c.rng.IntN(6) {
	case 0:
		s := newStep(1+c.rng.IntN(4), time.Hour)
		s.IsLongRunning = true
		spec.Steps = []work.Step{s}
	case 1:
		s := short()
		s.IsGang = true
		spec.Steps = []work.Step{short(), s}
		spec.Steps[1].After = []int{0}
	case 2:
		spec.Steps = []work.Step{newStep(1+c.rng.IntN(2), 100*time.Millisecond+c.draw(time.Second))}
		spec.Rounds, spec.StartAt, spec.Interval = 2+c.rng.IntN(4), c.clock.Now().Add(c.draw(time.Second)), 200*time.Millisecond+c.draw(2*time.Second)
	case 3:
		s := short()
		s.AllowsSpeculation = true
		spec.Steps = []work.Step{s, short()}
	default:
		spec.Steps = []work.Step{short(), short()}
		spec.Steps[1].After = []int{0}
	}
	c.submitted[id] = spec
	switch c.rng.IntN(10) {
	case 0:
		c.cancel(id)
		c.resubmitAfter(id, 3*time.Second)
		return
	case 1:
		c.send(id)
		c.cancel(id)
		return
	case 2:
		c.schedule(c.draw(100*time.Millisecond), func() { c.cancel(id) })
	case 3, 4, 5, 6:
		c.cancelAt[id] = 300*time.Millisecond + c.draw(400*time.Millisecond)
	case 7:
		c.cancelAt[id] = c.draw(5 * time.Second)
	}
	c.send(id)
}

// observeDisturbance records which faults there are now.
func (c *cancelSim) observeDisturbance() {
	if c.lostAnswerShare > 0 {
		c.lossyAt = c.elapsed()
	}
	if c.isStoreDown || c.refusedShare > 0 {
		c.storeFailedAt = c.elapsed()
	}
	for name, m := range c.allWorkers() {
		if m.isPartitioned || m.isDead {
			c.unreachableAt[name] = c.elapsed()
		}
	}
}

// checkCancelled checks what runs and what callers are shown of jobs whose cancellation was
// acknowledged.
func (c *cancelSim) checkCancelled() {
	for name, m := range c.allWorkers() {
		if m.isDead || m.isPartitioned {
			continue
		}
		for task, r := range m.sortedRuns() {
			if at, ok := c.acknowledgedAt[task.Job]; ok {
				c.checkRun(name, task, r, at)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.acknowledgedAt)) {
		if state, isKnown := c.engine.State(id); isKnown && !state.IsFinal() {
			c.reportCancelViolation("%s is shown as %s, its cancellation was acknowledged at %v", id, state, c.acknowledgedAt[id])
		}
	}
}

func (c *cancelSim) checkRun(name string, task work.TaskID, r *modelRun, acknowledgedAt time.Duration) {
	now, began := c.elapsed(), r.beganAt.Sub(c.startedAt)
	disturbedAt := max(c.takenOverAt, c.unreachableAt[name])
	since := max(acknowledgedAt, disturbedAt, began)
	c.counts.LongestLossy = max(c.counts.LongestLossy, now-since)
	if now-since > maxLossyRunAfterCancel {
		c.reportCancelViolation("%s run %d runs on %s for %v while messages are lost, its cancellation was acknowledged at %v", task, r.run, name, now-since, acknowledgedAt)
	}
	since = max(since, c.lossyAt)
	isHeldUp := began-r.orderedAt >= shrinkGrace
	if !isHeldUp {
		c.counts.Longest = max(c.counts.Longest, now-since)
	}
	if now-since > maxHeldUpRunAfterCancel || !isHeldUp && now-since > maxRunAfterCancel {
		c.reportCancelViolation("%s run %d runs on %s for %v, its cancellation was acknowledged at %v", task, r.run, name, now-since, acknowledgedAt)
	}
	isQuiet := min(acknowledgedAt, began)-max(disturbedAt, c.lossyAt) >= quietTime && !isHeldUp
	if isQuiet && now-since > maxQuietRunAfterCancel {
		c.reportCancelViolation("%s run %d runs on %s for %v in quiet times, its cancellation was acknowledged at %v", task, r.run, name, now-since, acknowledgedAt)
	}
}

// injectCancelFault injects a random fault.
func (c *cancelSim) injectCancelFault(i int) {
	switch {
	case c.rng.IntN(4) == 0:
		c.takeOverMidBatch()
	case c.rng.IntN(8) == 0:
		c.isUnconfirmed = !c.isUnconfirmed
		c.engine.SetOwnershipConfirmed(!c.isUnconfirmed)
	case c.rng.IntN(12) == 0:
		c.engine.SetPaused(true)
		c.runCancels(c.draw(300 * time.Millisecond))
		c.takeOverMidBatch()
	case c.faults.hasRestarts && c.rng.IntN(3) == 0:
		share := c.lateOrderShare
		c.restartRandomWorker()
		c.lateOrderShare = share
	default:
		c.injectRandomFault(i)
	}
	if c.lostAnswerShare > 0 {
		c.lostAnswerShare = c.rng.Float64() / 3
	}
	if !c.faults.hasLateOrders {
		c.lateOrderShare = 0
	}
}

// takeOverMidBatch replaces the owner, in some cases when only a part of the batch in flight has
// reached the store: a large batch takes several appends.
func (c *cancelSim) takeOverMidBatch() {
	if b := c.inFlightBatch; b != nil && c.rng.IntN(4) == 0 {
		c.applyBatch(&dispatch.Batch{NewJobs: b.NewJobs})
		c.inFlightBatch = nil
	}
	c.takeOver()
	c.takenOverAt, c.isUnconfirmed = c.elapsed(), false
	c.counts.Takeovers++
}

// calm ends all faults.
func (c *cancelSim) calm() {
	c.clearFaults()
	c.isUnconfirmed = false
	c.engine.SetOwnershipConfirmed(true)
}

// simulateCancels runs 40 s in which callers cancel jobs, half of it with faults, then cancels what
// is left and waits until nothing runs.
func simulateCancels(seed uint64, faults cancelFaults) *cancelSim {
	c := newCancelSim(seed, faults)
	c.runCancels(time.Second)
	for i := range 40 {
		for k := range 1 + c.rng.IntN(3) {
			c.submitRandom(work.JobID(fmt.Sprintf("j%02d.%d", i, k)))
		}
		switch c.rng.IntN(3) {
		case 0:
			c.calm()
			c.runCancels(time.Duration(1+c.rng.IntN(8)) * 500 * time.Millisecond)
		default:
			c.injectCancelFault(i)
		}
		c.runCancels(500*time.Millisecond + c.draw(time.Second))
	}
	c.calm()
	c.maxStoreDelay = 0
	c.runCancels(15 * time.Second)
	for _, id := range c.jobOrder {
		c.cancel(id)
	}
	c.runCancels(10 * time.Second)
	for _, id := range c.jobOrder {
		if n := c.runningTasks(id); n > 0 {
			c.reportCancelViolation("%s has %d running tasks at the end", id, n)
		}
		if s := jobState(c.sim, id); !s.IsFinal() {
			c.reportCancelViolation("%s is %s at the end", id, s)
		}
	}
	return c
}
