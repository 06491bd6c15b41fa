// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// savePeriod is the work after which a task saves its progress, restoreDelay the time that it takes to
	// resume from it.
	savePeriod   = 100 * time.Millisecond
	restoreDelay = 50 * time.Millisecond
)

// checkpointOwner returns by what a checkpoint is recognized as one of a task, or of any member of its gang.
func checkpointOwner(task string, step *stepSpec) string {
	if step.isGang {
		task = stepName(task)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return fmt.Sprintf("%08x", h.Sum32())
}

// parseCheckpoint returns the work that a checkpoint has saved, false if it is none of the task.
func parseCheckpoint(text, task string, step *stepSpec) (time.Duration, bool) {
	if text == "" {
		return 0, true
	}
	if len(text) != 16 || text[8:] != checkpointOwner(task, step) || !step.isCheckpointing {
		return 0, false
	}
	ms, err := strconv.ParseUint(text[:8], 16, 32)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// worked returns how much of its work a run has done, with what it resumed from.
func (r *taskRun) worked() time.Duration {
	if r.workingSince.IsZero() {
		return r.restored
	}
	return r.restored + max(time.Since(r.workingSince), 0)
}

// saved returns the newest checkpoint of a run; a stop saves all of its work.
func (r *taskRun) saved(task string, isStop bool) string {
	work := r.worked()
	if !isStop {
		work = r.restored + (work - r.restored).Truncate(savePeriod)
	}
	if !r.step.isCheckpointing || work == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", work.Milliseconds(), checkpointOwner(task, &r.step))
}
