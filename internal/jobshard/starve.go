// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import "time"

const (
	// starvedAfter is how long a job must have found no room, without any of its
	// tasks starting, before racks are asked to keep a VM for it.
	starvedAfter = 10 * time.Second
	// starvedRequestPeriod is how often a rack is asked for it; a rack keeps a VM for
	// some times as long.
	starvedRequestPeriod = time.Second
	// starvedTimeout is after how long without an ask, such as for want of
	// quota, a job's right goes to another one.
	starvedTimeout = 5 * time.Second
)

// chooseStarvedRack notes since when a job finds no room, and returns the rack to ask
// all the same, or -1: the summaries tell of no VM with room for it, and while
// smaller tasks take whatever becomes free there will be none. One job of a home
// at a time has this right (decision 0012).
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
			// The same rack each time, so that it keeps the same VM.
			j.starvedRackIndex = index
			return index
		}
	}
	return -1
}

// isStarved reports whether the job asks for a VM to be kept.
func (h *Shard) isStarved(j *job) bool { return h.starvedJob == j }

// endStarvation ends a job's right when it has found room, or is no more.
func (h *Shard) endStarvation(j *job) {
	j.blockedSince = time.Time{}
	if h.starvedJob == j {
		h.starvedJob = nil
	}
}
