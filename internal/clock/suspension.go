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
	// samplePause is how often it is looked at most whether the machine was suspended: what
	// is decided within that time of waking up may still go by the time before. Orders that
	// are on their way as a machine stops are as old, and leave as late.
	sampleInterval = 5 * time.Millisecond
	// shortest is the shortest suspension that counts. Machines are suspended for seconds;
	// less than this is the time between two readings.
	minSuspension = 50 * time.Millisecond
	// longestReading is the longest that the readings of both clocks may take together: a
	// thread that loses the processor between them tells nothing.
	maxReadTime = time.Millisecond
)

// Suspension measures for how long this machine was suspended. The steady clock by which
// the runtime measures does not count that time: an owner that wakes up after five seconds
// would trust in what it last heard, though another node owns the shard by then. It is
// safe for concurrent use.
type Suspension struct {
	// steady reads the clock that stands still meanwhile, boot the one that goes on; boot
	// reports false where there is none.
	monotonic func() time.Duration
	bootTime  func() (time.Duration, bool)

	// sampledAt is the steady clock at the last sample, total what was found: it only grows.
	sampledAt atomic.Int64
	total     atomic.Int64

	mu sync.Mutex
	// ahead is how far boot was ahead of steady at first; isSet that it was read.
	initialOffset    time.Duration
	hasInitialOffset bool
}

// NewSuspension returns a Suspension that reads the two clocks.
func NewSuspension(monotonic func() time.Duration, bootTime func() (time.Duration, bool)) *Suspension {
	s := &Suspension{monotonic: monotonic, bootTime: bootTime}
	s.sample()
	return s
}

// Total returns for how long the machine was suspended since the first reading.
func (s *Suspension) Total() time.Duration {
	now := int64(s.monotonic())
	if last := s.sampledAt.Load(); now-last >= int64(sampleInterval) && s.sampledAt.CompareAndSwap(last, now) {
		s.sample()
	}
	return time.Duration(s.total.Load())
}

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

// CountsSuspensions reports whether this machine has a clock that goes on while it is
// suspended.
func DetectsSuspensions() bool {
	_, ok := readBoot()
	return ok
}

// process is that of this process, since it began.
var processSuspension = sync.OnceValue(func() *Suspension {
	start := time.Now()
	return NewSuspension(func() time.Duration { return time.Since(start) }, readBoot)
})

// readBoot reads the clock that goes on while the machine is suspended.
func readBoot() (time.Duration, bool) {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
