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

// chooser picks a VM for a need, or -1.
type placer func(r *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int

func byPolicy(p placement.Policy) placer {
	return func(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
		chosen, _ := placement.Best(p, need, vms)
		return chosen
	}
}

func firstFit(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
	for i := range vms {
		if need.FitsIn(vms[i].Free) {
			return i
		}
	}
	return -1
}

func randomFit(r *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
	return firstFrom(r.Intn(len(vms)), need, vms)
}

func newRoundRobin() placer {
	next := 0
	return func(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
		next++
		return firstFrom(next, need, vms)
	}
}

func firstFrom(start int, need leverdyke.Resources, vms []placement.Candidate) int {
	for i := range vms {
		if at := (start + i) % len(vms); need.FitsIn(vms[at].Free) {
			return at
		}
	}
	return -1
}

// arrival is a job of one task.
type arrival struct {
	at, runSeconds float64
	class          leverdyke.Class
	need           leverdyke.Resources
}

// ending is when a running task gives its VM back.
type completion struct {
	at   float64
	vm   int
	need leverdyke.Resources
}

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

// mix makes arrivals whose processors add up to load times what there is.
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

// outcome is what a run came to.
type simulationResult struct {
	waits map[leverdyke.Class][]float64
	// full is the used part of the processors, memory and slots when the first
	// task had to wait; used the mean part of the processors.
	usedAtFirstWait [3]float64
	meanUsed        float64
}

// play runs the arrivals to the end of the last start.
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

func (r *simulationResult) row(name string) string {
	text := fmt.Sprintf("| %s |", name)
	for _, c := range []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch} {
		text += fmt.Sprintf(" %.1f / %.1f |", quantile(r.waits[c], 0.5), quantile(r.waits[c], 0.99))
	}
	return text + fmt.Sprintf(" %.0f / %.0f / %.0f | %.0f |", 100*r.usedAtFirstWait[0], 100*r.usedAtFirstWait[1], 100*r.usedAtFirstWait[2], 100*r.meanUsed)
}

const tableHeader = "| | urgent p50 / p99 (s) | normal | batch | used when the first waits: cpu / memory / slots (%) | mean cpu (%) |\n|---|---|---|---|---|---|"

// TestComparePlacement prints how the offices' weights do against baselines.
func TestComparePlacement(t *testing.T) {
	policies := []struct {
		name string
		new  func() placer
	}{
		{"tasks that end (fill)", func() placer { return byPolicy(placement.Fill) }},
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

// TestCompareScanning prints a queue that blocks at the first entry without
// room against one that goes on, with accelerators on 4 of 48 VMs that a
// twelfth of the jobs need. Going on must not be worse for the many.
func TestCompareScanning(t *testing.T) {
	t.Log("\n" + tableHeader)
	medianWait := map[queue.Mode]float64{}
	for _, mode := range []queue.Mode{queue.ModeBlock, queue.ModeScan} {
		arrivals := generateArrivals(rand.New(rand.NewSource(3)), 0.7, 0.083)
		result := simulate(arrivals, mode, byPolicy(placement.Fill), 4)
		medianWait[mode] = quantile(result.waits[leverdyke.ClassNormal], 0.5)
		t.Log("\n" + result.row(string(mode)))
	}
	if medianWait[queue.ModeScan] > medianWait[queue.ModeBlock] {
		t.Errorf("got: %v s with scanning, want: at most %v s", medianWait[queue.ModeScan], medianWait[queue.ModeBlock])
	}
}
