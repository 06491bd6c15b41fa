// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"

	"github.com/leverdyke/leverdyke/internal/events"
)

// SetDrainedZones sets the availability zones that operators drain; each call passes all of them.
// Until a zone is no longer among them, nothing is started on its workers. Their tasks run to their
// end, but for long-running ones, which are moved while there is capacity elsewhere. A start that the
// caller of the engine has not been given yet is dropped, and its task waits again.
func (e *Engine) SetDrainedZones(zones []string) {
	if slices.Equal(e.drainedZones, zones) {
		return
	}
	previous := e.drainedZones
	e.drainedZones = slices.Clone(zones)
	e.needsScheduling = true
	for _, w := range e.workers.All() {
		e.updateZoneDrain(w)
		if w.isZoneDrained {
			e.dropUnsentStarts(w)
		}
		e.storeWorkerInUse(w)
	}
	e.logZoneChanges(events.ZoneDrained, e.drainedZones, previous)
	e.logZoneChanges(events.ZoneReturned, previous, e.drainedZones)
}

// updateZoneDrain updates whether the worker's zone is drained. The zone is unknown only if the worker's
// entry is uncertain; such a worker gets nothing new anyway.
func (e *Engine) updateZoneDrain(w *worker) {
	w.isZoneDrained = slices.Contains(e.drainedZones, w.Zone)
	w.needsTick = w.needsTick || w.isZoneDrained
}

// dropUnsentStarts drops the starts on a worker that have not been handed out.
func (e *Engine) dropUnsentStarts(w *worker) {
	for _, a := range w.attempts.All() {
		if a.phase == phasePlanned || a.phase == phaseOrdered && !a.isSent {
			e.stop(a, "its zone is drained")
		}
	}
}

// logZoneChanges logs the zones that are in zones and not in others.
func (e *Engine) logZoneChanges(event events.Event, zones, others []string) {
	for _, zone := range zones {
		if slices.Contains(others, zone) {
			continue
		}
		workers, attempts := e.zoneTotals(zone)
		e.options.Log(event, "zone", zone, "workers", workers, "attempts", attempts)
	}
}

// zoneTotals returns how many workers the zone has and how many attempts are charged to them.
func (e *Engine) zoneTotals(zone string) (workers, attempts int) {
	for _, w := range e.workers.All() {
		if w.Zone == zone {
			workers++
			attempts += w.attempts.Len()
		}
	}
	return workers, attempts
}

// mayMoveOffZone reports whether a long-running task may be moved off a drained zone: another worker
// has capacity for it, and the step allows that one of its tasks does not run for a while. The worker
// goes on, so that a task which cannot move is better left where it is.
func (e *Engine) mayMoveOffZone(s *step) bool {
	if s.spec.MaxUnavailable == 0 || e.now.Sub(s.noRoomElsewhereAt) < recheckInterval {
		return false
	}
	pool := e.queues[s.job.spec.Queue].Service
	for id, w := range e.workers.All() {
		if !e.isUsable(w, s) || !e.mayRun(w, s, pool) || e.fitCount(w, s) == 0 {
			continue
		}
		if isPermitted, isKnown := s.permissions.IsAllowed(id); isPermitted || !isKnown {
			return true
		}
	}
	s.noRoomElsewhereAt = e.now
	return false
}
