// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package clock provides the time and timers. Code whose decisions depend on the time reads
// it through a Service, so that tests can replace it by a Fake.
package clock

import (
	"sync"
	"time"
)

// Service provides the current time, tickers and timers. Implementations are safe for
// concurrent use.
type Service interface {
	// Now returns a time with a monotonic reading that includes the time during which the
	// machine was suspended. Only the difference of two such times has a meaning.
	Now() time.Time
	// TimeOfDay returns the wall clock time. It jumps when somebody sets the clock, and it
	// differs between machines.
	TimeOfDay() time.Time
	// Subscribe returns a channel that receives a tick about every period, and a function
	// that ends the subscription. The period must be positive. The channel buffers one
	// tick; further ticks are dropped until the subscriber has received it.
	Subscribe(period time.Duration) (<-chan time.Time, func())
	// After returns a channel that receives one tick after d has passed.
	After(d time.Duration) <-chan time.Time
}

// Real is the machine's clock. The zero value is ready to use.
type Real struct{}

// Now returns the current time plus the total time during which the machine was suspended.
// After a suspension the wall clock part of the result is therefore ahead of the machine's
// time of day by that duration; use TimeOfDay for the time of day.
func (Real) Now() time.Time { return time.Now().Add(processSuspension().Total()) }

// TimeOfDay returns the machine's time of day, without a monotonic reading.
func (Real) TimeOfDay() time.Time { return time.Now().Round(0) }

// Subscribe starts a ticker and returns its channel and its stop function.
func (Real) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(period)
	return t.C, t.Stop
}

// After returns a timer's channel.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc calls f in a new goroutine after d has passed. The function that it returns
// cancels the call and reports whether it did so before the call began.
func (Real) AfterFunc(d time.Duration, f func()) (stop func() bool) { return time.AfterFunc(d, f).Stop }

// Shifted is the machine's clock with a constant offset added to its time of day. It
// emulates machines whose clocks differ.
type Shifted struct {
	Real
	// Offset is added to every time that the clock returns.
	Offset time.Duration
}

// Now returns the current time plus the offset.
func (s Shifted) Now() time.Time { return s.Real.Now().Add(s.Offset) }

// TimeOfDay returns the machine's time of day plus the offset.
func (s Shifted) TimeOfDay() time.Time { return s.Real.TimeOfDay().Add(s.Offset) }

// Fake is a clock for tests whose time changes only when Advance is called.
type Fake struct {
	mu            sync.Mutex
	now           time.Time
	subscriptions map[int]*fakeSubscription
	nextID        int
}

// fakeSubscription is a ticker, timer or function that waits for the fake time to advance.
type fakeSubscription struct {
	dueAt time.Time
	// period is the time between two ticks; 0 means that there is only one.
	period time.Duration
	ch     chan time.Time
	// callback is the function that AfterFunc registered. It is nil for a subscription
	// that receives its ticks through ch.
	callback func()
}

// NewFake returns a fake clock that starts at a fixed time, the first of January 2026.
func NewFake() *Fake {
	return &Fake{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), subscriptions: map[int]*fakeSubscription{}}
}

// Now returns the fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// TimeOfDay returns the fake time.
func (f *Fake) TimeOfDay() time.Time { return f.Now() }

// Subscribe returns a channel to which Advance sends at most one tick each time that it is
// called, when the period has passed since the last one.
func (f *Fake) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	return f.add(period, period)
}

// After returns a channel to which Advance sends one tick when d has passed.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	ch, _ := f.add(d, 0)
	return ch
}

// AfterFunc registers a function that Advance calls once when d has passed. The function
// that it returns removes the registration and reports whether it was still there.
func (f *Fake) AfterFunc(d time.Duration, callback func()) (stop func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.subscriptions[id] = &fakeSubscription{dueAt: f.now.Add(d), callback: callback}
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, ok := f.subscriptions[id]
		delete(f.subscriptions, id)
		return ok
	}
}

// Advance moves the time forward by d, sends a tick to each channel that is due and calls
// each function that is due. It calls the functions after it has released its lock, so
// they may use the clock.
func (f *Fake) Advance(d time.Duration) {
	for _, callback := range f.advance(d) {
		callback()
	}
}

// advance moves the time, sends the ticks and returns the functions that are due.
func (f *Fake) advance(d time.Duration) []func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	callbacks := []func(){}
	for id, s := range f.subscriptions {
		if s.dueAt.After(f.now) {
			continue
		}
		if s.callback != nil {
			callbacks = append(callbacks, s.callback)
			delete(f.subscriptions, id)
			continue
		}
		select {
		case s.ch <- f.now:
		default:
		}
		if s.period == 0 {
			delete(f.subscriptions, id)
			continue
		}
		s.dueAt = f.now.Add(s.period)
	}
	return callbacks
}

// add registers a channel that is due after d and then after every period, or only once if
// period is 0. The function that it returns ends the subscription.
func (f *Fake) add(d, period time.Duration) (<-chan time.Time, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	s := &fakeSubscription{dueAt: f.now.Add(d), period: period, ch: make(chan time.Time, 1)}
	f.subscriptions[id] = s
	return s.ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscriptions, id)
	}
}
