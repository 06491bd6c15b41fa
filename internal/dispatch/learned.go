// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"

	"github.com/leverdyke/leverdyke/internal/estimate"
	"github.com/leverdyke/leverdyke/internal/learned"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/throughput"
)

// Learned returns what the engine has learned, for the next owner.
func (e *Engine) Learned() learned.State {
	s := learned.State{TakenAt: e.now.Round(0).Add(e.wallClockOffset)}
	if !e.isEnabled(MechanismLearned) {
		return s
	}
	for _, queue := range slices.Sorted(maps.Keys(e.estimates)) {
		if r := e.estimates[queue].Summary(); r.Samples > 0 {
			s.RunTimes = append(s.RunTimes, learned.QueueRunTimes{Queue: queue, Samples: r.Samples, Bias: r.Bias, Error: r.Error})
		}
	}
	for _, r := range e.throughput.Snapshot() {
		s.Speeds = append(s.Speeds, learned.WorkerSpeed{Worker: r.Worker, Ratio: r.Ratio, Weight: r.Weight})
	}
	for _, q := range e.planner.Shares().Snapshot() {
		s.Shares = append(s.Shares, learned.QueueShare{Queue: q.Queue, Share: q.Share, Weight: q.Weight})
	}
	return s
}

// RestoreLearned lets the engine begin with what an earlier owner has learned. It is called before
// the engine has observed anything itself.
func (e *Engine) RestoreLearned(s learned.State) {
	if !e.isEnabled(MechanismLearned) {
		return
	}
	s = s.Discounted()
	for _, r := range s.RunTimes {
		if e.estimates[r.Queue] == nil {
			e.estimates[r.Queue] = &estimate.RunTimes{}
		}
		e.estimates[r.Queue].Restore(estimate.RunTimesSummary{Samples: r.Samples, Bias: r.Bias, Error: r.Error})
	}
	speeds := make([]throughput.WorkerRatio, len(s.Speeds))
	for i, w := range s.Speeds {
		speeds[i] = throughput.WorkerRatio{Worker: w.Worker, Ratio: w.Ratio, Weight: w.Weight}
	}
	e.throughput.Restore(speeds, e.now)
	shares := make([]permit.QueueShare, len(s.Shares))
	for i, q := range s.Shares {
		shares[i] = permit.QueueShare{Queue: q.Queue, Share: q.Share, Weight: q.Weight}
	}
	e.planner.Shares().Restore(shares)
}
