// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/discard"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/throughput"
)

// placeGang starts all tasks of a gang, or none of them.
func (e *Engine) placeGang(s *step, q *order.Queue) {
	if s.waiting < len(s.tasks) || s.hasUncertainTask() || e.allowedByQuota(s) == 0 {
		return
	}
	workers := e.gangWorkers(s, q)
	if workers == nil {
		if q.Permission != nil {
			e.queryPermission(s, q.Permission, len(s.tasks))
		}
		e.reserveFor(s, q, len(s.tasks))
		return
	}
	run := s.highestRun() + 1
	for i, w := range workers {
		e.startTask(w, s, i, run)
	}
	e.options.Log(events.StepPlaced, "step", s.id, "queue", q.Name, "placed", len(workers), "run", run, "waited", e.now.Sub(s.openedAt))
}

// hasUncertainTask reports whether a previous owner may have started a task of the step on a worker
// that has not reported yet whether it runs it.
func (s *step) hasUncertainTask() bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool { return len(t.mayRunOn) > 0 })
}

// gangWorkers returns a worker for each task of a gang, or nil if there are not enough. If the step
// asks for one rack and a rack can take the whole gang, all workers are in that rack.
func (e *Engine) gangWorkers(s *step, q *order.Queue) []*worker {
	if s.spec.IsSameRack {
		for _, rack := range e.racks() {
			if workers := e.gangWorkersIn(s, q, rack); workers != nil {
				return workers
			}
		}
	}
	return e.gangWorkersIn(s, q, "")
}

// racks returns the racks of all known workers, in alphabetical order.
func (e *Engine) racks() []string {
	racks := map[string]bool{}
	for _, w := range e.workers.All() {
		if w.Rack != "" {
			racks[w.Rack] = true
		}
	}
	return slices.Sorted(maps.Keys(racks))
}

// gangWorkersIn returns a worker in the rack for each task of a gang, or nil if there are not
// enough. An empty rack stands for all racks. The workers are of like speed if enough are.
func (e *Engine) gangWorkersIn(s *step, q *order.Queue, rack string) []*worker {
	if band := e.gangBand(s, q, rack); band != (throughput.Band{}) {
		if workers := e.gangWorkersWithin(s, q, &partialGang{map[*worker]int{}, rack, band}); workers != nil {
			return workers
		}
	}
	return e.gangWorkersWithin(s, q, &partialGang{map[*worker]int{}, rack, throughput.Band{}})
}

// gangBand returns the speeds between which a gang's workers should be: the slowest member decides
// when the gang ends, and the others hold their capacity until then. It is the zero Band where that
// makes no difference.
func (e *Engine) gangBand(s *step, q *order.Queue, rack string) throughput.Band {
	if !e.hasUsableObjective(s) {
		return throughput.Band{}
	}
	slots := []throughput.Slots{}
	for _, w := range e.permittedWorkers(s, q) {
		if rack != "" && w.Rack != rack {
			continue
		}
		if n := e.fitCount(w, s); n > 0 {
			slots = append(slots, throughput.Slots{Ratio: e.speedRatio(w), Count: n})
		}
	}
	return throughput.ChooseBand(slots, len(s.tasks), e.objective(s).NeedsFast())
}

// gangWorkersWithin returns a worker for each task of a gang, or nil if there are not enough.
func (e *Engine) gangWorkersWithin(s *step, q *order.Queue, gang *partialGang) []*worker {
	workers := make([]*worker, 0, len(s.tasks))
	for i := range s.tasks {
		w := e.chooseWorker(s, i, q, gang)
		if w == nil {
			return nil
		}
		gang.assigned[w]++
		workers = append(workers, w)
	}
	return workers
}

// gangStalledSince returns since when a member of a gang makes no progress although it should. The
// members begin together, once all of them have started, and end together, once the slowest has done
// its work: a member without progress may only be waiting for others. While it waits, the result is
// the time of its worker's last listing, so that it does not count as stalled.
func (s *step) gangStalledSince(a *attempt) time.Time {
	since := a.percentChangedAt
	for i := range s.tasks {
		member := s.tasks[i].attempt
		if member == a {
			continue
		}
		switch {
		case member == nil || member.run != a.run || member.phase != phaseRunning:
			return a.worker.session.ListedAt()
		case a.percent >= discard.NearlyDonePercent && member.percent < discard.NearlyDonePercent:
			return a.worker.session.ListedAt()
		case a.percent >= discard.NearlyDonePercent && member.percentChangedAt.After(since):
			since = member.percentChangedAt
		case a.percent == 0 && member.startConfirmedAt.After(since):
			since = member.startConfirmedAt
		}
	}
	return since
}

// partialGang is the partial placement of a gang: how many members each worker has been assigned,
// the rack that all must be in, empty if any will do, and the speeds that its workers must have.
type partialGang struct {
	assigned map[*worker]int
	rack     string
	band     throughput.Band
}
