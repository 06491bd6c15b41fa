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
	samplePause = 5 * time.Millisecond
	// shortest is the shortest suspension that counts. Machines are suspended for seconds;
	// less than this is the time between two readings.
	shortest = 50 * time.Millisecond
	// longestReading is the longest that the readings of both clocks may take together: a
	// thread that loses the processor between them tells nothing.
	longestReading = time.Millisecond
)

// Suspension measures for how long this machine was suspended. The steady clock by which
// the runtime measures does not count that time: an owner that wakes up after five seconds
// would trust in what it last heard, though another node owns the shard by then. It is
// safe for concurrent use.
type Suspension struct {
	// steady reads the clock that stands still meanwhile, boot the one that goes on; boot
	// reports false where there is none.
	steady func() time.Duration
	boot   func() (time.Duration, bool)

	// sampledAt is the steady clock at the last sample, total what was found: it only grows.
	sampledAt atomic.Int64
	total     atomic.Int64

	mu sync.Mutex
	// ahead is how far boot was ahead of steady at first; isSet that it was read.
	ahead time.Duration
	isSet bool
}

// NewSuspension returns a Suspension that reads the two clocks.
func NewSuspension(steady func() time.Duration, boot func() (time.Duration, bool)) *Suspension {
	s := &Suspension{steady: steady, boot: boot}
	s.sample()
	return s
}

// Total returns for how long the machine was suspended since the first reading.
func (s *Suspension) Total() time.Duration {
	now := int64(s.steady())
	if last := s.sampledAt.Load(); now-last >= int64(samplePause) && s.sampledAt.CompareAndSwap(last, now) {
		s.sample()
	}
	return time.Duration(s.total.Load())
}

func (s *Suspension) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.steady()
	boot, ok := s.boot()
	if !ok || s.steady()-before > longestReading {
		return
	}
	if !s.isSet {
		s.ahead, s.isSet = boot-before, true
		return
	}
	if found := boot - before - s.ahead; found-time.Duration(s.total.Load()) > shortest {
		s.total.Store(int64(found))
	}
}

// CountsSuspensions reports whether this machine has a clock that goes on while it is
// suspended.
func CountsSuspensions() bool {
	_, ok := readBoot()
	return ok
}

// process is that of this process, since it began.
var process = sync.OnceValue(func() *Suspension {
	began := time.Now()
	return NewSuspension(func() time.Duration { return time.Since(began) }, readBoot)
})

// readBoot reads the clock that goes on while the machine is suspended.
func readBoot() (time.Duration, bool) {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
