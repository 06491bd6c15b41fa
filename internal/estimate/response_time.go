// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package estimate learns how long things take.
package estimate

import "time"

// Answers estimates how long workers take to answer an order to start, with
// the delays of this node in it, as TCP estimates a round trip (RFC 6298).
// The zero value works.
type Answers struct {
	mean, deviation time.Duration
}

const (
	// meanWeight and deviationWeight are the weights of a new answer: 1/8 and 1/4.
	meanWeight, deviationWeight = 0.125, 0.25
	// deviations is how many mean deviations later than usual an answer may come.
	deviations = 4
	// shortestPatience is the least time that an order may stay without an answer;
	// longestPatience the most, and that before the first answers. A worker answers
	// within milliseconds; an owner that is slowed five times takes some tens.
	shortestPatience = 60 * time.Millisecond
	longestPatience  = 200 * time.Millisecond
)

// Learn takes the time of an answer.
func (a *Answers) Learn(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	distance := took - a.mean
	a.mean += time.Duration(meanWeight * float64(distance))
	a.deviation += time.Duration(deviationWeight * float64(distance.Abs()-a.deviation))
}

// Patience returns how long an order to start may stay without an answer.
func (a *Answers) Patience() time.Duration {
	if a.mean == 0 {
		return longestPatience
	}
	return min(max(a.mean+deviations*a.deviation, shortestPatience), longestPatience)
}
