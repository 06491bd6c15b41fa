// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package compare_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/queue"
)

const (
	vmCount        = 48
	meanRunSeconds = 30.0
	jobCount       = 6000
)

// placer returns the index of the VM on which to place a task with the given need, or -1 if none fits.
type placer func(r *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int

func byPolicy(p placement.Policy) placer {
	return func(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
		chosen, _ := placement.Best(p, need, vms)
		return chosen
	}
}

// firstFit is the baseline that takes the first VM with enough free capacity.
func firstFit(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
	for i := range vms {
		if need.FitsIn(vms[i].Free) {
			return i
		}
	}
	return -1
}

// randomFit is the baseline that starts each search at a random VM.
func randomFit(r *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
	return firstFrom(r.Intn(len(vms)), need, vms)
}

// newRoundRobin returns the baseline that starts each search one VM further.
func newRoundRobin() placer {
	next := 0
	return func(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
		next++
		return firstFrom(next, need, vms)
	}
}

// firstFrom returns the first VM with enough free capacity, searching from start and wrapping around at
// the end of the list; -1 if there is none.
func firstFrom(start int, need leverdyke.Resources, vms []placement.Candidate) int {
	for i := range vms {
		if at := (start + i) % len(vms); need.FitsIn(vms[at].Free) {
			return at
		}
	}
	return -1
}

// arrival is a job of one task. at is its arrival time in seconds.
type arrival struct {
	at, runSeconds float64
	class          leverdyke.Class
	need           leverdyke.Resources
}

// completion is the end of a running task, which frees its capacity on the VM. at is in seconds.
type completion struct {
	at   float64
	vm   int
	need leverdyke.Resources
}

// completions is a heap by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// generateArrivals returns a Poisson process of jobs of all classes. The processors that they need on
// average are load times the processors of all VMs; load above 1 is overload. acceleratedShare of the
// jobs need an accelerator.
func generateArrivals(r *rand.Rand, load float64, acceleratedShare float64) []arrival {
	arrivals := []arrival{}
	meanMilliCPU := 0.0
	for range jobCount {
		a := arrival{class: leverdyke.ClassNormal, runSeconds: r.ExpFloat64() * meanRunSeconds}
		switch x := r.Float64(); {
		case x < 0.1:
			a.class = leverdyke.ClassUrgent
			a.need = leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1024, Slots: 1}
		case x < 0.6:
			a.need = leverdyke.Resources{MilliCPU: int64(1000 + r.Intn(3000)), MemoryMiB: int64(1024 + r.Intn(4096)), Slots: 1}
		default:
			a.class = leverdyke.ClassBatch
			a.need = leverdyke.Resources{MilliCPU: int64(4000 + r.Intn(8000)), MemoryMiB: int64(2048 + r.Intn(8192)), Slots: 1}
		}
		if r.Float64() < acceleratedShare {
			a.need.Accelerators = 1
		}
		meanMilliCPU += float64(a.need.MilliCPU) / jobCount
		arrivals = append(arrivals, a)
	}
	rate := load * vmCount * 16000 / (meanMilliCPU * meanRunSeconds)
	now := 0.0
	for i := range arrivals {
		now += r.ExpFloat64() / rate
		arrivals[i].at = now
	}
	return arrivals
}

// simulationResult is the result of one simulation.
type simulationResult struct {
	// waits has, by class, the seconds that each job waited for its start.
	waits map[leverdyke.Class][]float64
	// usedAtFirstWait is the used share of the processors, memory and slots when
	// the first job had to wait.
	usedAtFirstWait [3]float64
	// meanUsed is the used share of the processors, averaged over the time until
	// the last arrival.
	meanUsed float64
}

// simulate runs an event simulation until every job has started. The first acceleratedVMs VMs have an
// accelerator.
func simulate(arrivals []arrival, mode queue.Mode, place placer, acceleratedVMs int) simulationResult {
	r := rand.New(rand.NewSource(7))
	hosts := make([]placement.Candidate, vmCount)
	for i := range hosts {
		hosts[i].Capacity = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32768, Slots: 8}
		if i < acceleratedVMs {
			hosts[i].Capacity.Accelerators = 1
		}
		hosts[i].Free = hosts[i].Capacity
	}
	q := queue.NewQueue(queue.NewQueueOptions{Mode: mode})
	result := simulationResult{waits: map[leverdyke.Class][]float64{}}
	running := &completions{}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	usedTime, last := 0.0, 0.0
	hasWaited := false
	for next := 0; next < len(arrivals) || q.Len() > 0; {
		now := 0.0
		if running.Len() > 0 && (next >= len(arrivals) || (*running)[0].at < arrivals[next].at) {
			e, _ := heap.Pop(running).(completion)
			now = e.at
			hosts[e.vm].Free = hosts[e.vm].Free.Add(e.need)
		} else {
			a := &arrivals[next]
			now = a.at
			q.Put(queue.Entry{Job: fmt.Sprintf("%05d", next), Team: "t", Class: a.class, Need: a.need, Waiting: 1, Since: start.Add(time.Duration(a.at * 1e9))})
			next++
		}
		if next < len(arrivals) {
			usedTime += usedShares(hosts)[0] * (now - last)
			last = now
		}
		started := []string{}
		q.Scan(func(string) float64 { return 0 }, func(e *queue.Entry) queue.Result {
			i := place(r, e.Need, hosts)
			if i < 0 {
				if !hasWaited {
					hasWaited, result.usedAtFirstWait = true, usedShares(hosts)
				}
				return queue.Blocked
			}
			index := 0
			_, _ = fmt.Sscanf(e.Job, "%d", &index)
			a := &arrivals[index]
			hosts[i].Free = hosts[i].Free.Sub(e.Need)
			heap.Push(running, completion{now + a.runSeconds, i, e.Need})
			result.waits[e.Class] = append(result.waits[e.Class], now-a.at)
			started = append(started, e.Job)
			return queue.Started
		})
		q.RemoveAll(started)
	}
	result.meanUsed = usedTime / last
	return result
}

