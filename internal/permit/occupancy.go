// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"math"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// occupancyWindow is the time constant with which the calls of customers are forgotten.
	occupancyWindow = 3 * time.Second
	// scarcityTime is how long channels count as scarce after a step has found none.
	scarcityTime = 500 * time.Millisecond
	// forgottenTime is the time of calls below which a customer's account is dropped.
	forgottenTime = time.Microsecond
)

// Occupancy tracks how much of the channels' time the calls of each customer take, and whether
// channels are scarce. The zero value has seen no calls.
type Occupancy struct {
	// seconds is the recent time of the calls of each customer, as of the time at; total is its sum.
	seconds map[work.CustomerName]float64
	total   float64
	at      time.Time
	// scarceAt is when a step last found no channel; zero if none ever did.
	scarceAt time.Time
}

// Record records a call of a customer that is expected to occupy a channel for the time d.
func (o *Occupancy) Record(name work.CustomerName, d time.Duration, now time.Time) {
	if o.seconds == nil {
		o.seconds = map[work.CustomerName]float64{}
	}
	o.forget(now)
	o.seconds[name] += d.Seconds()
	o.total += d.Seconds()
}

// forget discounts the calls up to the time at for the time since.
func (o *Occupancy) forget(now time.Time) {
	rest := math.Exp(-now.Sub(o.at).Seconds() / occupancyWindow.Seconds())
	for name := range o.seconds {
		o.seconds[name] *= rest
		if o.seconds[name] < forgottenTime.Seconds() {
			delete(o.seconds, name)
		}
	}
	o.total *= rest
	o.at = now
}

// RecordNoChannel records that a step found no channel for its call.
func (o *Occupancy) RecordNoChannel(now time.Time) { o.scarceAt = now }

// IsScarce reports whether a step found no channel recently.
func (o *Occupancy) IsScarce(now time.Time) bool {
	return !o.scarceAt.IsZero() && now.Sub(o.scarceAt) < scarcityTime
}

// Fraction returns the fraction of the recent time of all calls that those of a customer took. While
// channels are not scarce it is 0: what a customer uses of them then, it takes from nobody.
func (o *Occupancy) Fraction(name work.CustomerName, now time.Time) float64 {
	isScarce := !o.scarceAt.IsZero() && now.Sub(o.scarceAt) < scarcityTime
	if !isScarce || o.total <= 0 {
		return 0
	}
	return min(o.seconds[name]/o.total, 1)
}
