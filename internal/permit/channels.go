// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package permit tracks which workers may run a step, and decides which workers the permission
// service is asked about and through which channel. It does no I/O and reads no clock; the
// caller passes the current time.
//
// It is built for the load of many steps that wait at once: a call takes up to half a second, a
// permit is valid for two, and there are only as many channels as nodes.
package permit

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// RoundTripMargin is what the transport of a call and its answer takes on a busy node.
const RoundTripMargin = 250 * time.Millisecond

const (
	// maxFastCall is the base time of a call up to which all workers are asked about at once.
	maxFastCall = 40 * time.Millisecond
	// timeoutFactor is how many times as long as its expected time a call may take, besides
	// RoundTripMargin: the channel may be busy with a call that was abandoned.
	timeoutFactor = 2
	// expiryMargin is how long after its timeout a call counts as lost whose channel has not
	// reported it as failed.
	expiryMargin = 300 * time.Millisecond
	// fastChannels is how many free channels slow calls leave to fast ones, if that does not follow
	// the demand.
	fastChannels = 2
)

// isFast reports whether a call takes so little time that all workers are asked about.
func isFast(policy *order.PermissionPolicy) bool { return policy.BaseTime <= maxFastCall }

// callTime returns how long a call about that many workers is expected to take.
func callTime(policy *order.PermissionPolicy, workers int) time.Duration {
	return policy.BaseTime + time.Duration(workers)*policy.TimePerWorker
}

// channel is a route to the permission service: a node, which makes one call at a time.
type channel struct {
	name string
	// busySince is when the call in flight was sent; zero when there is none.
	busySince time.Time
	step      work.StepID
	// timeout is how long that call may take.
	timeout time.Duration
	// isFast means that it is a fast call, isPreparing that nothing could start on its answer when it was
	// made.
	isFast, isPreparing bool
}

// Channels are the routes to the permission service. The zero value has none.
type Channels struct {
	// FollowsDemand makes slow calls leave as many free channels to fast ones as these need, instead
	// of a fixed number.
	FollowsDemand bool
	channels      []channel
	// fast is the demand of fast calls.
	fast Demand
}

// SetNames sets the names of the channels. It reports whether they have changed, and returns the
// steps whose calls are lost with channels that were removed.
func (l *Channels) SetNames(names []string) (lost []work.StepID, isChanged bool) {
	if slices.EqualFunc(l.channels, names, func(l channel, name string) bool { return l.name == name }) {
		return nil, false
	}
	previous := make(map[string]channel, len(l.channels))
	for _, c := range l.channels {
		previous[c.name] = c
	}
	channels := make([]channel, 0, len(names))
	for _, name := range names {
		c, isKnown := previous[name]
		if !isKnown {
			c = channel{name: name}
		}
		delete(previous, name)
		channels = append(channels, c)
	}
	for _, c := range l.channels {
		if removed, ok := previous[c.name]; ok && !removed.busySince.IsZero() {
			lost = append(lost, removed.step)
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

// FreeChannel returns a channel through which a call may be made now, or "". Slow calls leave
// some channels to fast ones.
func (l *Channels) FreeChannel(policy *order.PermissionPolicy, now time.Time) string {
	free, busyFast := 0, 0
	for i := range l.channels {
		switch c := &l.channels[i]; {
		case c.busySince.IsZero():
			free++
		case c.isFast:
			busyFast++
		}
	}
	if !isFast(policy) && free <= l.left(busyFast, now) {
		return ""
	}
	return l.AnyFreeChannel()
}

// AnyFreeChannel returns a free channel, also if it is kept for fast calls, or "".
func (l *Channels) AnyFreeChannel() string {
	for i := range slices.Backward(l.channels) {
		if l.channels[i].busySince.IsZero() {
			return l.channels[i].name
		}
	}
	return ""
}

// left returns how many free channels slow calls leave to fast ones, of which busyFast are under
// way. At least one channel is not kept for fast calls.
func (l *Channels) left(busyFast int, now time.Time) int {
	if !l.FollowsDemand {
		return min(fastChannels, len(l.channels)-1)
	}
	return max(min(l.Kept(now), len(l.channels)-1)-busyFast, 0)
}

// Kept returns how many channels are kept for fast calls, used or free.
func (l *Channels) Kept(now time.Time) int {
	if !l.FollowsDemand {
		return fastChannels
	}
	return l.fast.Channels(now)
}

// Len returns the number of channels, and how many of them are free.
func (l *Channels) Len() (channels, free int) {
	for i := range l.channels {
		if l.channels[i].busySince.IsZero() {
			free++
		}
	}
	return len(l.channels), free
}

// HasSpare reports whether more than half of the channels are free, so that a call may be made
// even if nothing could start on its answer now.
func (l *Channels) HasSpare() bool {
	channels, free := l.Len()
	return 2*free > channels
}

// MayPrepare reports whether a further call may be made on whose answer nothing could start now: these
// leave half of the channels to others.
func (l *Channels) MayPrepare() bool {
	preparing := 0
	for i := range l.channels {
		if c := &l.channels[i]; c.isPreparing && !c.busySince.IsZero() {
			preparing++
		}
	}
	return 2*(preparing+1) <= len(l.channels)
}

// MarkPreparing records that nothing could start on the answer to the call that a channel makes.
func (l *Channels) MarkPreparing(name string) { l.find(name).isPreparing = true }

// BeginCall records that a call about that many workers is made through a channel, and returns
// how long it may take.
func (l *Channels) BeginCall(name string, step work.StepID, policy *order.PermissionPolicy, workers int, now time.Time) time.Duration {
	c := l.find(name)
	c.busySince, c.step, c.isFast, c.isPreparing = now, step, isFast(policy), false
	c.timeout = timeoutFactor*callTime(policy, workers) + RoundTripMargin
	return c.timeout
}

// EndCall records that the call of a step through a channel has ended, and returns how long it took;
// 0 if it was counted as lost before.
func (l *Channels) EndCall(name string, step work.StepID, now time.Time) time.Duration {
	c := l.find(name)
	if c == nil || c.step != step || c.busySince.IsZero() {
		return 0
	}
	took := now.Sub(c.busySince)
	l.free(c, now)
	return took
}

// free records that a channel is free.
func (l *Channels) free(c *channel, now time.Time) {
	if c.isFast && !c.busySince.IsZero() {
		l.fast.Record(now.Sub(c.busySince), now)
	}
	c.busySince = time.Time{}
}

// Expire frees the channels whose calls were not answered in time, and returns the steps of
// these calls.
func (l *Channels) Expire(now time.Time) []work.StepID {
	lost := []work.StepID{}
	for i := range l.channels {
		c := &l.channels[i]
		if !c.busySince.IsZero() && now.Sub(c.busySince) > c.timeout+expiryMargin {
			l.free(c, now)
			lost = append(lost, c.step)
		}
	}
	return lost
}
