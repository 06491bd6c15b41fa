// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import "time"

const (
	// starvedAfter is how long a job must have found no room, without any of its
	// tasks starting, before racks are asked to keep a VM for it.
	starvedAfter = 10 * time.Second
	// starvedPeriod is how often a rack is asked for it; a rack keeps a VM for
	// some times as long.
	starvedPeriod = time.Second
	// starvedPatience is after how long without an ask, such as for want of
	// quota, a job's right goes to another one.
	starvedPatience = 5 * time.Second
)

// noteBlocked notes since when a job finds no room, and returns the rack to ask
// all the same, or -1: the summaries tell of no VM with room for it, and while
// smaller tasks take whatever becomes free there will be none. One job of a home
// at a time has this right (decision 0012).
func (h *Home) noteBlocked(s *scanner, j *job) int {
	if j.blockedSince.IsZero() {
		j.blockedSince = s.now
	}
	if s.now.Sub(j.blockedSince) < starvedAfter || len(j.asked) > 0 {
		return -1
	}
	if h.starved == nil || s.now.Sub(h.starved.starvedAt) > starvedPatience {
		h.starved = j
		j.starvedRack, j.starvedAt = h.offset, time.Time{}
	}
	if h.starved != j || s.now.Sub(j.starvedAt) < starvedPeriod {
		return -1
	}
	j.starvedAt = s.now
	for i := range h.order {
		at := (i + j.starvedRack) % len(h.order)
		v := h.racks[h.order[at]]
		if v.hasRoom && j.spec.Each.FitsIn(v.room.Capacity) {
			// The same rack each time, so that it keeps the same VM.
			j.starvedRack = at
			return at
		}
	}
	return -1
}

// isStarvedAsk reports whether the job asks for a VM to be kept.
func (h *Home) isStarvedAsk(j *job) bool { return h.starved == j }

// endStarved ends a job's right when it has found room, or is no more.
func (h *Home) endStarved(j *job) {
	j.blockedSince = time.Time{}
	if h.starved == j {
		h.starved = nil
	}
}
