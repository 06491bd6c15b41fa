// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package summary_test

import (
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/summary"
)

func room(change func(*node.RackSummary)) *node.RackSummary {
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

func TestWhatPeersHear(t *testing.T) {
	for name, c := range map[string]struct {
		change            func(*node.RackSummary)
		isSame, isTelling bool
	}{
		"nothing":                   {nil, true, false},
		"another epoch":             {func(r *node.RackSummary) { r.Epoch++ }, false, true},
		"a worker less":             {func(r *node.RackSummary) { r.Workers-- }, false, true},
		"a little less room":        {func(r *node.RackSummary) { r.Free.MilliCPU = 5000 }, false, false},
		"less than half the room":   {func(r *node.RackSummary) { r.Free.MilliCPU = 3000 }, false, true},
		"no slot on any worker":     {func(r *node.RackSummary) { r.Largest.Slots = 0 }, false, true},
		"some slots of a service":   {func(r *node.RackSummary) { r.Services[0].Slots = 2 }, false, false},
		"the last slots of it":      {func(r *node.RackSummary) { r.Services[0].Slots = 0 }, false, true},
		"batches that yield to it":  {func(r *node.RackSummary) { r.Services[0].PreemptibleSlots = 1 }, false, true},
		"another service":           {func(r *node.RackSummary) { r.Services[0].Service = "t" }, false, true},
		"no service any more":       {func(r *node.RackSummary) { r.Services = nil }, false, true},
		"what preemption could get": {func(r *node.RackSummary) { r.Preemptible.MilliCPU = 1 }, false, false},
	} {
		was, is := room(nil), room(c.change)
		if got := summary.IsSame(was, is); got != c.isSame {
			t.Errorf("%s: got: same %v, want: %v", name, got, c.isSame)
		}
		if got := summary.IsWorthTelling(was, is); got != c.isTelling {
			t.Errorf("%s: got: worth telling %v, want: %v", name, got, c.isTelling)
		}
	}
}
