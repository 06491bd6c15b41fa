// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package estimate_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/estimate"
)

// link is a link that carries a limited number of orders per second, one after the other.
type link struct {
	perSecond float64
	// busyUntil is when the link has carried all orders that were sent.
	busyUntil time.Time
}

// send sends an order now and returns its response time.
func (l *link) send(now time.Time) time.Duration {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(time.Second) / l.perSecond))
	return l.busyUntil.Sub(now) + 3*time.Millisecond
}

// The owner has three times as many orders as its link carries. With a fixed limit of 96 unacknowledged
// orders, each takes 0.6 s, which is longer than the timeout of an order (0.2 s). With the window,
// nine tenths take less than the timeout, and the link stays busy.
func TestWindowKeepsOrdersWithinTheTimeoutOnASlowLink(t *testing.T) {
	w, l := &estimate.Window{}, &link{perSecond: 160}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	begin := now
	type answer struct {
		at   time.Time
		took time.Duration
	}
	unacknowledged, late, done := []answer{}, 0, 0
	for now.Sub(begin) < 20*time.Second {
		now = now.Add(time.Millisecond)
		for len(unacknowledged) > 0 && !unacknowledged[0].at.After(now) {
			a := unacknowledged[0]
			unacknowledged = unacknowledged[1:]
			w.Observe(a.took, now)
			done++
			if a.took > 200*time.Millisecond {
				late++
			}
		}
		for len(unacknowledged) < w.Limit() {
			took := l.send(now)
			unacknowledged = append(unacknowledged, answer{now.Add(took), took})
		}
	}
	if float64(late) > 0.1*float64(done) {
		t.Errorf("orders that took longer than 0.2 s: got: %d of %d, want: at most a tenth", late, done)
	}
	if done < 3000 {
		t.Errorf("orders in 20 s: got: %d, want: nearly the 3200 that the link carries", done)
	}
}

// A single silent worker must not shrink the window. When all answers are slow it shrinks to its
// minimum, and it grows again when they are fast.
func TestWindowIsLargeWhileAnswersAreFast(t *testing.T) {
	w := &estimate.Window{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		took := 4 * time.Millisecond
		if i%12 == 0 {
			// This worker does not answer.
			took = 200 * time.Millisecond
		}
		w.Observe(took, now)
	}
	if got := w.Limit(); got != 96 {
		t.Errorf("got: %d, want: 96", got)
	}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		w.Observe(300*time.Millisecond, now)
	}
	if got := w.Limit(); got != 16 {
		t.Errorf("all answers slow: got: %d, want: 16", got)
	}
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		w.Observe(4*time.Millisecond, now)
	}
	if got := w.Limit(); got != 96 {
		t.Errorf("all answers fast again: got: %d, want: 96", got)
	}
}
