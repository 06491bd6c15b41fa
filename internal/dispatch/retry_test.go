// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// retryCluster is an engine whose workers accept each start at once and run each task until the
// test ends it.
type retryCluster struct {
	engine *dispatch.Engine
	clock  *clock.Fake
	// starts are those of the attempts that have not ended.
	starts  []order.Start
	queries []order.QueryPermission
	// endNumbers has the number of the last end that each worker reported.
	endNumbers map[order.WorkerID]uint64
	// workerTime is the clock of all workers; it advances by one with each answer.
	workerTime order.WorkerTime
	// silentWorker answers no poll; empty when all workers answer.
	silentWorker order.WorkerID
	// refusal is the outcome of all orders to start; empty when all are accepted.
	refusal order.StartOutcome
	// entries is the platform's list of workers.
	entries []order.Worker
	// log receives the engine's log lines; nil discards them.
	log func(event events.Event, keysAndValues ...any)
}

// newRetryCluster returns a cluster of idle workers with capacity for one task each, and a queue
// that allows two attempts.
func newRetryCluster(workers ...order.WorkerID) *retryCluster {
	c := &retryCluster{clock: clock.NewFake(), endNumbers: map[order.WorkerID]uint64{}, workerTime: 10}
	c.engine = dispatch.NewEngine(dispatch.Options{HeartbeatInterval: 1500 * time.Millisecond, Log: func(event events.Event, keysAndValues ...any) {
		if c.log != nil {
			c.log(event, keysAndValues...)
		}
	}})
	c.engine.Advance(c.clock.Now())
	c.engine.SetOwnershipConfirmed(true)
	c.engine.SetQueues([]order.Queue{{Name: "q", Service: "pool", MaxAttempts: 2}})
	for _, id := range workers {
		c.entries = append(c.entries, order.Worker{ID: id, Service: "pool", Capacity: newStep(1, 0).Need})
	}
	c.engine.SetWorkers(c.entries, true)
	for _, id := range workers {
		c.answerPoll(id)
	}
	return c
}

// answerPoll lets the worker send a listing with the tasks that it runs and these ends.
func (c *retryCluster) answerPoll(id order.WorkerID, ends ...order.End) {
	c.workerTime++
	running := []order.Running{}
	for _, s := range c.starts {
		if s.Worker == id && !c.hasEnded(s, ends) {
			running = append(running, order.Running{Task: s.Task, Run: s.Run})
		}
	}
	c.engine.PollAnswered(&order.Poll{Worker: id, AskedAt: c.clock.Now()}, &order.Listing{At: c.workerTime, Running: running, Finished: ends})
}

// reportNothing lets the worker send a listing without anything.
func (c *retryCluster) reportNothing(id order.WorkerID) {
	c.workerTime++
	c.engine.PollAnswered(&order.Poll{Worker: id, AskedAt: c.clock.Now()}, &order.Listing{At: c.workerTime})
}

// relist removes all workers from the list and adds them again, so that the engine knows those anew
// that it has taken for ended.
func (c *retryCluster) relist() {
	c.engine.SetWorkers(nil, true)
	c.engine.SetWorkers(c.entries, true)
}

func (*retryCluster) hasEnded(s order.Start, ends []order.End) bool {
	for _, e := range ends {
		if e.Task == s.Task && e.Run == s.Run {
			return true
		}
	}
	return false
}

// advance lets the time pass in ticks, in which the workers answer their polls.
func (c *retryCluster) advance(d time.Duration) {
	for range d / tick {
		c.clock.Advance(tick)
		c.engine.Advance(c.clock.Now())
		c.engine.Tick()
		c.settle()
	}
}

// settle commits all batches, answers the starts and polls, and records the permission queries.
func (c *retryCluster) settle() {
	c.engine.Schedule()
	for b := c.engine.TakeBatch(); b != nil; b = c.engine.TakeBatch() {
		c.engine.Committed(b)
		c.engine.Schedule()
	}
	for _, a := range c.engine.Actions() {
		switch a := a.(type) {
		case order.Start:
			c.workerTime++
			if c.refusal != "" {
				c.engine.StartAnswered(a.Worker, a.Task, a.Run, c.refusal, c.workerTime)
				continue
			}
			c.starts = append(c.starts, a)
			c.engine.StartAnswered(a.Worker, a.Task, a.Run, order.StartSucceeded, c.workerTime)
		case order.Poll:
			if a.Worker == c.silentWorker {
				c.engine.PollFailed(&a)
			} else {
				c.answerPoll(a.Worker)
			}
		case order.QueryPermission:
			c.queries = append(c.queries, a)
		case order.Stop, order.Pace:
		}
	}
}

