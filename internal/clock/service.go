// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package clock is the timer service: the one place that reads the time.
package clock

import (
	"sync"
	"time"
)

// Service tells the time and wakes its subscribers. Implementations are safe
// for concurrent use.
type Service interface {
	// Now returns the time with a monotonic reading that counts the time for which the
	// machine was suspended; only differences count.
	Now() time.Time
	// TimeOfDay returns the time of day, which may be set and differs between machines.
	TimeOfDay() time.Time
	// Subscribe returns a channel that receives a tick about every period,
	// which must be positive, and a function that ends the subscription. A
	// subscriber that is late misses ticks; it never finds two waiting.
	Subscribe(period time.Duration) (<-chan time.Time, func())
	// After returns a channel that receives once when d has passed.
	After(d time.Duration) <-chan time.Time
}

// Real is the machine's clock. Its zero value works.
type Real struct{}

// Now returns the current time. After a suspension its time of day is ahead by as much.
func (Real) Now() time.Time { return time.Now().Add(processSuspension().Total()) }

// TimeOfDay returns the machine's time of day.
func (Real) TimeOfDay() time.Time { return time.Now().Round(0) }

// Subscribe returns a ticker's channel and its stop function.
func (Real) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(period)
	return t.C, t.Stop
}

// After returns a timer's channel.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc calls f in a goroutine of its own after d.
func (Real) AfterFunc(d time.Duration, f func()) (stop func() bool) { return time.AfterFunc(d, f).Stop }

// Shifted is the machine's clock with another time of day, for tests of nodes
// whose clocks differ.
type Shifted struct {
	Real
	// Offset is how far its time of day is ahead.
	Offset time.Duration
}

// Now returns the current time, shifted.
func (s Shifted) Now() time.Time { return s.Real.Now().Add(s.Offset) }

// TimeOfDay returns the machine's time of day, shifted.
func (s Shifted) TimeOfDay() time.Time { return s.Real.TimeOfDay().Add(s.Offset) }

// Fake is a clock that moves only when it is told to.
type Fake struct {
	mu            sync.Mutex
	now           time.Time
	subscriptions map[int]*fakeSubscription
	nextID        int
}

type fakeSubscription struct {
	dueAt  time.Time
	period time.Duration
	ch     chan time.Time
	// call is called in place of a tick; nil for a channel.
	callback func()
}

// NewFake returns a fake clock at an arbitrary fixed time.
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

// Subscribe returns a channel that Advance feeds.
func (f *Fake) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	return f.add(period, period)
}

// After returns a channel that Advance feeds once.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	ch, _ := f.add(d, 0)
	return ch
}

// AfterFunc has Advance call f once.
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

// Advance moves the time forward by d, feeds the channels and calls the functions
// that are due.
func (f *Fake) Advance(d time.Duration) {
	for _, callback := range f.advance(d) {
		callback()
	}
}

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
