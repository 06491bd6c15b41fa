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
func IsSame(a, b *node.RackSummary) bool {
	return a.Epoch == b.Epoch && a.Free == b.Free && a.Largest == b.Largest && a.Preemptible == b.Preemptible && a.Workers == b.Workers &&
		slices.Equal(a.Services, b.Services)
}

// IsWorthTelling reports whether peers would decide differently by the summary
// as it is now than by the one that they were told.
func IsWorthTelling(told, now *node.RackSummary) bool {
	if told.Epoch != now.Epoch || told.Workers != now.Workers || len(told.Services) != len(now.Services) {
		return true
	}
	for i := range now.Services {
		if isOtherService(&told.Services[i], &now.Services[i]) {
			return true
		}
	}
	return isFar(told.Free, now.Free) || isFar(told.Largest, now.Largest)
}

func isOtherService(told, now *node.ServiceCapacity) bool {
	isFarOff := told.Slots > 2*now.Slots || now.Slots > 2*told.Slots
	return told.Service != now.Service || isFarOff || (told.PreemptibleSlots > 0) != (now.PreemptibleSlots > 0)
}

// isFar reports whether an amount has doubled or halved in some dimension: the
// less room there is, the smaller the change that matters.
func isFar(a, b leverdyke.Resources) bool {
	return !a.FitsIn(b.Times(2)) || !b.FitsIn(a.Times(2))
}
