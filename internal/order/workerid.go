// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package order

import (
	"strconv"
	"strings"
	"time"
)

// WorkerID identifies one incarnation of a worker: the worker's name on the platform, and the
// time at which that incarnation started. A worker that crashes may restart under its name. The
// new incarnation has none of the tasks and no memory of the former, and its counters and its
// clock begin anew, so that nothing known of one incarnation applies to another. Two IDs are
// equal when they identify the same incarnation.
type WorkerID string

const (
	// incarnationSeparator stands between the name and the start time. The start time is left
	// empty where it is not known and the name contains the separator itself.
	incarnationSeparator = "@"
	// incarnationBase is the number base of the start time, chosen to take few bytes in the
	// store.
	incarnationBase = 36
)

// NewWorkerID returns the ID of the incarnation of a worker that started at startedAt by the
// worker's own wall clock; zero when the worker does not report it. Different times are different
// incarnations. They do not show which is the newer one, as wall clocks may be set back.
func NewWorkerID(name string, startedAt time.Time) WorkerID {
	if !startedAt.IsZero() {
		return WorkerID(name + incarnationSeparator + strconv.FormatInt(startedAt.UnixMilli(), incarnationBase))
	}
	if strings.Contains(name, incarnationSeparator) {
		return WorkerID(name + incarnationSeparator)
	}
	return WorkerID(name)
}

// Name returns the worker's name on the platform.
func (id WorkerID) Name() string {
	name, _ := id.split()
	return name
}

// HasIncarnation reports whether the ID says which incarnation of the worker it identifies.
func (id WorkerID) HasIncarnation() bool {
	_, incarnation := id.split()
	return incarnation != ""
}

// IsSameWorker reports whether both IDs have the same worker's name. They may then identify the
// same incarnation or different ones.
func (id WorkerID) IsSameWorker(other WorkerID) bool { return id.Name() == other.Name() }

// IsOtherIncarnation reports whether the two are known to be different incarnations of one
// worker: when one was seen after the other, nothing of the earlier one runs any more.
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
