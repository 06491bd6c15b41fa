// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package discard

import (
	"math"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/outlier"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Observation is a running task by which its worker is judged.
type Observation struct {
	Step work.StepID
	// AtRate is the least time that the whole task can take at the rate at which it works now, as
	// progress is reported in whole percents. It is positive.
	AtRate time.Duration
	// Elsewhere and Expected are those of Attempt.
	Elsewhere, Expected time.Duration
	// Rounding is the fraction of that rate that may come from rounding, from 0 to 1.
	Rounding float64
}

// reference returns how long the task should take; 0 if that is not known.
func (o *Observation) reference() time.Duration {
	if o.Elsewhere > 0 {
		return o.Elsewhere
	}
	return o.Expected
}

// WorkerSpeed is what the tasks on a worker show of its speed.
type WorkerSpeed struct {
	// Judged counts the tasks by which it was judged, Slow those of them that take far too long.
	Judged, Slow int
	// IsSlow means that the worker is slow, not only its tasks long.
	IsSlow bool
}

// JudgeWorker judges a worker by what runs on it: it is slow if most of its tasks take far too
// long, or all of them together. A task whose siblings on other workers are known is compared with
// them, and one such step is conclusive. By estimates alone, which are wrong for whole steps, two
// steps are.
func JudgeWorker(observations []Observation) WorkerSpeed {
	speed := WorkerSpeed{}
	all, compared := speedSum{}, speedSum{}
	slowSteps := []work.StepID{}
	isConclusive := false
	for i := range observations {
		o := &observations[i]
		reference := o.reference()
		if reference <= 0 {
			continue
		}
		speed.Judged++
		all.add(o)
		if o.Elsewhere > 0 {
			compared.add(o)
		}
		if !isSlow(o.AtRate, reference) {
			continue
		}
		speed.Slow++
		isConclusive = isConclusive || o.Elsewhere > 0
		if !slices.Contains(slowSteps, o.Step) {
			slowSteps = append(slowSteps, o.Step)
		}
	}
	areMostSlow := 2*speed.Slow > speed.Judged && (isConclusive || len(slowSteps) > 1)
	speed.IsSlow = areMostSlow || all.isSlow() && compared.isSlow()
	return speed
}

// speedSum is the sum of the speeds of tasks on one worker, each as a fraction of what it should be.
// A worker that turned four times slower makes two or three percent of a task between two samples, and a
// whole percent may be rounding: one task alone hardly shows it, some tasks together do.
type speedSum struct {
	count int
	// speed is the sum as reported; a task that is fast counts as 1. rounding is the sum of the
	// squares of what may be rounding.
	speed, rounding float64
}

func (s *speedSum) add(o *Observation) {
	highest := float64(o.reference()) / float64(o.AtRate)
	rounding := highest * o.Rounding
	s.count++
	s.speed += min(highest-rounding, 1)
	s.rounding += rounding * rounding
}

// isSlow reports whether the mean speed is far too low. The rounding errors of tasks are
// independent, so that their sum grows with the square root of their number.
func (s *speedSum) isSlow() bool {
	highest := s.speed + math.Sqrt(s.rounding)
	return s.count > 0 && highest*outlier.SlowRatio < float64(s.count)
}
