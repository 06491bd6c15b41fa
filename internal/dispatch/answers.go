// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// answerTimes estimates how long workers take to answer an order to start, with
// the delays of this node in it, as TCP estimates a round trip (RFC 6298).
type answerTimes struct {
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

func (t *answerTimes) learn(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	distance := took - t.mean
	t.mean += time.Duration(meanWeight * float64(distance))
	t.deviation += time.Duration(deviationWeight * float64(distance.Abs()-t.deviation))
}

// patience returns how long an order to start may stay without an answer.
func (t *answerTimes) patience() time.Duration {
	if t.mean == 0 {
		return longestPatience
	}
	return min(max(t.mean+deviations*t.deviation, shortestPatience), longestPatience)
}
