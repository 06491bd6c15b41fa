// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// BenchmarkDecision measures the choice of a rack by the summaries and of a
// worker in that rack, at three cluster sizes with 9 tasks on each worker
// (10,000 on 1,100).
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{48, 200, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkDecision(b, workers) })
	}
}

func benchmarkDecision(b *testing.B, workers int) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	each := leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 4096, Slots: 1}
	racks, views := newBenchRacks(now, workers, each)
	latencies := hdrhistogram.New(1, 1_000_000_000, 3)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		startTime := time.Now()
		at := placement.BestRack(placement.BestFit, each, views, i, 8)
		task := worker.Task{Key: worker.Key{Task: leverdyke.TaskID{Job: "new", Index: i}, Attempt: uint64(i + 2)}, JobShard: string(jobShard), Declared: each}
		racks[at].OnStartRequest(&node.StartRequest{JobShard: jobShard, JobShardEpoch: 1, RackEpoch: epoch, Items: []node.StartItem{{Task: task, PackingWeight: 1}}})
		racks[at].Flush(now)
		_ = latencies.RecordValue(time.Since(startTime).Nanoseconds())
		out := racks[at].TakeOutput()
		results := []worker.StartResult{{Key: task.Key, Refused: "the benchmark takes it back"}}
		racks[at].OnStartResults(now, out.Starts[0].Worker, results)
		racks[at].TakeOutput()
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-us")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-us")
}

// tasksPerWorker makes 10,000 tasks on 1,100 workers.
const tasksPerWorker = 9

// newBenchRacks returns racks of 8 workers with 9 tasks each, and their
// summaries.
func newBenchRacks(now time.Time, workers int, each leverdyke.Resources) ([]*rack.Rack, []placement.RackView) {
	capacity := leverdyke.Resources{MilliCPU: 32000, MemoryMiB: 65536, Slots: 16}
	racks, views := []*rack.Rack{}, []placement.RackView{}
	for r := range workers / 8 {
		owner := rack.NewRack(now, "rack/r1/k", epoch, rack.NewRackOptions{})
		list := []vmlist.VM{}
		for w := range 8 {
			list = append(list, vmlist.VM{Name: fmt.Sprintf("k%d-w%d", r, w), Status: vmlist.StatusLive})
		}
		owner.SetWorkers(now, list)
		for w := range list {
			rep := &worker.Report{Incarnation: "1", Revision: 1, IsFullList: true, Capacity: capacity}
			for i := range tasksPerWorker {
				t := worker.Task{Key: worker.Key{Task: leverdyke.TaskID{Job: fmt.Sprintf("j%d-%d", r, w), Index: i}, Attempt: 1}, JobShard: string(jobShard), Declared: each, State: worker.StateRunning}
				rep.Tasks = append(rep.Tasks, t)
			}
			owner.OnReport(now, worker.ID(list[w].Name), rep)
		}
		if _, _, running := owner.Counts(now); running != 8*tasksPerWorker {
			panic(fmt.Sprintf("rack_test: got: %d tasks in a rack, want: %d", running, 8*tasksPerWorker))
		}
		summary := owner.Summary(now)
		racks = append(racks, owner)
		views = append(views, placement.RackView{Free: summary.Free, Largest: summary.Largest, Capacity: summary.Capacity})
	}
	return racks, views
}

// BenchmarkStopGrantsOf measures the check for grants whose holders have ended,
// which a node runs at each tick, in a rack of 72 tasks and no grant.
func BenchmarkStopGrantsOf(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	racks, _ := newBenchRacks(now, 8, leverdyke.Resources{MilliCPU: 2000, MemoryMiB: 4096, Slots: 1})
	b.ReportAllocs()
	for b.Loop() {
		racks[0].StopGrantsOf(now, func(state.NodeID) bool { return false })
	}
}
