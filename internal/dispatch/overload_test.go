// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// overload submits more jobs than a pool can do.
type overload struct {
	*loadSim
	calls []*call
}

// call is what a caller wants done.
type call struct {
	id        work.JobID
	sentAt    time.Duration
	objective time.Duration
}

const (
	overloadWorkers = 14
	// overloadTime is how long more arrives than the pool can do.
	overloadTime = 20 * time.Second
	// overloadSeeds is how many plays there are of each load.
	overloadSeeds = 8
)

var plainQueue = order.Queue{Name: "short", Service: "pool", MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond}

// newOverload returns a pool where the estimates of steps are wrong by up to a factor of about 2.5
// either way, and too short by a third in the mean.
func newOverload(seed uint64) *overload {
	o := &overload{loadSim: newLoadSim(seed, overloadWorkers)}
	o.queues = []order.Queue{plainQueue}
	o.engine.SetQueues(o.queues)
	o.estimateError = func(s *work.Step) float64 {
		return 1.3 * math.Exp(0.45*math.Sin(float64(s.Estimate.Microseconds())))
	}
	o.runWithoutArrivals(time.Second)
	return o
}

// arrive submits a job of one step of eight tasks.
func (o *overload) arrive(customer work.CustomerName) {
	estimate := time.Duration(o.drawLogNormal(640, 0.5, 1600) * float64(time.Millisecond))
	need := leverdyke.Resources{MilliCPU: int64(o.drawLogNormal(4500, 0.45, 13_000)), MemoryMiB: 4000}
	s := work.Step{Count: 8, Need: need, Estimate: estimate, MaxUnavailable: -1}
	ran := time.Duration(float64(estimate) * o.estimateError(&s))
	c := &call{work.JobID(fmt.Sprintf("j%05d", len(o.calls))), o.elapsed(), plainQueue.TargetLatency + time.Duration(plainQueue.Stretch*float64(ran))}
	o.calls = append(o.calls, c)
	o.engine.AddJob(&work.Spec{ID: c.id, Queue: "short", Customer: customer, Steps: []work.Step{s}})
	o.jobs[c.id] = &loadJob{
		queue: "short", customer: customer, submittedAt: c.sentAt, objective: c.objective, cpuSeconds: 8 * float64(need.MilliCPU) / 1000 * ran.Seconds(),
	}
}

// run lets jobs arrive for a while, ratio times as many as the pool can do.
func (o *overload) run(length time.Duration, ratio float64, customer func() work.CustomerName) {
	// Of the capacity about a tenth is lost to tasks that do not fit beside each other.
	const meanCoreSeconds = 8 * 4.5 * 0.64 * 1.3 * 1.05
	capacity := 0.9 * float64(overloadWorkers) * float64(loadWorkerCapacity.MilliCPU) / 1000
	perSecond := ratio * capacity / meanCoreSeconds * referenceWorkerCount / overloadWorkers
	for end := o.elapsed() + length; o.elapsed() < end; {
		for range o.drawArrivals(perSecond) {
			o.arrive(customer())
		}
		o.runTickUnchecked()
	}
}

// checkAllSucceed checks that all jobs have succeeded.
func (o *overload) checkAllSucceed(t *testing.T) {
	t.Helper()
	for _, c := range o.calls {
		if got := o.acknowledged[c.id]; got != work.JobSucceeded {
			t.Errorf("%s: got: %q at the end, want: %s", c.id, got, work.JobSucceeded)
		}
	}
}

// playSeeds plays each of the first seeds, in parallel, and checks that all jobs succeed.
func playSeeds(t *testing.T, play func(seed uint64) *overload) {
	t.Helper()
	plays := make([]*overload, overloadSeeds)
	var wg sync.WaitGroup
	for i := range plays {
		wg.Go(func() {
			plays[i] = play(uint64(i))
			plays[i].runUntilJobsEnd()
		})
	}
	wg.Wait()
	for _, o := range plays {
		o.checkAllSucceed(t)
	}
}

// All jobs end well, also if two or three times as many arrive as the pool can do.
func TestAllJobsSucceedUnderTwoAndThreeTimesTheCapacity(t *testing.T) {
	t.Parallel()
	for _, ratio := range []float64{0.9, 2, 3} {
		playSeeds(t, func(seed uint64) *overload {
			o := newOverload(seed)
			o.run(5*time.Second, 0.5, noCustomer)
			o.run(overloadTime, ratio, noCustomer)
			o.run(30*time.Second, 0.3, noCustomer)
			return o
		})
	}
}

// One customer of five sends as much as the pool can do twice, the others send within their shares:
// all jobs end well.
func TestAllJobsSucceedBesideAHotCustomer(t *testing.T) {
	t.Parallel()
	const customers = 5
	playSeeds(t, func(seed uint64) *overload {
		o := newOverload(seed)
		list := []order.Customer{}
		for i := range customers {
			list = append(list, order.Customer{Name: customerName(i), Weight: 1})
		}
		o.limit(list...)
		others := func() work.CustomerName { return customerName(1 + o.rng.IntN(customers-1)) }
		o.run(4*time.Second, 0.4, others)
		for range overloadTime / (20 * tick) {
			o.run(19*tick, 0.4, others)
			o.run(tick, 40, func() work.CustomerName { return hotCustomer })
		}
		o.run(20*time.Second, 0.3, others)
		return o
	})
}

// Work that is overdue still runs, last, although more arrives than can be done.
func TestOverdueWorkRunsWhileTheOverloadLasts(t *testing.T) {
	t.Parallel()
	o := newOverload(2)
	o.run(overloadTime, 1.5, noCustomer)
	ended := 0
	for _, c := range o.calls {
		if at, ok := o.endedAt[c.id]; ok && at-c.sentAt > 3*c.objective {
			ended++
		}
	}
	if ended == 0 {
		t.Error("overdue jobs that ended during the overload: got: none, want: some")
	}
	o.runUntilJobsEnd()
	o.checkAllSucceed(t)
}
