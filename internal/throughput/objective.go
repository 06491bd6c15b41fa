// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package throughput

import (
	"math"
	"time"
)

const (
	// deliveryTime is the time that a placement takes to be persisted and ordered, and the end of
	// the task to be seen by the caller.
	deliveryTime = 100 * time.Millisecond
	// weightInTime and weightLeaveFast are the weights of the probability that the task ends in
	// time on a worker, and of leaving faster workers to other work. The unit is a whole worker, as
	// for the terms of a score that is about packing.
	weightInTime    = 8.0
	weightLeaveFast = 0.3
	// decisiveDifference is the difference between the probabilities to end in time on fast and on
	// slow workers from which work needs fast ones.
	decisiveDifference = 0.05
)

// Objective is how long a task should take on a typical worker, and how much earlier than its
// objective its job is expected to end if it starts there now.
type Objective struct{ Duration, Slack time.Duration }

// InTime returns how likely the job is to meet its objective if the task runs on a worker of the
// given ratio.
func (o Objective) InTime(ratio float64) float64 {
	if o.Duration <= 0 {
		return 1
	}
	spare := o.Slack - deliveryTime - time.Duration((ratio-1)*float64(o.Duration))
	return 1 / (1 + math.Exp(-float64(spare)/(taskScatter*float64(o.Duration))))
}

// Score rates a worker of the given ratio; higher is better. Work that ends in time only on fast
// workers prefers these; work that ends in time anywhere mildly prefers slow ones.
func (o Objective) Score(ratio float64) float64 {
	inTime := o.InTime(ratio)
	return weightInTime*inTime + weightLeaveFast*inTime*(ratio-1)
}

// NeedsFast reports whether it depends on the speed of the workers whether the job meets its
// objective.
func (o Objective) NeedsFast() bool {
	return o.InTime(fastRatio)-o.InTime(slowRatio) >= decisiveDifference
}
