// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// retryCell is an engine whose orders succeed at once; ends are told by the test.
type retryCell struct {
	engine *dispatch.Engine
	clock  *clock.Fake
	starts []order.Start
	asks   []order.QueryPermission
	ends   map[order.WorkerID]uint64
	at     order.WorkerTime
	// silent is a worker that answers no question for a listing.
	silent order.WorkerID
}

func newRetryCell(workers ...order.WorkerID) *retryCell {
	c := &retryCell{engine: dispatch.NewEngine(dispatch.Options{HeartbeatInterval: 1500 * time.Millisecond}), clock: clock.NewFake(), ends: map[order.WorkerID]uint64{}, at: 10}
	c.engine.Advance(c.clock.Now())
	c.engine.SetOwnershipConfirmed(true)
	c.engine.SetQueues([]order.Queue{{Name: "q", Service: "pool", MaxAttempts: 2}})
	list := []order.Worker{}
	for _, id := range workers {
		list = append(list, order.Worker{ID: id, Service: "pool", Capacity: newStep(1, 0).Need})
	}
	c.engine.SetWorkers(list, true)
	for _, id := range workers {
		c.listed(id)
	}
	return c
}

func (c *retryCell) listed(id order.WorkerID, ends ...order.End) {
	c.at++
	running := []order.Running{}
	for _, s := range c.starts {
		if s.Worker == id && !c.hasEnded(s, ends) {
			running = append(running, order.Running{Task: s.Task, Run: s.Run})
		}
	}
	c.engine.PollAnswered(&order.Poll{Worker: id, AskedAt: c.clock.Now()}, &order.Listing{At: c.at, Running: running, Finished: ends})
}

func (*retryCell) hasEnded(s order.Start, ends []order.End) bool {
	for _, e := range ends {
		if e.Task == s.Task && e.Run == s.Run {
			return true
		}
	}
	return false
}

// advance lets time pass and keeps the workers' words fresh.
func (c *retryCell) advance(d time.Duration) {
	for range d / tick {
		c.clock.Advance(tick)
		c.engine.Advance(c.clock.Now())
		c.engine.Tick()
		c.settle()
	}
}

func (c *retryCell) settle() {
	c.engine.Schedule()
	for b := c.engine.TakeBatch(); b != nil; b = c.engine.TakeBatch() {
		c.engine.Committed(b)
		c.engine.Schedule()
	}
	for _, a := range c.engine.Actions() {
		switch a := a.(type) {
		case order.Start:
			c.starts = append(c.starts, a)
			c.at++
			c.engine.StartAnswered(a.Worker, a.Task, a.Run, order.StartSucceeded, c.at)
		case order.Poll:
			if a.Worker == c.silent {
				c.engine.PollFailed(&a)
			} else {
				c.listed(a.Worker)
			}
		case order.QueryPermission:
			c.asks = append(c.asks, a)
		case order.Stop, order.Pace:
		}
	}
}

func (c *retryCell) submit(id work.JobID, lasts bool) {
	s := newStep(1, time.Second)
	s.IsLongRunning = lasts
	c.engine.AddJob(&work.Spec{ID: id, Queue: "q", Steps: []work.Step{s}})
	c.settle()
}

// end tells the end of the last start.
func (c *retryCell) end(kind order.EndKind) order.WorkerID {
	s := c.starts[len(c.starts)-1]
	c.ends[s.Worker]++
	c.starts = c.starts[:len(c.starts)-1]
	c.listed(s.Worker, order.End{Number: c.ends[s.Worker], Task: s.Task, Run: s.Run, Kind: kind})
	c.settle()
	return s.Worker
}

// A worker that failed all it got was given the same task again at once when no
// other had room, so that the job used up its attempts in 0.15 s.
func TestATaskWaitsForAWorkerOnWhichItHasNotFailed(t *testing.T) {
	c := newRetryCell("v", "w")
	c.engine.SetQueues([]order.Queue{{Name: "q", Service: "pool", MaxAttempts: 3}})
	c.submit("lasting", true)
	c.submit("a", false)
	if len(c.starts) != 2 {
		t.Fatalf("starts: got: %d, want: 2", len(c.starts))
	}
	c.end(order.EndFailed)
	c.advance(time.Second)
	if len(c.starts) != 1 {
		t.Errorf("starts within a second of the failure: got: %v, want: none", c.starts[1:])
	}
	c.advance(2 * time.Second)
	if len(c.starts) != 2 {
		t.Error("after 3 s without another worker: got: no start, want: one, as nothing stands still")
	}
}

// With the last attempt the whole job fails: it waits for a worker that has failed
// nothing since its last success, for a while.
func TestTheLastAttemptGoesToASoundWorker(t *testing.T) {
	c := newRetryCell("v", "w")
	c.submit("a", false)
	unsound := c.end(order.EndFailed)
	if len(c.starts) != 1 || c.starts[0].Worker == unsound {
		t.Fatalf("second attempt: got: %v, want: one on the other worker than %s", c.starts, unsound)
	}
	c.end(order.EndSucceeded)
	c.submit("b", false)
	if got := c.starts[0].Worker; got == unsound {
		t.Fatalf("first attempt of b: got: %s, want: the sound worker", got)
	}
	c.end(order.EndFailed)
	c.advance(time.Second)
	if len(c.starts) != 0 {
		t.Errorf("within a second: got: %v, want: no last attempt, as both workers have failed", c.starts)
	}
	c.advance(time.Second)
	if len(c.starts) != 1 || c.starts[0].Worker != unsound {
		t.Errorf("after two seconds: got: %v, want: one on %s, where b has not failed", c.starts, unsound)
	}
}

// A question that failed was not asked again while nothing else happened: the job
// stood still for good (soak seed 322).
func TestAFailedQuestionIsAskedAgainInAnIdleCell(t *testing.T) {
	c := newRetryCell("w")
	c.engine.SetQueues([]order.Queue{{Name: "q", Service: "pool", MaxAttempts: 2, Permission: &order.PermissionPolicy{BaseTime: 20 * time.Millisecond}}})
	c.engine.SetChannels([]string{"n"})
	c.submit("a", false)
	if len(c.asks) != 1 {
		t.Fatalf("questions: got: %d, want: 1", len(c.asks))
	}
	c.engine.PermissionAnswered("n", c.asks[0].Step, c.asks[0].Workers, nil, 0, false)
	c.settle()
	// Shorter than the time after which the second question counts as lost too.
	c.advance(500 * time.Millisecond)
	if len(c.asks) != 2 {
		t.Fatalf("questions half a second after the failure: got: %d, want: 2", len(c.asks))
	}
}

// A new owner waited 0.6 s for the first listing of a worker whose answer was
// lost, and all tasks that might run there with it.
func TestALostFirstListingIsAskedForAgain(t *testing.T) {
	c := newRetryCell()
	c.engine.SetWorkers([]order.Worker{{ID: "w", Service: "pool", Capacity: newStep(1, 0).Need}}, true)
	holds := 0
	for range 40 {
		c.clock.Advance(tick)
		c.engine.Advance(c.clock.Now())
		c.engine.Tick()
		for _, a := range c.engine.Actions() {
			if _, ok := a.(order.Poll); ok {
				holds++
			}
		}
	}
	if holds < 2 {
		t.Errorf("listings asked for in 0.4 s without an answer: got: %d, want: 2 or more", holds)
	}
}