// usedShares returns the used shares of the processors, the memory and the slots.
func usedShares(hosts []placement.Candidate) [3]float64 {
	var used, capacity leverdyke.Resources
	for i := range hosts {
		capacity = capacity.Add(hosts[i].Capacity)
		used = used.Add(hosts[i].Capacity.Sub(hosts[i].Free))
	}
	return [3]float64{
		float64(used.MilliCPU) / float64(capacity.MilliCPU), float64(used.MemoryMiB) / float64(capacity.MemoryMiB), float64(used.Slots) / float64(capacity.Slots),
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64{}, values...)
	sort.Float64s(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// row returns the result as a row under tableHeader.
func (r *simulationResult) row(name string) string {
	text := fmt.Sprintf("| %s |", name)
	for _, c := range []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch} {
		text += fmt.Sprintf(" %.1f / %.1f |", quantile(r.waits[c], 0.5), quantile(r.waits[c], 0.99))
	}
	return text + fmt.Sprintf(" %.0f / %.0f / %.0f | %.0f |", 100*r.usedAtFirstWait[0], 100*r.usedAtFirstWait[1], 100*r.usedAtFirstWait[2], 100*r.meanUsed)
}

const tableHeader = "| | urgent p50 / p99 (s) | normal | batch | used when the first job waits: cpu / memory / slots (%) | mean cpu (%) |\n|---|---|---|---|---|---|"

// TestComparePlacement prints waiting times and use of the VMs for the placement weights of the offices,
// compared with baselines. It asserts nothing.
func TestComparePlacement(t *testing.T) {
	policies := []struct {
		name string
		new  func() placer
	}{
		{"tasks that end (fill)", func() placer { return byPolicy(placement.BestFit) }},
		{"head office's services (0.8, 0.2)", func() placer { return byPolicy(placement.Policy{Waiting: 0.8, Packing: 0.2}) }},
		{"Brescia's services (0.3, 0.7)", func() placer { return byPolicy(placement.Policy{Waiting: 0.3, Packing: 0.7}) }},
		{"first fit", func() placer { return firstFit }},
		{"random", func() placer { return randomFit }},
		{"round robin", newRoundRobin},
	}
	for _, load := range []float64{0.7, 0.9, 1.2} {
		t.Logf("\noffered load %.1f\n%s", load, tableHeader)
		for _, p := range policies {
			result := simulate(generateArrivals(rand.New(rand.NewSource(1)), load, 0), queue.ModeScan, p.new(), 0)
			t.Log("\n" + result.row(p.name))
		}
	}
}

// TestCompareScanning compares a queue that stops at the first entry that does not fit with one that
// continues past it. 4 of the 48 VMs have accelerators, and a twelfth of the jobs need one. A queue that
// stops makes all jobs wait behind those that wait for an accelerator; continuing must not make the
// median wait of normal jobs longer.
func TestCompareScanning(t *testing.T) {
	t.Log("\n" + tableHeader)
	medianWait := map[queue.Mode]float64{}
	for _, mode := range []queue.Mode{queue.ModeBlock, queue.ModeScan} {
		arrivals := generateArrivals(rand.New(rand.NewSource(3)), 0.7, 0.083)
		result := simulate(arrivals, mode, byPolicy(placement.BestFit), 4)
		medianWait[mode] = quantile(result.waits[leverdyke.ClassNormal], 0.5)
		t.Log("\n" + result.row(string(mode)))
	}
	if medianWait[queue.ModeScan] > medianWait[queue.ModeBlock] {
		t.Errorf("median wait of normal jobs: got: %v s with scanning, want: at most %v s", medianWait[queue.ModeScan], medianWait[queue.ModeBlock])
	}
}
