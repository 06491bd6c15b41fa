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

// loadSim simulates a load of two kinds of jobs on many workers, where each step is permitted on
// only some of the workers: short jobs of a few small tasks, and long jobs of many large tasks, for
// which a permission query takes half a second.
type loadSim struct {
	*sim
	// workerCount is the number of workers; the arrival rates of jobs are proportional to it.
	workerCount int
	jobs        map[work.JobID]*loadJob
	nextJob     int
	// beforeTick, if set, is called before each tick.
	beforeTick func()
	// changeStep, if set, changes each step before its job is submitted.
	changeStep func(*work.Step)
	// patience multiplies the objectives of all jobs; 0 stands for 1.
	patience int
}

// loadJob is a job with what its caller expects of it.
type loadJob struct {
	queue       string
	customer    work.CustomerName
	submittedAt time.Duration
	objective   time.Duration
	cpuSeconds  float64
	// startedAt is when the first start of the job was ordered; 0 before.
	startedAt time.Duration
	// hasEnded means that the job's caller has been answered its final state.
	hasEnded bool
}

// referenceWorkerCount is the number of workers to which the arrival rates refer.
const referenceWorkerCount = 350

var (
	shortQueue = order.Queue{
		Name: "short", Service: "pool", Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
		Permission: &order.PermissionPolicy{BaseTime: 26 * time.Millisecond, TimePerWorker: 364 * time.Microsecond, ValidFor: 2500 * time.Millisecond},
	}
	longQueue = order.Queue{
		Name: "long", Service: "pool", Priority: 2, MaxAttempts: 4, Stretch: 2.2, TargetLatency: 1200 * time.Millisecond,
		Permission: &order.PermissionPolicy{BaseTime: 494 * time.Millisecond, TimePerWorker: 7150 * time.Microsecond, ValidFor: 2500 * time.Millisecond},
	}
	longRunningQueue = order.Queue{
		Name: "lasting", Service: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2.2, TargetLatency: 2500 * time.Millisecond,
		Permission: &order.PermissionPolicy{BaseTime: 585 * time.Millisecond, TimePerWorker: 8450 * time.Microsecond, ValidFor: 2500 * time.Millisecond},
	}
	longStepNeed       = leverdyke.Resources{MilliCPU: 9000, MemoryMiB: 9100}
	loadWorkerCapacity = leverdyke.Resources{MilliCPU: 32_000, MemoryMiB: 64_000}
)

// newLoadSim returns a simulation without jobs. The number of its channels is proportional to the
// number of workers.
func newLoadSim(seed uint64, workerCount int, disabled ...dispatch.Mechanism) *loadSim {
	o := &loadSim{sim: newSim(seed), workerCount: workerCount, jobs: map[work.JobID]*loadJob{}}
	o.disabledMechanisms = disabled
	o.queues = []order.Queue{shortQueue, longQueue, longRunningQueue}
	for i := range max(29*workerCount/referenceWorkerCount, 3) {
		o.channels = append(o.channels, fmt.Sprintf("n%02d", i))
	}
	o.isStepPermitted = isStepPermittedOn
	o.takeOver()
	o.addWorkers(workerCount, loadWorkerCapacity)
	return o
}

// isStepPermittedOn is the simulated permission service. It permits a step of a short job on seven
// workers of ten, and any other step on one worker of three.
func isStepPermittedOn(q *order.Queue, s work.StepID, id order.WorkerID) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %s", s, id)
	share := 0.34
	if q.Name == "short" {
		share = 0.7
	}
	return float64(h.Sum64()%1000) < 1000*share
}

// drawLogNormal draws from a log-normal distribution of the given mean, as the sizes of jobs are
// distributed, and cuts it off at limit.
func (o *loadSim) drawLogNormal(mean, sigma, limit float64) float64 {
	return min(mean*math.Exp(sigma*o.rng.NormFloat64()-sigma*sigma/2), limit)
}

func (o *loadSim) drawSteps(mean float64, count func() int, cpu, mem, maxCPU float64, estimate func() time.Duration) []work.Step {
	n := max(int(math.Round(o.drawLogNormal(mean, 0.4, 5))), 1)
	out := []work.Step{}
	each := leverdyke.Resources{MilliCPU: int64(o.drawLogNormal(cpu, 0.45, maxCPU)), MemoryMiB: int64(o.drawLogNormal(mem, 0.5, 18_000))}
	for i := range n {
		s := work.Step{Count: count(), Need: each, Estimate: estimate(), MaxUnavailable: -1}
		if i > 0 {
			s.After = []int{i - 1}
		}
		out = append(out, s)
	}
	return out
}

