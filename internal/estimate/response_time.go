// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package estimate learns from observations how long workers take to answer, and how long tasks
// run compared with their callers' estimates.
package estimate

import "time"

// ResponseTime estimates how long workers take to answer an order to start, including the delays
// of this node, as TCP estimates a round trip time (RFC 6298). The zero value is ready to use.
type ResponseTime struct {
	mean, deviation time.Duration
}

const (
	// meanWeight and deviationWeight are the weights of a new answer in the moving averages: 1/8
	// and 1/4, as in RFC 6298.
	meanWeight, deviationWeight = 0.125, 0.25
	// timeoutDeviations is how many mean deviations above the mean the timeout is.
	timeoutDeviations = 4
	// minTimeout and maxTimeout bound the timeout of an order; maxTimeout also applies before the
	// first answer. A worker answers within milliseconds; an owner that runs five times
	// slower than usual takes some tens of milliseconds.
	minTimeout = 60 * time.Millisecond
	maxTimeout = 200 * time.Millisecond
)

// Observe adds the response time of an answer.
func (r *ResponseTime) Observe(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	distance := took - r.mean
	r.mean += time.Duration(meanWeight * float64(distance))
	r.deviation += time.Duration(deviationWeight * float64(distance.Abs()-r.deviation))
}

// Timeout returns how long to wait for the answer to an order to start.
func (r *ResponseTime) Timeout() time.Duration {
	if r.mean == 0 {
		return maxTimeout
	}
	return min(max(r.mean+timeoutDeviations*r.deviation, minTimeout), maxTimeout)
}
