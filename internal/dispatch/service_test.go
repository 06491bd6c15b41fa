// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

// A log must tell which sizes of jobs of a queue end, and which of them in time.
func TestLineOfEndTellsSizeAndObjective(t *testing.T) {
	w := newSim(1)
	ended := map[string]any{}
	w.log = func(e events.Event, keysAndValues ...any) {
		for i := 0; e == events.JobEnded && i < len(keysAndValues); i += 2 {
			ended[keysAndValues[i].(string)] = keysAndValues[i+1]
		}
	}
	w.queues[0].Stretch, w.queues[0].TargetLatency = 2, time.Second
	w.takeOver()
	w.addWorkers(2, workerCapacity)
	w.run(time.Second)
	first, second := newStep(2, time.Second), newStep(1, 2*time.Second)
	second.After = []int{0}
	w.submit("j", first, second)
	w.run(10 * time.Second)
	want := first.Work() + second.Work()
	if got := ended["work"]; want == 0 || got != want || ended["queue"] != "q" {
		t.Errorf("got: queue %v, work %v, want: q, %v", ended["queue"], got, want)
	}
	if got, _ := ended["objective"].(time.Duration); got < 6*time.Second || got > 10*time.Second {
		t.Errorf("objective: got: %v, want: about 1 s and twice the 3 s of the chain", got)
	}
}
