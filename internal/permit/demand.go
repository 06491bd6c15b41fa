// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant with which past calls are forgotten.
	demandWindow = 10 * time.Second
	// assumedDemand is how many channels are taken to be in use while no call is known.
	assumedDemand = 0.4
	// demandMargin times the square root of the channels in use on average is what calls that come
	// at random need besides.
	demandMargin = 2
	// negligibleDemand is how many channels may be in use on average without any kept free.
	negligibleDemand = 0.01
)

// Demand estimates how many channels calls of a kind need that come at random, by Little's law: their
// rate times their duration is how many are under way on average. The zero value has seen none.
type Demand struct {
	// inUse is how many channels were in use on average, as of the time at.
	inUse float64
	at    time.Time
}

// Record records a call that has ended, and how long it occupied its channel.
func (d *Demand) Record(took time.Duration, now time.Time) {
	d.inUse = d.average(now) + took.Seconds()/demandWindow.Seconds()
	d.at = now
}

// average returns how many channels were in use on average.
func (d *Demand) average(now time.Time) float64 {
	if d.at.IsZero() {
		return assumedDemand
	}
	return d.inUse * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds())
}

// Channels returns how many channels such calls need so that they seldom wait.
func (d *Demand) Channels(now time.Time) int {
	average := d.average(now)
	if average < negligibleDemand {
		return 0
	}
	return int(math.Ceil(average + demandMargin*math.Sqrt(average)))
}
