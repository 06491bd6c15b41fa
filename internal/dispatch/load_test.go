// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// office is a load of two kinds of jobs on many workers, of which each step may use only some:
// short jobs of a few small tasks, and long ones of many large tasks, about which a call for
// permission takes half a second.
type office struct {
	*world
	// size is the number of workers; the rates of jobs go by it.
	size int
	jobs map[work.JobID]*officeJob
	next int
}

// officeJob is a job with what its caller expects.
type officeJob struct {
	queue     string
	customer  work.CustomerName
	handedAt  time.Duration
	objective time.Duration
	work      float64
}

// officeWorkers is the size of which the rates are told.
const officeWorkers = 350

var (
	shortQueue = order.Queue{
		Name: "short", Service: "pool", Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
		Permission: &order.PermissionPolicy{BaseTime: 26 * time.Millisecond, TimePerWorker: 364 * time.Microsecond, ValidFor: 2500 * time.Millisecond},
	}
	longQueue = order.Queue{
		Name: "long", Service: "pool", Priority: 2, MaxAttempts: 4, Stretch: 2.2, TargetLatency: 1200 * time.Millisecond,
		Permission: &order.PermissionPolicy{BaseTime: 494 * time.Millisecond, TimePerWorker: 7150 * time.Microsecond, ValidFor: 2500 * time.Millisecond},
	}
	lastingQueue = order.Queue{
		Name: "lasting", Service: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2.2, TargetLatency: 2500 * time.Millisecond,
		Permission: &order.PermissionPolicy{BaseTime: 585 * time.Millisecond, TimePerWorker: 8450 * time.Microsecond, ValidFor: 2500 * time.Millisecond},
	}
	longStepNeed = leverdyke.Resources{MilliCPU: 9000, MemoryMiB: 9100}
	officeRoom   = leverdyke.Resources{MilliCPU: 32_000, MemoryMiB: 64_000}
)

// newOffice returns an idle office. Rates and ways to ask go by its size.
func newOffice(seed uint64, size int, without ...dispatch.Mechanism) *office {
	o := &office{world: newWorld(seed), size: size, jobs: map[work.JobID]*officeJob{}}
	o.without = without
	o.queues = []order.Queue{shortQueue, longQueue, lastingQueue}
	for i := range max(29*size/officeWorkers, 3) {
		o.lanes = append(o.lanes, fmt.Sprintf("n%02d", i))
	}
	o.mayRunStep = permits
	o.takeOver()
	o.addWorkers(size, officeRoom)
	return o
}

// permits tells whether a worker may run a step: seven of ten those of the short kind, one of
// three of the others.
func permits(q *order.Queue, s work.StepID, id order.WorkerID) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %s", s, id)
	share := 0.34
	if q.Name == "short" {
		share = 0.7
	}
	return float64(h.Sum64()%1000) < 1000*share
}

// spread draws around a mean, as the sizes of jobs do.
func (o *office) spread(mean, spread, most float64) float64 {
	return min(mean*math.Exp(spread*o.rng.NormFloat64()-spread*spread/2), most)
}

func (o *office) steps(mean float64, count func() int, cpu, mem, cpuMost float64, takes func() time.Duration) []work.Step {
	n := max(int(math.Round(o.spread(mean, 0.4, 5))), 1)
	out := []work.Step{}
	each := leverdyke.Resources{MilliCPU: int64(o.spread(cpu, 0.45, cpuMost)), MemoryMiB: int64(o.spread(mem, 0.5, 18_000))}
	for i := range n {
		s := work.Step{Count: count(), Need: each, Estimate: takes(), MaxUnavailable: -1}
		if i > 0 {
			s.After = []int{i - 1}
		}
		out = append(out, s)
	}
	return out
}

// handIn hands in a job of a kind.
func (o *office) handIn(queue string, customer work.CustomerName) {
	var steps []work.Step
	q := shortQueue
	if queue == "short" {
		steps = o.steps(1.6, func() int { return max(int(o.spread(9.5, 0.8, 57)), 1) }, 4500, 6400, 13_000,
			func() time.Duration { return time.Duration(o.spread(640, 0.5, 1600) * float64(time.Millisecond)) })
	} else {
		q = longQueue
		steps = o.steps(2, func() int { return max(int(o.spread(21, 0.6, 100)), 1) }, 9000, 9100, 15_000,
			func() time.Duration { return time.Duration(o.spread(3800, 0.5, 9600) * float64(time.Millisecond)) })
		for i := range steps {
			steps[i].IsResumable = o.rng.Float64() < 0.8
		}
	}
	id := work.JobID(fmt.Sprintf("%s%05d", queue, o.next))
	o.next++
	chain, amount := time.Duration(0), 0.0
	for i := range steps {
		chain += steps[i].Estimate + q.Permission.BaseTime + 30*q.Permission.TimePerWorker
		amount += float64(steps[i].Count) * float64(steps[i].Need.MilliCPU) / 1000 * steps[i].Estimate.Seconds()
	}
	o.jobs[id] = &officeJob{queue, customer, o.since(), time.Duration(q.Stretch*float64(chain)) + q.TargetLatency, amount}
	o.submitFor(customer, queue, string(id), steps...)
}

