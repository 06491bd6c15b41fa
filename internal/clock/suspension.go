// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sampleInterval is the shortest time between two checks for a suspension. A decision
	// made within this time after the machine resumes may still use the time from before
	// the suspension. That adds no new case: an order that was being sent when the machine
	// was suspended is based on a time that is as old, and is sent as late.
	sampleInterval = 5 * time.Millisecond
	// minSuspension is the shortest difference that counts as a suspension. Machines are
	// suspended for seconds; a smaller difference is the time that passes between reading
	// one clock and reading the other.
	minSuspension = 50 * time.Millisecond
	// maxReadTime bounds the time that reading both clocks may take. If the thread loses the
	// processor between the two readings, their difference says nothing about a suspension
	// and the sample is discarded.
	maxReadTime = time.Millisecond
)

// Suspension measures for how long this machine was suspended. The monotonic clock of the
// Go runtime does not include that time: an owner that was suspended for 5 s would
// still act on what it received before, although another node owns the shard by then.
// Suspension is safe for concurrent use.
type Suspension struct {
	// monotonic reads the clock that stops during a suspension, bootTime the one that keeps
	// running. bootTime returns false on a machine that has no such clock.
	monotonic func() time.Duration
	bootTime  func() (time.Duration, bool)

	// sampledAt is the monotonic clock at the last sample, in nanoseconds. total is the
	// suspended time found so far, in nanoseconds; it never decreases.
	sampledAt atomic.Int64
	total     atomic.Int64

	mu sync.Mutex
	// initialOffset is bootTime minus monotonic at the first valid sample. It is set once
	// hasInitialOffset is true.
	initialOffset    time.Duration
	hasInitialOffset bool
}

// NewSuspension returns a Suspension that reads the two clocks.
func NewSuspension(monotonic func() time.Duration, bootTime func() (time.Duration, bool)) *Suspension {
	s := &Suspension{monotonic: monotonic, bootTime: bootTime}
	s.sample()
	return s
}

// Total returns for how long the machine was suspended since the first valid sample. It
// takes a new sample if the last one is older than sampleInterval.
func (s *Suspension) Total() time.Duration {
	now := int64(s.monotonic())
	if last := s.sampledAt.Load(); now-last >= int64(sampleInterval) && s.sampledAt.CompareAndSwap(last, now) {
		s.sample()
	}
	return time.Duration(s.total.Load())
}

// sample reads both clocks and updates the total. The first valid sample sets the initial
// offset of the clocks; a sample that took too long is discarded.
func (s *Suspension) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.monotonic()
	bootTime, ok := s.bootTime()
	if !ok || s.monotonic()-before > maxReadTime {
		return
	}
	if !s.hasInitialOffset {
		s.initialOffset, s.hasInitialOffset = bootTime-before, true
		return
	}
	if suspended := bootTime - before - s.initialOffset; suspended-time.Duration(s.total.Load()) > minSuspension {
		s.total.Store(int64(suspended))
	}
}

// DetectsSuspensions reports whether this machine has a clock that keeps running while the
// machine is suspended. Without one, Total always returns 0.
func DetectsSuspensions() bool {
	_, ok := readBoot()
	return ok
}

// processSuspension returns the Suspension of this process. Its first sample is taken at
// the first call.
var processSuspension = sync.OnceValue(func() *Suspension {
	start := time.Now()
	return NewSuspension(func() time.Duration { return time.Since(start) }, readBoot)
})

// readBoot reads CLOCK_BOOTTIME, which keeps running while the machine is suspended.
func readBoot() (time.Duration, bool) {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
