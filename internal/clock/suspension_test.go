// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package clock_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
)

// machine has the two clocks of a machine that can be suspended.
type machine struct {
	monotonic, bootTime time.Duration
	// hasNoBoot means that there is no clock that goes on, reading how long it takes to
	// read it.
	hasNoBootTime bool
	readTime      time.Duration
}

func (m *machine) run(d time.Duration) { m.monotonic, m.bootTime = m.monotonic+d, m.bootTime+d }

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

// An owner trusts for three seconds in what it heard last. One that was suspended for five
// measured none of them by the steady clock, and took itself for the owner beside another.
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

func TestNothingIsCountedWithoutBootTimeClock(t *testing.T) {
	m := &machine{hasNoBootTime: true}
	s := m.newSuspension()
	m.suspend(5 * time.Second)
	m.run(time.Second)
	expectTotal(t, s, 0)
}
