// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import "time"

const (
	// starvedAfter is how long a job must have found no free capacity, without any
	// of its tasks starting, before racks are asked to keep a VM free for it.
	starvedAfter = 10 * time.Second
	// starvedRequestPeriod is how often a rack is asked for this. Each request makes
	// the rack keep a VM free for several such periods.
	starvedRequestPeriod = time.Second
	// starvedTimeout is the time without a request, for example because the quota is
	// used up, after which another job may take this job's place.
	starvedTimeout = 5 * time.Second
)

// chooseStarvedRack records that the job finds no free capacity. If this has
// lasted for starvedAfter, it returns the index of a rack to send the task to
// nevertheless, so that the rack keeps a VM free for it; otherwise -1. No
// summary shows a VM with enough free capacity, and there would never be one as
// long as smaller tasks use whatever becomes free. Only one job of a shard at a
// time gets this (decision 0012).
func (h *Shard) chooseStarvedRack(s *scanner, j *job) int {
	if j.blockedSince.IsZero() {
		j.blockedSince = s.now
	}
	if s.now.Sub(j.blockedSince) < starvedAfter || len(j.requested) > 0 {
		return -1
	}
	if h.starvedJob == nil || s.now.Sub(h.starvedJob.starvedRequestAt) > starvedTimeout {
		h.starvedJob = j
		j.starvedRackIndex, j.starvedRequestAt = h.rackOffset, time.Time{}
	}
	if h.starvedJob != j || s.now.Sub(j.starvedRequestAt) < starvedRequestPeriod {
		return -1
	}
	j.starvedRequestAt = s.now
	for i := range h.rackOrder {
		index := (i + j.starvedRackIndex) % len(h.rackOrder)
		v := h.racks[h.rackOrder[index]]
		if v.hasSummary && j.spec.Each.FitsIn(v.summary.Capacity) {
			// The same rack each time, so that it keeps the same VM free.
			j.starvedRackIndex = index
			return index
		}
	}
	return -1
}

// isStarved reports whether the job is the one for which racks keep a VM free.
func (h *Shard) isStarved(j *job) bool { return h.starvedJob == j }

// endStarvation is called when a task of the job has started or the job has
// ended.
func (h *Shard) endStarvation(j *job) {
	j.blockedSince = time.Time{}
	if h.starvedJob == j {
		h.starvedJob = nil
	}
}
