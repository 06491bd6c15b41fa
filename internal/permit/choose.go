// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// goodShare is the part of the workers that is expected to be permitted, where
	// nothing is known yet.
	goodShare = 0.35
	// enough is how many times the room that is needed a call should bring.
	enough = 1.2
	// maxAsked is the most workers that one call may name.
	maxAsked = 100
	// minAsked is the least that a call names, if there are so many.
	minAsked = 6
	// namesShare bounds the workers without room that a call names beside those that
	// it needs: what naming them takes, as a part of the call's time without names. Who
	// is asked about before there is room starts 0.5 s sooner once there is
	// (TestPermissionIsThereWhenRoomIs): the time of a call.
	namesShare = 0.5
)

// Candidate is a worker that could be asked about.
type Candidate struct {
	ID order.WorkerID
	// Fits is how many tasks fit now; 0 means that some would on an empty worker.
	Fits int
	// IsGood means that it is known to be permitted.
	IsGood bool
	// IsSuspect means that it is or was slow.
	IsSuspect bool
}

// Choose picks the workers that are likely to take the missing tasks. Those known to
// be permitted come first; the more room the better.
func Choose(found []Candidate, policy *order.AdvicePolicy, missing int) []order.WorkerID {
	slices.SortFunc(found, func(a, b Candidate) int {
		return cmp.Or(first(a.IsGood, b.IsGood), first(b.IsSuspect, a.IsSuspect), cmp.Compare(b.Fits, a.Fits), cmp.Compare(a.ID, b.ID))
	})
	out := []order.WorkerID{}
	expected := 0.0
	longestNames := time.Duration(namesShare * float64(policy.Base))
	for _, c := range found {
		isEnough := expected >= enough*float64(missing) && (len(out) >= minAsked || c.IsGood)
		if len(out) >= maxAsked || isEnough && !isCheap(policy) {
			break
		}
		if c.Fits == 0 && time.Duration(len(out))*policy.Each > longestNames {
			continue
		}
		out = append(out, c.ID)
		if c.IsGood {
			expected += float64(c.Fits)
		} else {
			expected += goodShare * float64(c.Fits)
		}
	}
	return out
}

// first is negative when only a is set.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
