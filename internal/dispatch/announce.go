// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"github.com/leverdyke/leverdyke/internal/work"
)

// Ends of jobs are told to callers once they are kept. While the store is slow or
// out they are told once they are announced to the other nodes: the worker that
// listed a task's end may be gone with it before the next owner asks, and a job
// whose caller knows that it is over must not run again.

// announce notes that the final state of a job is to be announced. Nobody but
// this owner would know of a cancelling, which is only told when it is kept.
func (e *Engine) announce(j *job) {
	if !j.state.IsFinal() || j.state == work.JobCancelled || j.isShown || j.isAnnounced || !j.isKept {
		return
	}
	e.ends = append(e.ends, work.JobEnd{Job: j.spec.ID, State: j.state})
}

// Ends returns the ends to announce since the last call. They count as announced
// from then on.
func (e *Engine) Ends() []work.JobEnd {
	ends := e.ends
	e.ends = nil
	for _, end := range ends {
		if j := e.jobs[end.Job]; j != nil {
			e.setAnnounced(j)
		}
	}
	return ends
}

func (e *Engine) setAnnounced(j *job) {
	if j.isAnnounced || j.isShown {
		return
	}
	j.isAnnounced = true
	e.unshown++
}

// setShown says that the final state of a job is kept.
func (e *Engine) setShown(j *job) {
	if j.isAnnounced && !j.isShown {
		e.unshown--
	}
	j.isShown = true
}

// TakeEnds takes ends that an earlier owner announced, and ends these jobs if it
// could not keep that.
func (e *Engine) TakeEnds(ends []work.JobEnd) {
	for _, end := range ends {
		j := e.jobs[end.Job]
		if j == nil || !j.isKept || j.state.IsFinal() || !end.State.IsFinal() {
			continue
		}
		e.endJob(j, end.State, "announced by an earlier owner")
		e.setAnnounced(j)
	}
}
