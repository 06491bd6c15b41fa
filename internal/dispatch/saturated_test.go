// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// BenchmarkSaturated measures one scheduling pass over all waiting steps, while large and small
// jobs wait for a pool without free capacity. An owner of 350 workers runs some 500 such passes per
// second at its peak.
func BenchmarkSaturated(b *testing.B) {
	for _, workers := range []int{13, 98, 350} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) { benchSaturated(b, workers) })
	}
}

func benchSaturated(b *testing.B, workers int) {
	w := newSim(1)
	w.queues, w.channels = []order.Queue{wholeWorkerQueue, fractionQueue}, []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	w.isPermitted = func(id order.WorkerID) bool { return id[len(id)-1]%3 != 0 }
	w.takeOver()
	w.addWorkers(workers, acceleratorCapacity)
	w.run(time.Second)
	for i := range 10 * workers {
		w.submitTo("part", fmt.Sprintf("f%d", i), fractionStep(1, time.Hour))
	}
	w.run(time.Second)
	for i := range 40 {
		w.submitTo("whole", fmt.Sprintf("w%d", i), wholeWorkerStep(4, time.Second))
		w.submitTo("part", fmt.Sprintf("p%d", i), fractionStep(8, time.Second))
	}
	w.run(5 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		w.clock.Advance(2 * time.Millisecond)
		w.engine.Advance(w.clock.Now())
		w.engine.Cancel(work.JobID(fmt.Sprintf("none%d", i%1000)), "")
		w.engine.SetQueues(w.queues)
		w.engine.Schedule()
		for _, a := range w.engine.Actions() {
			w.execute(a)
		}
		if i%50 == 0 {
			w.runTick()
		}
	}
}