// submitRandomJob submits a random job to the short or the long queue, and returns its ID and steps.
func (o *loadSim) submitRandomJob(queue string, customer work.CustomerName) (id work.JobID, steps []work.Step) {
	q := shortQueue
	if queue == "short" {
		steps = o.drawSteps(1.6, func() int { return max(int(o.drawLogNormal(9.5, 0.8, 57)), 1) }, 4500, 6400, 13_000,
			func() time.Duration {
				return time.Duration(o.drawLogNormal(640, 0.5, 1600) * float64(time.Millisecond))
			})
	} else {
		q = longQueue
		steps = o.drawSteps(2, func() int { return max(int(o.drawLogNormal(21, 0.6, 100)), 1) }, 9000, 9100, 15_000,
			func() time.Duration {
				return time.Duration(o.drawLogNormal(3800, 0.5, 9600) * float64(time.Millisecond))
			})
		for i := range steps {
			steps[i].IsResumable = o.rng.Float64() < 0.8
		}
	}
	for i := range steps {
		if o.changeStep != nil {
			o.changeStep(&steps[i])
		}
	}
	id = work.JobID(fmt.Sprintf("%s%05d", queue, o.nextJob))
	o.nextJob++
	chain, cpuSeconds := time.Duration(0), 0.0
	for i := range steps {
		chain += steps[i].Estimate + q.Permission.BaseTime + 30*q.Permission.TimePerWorker
		cpuSeconds += float64(steps[i].Count) * float64(steps[i].Need.MilliCPU) / 1000 * steps[i].Estimate.Seconds()
	}
	objective := time.Duration(max(o.patience, 1)) * (time.Duration(q.Stretch*float64(chain)) + q.TargetLatency)
	o.jobs[id] = &loadJob{queue: queue, customer: customer, submittedAt: o.elapsed(), objective: objective, cpuSeconds: cpuSeconds}
	o.submitFor(customer, queue, string(id), steps...)
	return id, steps
}

