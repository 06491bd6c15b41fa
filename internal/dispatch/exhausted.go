// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"

	"github.com/leverdyke/leverdyke/internal/work"
)

// reasonExhausted is why a job fails whose task has no attempt left.
const reasonExhausted = "a task failed as often as it may"

// isExhausted reports whether a task has failed as often as its queue allows. That is not known of a queue
// without a policy, which a new owner may not have yet.
func (e *Engine) isExhausted(s *step, t *task) bool {
	limit := e.queues[s.job.spec.Queue].MaxAttempts
	return limit > 0 && !s.spec.IsLongRunning && s.failuresOf(t) >= limit
}

// failExhausted fails the jobs that have an exhausted task which would be started again, and returns the
// steps of the others. When the last attempt failed, another limit was in force, or none yet.
func (e *Engine) failExhausted(steps []*step) []*step {
	if !slices.ContainsFunc(steps, e.waitsExhausted) {
		return steps
	}
	for _, s := range steps {
		if e.waitsExhausted(s) {
			e.endJob(s.job, work.JobFailed, reasonExhausted)
		}
	}
	return slices.DeleteFunc(slices.Clone(steps), func(s *step) bool { return s.job.state.IsFinal() })
}

// waitsExhausted reports whether an exhausted task of the step waits to be started. One that may run by a
// previous owner's order may still succeed.
func (e *Engine) waitsExhausted(s *step) bool {
	if !s.hasFailures {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskWaiting && len(t.mayRunOn) == 0 && e.isExhausted(s, t) {
			return true
		}
	}
	return false
}