func (c *retryCluster) submit(id work.JobID, isLongRunning bool) {
	s := newStep(1, time.Second)
	s.IsLongRunning = isLongRunning
	c.engine.AddJob(&work.Spec{ID: id, Queue: "q", Steps: []work.Step{s}})
	c.settle()
}

// endLastStart lets the attempt started last end, and returns its worker.
func (c *retryCluster) endLastStart(kind order.EndKind) order.WorkerID {
	s := c.starts[len(c.starts)-1]
	c.endNumbers[s.Worker]++
	c.starts = c.starts[:len(c.starts)-1]
	c.answerPoll(s.Worker, order.End{Number: c.endNumbers[s.Worker], Task: s.Task, Run: s.Run, Kind: kind})
	c.settle()
	return s.Worker
}

// A failed task must wait a few seconds for a worker on which it has not failed yet. A worker on
// which all tasks failed once got the same task again at once when no other had free capacity, so
// that the job used up its attempts in 0.15 s.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	c := newRetryCluster("v", "w")
	c.engine.SetQueues([]order.Queue{{Name: "q", Service: "pool", MaxAttempts: 3}})
	c.submit("lasting", true)
	c.submit("a", false)
	if len(c.starts) != 2 {
		t.Fatalf("starts: got: %d, want: 2", len(c.starts))
	}
	c.endLastStart(order.EndFailed)
	c.advance(time.Second)
	if len(c.starts) != 1 {
		t.Errorf("starts within a second of the failure: got: %v, want: none", c.starts[1:])
	}
	c.advance(2 * time.Second)
	if len(c.starts) != 2 {
		t.Error("after 3 s without another worker: got: no start, want: one, as the task must not wait forever")
	}
}

// If the last attempt fails, so does the whole job. That attempt therefore waits for a while for a
// worker with no failure since its last success.
func TestLastAttemptGoesToAHealthyWorker(t *testing.T) {
	c := newRetryCluster("v", "w")
	c.submit("a", false)
	unhealthy := c.endLastStart(order.EndFailed)
	if len(c.starts) != 1 || c.starts[0].Worker == unhealthy {
		t.Fatalf("second attempt: got: %v, want: one on another worker than %s", c.starts, unhealthy)
	}
	c.endLastStart(order.EndSucceeded)
	c.submit("b", false)
	if got := c.starts[0].Worker; got == unhealthy {
		t.Fatalf("first attempt of b: got: %s, want: the healthy worker", got)
	}
	c.endLastStart(order.EndFailed)
	c.advance(time.Second)
	if len(c.starts) != 0 {
		t.Errorf("within a second: got: %v, want: no last attempt, as both workers have failed", c.starts)
	}
	c.advance(time.Second)
	if len(c.starts) != 1 || c.starts[0].Worker != unhealthy {
		t.Errorf("after two seconds: got: %v, want: one on %s, where b has not failed", c.starts, unhealthy)
	}
}

// A failed permission query must be repeated even if no other event occurs. It was not, and the job
// made no more progress (soak seed 322).
func TestFailedPermissionQueryIsRepeatedInAnIdleCluster(t *testing.T) {
	c := newRetryCluster("w")
	c.engine.SetQueues([]order.Queue{{Name: "q", Service: "pool", MaxAttempts: 2, Permission: &order.PermissionPolicy{BaseTime: 20 * time.Millisecond}}})
	c.engine.SetChannels([]string{"n"})
	c.submit("a", false)
	if len(c.queries) != 1 {
		t.Fatalf("permission queries: got: %d, want: 1", len(c.queries))
	}
	c.engine.PermissionAnswered("n", c.queries[0].Step, c.queries[0].Workers, nil, 0, false)
	c.settle()
	// Shorter than the time after which the second query would count as lost too.
	c.advance(500 * time.Millisecond)
	if len(c.queries) != 2 {
		t.Fatalf("permission queries half a second after the failure: got: %d, want: 2", len(c.queries))
	}
}

// A new owner must soon repeat the first poll of a worker if there is no answer. It once waited
// 0.6 s, and so did all tasks that might run on that worker.
func TestUnansweredFirstPollIsRepeated(t *testing.T) {
	c := newRetryCluster()
	c.engine.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: newStep(1, 0).Need}}, true)
	polls := 0
	for range 40 {
		c.clock.Advance(tick)
		c.engine.Advance(c.clock.Now())
		c.engine.Tick()
		for _, a := range c.engine.Actions() {
			if _, ok := a.(order.Poll); ok {
				polls++
			}
		}
	}
	if polls < 2 {
		t.Errorf("polls in 0.4 s without an answer: got: %d, want: 2 or more", polls)
	}
}