// drawArrivals draws how many jobs arrive within one tick. perSecond is the rate at
// referenceWorkerCount workers.
func (o *loadSim) drawArrivals(perSecond float64) int {
	mean := perSecond * float64(o.workerCount) / referenceWorkerCount * tick.Seconds()
	n := int(mean)
	if o.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// runLoad submits jobs at the given rates for a while.
func (o *loadSim) runLoad(length time.Duration, shortRate, longRate float64, customer func() work.CustomerName) {
	for end := o.elapsed() + length; o.elapsed() < end; {
		for range o.drawArrivals(shortRate) {
			o.submitRandomJob("short", customer())
		}
		for range o.drawArrivals(longRate) {
			o.submitRandomJob("long", customer())
		}
		o.runTickUnchecked()
	}
}

// runWithoutArrivals advances the simulation without new jobs.
func (o *loadSim) runWithoutArrivals(length time.Duration) {
	for end := o.elapsed() + length; o.elapsed() < end; {
		o.runTickUnchecked()
	}
}

// runUntilJobsEnd runs until all jobs have ended, for at most a minute.
func (o *loadSim) runUntilJobsEnd() {
	haveAllEnded := func() bool {
		for id := range o.jobs {
			if o.acknowledged[id] == "" {
				return false
			}
		}
		return true
	}
	for end := o.elapsed() + time.Minute; o.elapsed() < end && !haveAllEnded(); {
		o.runWithoutArrivals(500 * time.Millisecond)
	}
}

// runTickUnchecked is runTick without the invariant checks, which would take most of the time with
// this many workers and jobs.
func (o *loadSim) runTickUnchecked() {
	if o.beforeTick != nil {
		o.beforeTick()
	}
	o.clock.Advance(tick)
	o.engine.Advance(o.clock.Now())
	o.stepWorkers()
	if o.elapsed()%(400*time.Millisecond) < tick {
		o.engine.SetWorkers(o.workerList(), true)
	}
	o.engine.Tick()
	o.engine.Schedule()
	for _, a := range o.engine.Actions() {
		o.execute(a)
	}
	for _, a := range o.trace {
		if j := o.jobs[a.task.Job]; j != nil && j.startedAt == 0 {
			j.startedAt = a.at
		}
	}
	o.trace = o.trace[:0]
	o.commitBatch()
	for id, j := range o.jobs {
		if !j.hasEnded {
			o.queryState(id)
			j.hasEnded = o.acknowledged[id] != ""
		}
	}
}

// onTimeShare returns the fraction of the work in a queue, in CPU seconds, whose jobs succeeded
// within their objective.
func (o *loadSim) onTimeShare(queue string) float64 { return o.onTimeShareOf(queue, "") }

// onTimeShareOf is onTimeShare for one customer; an empty name means all customers.
func (o *loadSim) onTimeShareOf(queue string, customer work.CustomerName) float64 {
	total, onTime := 0.0, 0.0
	for id, j := range o.jobs {
		if j.queue != queue || customer != "" && j.customer != customer {
			continue
		}
		total += j.cpuSeconds
		if o.acknowledged[id] == work.JobSucceeded && o.endedAt[id]-j.submittedAt <= j.objective {
			onTime += j.cpuSeconds
		}
	}
	return onTime / max(total, 1)
}

// noCustomer is the customer of jobs without a customer.
func noCustomer() work.CustomerName { return "" }

// shortRate and longRate are the jobs per second at referenceWorkerCount workers; a burst
// multiplies the rate of long jobs by burstFactor.
const (
	shortRate   = 33.0
	longRate    = 6.0
	burstFactor = 3.0
)

// runBurst runs the load with a burst of long jobs in the middle, and then until all jobs have
// ended.
func runBurst(o *loadSim) {
	o.runWithoutArrivals(time.Second)
	share := float64(o.workerCount) / referenceWorkerCount
	o.submitTo("lasting", "lasting", work.Step{Count: int(220 * share), Need: longStepNeed, Estimate: time.Hour, IsLongRunning: true, MaxUnavailable: -1})
	o.runWithoutArrivals(4 * time.Second)
	o.runLoad(8*time.Second, shortRate, longRate, noCustomer)
	o.runLoad(4*time.Second, shortRate, longRate*burstFactor, noCustomer)
	o.runLoad(8*time.Second, shortRate, longRate, noCustomer)
	o.runUntilJobsEnd()
}

const testWorkerCount = 70

// runBursts runs runBurst with each of the first seeds, in parallel.
func runBursts(seeds int, disabled ...dispatch.Mechanism) []*loadSim {
	simulations := make([]*loadSim, seeds)
	var wg sync.WaitGroup
	for i := range simulations {
		wg.Go(func() {
			simulations[i] = newLoadSim(uint64(i), testWorkerCount, disabled...)
			runBurst(simulations[i])
		})
	}
	wg.Wait()
	return simulations
}

// Jobs that can still meet their objectives must go before those that are late already, and the
// late jobs must end all the same. Served in the order of arrival, all long jobs that arrive after
// a burst miss their objectives.
func TestUrgencyKeepsMoreLongJobsOnTimeAfterABurst(t *testing.T) {
	t.Parallel()
	const seeds = 32
	byUrgency, byAge := runBursts(seeds), runBursts(seeds, dispatch.MechanismUrgency)
	long, longByAge, short, shortByAge := 0.0, 0.0, 0.0, 0.0
	for i, o := range byUrgency {
		long += o.onTimeShare("long") / seeds
		short += o.onTimeShare("short") / seeds
		longByAge += byAge[i].onTimeShare("long") / seeds
		shortByAge += byAge[i].onTimeShare("short") / seeds
		for id := range o.jobs {
			if o.acknowledged[id] != work.JobSucceeded {
				t.Errorf("%s: got: %q at the end, want: %s", id, o.acknowledged[id], work.JobSucceeded)
			}
		}
	}
	t.Logf("on time: long %.2f, short %.2f, in the order of arrival %.2f, %.2f", long, short, longByAge, shortByAge)
	if long < longByAge+0.05 {
		t.Errorf("share of long jobs on time: got: %.2f, want: at least 0.05 more than %.2f in the order of arrival", long, longByAge)
	}
	if short < shortByAge-0.05 {
		t.Errorf("share of short jobs on time: got: %.2f, want: at most 0.05 less than %.2f in the order of arrival", short, shortByAge)
	}
}

const (
	// One of the customerCount customers, hotCustomer, sends hotLoadRatio times its usual load for a
	// limited time.
	// Its usual load is hotWeight times that of any other customer.
	customerCount = 20
	hotCustomer   = work.CustomerName("c00")
	hotLoadRatio  = 8
	hotWeight     = 5
	totalWeight   = customerCount - 1 + hotWeight
)

// customerName returns the name of the nth customer.
func customerName(n int) work.CustomerName { return work.CustomerName(fmt.Sprintf("c%02d", n)) }

// runHotCustomer submits jobs of all customers, each within its share. The hot customer sends ratio
// times its usual load for a while. Then it runs until all jobs have ended.
func runHotCustomer(o *loadSim, ratio float64) {
	customers := []order.Customer{}
	each := 2 * (shortRate + longRate) / totalWeight * float64(o.workerCount) / referenceWorkerCount
	customers = append(customers, order.Customer{Name: hotCustomer, Weight: hotWeight * each})
	for i := 1; i < customerCount; i++ {
		customers = append(customers, order.Customer{Name: customerName(i), Weight: each})
	}
	o.limit(customers...)
	randomCustomer := func() work.CustomerName { return customerName(max(o.rng.IntN(totalWeight)-hotWeight+1, 0)) }
	o.runWithoutArrivals(2 * time.Second)
	o.runLoad(6*time.Second, shortRate, longRate, randomCustomer)
	for range 80 {
		o.runLoad(100*time.Millisecond, shortRate, longRate, randomCustomer)
		extra := (ratio - 1) * hotWeight / totalWeight
		o.runLoad(tick, shortRate*extra*10, longRate*extra*10, func() work.CustomerName { return hotCustomer })
	}
	o.runLoad(6*time.Second, shortRate, longRate, randomCustomer)
	o.runUntilJobsEnd()
}

// onTimeShareOfOthers is the mean of onTimeShareOf over all customers but the hot one that have sent
// jobs to the queue.
func (o *loadSim) onTimeShareOfOthers(queue string) float64 {
	customers := map[work.CustomerName]bool{}
	for _, j := range o.jobs {
		if j.queue == queue && j.customer != hotCustomer {
			customers[j.customer] = true
		}
	}
	sum := 0.0
	for i := 1; i < customerCount; i++ {
		if customers[customerName(i)] {
			sum += o.onTimeShareOf(queue, customerName(i)) / float64(len(customers))
		}
	}
	return sum
}

// A customer that sends eight times its usual load must not delay the jobs of nineteen customers
// with their usual load. The hot customer gets its own share and the capacity that the others
// leave.
func TestHotCustomerDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	const seeds = 8
	type result struct{ long, short, own float64 }
	run := func(ratio float64, disabled ...dispatch.Mechanism) result {
		simulations := make([]*loadSim, seeds)
		var wg sync.WaitGroup
		for i := range simulations {
			wg.Go(func() {
				simulations[i] = newLoadSim(uint64(i), testWorkerCount, disabled...)
				runHotCustomer(simulations[i], ratio)
			})
		}
		wg.Wait()
		r := result{}
		for _, o := range simulations {
			r.long += o.onTimeShareOfOthers("long") / seeds
			r.short += o.onTimeShareOfOthers("short") / seeds
			r.own += o.onTimeShareOf("short", hotCustomer) / seeds
			for id := range o.jobs {
				if o.acknowledged[id] != work.JobSucceeded {
					t.Errorf("%s: got: %q at the end, want: %s", id, o.acknowledged[id], work.JobSucceeded)
				}
			}
		}
		return r
	}
	usualLoad, shared, withoutShares := run(1), run(hotLoadRatio), run(hotLoadRatio, dispatch.MechanismShares)
	t.Logf("other customers' long and short jobs on time: usual load %.2f %.2f, beside a hot customer %.2f %.2f, without shares %.2f %.2f; the hot customer's short jobs %.2f, %.2f",
		usualLoad.long, usualLoad.short, shared.long, shared.short, withoutShares.long, withoutShares.short, shared.own, withoutShares.own)
	if shared.long < usualLoad.long-0.1 || shared.short < usualLoad.short-0.1 {
		t.Errorf("other customers' share of long and short jobs on time: got: %.2f, %.2f, want: at most 0.1 less than %.2f, %.2f without a hot customer", shared.long, shared.short, usualLoad.long, usualLoad.short)
	}
	if shared.own < 1.0/hotLoadRatio {
		t.Errorf("the hot customer's share of short jobs on time: got: %.2f, want: at least the fraction that its usual load is of what it sends", shared.own)
	}
}

