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
	vms      = 48
	meanRun  = 30.0
	jobCount = 6000
)

// chooser picks a VM for a need, or -1.
type chooser func(r *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int

func byPolicy(p placement.Policy) chooser {
	return func(_ *rand.Rand, need leverdyke.Resources, vms []placement.Candidate) int {
		best, _ := placement.Best(p, need, vms)
		return best
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

func newRoundRobin() chooser {
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
	at, run float64
	class   leverdyke.Class
	need    leverdyke.Resources
}

// ending is when a running task gives its VM back.
type ending struct {
	at   float64
	vm   int
	need leverdyke.Resources
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// mix makes arrivals whose processors add up to load times what there is.
func mix(r *rand.Rand, load float64, accelerated float64) []arrival {
	list := []arrival{}
	perJob := 0.0
	for range jobCount {
		a := arrival{class: leverdyke.ClassNormal, run: r.ExpFloat64() * meanRun}
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
		if r.Float64() < accelerated {
			a.need.Accelerators = 1
		}
		perJob += float64(a.need.MilliCPU) / jobCount
		list = append(list, a)
	}
	rate := load * vms * 16000 / (perJob * meanRun)
	now := 0.0
	for i := range list {
		now += r.ExpFloat64() / rate
		list[i].at = now
	}
	return list
}

// outcome is what a run came to.
type outcome struct {
	waits map[leverdyke.Class][]float64
	// full is the used part of the processors, memory and slots when the first
	// task had to wait; used the mean part of the processors.
	full [3]float64
	used float64
}

// play runs the arrivals to the end of the last start.
func play(list []arrival, mode queue.Mode, choose chooser, accelerators int) outcome {
	r := rand.New(rand.NewSource(7))
	hosts := make([]placement.Candidate, vms)
	for i := range hosts {
		hosts[i].Capacity = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32768, Slots: 8}
		if i < accelerators {
			hosts[i].Capacity.Accelerators = 1
		}
		hosts[i].Free = hosts[i].Capacity
	}
	q := queue.NewQueue(queue.NewQueueOptions{Mode: mode})
	o := outcome{waits: map[leverdyke.Class][]float64{}}
	running := &endings{}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	busy, last := 0.0, 0.0
	isFull := false
	for next := 0; next < len(list) || q.Len() > 0; {
		now := 0.0
		if running.Len() > 0 && (next >= len(list) || (*running)[0].at < list[next].at) {
			e, _ := heap.Pop(running).(ending)
			now = e.at
			hosts[e.vm].Free = hosts[e.vm].Free.Add(e.need)
		} else {
			a := &list[next]
			now = a.at
			q.Put(queue.Entry{Job: fmt.Sprintf("%05d", next), Team: "t", Class: a.class, Need: a.need, Waiting: 1, Since: start.Add(time.Duration(a.at * 1e9))})
			next++
		}
		if next < len(list) {
			busy += usedPart(hosts)[0] * (now - last)
			last = now
		}
		started := []string{}
		q.Scan(func(string) float64 { return 0 }, func(e *queue.Entry) queue.Result {
			i := choose(r, e.Need, hosts)
			if i < 0 {
				if !isFull {
					isFull, o.full = true, usedPart(hosts)
				}
				return queue.Blocked
			}
			index := 0
			_, _ = fmt.Sscanf(e.Job, "%d", &index)
			a := &list[index]
			hosts[i].Free = hosts[i].Free.Sub(e.Need)
			heap.Push(running, ending{now + a.run, i, e.Need})
			o.waits[e.Class] = append(o.waits[e.Class], now-a.at)
			started = append(started, e.Job)
			return queue.Started
		})
		q.RemoveAll(started)
	}
	o.used = busy / last
	return o
}

func usedPart(hosts []placement.Candidate) [3]float64 {
	var used, all leverdyke.Resources
	for i := range hosts {
		all = all.Add(hosts[i].Capacity)
		used = used.Add(hosts[i].Capacity.Sub(hosts[i].Free))
	}
	return [3]float64{
		float64(used.MilliCPU) / float64(all.MilliCPU), float64(used.MemoryMiB) / float64(all.MemoryMiB), float64(used.Slots) / float64(all.Slots),
	}
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]float64{}, list...)
	sort.Float64s(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (o *outcome) row(name string) string {
	text := fmt.Sprintf("| %s |", name)
	for _, c := range []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch} {
		text += fmt.Sprintf(" %.1f / %.1f |", quantile(o.waits[c], 0.5), quantile(o.waits[c], 0.99))
	}
	return text + fmt.Sprintf(" %.0f / %.0f / %.0f | %.0f |", 100*o.full[0], 100*o.full[1], 100*o.full[2], 100*o.used)
}

const head = "| | urgent p50 / p99 (s) | normal | batch | used when the first waits: cpu / memory / slots (%) | mean cpu (%) |\n|---|---|---|---|---|---|"

// TestComparePlacement prints how the offices' weights do against baselines.
func TestComparePlacement(t *testing.T) {
	policies := []struct {
		name string
		new  func() chooser
	}{
		{"tasks that end (fill)", func() chooser { return byPolicy(placement.BestFit) }},
		{"head office's services (0.8, 0.2)", func() chooser { return byPolicy(placement.Policy{Waiting: 0.8, Packing: 0.2}) }},
		{"Brescia's services (0.3, 0.7)", func() chooser { return byPolicy(placement.Policy{Waiting: 0.3, Packing: 0.7}) }},
		{"first fit", func() chooser { return firstFit }},
		{"random", func() chooser { return randomFit }},
		{"round robin", newRoundRobin},
	}
	for _, load := range []float64{0.7, 0.9, 1.2} {
		t.Logf("\noffered load %.1f\n%s", load, head)
		for _, p := range policies {
			o := play(mix(rand.New(rand.NewSource(1)), load, 0), queue.ModeScan, p.new(), 0)
			t.Log("\n" + o.row(p.name))
		}
	}
}

// TestCompareScanning prints a queue that blocks at the first entry without
// room against one that goes on, with accelerators on 4 of 48 VMs that a
// twelfth of the jobs need. Going on must not be worse for the many.
func TestCompareScanning(t *testing.T) {
	t.Log("\n" + head)
	normal := map[queue.Mode]float64{}
	for _, m := range []queue.Mode{queue.ModeBlock, queue.ModeScan} {
		list := mix(rand.New(rand.NewSource(3)), 0.7, 0.083)
		o := play(list, m, byPolicy(placement.BestFit), 4)
		normal[m] = quantile(o.waits[leverdyke.ClassNormal], 0.5)
		t.Log("\n" + o.row(string(m)))
	}
	if normal[queue.ModeScan] > normal[queue.ModeBlock] {
		t.Errorf("got: %v s with scanning, want: at most %v s", normal[queue.ModeScan], normal[queue.ModeBlock])
	}
}
