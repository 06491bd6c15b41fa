// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package throughput learns how fast each worker is compared with a typical one, from the run times
// of tasks. It does no I/O and reads no clock; the caller passes the current time.
package throughput

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
)

const (
	// decayTime is the time after which the weight of an observation has decayed to 1/e.
	decayTime = 40 * time.Second
	// priorWeight is how many observations count as much as the assumption that a worker is a
	// typical one.
	priorWeight = 4.0
	// maxDeviation limits the logarithm by which one run time may deviate from what is known: a
	// single task may take many times as long as its siblings on any worker.
	maxDeviation = 0.7
	// estimateWeight is the weight of a run time that is compared with an estimate, because the
	// task has no siblings. Estimates are much less accurate.
	estimateWeight = 0.1
	// maxWeight limits the restored weight of a worker, maxRatio how far a restored ratio may be
	// from 1.
	maxWeight = 100.0
	maxRatio  = 4.0
	// minWeight is the weight below which a worker is forgotten.
	minWeight = 0.05
	// maxWorkers limits the memory of a model. Further workers count as typical.
	maxWorkers = 16_384
	// rawSteps is the number of steps between 0 and 1 to which ratios are rounded, so that their
	// sum is exact.
	rawSteps = 1 << 20
)

// End is the successful end of a task, or what is known of one that still runs.
type End struct {
	Worker order.WorkerID
	// Took is the task's run time, which is positive.
	Took time.Duration
}

// WorkerRatio is what a Model knows of a worker.
type WorkerRatio struct {
	Worker order.WorkerID
	// Ratio is how long tasks take on the worker, compared with a typical one.
	Ratio float64
	// Weight is the number of observations that Ratio comes from. Old ones count less.
	Weight float64
}

// Model has how long tasks take on each worker compared with a typical worker. The zero value is
// ready to use. A worker is known by its observations, and counts as typical where there are few.
type Model struct {
	workers ordered.Map[order.WorkerID, speed]
	// rawSum is the sum of the raw ratios of all workers. It is exact, because these are multiples
	// of 1/rawSteps.
	rawSum float64
}

// speed is what is known of one worker.
type speed struct {
	// deviationSum is the sum of the observed deviations, as logarithms, each multiplied by its
	// weight; weight is the sum of the weights. Both have decayed until decayedAt.
	deviationSum, weight float64
	decayedAt            time.Time
	// raw is the ratio before the mean over all workers is taken out.
	raw float64
}

// deviation returns the logarithm of the ratio, shrunk towards 0 where little is known.
func (s *speed) deviation() float64 { return s.deviationSum / (s.weight + priorWeight) }

// decay lowers the weights by the time that has passed since the last call.
func (s *speed) decay(now time.Time) {
	if passed := now.Sub(s.decayedAt); passed > 0 {
		factor := math.Exp(-float64(passed) / float64(decayTime))
		s.deviationSum, s.weight, s.decayedAt = s.deviationSum*factor, s.weight*factor, now
	}
}

// Ratio returns how long tasks take on the worker compared with a typical worker: above 1 if it is
// slower, 1 if nothing is known of it. The mean over all known workers is 1.
func (m *Model) Ratio(w order.WorkerID) float64 {
	s, ok := m.workers.Find(w)
	if !ok {
		return 1
	}
	return s.raw / m.mean()
}

func (m *Model) mean() float64 {
	if m.workers.Len() == 0 {
		return 1
	}
	return m.rawSum / float64(m.workers.Len())
}

// Typical returns how long the tasks of a step take on a typical worker, by some that have ended or
// are likely to end at a known time; 0 if there are none. Single run times that differ greatly from
// the others have little influence.
func (m *Model) Typical(ends []End) time.Duration {
	if len(ends) == 0 {
		return 0
	}
	logs := make([]float64, len(ends))
	for i := range ends {
		logs[i] = math.Log(seconds(ends[i].Took) / m.Ratio(ends[i].Worker))
	}
	clip(logs)
	sum := 0.0
	for _, l := range logs {
		sum += l
	}
	return time.Duration(math.Exp(sum/float64(len(logs))) * float64(time.Second))
}

// seconds returns a run time in seconds, at least a millisecond.
func seconds(took time.Duration) float64 { return max(took, time.Millisecond).Seconds() }

// clip limits how far values are from their lower median.
func clip(values []float64) {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	median := sorted[(len(sorted)-1)/2]
	for i := range values {
		values[i] = min(max(values[i], median-maxDeviation), median+maxDeviation)
	}
}

