// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package summary decides which changes of a rack's summary have to be sent to
// peers: those that would change a peer's decisions. A summary lists the rack's
// free capacity.
package summary

import (
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
)

// IsEqual reports whether two summaries of a rack have the same content.
func IsEqual(a, b *node.RackSummary) bool {
	return a.Epoch == b.Epoch && a.Free == b.Free && a.Largest == b.Largest && a.Preemptible == b.Preemptible && a.Workers == b.Workers &&
		slices.Equal(a.Services, b.Services)
}

// IsUpdateNeeded reports whether the current summary differs so much from the
// one last sent to peers that they would decide differently by it: another
// owner's epoch, other workers or services, or a capacity that has doubled or
// halved.
func IsUpdateNeeded(reported, current *node.RackSummary) bool {
	if reported.Epoch != current.Epoch || reported.Workers != current.Workers || len(reported.Services) != len(current.Services) {
		return true
	}
	for i := range current.Services {
		if isServiceChanged(&reported.Services[i], &current.Services[i]) {
			return true
		}
	}
	return hasDoubledOrHalved(reported.Free, current.Free) || hasDoubledOrHalved(reported.Largest, current.Largest)
}

func isServiceChanged(reported, current *node.ServiceCapacity) bool {
	haveSlotsDoubledOrHalved := reported.Slots > 2*current.Slots || current.Slots > 2*reported.Slots
	return reported.Service != current.Service || haveSlotsDoubledOrHalved || (reported.PreemptibleSlots > 0) != (current.PreemptibleSlots > 0)
}

// hasDoubledOrHalved reports whether an amount has more than doubled or halved
// in some dimension. The threshold is relative because the less capacity is
// free, the smaller the change that affects a decision.
func hasDoubledOrHalved(a, b leverdyke.Resources) bool {
	return !a.FitsIn(b.Times(2)) || !b.FitsIn(a.Times(2))
}
