// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package permit keeps what is known of which workers may run a step, and decides
// about whom and by which way the service that permits them is asked. It is pure.
//
// It answers the load in which many steps wait at once: a call takes up to half a
// second, a permission lasts for two, and there are as many ways as nodes.
package permit

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// AskMargin is what the ways there and back take on a busy node.
const AskMargin = 250 * time.Millisecond

const (
	// cheapCall is the time of a call up to which all workers are asked at once.
	cheapCall = 40 * time.Millisecond
	// askRatio is how many times the time that the policy tells a call may take, besides
	// AskMargin: the lane may be busy with one that was given up.
	askRatio = 2
	// laneMargin is how much later than that a call counts as lost that the owner of
	// the lane has not given up.
	laneMargin = 300 * time.Millisecond
	// cheapLanes are the lanes that calls that take long leave to the others.
	cheapLanes = 2
)

// isCheap reports whether a call takes so little that all workers are asked about.
func isCheap(policy *order.PermissionPolicy) bool { return policy.BaseTime <= cheapCall }

// lane is a way to the service: a node, which asks one thing at a time.
type lane struct {
	name string
	// busySince is when the call on it was sent; zero when it is free.
	busySince time.Time
	step      work.StepID
	// patience is how long that call may take.
	patience time.Duration
}

// Lanes are the ways to the service. The zero value has none.
type Lanes struct{ lanes []lane }

// SetNames names the ways. It reports whether they have changed, and the steps whose
// calls are lost with ways that are gone.
func (l *Lanes) SetNames(names []string) (lost []work.StepID, isChanged bool) {
	if slices.EqualFunc(l.lanes, names, func(l lane, name string) bool { return l.name == name }) {
		return nil, false
	}
	lanes := make([]lane, 0, len(names))
	for _, name := range names {
		if old := l.find(name); old != nil {
			lanes = append(lanes, *old)
		} else {
			lanes = append(lanes, lane{name: name})
		}
	}
	for _, old := range l.lanes {
		if !slices.Contains(names, old.name) && !old.busySince.IsZero() {
			lost = append(lost, old.step)
		}
	}
	l.lanes = lanes
	return lost, true
}

func (l *Lanes) find(name string) *lane {
	i := slices.IndexFunc(l.lanes, func(l lane) bool { return l.name == name })
	if i < 0 {
		return nil
	}
	return &l.lanes[i]
}

// Free returns a way by which a call may be made now, or "". Calls that take long leave
// some ways to the others.
func (l *Lanes) Free(policy *order.PermissionPolicy) string {
	free := 0
	found := ""
	for i := range l.lanes {
		if l.lanes[i].busySince.IsZero() {
			free++
			found = l.lanes[i].name
		}
	}
	if !isCheap(policy) && free <= min(cheapLanes, len(l.lanes)-1) {
		return ""
	}
	return found
}

// HasSpare reports whether so many ways are free that a call may be made of which it is not known
// that it serves anything now.
func (l *Lanes) HasSpare() bool {
	free := 0
	for i := range l.lanes {
		if l.lanes[i].busySince.IsZero() {
			free++
		}
	}
	return 2*free > len(l.lanes)
}

// Take notes that a call about so many workers is made by a way, and returns how long
// it may take.
func (l *Lanes) Take(name string, step work.StepID, policy *order.PermissionPolicy, workers int, now time.Time) time.Duration {
	lane := l.find(name)
	lane.busySince, lane.step = now, step
	lane.patience = askRatio*(policy.BaseTime+time.Duration(workers)*policy.TimePerWorker) + AskMargin
	return lane.patience
}

// Answered notes that the call of a step by a way is over.
func (l *Lanes) Answered(name string, step work.StepID) {
	if lane := l.find(name); lane != nil && lane.step == step {
		lane.busySince = time.Time{}
	}
}

// Expire frees the ways that do not answer, and returns the steps whose calls are lost.
func (l *Lanes) Expire(now time.Time) []work.StepID {
	lost := []work.StepID{}
	for i := range l.lanes {
		lane := &l.lanes[i]
		if !lane.busySince.IsZero() && now.Sub(lane.busySince) > lane.patience+laneMargin {
			lane.busySince = time.Time{}
			lost = append(lost, lane.step)
		}
	}
	return lost
}
