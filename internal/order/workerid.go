// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package order

import (
	"strconv"
	"strings"
	"time"
)

// WorkerID names one start of a worker: what the platform calls the worker, and when that
// start began. A worker that crashes may start again under its name. It then holds and knows
// nothing of before, and counts and clock begin anew, so that nothing that is known of one
// start holds for another. Two IDs are equal when they name the same start.
type WorkerID string

const (
	// startMark is before the time of the start, which is empty where it is not known and
	// the name has a mark itself.
	incarnationSeparator = "@"
	// startBase is the base in which the time is written, to take few bytes in the store.
	incarnationBase = 36
)

// NewWorkerID returns the ID of the start of a worker that began at bornAt, by the worker's
// own time of day; zero when it does not tell. Times that differ are different starts; which
// of them is the newer one they do not tell, as clocks are set back.
func NewWorkerID(name string, startedAt time.Time) WorkerID {
	if !startedAt.IsZero() {
		return WorkerID(name + incarnationSeparator + strconv.FormatInt(startedAt.UnixMilli(), incarnationBase))
	}
	if strings.Contains(name, incarnationSeparator) {
		return WorkerID(name + incarnationSeparator)
	}
	return WorkerID(name)
}

// Name returns what the platform calls the worker.
func (id WorkerID) Name() string {
	name, _ := id.split()
	return name
}

// HasIncarnation reports whether it is known which start of the worker is meant.
func (id WorkerID) HasIncarnation() bool {
	_, incarnation := id.split()
	return incarnation != ""
}

// IsSameWorker reports whether both are starts of one worker, or may be the same start.
func (id WorkerID) IsSameWorker(other WorkerID) bool { return id.Name() == other.Name() }

// IsOtherIncarnation reports whether the two are known to be different starts of one worker: when
// one was there after the other, nothing of that one is left.
func (id WorkerID) IsOtherIncarnation(other WorkerID) bool {
	return id != other && id.IsSameWorker(other) && id.HasIncarnation() && other.HasIncarnation()
}

func (id WorkerID) split() (name, incarnation string) {
	i := strings.LastIndex(string(id), incarnationSeparator)
	if i < 0 {
		return string(id), ""
	}
	return string(id[:i]), string(id[i+len(incarnationSeparator):])
}
