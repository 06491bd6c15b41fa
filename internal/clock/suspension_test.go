// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package clock_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
)

// machine emulates the two clocks of a machine that can be suspended.
type machine struct {
	monotonic, bootTime time.Duration
	// hasNoBootTime means that the machine has no clock that runs during a suspension.
	hasNoBootTime bool
	// readTime is how long reading the boot time clock takes.
	readTime time.Duration
}

// run lets time pass while the machine runs.
func (m *machine) run(d time.Duration) { m.monotonic, m.bootTime = m.monotonic+d, m.bootTime+d }

// suspend lets time pass while the machine is suspended.
func (m *machine) suspend(d time.Duration) { m.bootTime += d }

func (m *machine) readBoot() (time.Duration, bool) {
	now := m.bootTime
	m.run(m.readTime)
	return now, !m.hasNoBootTime
}

func (m *machine) newSuspension() *clock.Suspension {
	return clock.NewSuspension(func() time.Duration { return m.monotonic }, m.readBoot)
}

func expectTotal(t *testing.T, s *clock.Suspension, want time.Duration) {
	t.Helper()
	if got := s.Total(); got != want {
		t.Errorf("total: got: %v, want: %v", got, want)
	}
}

// Guards against two owners of a shard. An owner may act for 3 s on the last messages that
// it received. If the machine is suspended for 5 s and these are not counted, the owner
// resumes and still acts, although another node has become the owner.
func TestSuspendedTimeIsCounted(t *testing.T) {
	m := &machine{monotonic: time.Hour, bootTime: 3 * time.Hour}
	s := m.newSuspension()
	m.run(time.Second)
	expectTotal(t, s, 0)
	m.suspend(5 * time.Second)
	m.run(10 * time.Millisecond)
	expectTotal(t, s, 5*time.Second)
	m.run(time.Minute)
	m.suspend(2 * time.Second)
	m.run(10 * time.Millisecond)
	expectTotal(t, s, 7*time.Second)
}

// Reading both clocks takes longer than maxReadTime here, as when the thread loses the
// processor between the two. The sample must be discarded; the next fast one finds the
// suspension.
func TestSlowReadingIsDiscarded(t *testing.T) {
	m := &machine{}
	s := m.newSuspension()
	m.run(time.Second)
	m.suspend(5 * time.Second)
	m.readTime = 20 * time.Millisecond
	expectTotal(t, s, 0)
	m.readTime = 0
	m.run(time.Second)
	expectTotal(t, s, 5*time.Second)
}

// The total is added to the current time, so a boot time clock that falls back must not
// make the time go backwards.
func TestTotalNeverDecreases(t *testing.T) {
	m := &machine{}
	s := m.newSuspension()
	m.suspend(time.Second)
	m.run(time.Second)
	expectTotal(t, s, time.Second)
	m.suspend(-400 * time.Millisecond)
	m.run(time.Second)
	expectTotal(t, s, time.Second)
}

// On a machine without a clock that runs during a suspension, the total must stay 0 and
// must not be computed from an invalid reading.
func TestNothingIsCountedWithoutBootTimeClock(t *testing.T) {
	m := &machine{hasNoBootTime: true}
	s := m.newSuspension()
	m.suspend(5 * time.Second)
	m.run(time.Second)
	expectTotal(t, s, 0)
}
