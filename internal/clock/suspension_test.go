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
	steady, boot time.Duration
	// hasNoBoot means that there is no clock that goes on, reading how long it takes to
	// read it.
	hasNoBoot bool
	reading   time.Duration
}

func (m *machine) run(d time.Duration) { m.steady, m.boot = m.steady+d, m.boot+d }

func (m *machine) suspend(d time.Duration) { m.boot += d }

func (m *machine) readBoot() (time.Duration, bool) {
	now := m.boot
	m.run(m.reading)
	return now, !m.hasNoBoot
}

func (m *machine) watch() *clock.Suspension {
	return clock.NewSuspension(func() time.Duration { return m.steady }, m.readBoot)
}

func expectTotal(t *testing.T, s *clock.Suspension, want time.Duration) {
	t.Helper()
	if got := s.Total(); got != want {
		t.Errorf("total: got: %v, want: %v", got, want)
	}
}

// An owner trusts for three seconds in what it heard last. One that was suspended for five
// measured none of them by the steady clock, and took itself for the owner beside another.
func TestTheTimeOfASuspensionCounts(t *testing.T) {
	m := &machine{steady: time.Hour, boot: 3 * time.Hour}
	s := m.watch()
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

func TestAReadingThatTookLongTellsNothing(t *testing.T) {
	m := &machine{}
	s := m.watch()
	m.run(time.Second)
	m.suspend(5 * time.Second)
	m.reading = 20 * time.Millisecond
	expectTotal(t, s, 0)
	m.reading = 0
	m.run(time.Second)
	expectTotal(t, s, 5*time.Second)
}

func TestTheTotalNeverShrinks(t *testing.T) {
	m := &machine{}
	s := m.watch()
	m.suspend(time.Second)
	m.run(time.Second)
	expectTotal(t, s, time.Second)
	m.suspend(-400 * time.Millisecond)
	m.run(time.Second)
	expectTotal(t, s, time.Second)
}

func TestWithoutSuchAClockNothingCounts(t *testing.T) {
	m := &machine{hasNoBoot: true}
	s := m.watch()
	m.suspend(5 * time.Second)
	m.run(time.Second)
	expectTotal(t, s, 0)
}