// stallRate is a rate of long jobs for which two channels cannot query all permissions in time.
const stallRate = 4 * longRate

// A job of which nothing runs must get priority after a while, however late it is: callers regard a
// job that stalls as lost. When permission queries are the bottleneck and most capacity is free,
// jobs that can still meet their objectives would otherwise always go before a late one.
func TestLateJobDoesNotStallWhileCapacityIsFree(t *testing.T) {
	t.Parallel()
	longest := func(disabled ...dispatch.Mechanism) time.Duration {
		o := newLoadSim(1, testWorkerCount, disabled...)
		o.channels = o.channels[:2]
		o.engine.SetChannels(o.channels)
		o.runWithoutArrivals(time.Second)
		notRunning, longestNotRunning := map[work.JobID]time.Duration{}, time.Duration(0)
		for o.elapsed() < 20*time.Second {
			if o.elapsed() < 12*time.Second {
				for range o.drawArrivals(stallRate) {
					o.submitRandomJob("long", noCustomer())
				}
			}
			o.runTickUnchecked()
			for id := range o.jobs {
				if o.acknowledged[id] != "" || o.runningTasks(id) > 0 {
					notRunning[id] = 0
					continue
				}
				notRunning[id] += tick
				longestNotRunning = max(longestNotRunning, notRunning[id])
			}
		}
		return longestNotRunning
	}
	got, byAge := longest(), longest(dispatch.MechanismUrgency)
	t.Logf("longest time without a running task: %v, in the order of arrival %v", got, byAge)
	if got > byAge+time.Second {
		t.Errorf("longest time without a running task: got: %v, want: about %v as in the order of arrival", got, byAge)
	}
}
