// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package summary_test

import (
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/summary"
)

func newSummary(change func(*node.RackSummary)) *node.RackSummary {
	r := &node.RackSummary{
		Epoch: 256, Workers: 8, Free: leverdyke.Resources{MilliCPU: 8000, MemoryMiB: 8000, Slots: 8},
		Largest:  leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000, Slots: 4},
		Services: []node.ServiceCapacity{{Service: "s", Slots: 4}},
	}
	if change != nil {
		change(r)
	}
	return r
}

// Guards against summaries that change a peer's decisions but are not sent, and
// against small changes that cause needless messages.
func TestPeersGetOnlyChangesThatMatterToThem(t *testing.T) {
	for name, c := range map[string]struct {
		change                  func(*node.RackSummary)
		isEqual, isUpdateNeeded bool
	}{
		"nothing":                     {nil, true, false},
		"another epoch":               {func(r *node.RackSummary) { r.Epoch++ }, false, true},
		"one worker less":             {func(r *node.RackSummary) { r.Workers-- }, false, true},
		"slightly less capacity":      {func(r *node.RackSummary) { r.Free.MilliCPU = 5000 }, false, false},
		"less than half the capacity": {func(r *node.RackSummary) { r.Free.MilliCPU = 3000 }, false, true},
		"no slot on any worker":       {func(r *node.RackSummary) { r.Largest.Slots = 0 }, false, true},
		"some slots of a service":     {func(r *node.RackSummary) { r.Services[0].Slots = 2 }, false, false},
		"the service's last slots":    {func(r *node.RackSummary) { r.Services[0].Slots = 0 }, false, true},
		"slots by preempting batches": {func(r *node.RackSummary) { r.Services[0].PreemptibleSlots = 1 }, false, true},
		"another service":             {func(r *node.RackSummary) { r.Services[0].Service = "t" }, false, true},
		"no service":                  {func(r *node.RackSummary) { r.Services = nil }, false, true},
		"capacity by preemption":      {func(r *node.RackSummary) { r.Preemptible.MilliCPU = 1 }, false, false},
	} {
		reported, current := newSummary(nil), newSummary(c.change)
		if got := summary.IsEqual(reported, current); got != c.isEqual {
			t.Errorf("%s: got: equal %v, want: %v", name, got, c.isEqual)
		}
		if got := summary.IsUpdateNeeded(reported, current); got != c.isUpdateNeeded {
			t.Errorf("%s: got: update needed %v, want: %v", name, got, c.isUpdateNeeded)
		}
	}
}
