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

// RoundTripMargin is what the ways there and back take on a busy node.
const RoundTripMargin = 250 * time.Millisecond

const (
	// cheapCall is the time of a call up to which all workers are asked at once.
	maxFastCall = 40 * time.Millisecond
	// askRatio is how many times the time that the policy tells a call may take, besides
	// AskMargin: the lane may be busy with one that was given up.
	timeoutFactor = 2
	// laneMargin is how much later than that a call counts as lost that the owner of
	// the lane has not given up.
	expiryMargin = 300 * time.Millisecond
	// cheapLanes are the lanes that calls that take long leave to the others.
	fastChannels = 2
)

// isCheap reports whether a call takes so little that all workers are asked about.
func isFast(policy *order.PermissionPolicy) bool { return policy.BaseTime <= maxFastCall }

// lane is a way to the service: a node, which asks one thing at a time.
type channel struct {
	name string
	// busySince is when the call on it was sent; zero when it is free.
	busySince time.Time
	step      work.StepID
	// patience is how long that call may take.
	timeout time.Duration
}

// Channels are the ways to the service. The zero value has none.
type Channels struct{ channels []channel }

// SetNames names the ways. It reports whether they have changed, and the steps whose
// calls are lost with ways that are gone.
func (l *Channels) SetNames(names []string) (lost []work.StepID, isChanged bool) {
	if slices.EqualFunc(l.channels, names, func(l channel, name string) bool { return l.name == name }) {
		return nil, false
	}
	channels := make([]channel, 0, len(names))
	for _, name := range names {
		if old := l.find(name); old != nil {
			channels = append(channels, *old)
		} else {
			channels = append(channels, channel{name: name})
		}
	}
	for _, old := range l.channels {
		if !slices.Contains(names, old.name) && !old.busySince.IsZero() {
			lost = append(lost, old.step)
		}
	}
	l.channels = channels
	return lost, true
}

func (l *Channels) find(name string) *channel {
	i := slices.IndexFunc(l.channels, func(l channel) bool { return l.name == name })
	if i < 0 {
		return nil
	}
	return &l.channels[i]
}

// FreeChannel returns a way by which a call may be made now, or "". Calls that take long leave
// some ways to the others.
func (l *Channels) FreeChannel(policy *order.PermissionPolicy) string {
	free := 0
	found := ""
	for i := range l.channels {
		if l.channels[i].busySince.IsZero() {
			free++
			found = l.channels[i].name
		}
	}
	if !isFast(policy) && free <= min(fastChannels, len(l.channels)-1) {
		return ""
	}
	return found
}

// HasSpare reports whether so many ways are free that a call may be made of which it is not known
// that it serves anything now.
func (l *Channels) HasSpare() bool {
	free := 0
	for i := range l.channels {
		if l.channels[i].busySince.IsZero() {
			free++
		}
	}
	return 2*free > len(l.channels)
}

// BeginCall notes that a call about so many workers is made by a way, and returns how long
// it may take.
func (l *Channels) BeginCall(name string, step work.StepID, policy *order.PermissionPolicy, workers int, now time.Time) time.Duration {
	c := l.find(name)
	c.busySince, c.step = now, step
	c.timeout = timeoutFactor*(policy.BaseTime+time.Duration(workers)*policy.TimePerWorker) + RoundTripMargin
	return c.timeout
}

// EndCall notes that the call of a step by a way is over.
func (l *Channels) EndCall(name string, step work.StepID) {
	if c := l.find(name); c != nil && c.step == step {
		c.busySince = time.Time{}
	}
}

// Expire frees the ways that do not answer, and returns the steps whose calls are lost.
func (l *Channels) Expire(now time.Time) []work.StepID {
	lost := []work.StepID{}
	for i := range l.channels {
		c := &l.channels[i]
		if !c.busySince.IsZero() && now.Sub(c.busySince) > c.timeout+expiryMargin {
			c.busySince = time.Time{}
			lost = append(lost, c.step)
		}
	}
	return lost
}
