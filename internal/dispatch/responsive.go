// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"

	"github.com/leverdyke/leverdyke/internal/order"
)

// isResponsive reports whether the worker has reported what it runs and has not missed its last poll.
func (w *worker) isResponsive() bool { return w.session.IsListed() && !w.session.HasMissed() }

// staysResponsive reports whether the worker is responsive and not about to leave.
func (w *worker) staysResponsive() bool { return w.isResponsive() && !w.isUnlisted && !w.IsDraining }

// ResponsiveWorkers returns up to n workers that stay and answer their polls: those of current that do, then others of
// the availability zones with the fewest.
func (e *Engine) ResponsiveWorkers(current []order.WorkerID, n int) []order.WorkerID {
	chosen := slices.DeleteFunc(slices.Clone(current), func(id order.WorkerID) bool {
		w := e.workers.Get(id)
		return w == nil || !w.staysResponsive()
	})
	if len(chosen) >= n {
		return chosen[:n]
	}
	perZone, candidates := map[string]int{}, []*worker{}
	for _, w := range e.workers.All() {
		switch {
		case slices.Contains(chosen, w.ID):
			perZone[w.Zone]++
		case w.staysResponsive():
			candidates = append(candidates, w)
		}
	}
	for len(chosen) < n && len(candidates) > 0 {
		best := 0
		for i, w := range candidates {
			if perZone[w.Zone] < perZone[candidates[best].Zone] {
				best = i
			}
		}
		w := candidates[best]
		perZone[w.Zone]++
		chosen, candidates = append(chosen, w.ID), slices.Delete(candidates, best, best+1)
	}
	return chosen
}

// PollImmediately polls workers for an immediate answer, as far as they are known.
func (e *Engine) PollImmediately(ids []order.WorkerID) {
	for _, id := range ids {
		if w := e.workers.Get(id); w != nil {
			e.pollNow(w)
		}
	}
}
