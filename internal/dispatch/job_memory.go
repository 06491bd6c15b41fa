// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"unsafe"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// ordinarySpecBytes and ordinaryRoundBytes are the memory of a job's specification and of one of its rounds up to which it
	// is not counted as a large one.
	ordinarySpecBytes  = 16 << 10
	ordinaryRoundBytes = 256 << 10
	// taskBytes is about what a task takes with an attempt, which is also in the worker's map.
	taskBytes = int64(unsafe.Sizeof(task{})+unsafe.Sizeof(attempt{})) + 256
	stepBytes = int64(unsafe.Sizeof(step{}))
	// defaultRoundMemory is Options.RoundMemory where that is 0.
	defaultRoundMemory = 24 << 20
)

// roundBytes returns about how much memory one round of a job takes.
func roundBytes(spec *work.Spec) int64 {
	n := int64(0)
	for i := range spec.Steps {
		n += stepBytes + int64(spec.Steps[i].Count)*taskBytes
	}
	return n
}

// furtherRoundBytes returns the memory of an open round beyond the first one. It is 0 for a job with long-running steps, whose rounds
// are all counted when it is accepted: none of them ends before the job.
func furtherRoundBytes(spec *work.Spec) int64 {
	if hasLongRunning(spec) {
		return 0
	}
	return roundBytes(spec)
}

func hasLongRunning(spec *work.Spec) bool {
	return slices.ContainsFunc(spec.Steps, func(s work.Step) bool { return s.IsLongRunning })
}

// LargeBytes returns how much memory a job takes beyond that of a job of ordinary size: its specification and one round, or all rounds
// if none of them ends. Further rounds are opened within Options.RoundMemory.
func LargeBytes(spec *work.Spec) int64 {
	held := roundBytes(spec)
	if hasLongRunning(spec) {
		held *= int64(max(spec.Rounds, 1))
	}
	return largeSpecBytes(spec) + max(held-ordinaryRoundBytes, 0)
}

// largeSpecBytes returns what is left of LargeBytes once the rounds of a job are dropped.
func largeSpecBytes(spec *work.Spec) int64 { return max(spec.MemoryBytes()-ordinarySpecBytes, 0) }

// LargeJobBytes returns the sum of LargeBytes of all jobs that have not ended, and of what is left of the others.
func (e *Engine) LargeJobBytes() int64 { return e.largeJobBytes }

func (e *Engine) maxFurtherRoundBytes() int64 {
	if e.options.RoundMemory > 0 {
		return e.options.RoundMemory
	}
	return defaultRoundMemory
}

func (e *Engine) insertJob(j *job) {
	e.jobs[j.spec.ID] = j
	e.largeJobBytes += j.largeBytes
}

func (e *Engine) removeJob(j *job) {
	delete(e.jobs, j.spec.ID)
	e.largeJobBytes -= j.largeBytes
}

func (e *Engine) setLargeBytes(j *job, bytes int64) {
	e.largeJobBytes += bytes - j.largeBytes
	j.largeBytes = bytes
}
