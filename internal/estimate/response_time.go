// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package estimate learns how long things take.
package estimate

import "time"

// ResponseTime estimates how long workers take to answer an order to start, with
// the delays of this node in it, as TCP estimates a round trip (RFC 6298).
// The zero value works.
type ResponseTime struct {
	mean, deviation time.Duration
}

const (
	// meanWeight and deviationWeight are the weights of a new answer: 1/8 and 1/4.
	meanWeight, deviationWeight = 0.125, 0.25
	// deviations is how many mean deviations later than usual an answer may come.
	timeoutDeviations = 4
	// shortestPatience is the least time that an order may stay without an answer;
	// longestPatience the most, and that before the first answers. A worker answers
	// within milliseconds; an owner that is slowed five times takes some tens.
	minTimeout = 60 * time.Millisecond
	maxTimeout = 200 * time.Millisecond
)

// Observe takes the time of an answer.
func (r *ResponseTime) Observe(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	distance := took - r.mean
	r.mean += time.Duration(meanWeight * float64(distance))
	r.deviation += time.Duration(deviationWeight * float64(distance.Abs()-r.deviation))
}

// Timeout returns how long an order to start may stay without an answer.
func (r *ResponseTime) Timeout() time.Duration {
	if r.mean == 0 {
		return maxTimeout
	}
	return min(max(r.mean+timeoutDeviations*r.deviation, minTimeout), maxTimeout)
}