// Observe adds the ends of the tasks of one step, all of them at once: the first ones to end are
// the shortest. Each is compared with those on other workers. A step of one task is compared with
// how long it was expected to take, at a low weight; expected is 0 if that is not known.
func (m *Model) Observe(now time.Time, ends []End, expected time.Duration) {
	if len(ends) == 1 && expected > 0 {
		deviation := math.Log(seconds(ends[0].Took) / seconds(expected))
		m.add(now, ends[0].Worker, deviation, estimateWeight)
	}
	if len(ends) < 2 {
		return
	}
	for _, o := range m.compare(ends) {
		m.add(now, o.worker, o.deviation, o.weight)
	}
}

// observation is the mean deviation of a worker's tasks of a step from those on other workers.
type observation struct {
	worker            order.WorkerID
	deviation, weight float64
}

// compare compares the run times on each worker with those on the others.
func (m *Model) compare(ends []End) []observation {
	sorted := slices.Clone(ends)
	slices.SortStableFunc(sorted, func(a, b End) int { return cmp.Compare(a.Worker, b.Worker) })
	logs := make([]float64, len(sorted))
	for i := range sorted {
		logs[i] = math.Log(seconds(sorted[i].Took) / m.Ratio(sorted[i].Worker))
	}
	clip(logs)
	total := 0.0
	for _, l := range logs {
		total += l
	}
	out := []observation{}
	for i := 0; i < len(sorted); {
		own, sum, first := 0, 0.0, i
		for ; i < len(sorted) && sorted[i].Worker == sorted[first].Worker; i++ {
			own++
			sum += logs[i]
		}
		others := len(sorted) - own
		if others == 0 {
			return nil
		}
		deviation := sum/float64(own) - (total-sum)/float64(others) + math.Log(m.Ratio(sorted[first].Worker))
		out = append(out, observation{sorted[first].Worker, deviation, float64(own) * float64(others) / float64(len(sorted))})
	}
	return out
}

// add adds one observation of a worker.
func (m *Model) add(now time.Time, w order.WorkerID, deviation, weight float64) {
	s, isKnown := m.workers.Find(w)
	if !isKnown {
		if m.workers.Len() >= maxWorkers {
			return
		}
		s.decayedAt = now
	}
	s.decay(now)
	current := s.deviation()
	deviation = min(max(deviation, current-maxDeviation), current+maxDeviation)
	s.deviationSum += weight * deviation
	s.weight += weight
	m.set(w, s)
}

// set stores what is known of a worker.
func (m *Model) set(w order.WorkerID, s speed) {
	m.rawSum -= m.workers.Get(w).raw
	s.raw = math.Round(math.Exp(s.deviation())*rawSteps) / rawSteps
	m.rawSum += s.raw
	m.workers.Set(w, s)
}

// Decay lowers the weight of what was observed earlier, also for workers on which nothing has ended
// since, and forgets those of which nothing recent is known. It is called every few seconds.
func (m *Model) Decay(now time.Time) {
	for w, s := range m.workers.All() {
		s.decay(now)
		if s.weight < minWeight {
			m.Forget(w)
			continue
		}
		m.set(w, s)
	}
}

// Forget removes a worker.
func (m *Model) Forget(w order.WorkerID) {
	m.rawSum -= m.workers.Get(w).raw
	m.workers.Delete(w)
}

// Snapshot returns what is known of each worker, sorted by worker.
func (m *Model) Snapshot() []WorkerRatio {
	out := make([]WorkerRatio, 0, m.workers.Len())
	for w, s := range m.workers.All() {
		out = append(out, WorkerRatio{w, s.raw / m.mean(), s.weight})
	}
	slices.SortFunc(out, func(a, b WorkerRatio) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// Restore adds workers from a snapshot, as if it had been taken now. It ignores entries that are
// not valid, and workers of which something is known already.
func (m *Model) Restore(workers []WorkerRatio, now time.Time) {
	for _, r := range workers {
		if _, isKnown := m.workers.Find(r.Worker); isKnown || m.workers.Len() >= maxWorkers || !r.isValid() {
			continue
		}
		weight := min(r.Weight, maxWeight)
		m.set(r.Worker, speed{deviationSum: math.Log(r.Ratio) * (weight + priorWeight), weight: weight, decayedAt: now})
	}
}

func (r *WorkerRatio) isValid() bool {
	return r.Worker != "" && r.Weight >= minWeight && !math.IsInf(r.Weight, 0) && r.Ratio >= 1/maxRatio && r.Ratio <= maxRatio
}
