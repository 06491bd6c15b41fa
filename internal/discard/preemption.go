// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package discard

import "time"

const (
	// maxPreemptions limits how often a task is preempted. Each preemption costs up to saveInterval
	// of work and a restart.
	maxPreemptions = 2
	// restartCost is what stopping and starting a task costs besides the work that is lost.
	restartCost = time.Second
	// minPreemptionSlack is how much earlier than its objective a task must be expected to end
	// after its preemption, because it has to wait for capacity again.
	minPreemptionSlack = 3 * time.Second
)

// Occupant is a running attempt whose capacity a more urgent task could use.
type Occupant struct {
	Kind Kind
	// Ran is the time since its order.
	Ran time.Duration
	// IsResumable means that the task can resume from a saved state, HasSaved that there is one.
	IsResumable, HasSaved bool
	// HasCopy means that a speculative copy runs or was requested.
	HasCopy bool
	// Preemptions counts the earlier attempts of the task that were preempted.
	Preemptions int
	// Slack is how much earlier than its objective its caller gets the result if it is left alone.
	Slack time.Duration
}

// PreemptionCost returns how much work is done again if the attempt is preempted, with its restart.
func (o *Occupant) PreemptionCost() time.Duration { return Unsaved(o.Ran, o.HasSaved) + restartCost }

// IsPreemptible reports whether the attempt may be stopped for a task that can use its capacity at
// once. The task must resume from a saved state, and its caller must get the result in time all the
// same.
func (o *Occupant) IsPreemptible() bool {
	if o.Kind == KindGang || o.Kind == KindLongRunning || !o.IsResumable || o.HasCopy || o.Preemptions >= maxPreemptions {
		return false
	}
	return o.Slack > o.PreemptionCost()+minPreemptionSlack
}

// MaxWait returns how long a task may wait for capacity that others are expected to free by
// themselves, before some are preempted for it. slack is how long it may wait in all without being
// late; negative if it is late already. Half of it is kept, because expected run times may be off by
// half.
func MaxWait(slack, stopTime time.Duration) time.Duration { return max(slack/2-stopTime, 0) }
