// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package summary decides which changes of a rack's room peers have to hear:
// those by which they would decide differently.
package summary

import (
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
)

// IsSame reports whether two summaries of a rack say the same.
func IsEqual(a, b *node.Room) bool {
	return a.Epoch == b.Epoch && a.Free == b.Free && a.Largest == b.Largest && a.Yield == b.Yield && a.Workers == b.Workers &&
		slices.Equal(a.Services, b.Services)
}

// IsWorthTelling reports whether peers would decide differently by the summary
// as it is now than by the one that they were told.
func IsUpdateNeeded(reported, current *node.Room) bool {
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

func isServiceChanged(reported, current *node.ServiceRoom) bool {
	haveSlotsDoubledOrHalved := reported.Slots > 2*current.Slots || current.Slots > 2*reported.Slots
	return reported.Service != current.Service || haveSlotsDoubledOrHalved || (reported.Yield > 0) != (current.Yield > 0)
}

// isFar reports whether an amount has doubled or halved in some dimension: the
// less room there is, the smaller the change that matters.
func hasDoubledOrHalved(a, b leverdyke.Resources) bool {
	return !a.FitsIn(b.Times(2)) || !b.FitsIn(a.Times(2))
}