// due returns how many jobs come in one tick at a rate.
func (o *office) due(perSecond float64) int {
	mean := perSecond * float64(o.size) / officeWorkers * tick.Seconds()
	n := int(mean)
	if o.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// play lets jobs come for a while.
func (o *office) play(length time.Duration, shortRate, longRate float64, customer func() work.CustomerName) {
	for end := o.since() + length; o.since() < end; {
		for range o.due(shortRate) {
			o.handIn("short", customer())
		}
		for range o.due(longRate) {
			o.handIn("long", customer())
		}
		o.stepFast()
	}
}

// idle lets time pass without new jobs.
func (o *office) idle(length time.Duration) {
	for end := o.since() + length; o.since() < end; {
		o.stepFast()
	}
}

// finish lets all jobs end, or a minute pass.
func (o *office) finish() {
	isOver := func() bool {
		for id := range o.jobs {
			if o.told[id] == "" {
				return false
			}
		}
		return true
	}
	for end := o.since() + time.Minute; o.since() < end && !isOver(); {
		o.idle(500 * time.Millisecond)
	}
}

// stepFast is step without the checks, which take most of its time at this size.
func (o *office) stepFast() {
	o.clock.Advance(tick)
	o.engine.Advance(o.clock.Now())
	o.stepWorkers()
	if o.since()%(400*time.Millisecond) < tick {
		o.engine.SetWorkers(o.list(), true)
	}
	o.engine.Tick()
	o.engine.Decide()
	for _, a := range o.engine.Actions() {
		o.carryOut(a)
	}
	o.trace = o.trace[:0]
	o.keep()
	for id := range o.jobs {
		if o.told[id] == "" {
			o.tell(id)
		}
	}
}

// inTime returns the share of what is owed for a kind that was done within its objective.
func (o *office) inTime(queue string) float64 { return o.inTimeOf(queue, "") }

// inTimeOf is inTime of one customer; an empty one means all.
func (o *office) inTimeOf(queue string, customer work.CustomerName) float64 {
	owed, done := 0.0, 0.0
	for id, j := range o.jobs {
		if j.queue != queue || customer != "" && j.customer != customer {
			continue
		}
		owed += j.work
		if o.told[id] == work.JobSucceeded && o.endedAt[id]-j.handedAt <= j.objective {
			done += j.work
		}
	}
	return done / max(owed, 1)
}

// nobody is the customer of jobs that have none.
func nobody() work.CustomerName { return "" }

// The rates of jobs a second at officeWorkers, and a burst of long ones.
const (
	shortRate = 33.0
	longRate  = 6.0
	burst     = 3.0
)

// playBurst lets jobs come with a burst of long ones, and then all end.
func playBurst(o *office) {
	o.idle(time.Second)
	share := float64(o.size) / officeWorkers
	o.submitTo("lasting", "lasting", work.Step{Count: int(220 * share), Need: longStepNeed, Estimate: time.Hour, IsLongRunning: true, MaxUnavailable: -1})
	o.idle(4 * time.Second)
	o.play(8*time.Second, shortRate, longRate, nobody)
	o.play(4*time.Second, shortRate, longRate*burst, nobody)
	o.play(8*time.Second, shortRate, longRate, nobody)
	o.finish()
}

const testSize = 70

// playBursts plays playBurst with so many seeds at once.
func playBursts(seeds int, without ...dispatch.Mechanism) []*office {
	offices := make([]*office, seeds)
	var wg sync.WaitGroup
	for i := range offices {
		wg.Go(func() {
			offices[i] = newOffice(uint64(i), testSize, without...)
			playBurst(offices[i])
		})
	}
	wg.Wait()
	return offices
}

// In the order of arrival a burst makes all long jobs late that come after it. What can be done
// in time goes first, and what is late ends all the same.
func TestWhatCanBeDoneInTimeGoesFirst(t *testing.T) {
	t.Parallel()
	const seeds = 16
	offices, before := playBursts(seeds), playBursts(seeds, dispatch.MechanismUrgency)
	long, longByAge, short, shortByAge := 0.0, 0.0, 0.0, 0.0
	for i, o := range offices {
		long += o.inTime("long") / seeds
		short += o.inTime("short") / seeds
		longByAge += before[i].inTime("long") / seeds
		shortByAge += before[i].inTime("short") / seeds
		for id := range o.jobs {
			if o.told[id] != work.JobSucceeded {
				t.Errorf("%s: got: %q at the end, want: %s", id, o.told[id], work.JobSucceeded)
			}
		}
	}
	t.Logf("in time: long %.2f, short %.2f, in the order of arrival %.2f, %.2f", long, short, longByAge, shortByAge)
	if long < longByAge+0.05 {
		t.Errorf("long jobs in time: got: %.2f, want: a twentieth more than %.2f in the order of arrival", long, longByAge)
	}
	if short < shortByAge-0.05 {
		t.Errorf("short jobs in time: got: %.2f, want: no twentieth less than %.2f in the order of arrival", short, shortByAge)
	}
}

const (
	// customers is how many there are, hot the one that sends hotRatio times its usual, which is
	// hotShare times that of another one.
	customers = 20
	hot       = work.CustomerName("c00")
	hotRatio  = 8
	hotShare  = 5
	shares    = customers - 1 + hotShare
)

// customerOf returns the nth customer.
func customerOf(n int) work.CustomerName { return work.CustomerName(fmt.Sprintf("c%02d", n)) }

// playHot lets jobs of customers come, each within its share but for the hot one, which sends
// ratio times its usual for a while, and then all end.
func playHot(o *office, ratio float64) {
	weights := []order.Customer{}
	each := 2 * (shortRate + longRate) / shares * float64(o.size) / officeWorkers
	weights = append(weights, order.Customer{Name: hot, Weight: hotShare * each})
	for i := 1; i < customers; i++ {
		weights = append(weights, order.Customer{Name: customerOf(i), Weight: each})
	}
	o.limit(weights...)
	anyone := func() work.CustomerName { return customerOf(max(o.rng.IntN(shares)-hotShare+1, 0)) }
	o.idle(2 * time.Second)
	o.play(6*time.Second, shortRate, longRate, anyone)
	for range 80 {
		o.play(100*time.Millisecond, shortRate, longRate, anyone)
		more := (ratio - 1) * hotShare / shares
		o.play(tick, shortRate*more*10, longRate*more*10, func() work.CustomerName { return hot })
	}
	o.play(6*time.Second, shortRate, longRate, anyone)
	o.finish()
}

// inTimeOfOthers is inTime of all customers but the hot one, by their jobs.
func (o *office) inTimeOfOthers(queue string) float64 {
	sum := 0.0
	for i := 1; i < customers; i++ {
		sum += o.inTimeOf(queue, customerOf(i)) / (customers - 1)
	}
	return sum
}

// One customer that sends eight times its usual takes nothing from nineteen calm ones; what
// they leave it has.
func TestAHotCustomerTakesNothingFromTheOthers(t *testing.T) {
	t.Parallel()
	const seeds = 2
	type result struct{ long, short, own float64 }
	play := func(ratio float64, without ...dispatch.Mechanism) result {
		r := result{}
		for seed := range uint64(seeds) {
			o := newOffice(seed, testSize, without...)
			playHot(o, ratio)
			r.long += o.inTimeOfOthers("long") / seeds
			r.short += o.inTimeOfOthers("short") / seeds
			r.own += o.inTimeOf("short", hot) / seeds
			for id := range o.jobs {
				if o.told[id] != work.JobSucceeded {
					t.Errorf("%s: got: %q at the end, want: %s", id, o.told[id], work.JobSucceeded)
				}
			}
		}
		return r
	}
	calm, shared, unshared := play(1), play(hotRatio), play(hotRatio, dispatch.MechanismShares)
	t.Logf("others, long and short in time: calm %.2f %.2f, beside a hot one %.2f %.2f, without shares %.2f %.2f; its own short ones %.2f, %.2f",
		calm.long, calm.short, shared.long, shared.short, unshared.long, unshared.short, shared.own, unshared.own)
	if shared.long < calm.long-0.1 || shared.short < calm.short-0.1 {
		t.Errorf("others in time, long and short: got: %.2f, %.2f, want: no tenth less than %.2f, %.2f without a hot one", shared.long, shared.short, calm.long, calm.short)
	}
	if shared.own < 1.0/hotRatio {
		t.Errorf("its own short jobs in time: got: %.2f, want: its share at least", shared.own)
	}
}

// standStillRate is the rate of long jobs that two ways to ask cannot do.
const standStillRate = 4 * longRate

// Where permission binds and most room is free, a job of which nothing runs goes first after a
// while, however late it is: callers take one that stands still as lost.
func TestNothingStandsStillWhileThereIsRoom(t *testing.T) {
	t.Parallel()
	longest := func(without ...dispatch.Mechanism) time.Duration {
		o := newOffice(1, testSize, without...)
		o.lanes = o.lanes[:2]
		o.engine.SetLanes(o.lanes)
		o.idle(time.Second)
		idle, most := map[work.JobID]time.Duration{}, time.Duration(0)
		for o.since() < 20*time.Second {
			if o.since() < 12*time.Second {
				for range o.due(standStillRate) {
					o.handIn("long", nobody())
				}
			}
			o.stepFast()
			for id := range o.jobs {
				if o.told[id] != "" || o.running(id) > 0 {
					idle[id] = 0
					continue
				}
				idle[id] += tick
				most = max(most, idle[id])
			}
		}
		return most
	}
	got, byAge := longest(), longest(dispatch.MechanismUrgency)
	t.Logf("longest with nothing running: %v, in the order of arrival %v", got, byAge)
	if got > byAge+time.Second {
		t.Errorf("longest with nothing running: got: %v, want: about %v as in the order of arrival", got, byAge)
	}
}
