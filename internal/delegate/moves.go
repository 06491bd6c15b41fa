// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"maps"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// maxMovedShare is the share of the workers of a late delegate that others may talk to. The
	// answers for the remaining ones show when the delegate is in time again.
	maxMovedShare = 0.75
	// moveShare is the share that moves at a time, which is once in latenessInterval: a quarter of
	// the workers in a second.
	moveShare = 0.125
)

// Move says how many workers move off a late delegate or back to it.
type Move struct {
	Node     string
	Lateness time.Duration
	// Away and Back count the workers that move; one of them is 0. Moved is how many are then moved
	// off the delegate in all.
	Away, Back, Moved int
}

// moves holds which workers have another delegate than the plan says. The zero value has none.
type moves struct {
	// delegates has the delegate of each moved worker.
	delegates map[string]string
	// undone are the workers that are to change their delegate as soon as they have no order in
	// flight.
	undone map[string]bool
	// inFlight counts, by worker, the unresolved orders other than polls and paces.
	inFlight map[string]int
}

func newMoves() moves {
	return moves{delegates: map[string]string{}, undone: map[string]bool{}, inFlight: map[string]int{}}
}

// set moves a worker to a delegate; "" moves it back to the one of the plan.
func (m *moves) set(worker, node string) {
	if node == "" {
		delete(m.delegates, worker)
	} else {
		m.delegates[worker] = node
	}
	m.undone[worker] = true
}

// mayChange reports whether the worker is to change its delegate now, and if so, that it has.
func (m *moves) mayChange(worker string) bool {
	if !m.undone[worker] || m.inFlight[worker] > 0 {
		return false
	}
	delete(m.undone, worker)
	return true
}

func (m *moves) orderSent(worker string, a order.Action) {
	if mustStayTogether(a) {
		m.inFlight[worker]++
	}
}

func (m *moves) orderSettled(worker string, a order.Action) {
	if !mustStayTogether(a) {
		return
	}
	m.inFlight[worker]--
	if m.inFlight[worker] == 0 {
		delete(m.inFlight, worker)
	}
}

// mustStayTogether reports whether no order to the same worker may go through another delegate
// until this one is settled. A poll is always in flight, and a pace has no outcome that counts.
func mustStayTogether(a order.Action) bool {
	switch a.(type) {
	case order.Start, order.Stop:
		return true
	}
	return false
}

// MoveWorkers moves a bounded part of the workers of late delegates to others that may talk to them
// by the plan, and back when the delegate is in time again.
func (r *Router) MoveWorkers(now time.Time) []Move {
	names := make([]string, len(r.plan.nodes))
	for i := range r.plan.nodes {
		names[i] = r.plan.nodes[i].Name
	}
	slices.Sort(names)
	verdicts := r.lateness.Judge(names, now)
	out := []Move{}
	for _, v := range verdicts {
		m := Move{Node: v.Node, Lateness: v.Lateness}
		switch v.Judgement {
		case JudgedLate:
			m.Away = r.moveAway(v.Node, verdicts)
		case JudgedInTime:
			m.Back = r.moveBack(v.Node)
		}
		if m.Away+m.Back > 0 {
			m.Moved = len(r.movedOff(v.Node))
			r.movedTotal += m.Away
			out = append(out, m)
		}
	}
	return out
}

// MovedTotal returns how often a worker was moved off a late delegate.
func (r *Router) MovedTotal() int { return r.movedTotal }

// moveAway moves the next workers off a delegate and returns how many. Workers that were moved to it
// from other late delegates go first.
func (r *Router) moveAway(node string, verdicts []Verdict) int {
	a := r.assignmentOf(node)
	count := 0
	for i, worker := range slices.Concat(a.received, a.kept) {
		isKept := i >= len(a.received)
		if count >= moveCount(a.planned) || isKept && a.planned-len(a.kept)+count >= int(maxMovedShare*float64(a.planned)) {
			break
		}
		candidates := slices.DeleteFunc(slices.Clone(r.plan.candidates(r.zoneByWorker[worker])), func(n Node) bool {
			return !mayReceive(n.Name, verdicts) || a.load[n.Name] >= overcommitFactor*n.Capacity
		})
		to := chooseNode(candidates, worker)
		if to == "" {
			continue
		}
		a.load[to]++
		count++
		r.moves.set(worker, to)
	}
	return count
}

// moveCount returns how many of the workers of a delegate may move at a time.
func moveCount(workers int) int { return max(int(moveShare*float64(workers)), 1) }

func mayReceive(node string, verdicts []Verdict) bool {
	return slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.Node == node && v.MayReceive })
}

// assignment describes the workers of one delegate.
type assignment struct {
	// planned is how many workers the delegate has by the plan. kept are those of them that were not
	// moved, and received are workers of other delegates that were moved to this one; both are
	// sorted.
	planned        int
	kept, received []string
	// load is how many workers each delegate has.
	load map[string]int
}

func (r *Router) assignmentOf(node string) *assignment {
	a := &assignment{load: map[string]int{}}
	for worker, zone := range r.zoneByWorker {
		planned := r.plan.delegateOf(worker, zone)
		chosen := r.choose(worker)
		a.load[chosen]++
		if planned == node {
			a.planned++
		}
		switch {
		case chosen != node:
		case planned == node:
			a.kept = append(a.kept, worker)
		default:
			a.received = append(a.received, worker)
		}
	}
	slices.Sort(a.kept)
	slices.Sort(a.received)
	return a
}

// movedOff returns the workers that were moved off a delegate, sorted.
func (r *Router) movedOff(node string) []string {
	out := []string{}
	for _, worker := range slices.Sorted(maps.Keys(r.moves.delegates)) {
		if r.plan.delegateOf(worker, r.zoneByWorker[worker]) == node {
			out = append(out, worker)
		}
	}
	return out
}

// moveBack moves the next workers back to a delegate and returns how many.
func (r *Router) moveBack(node string) int {
	moved := r.movedOff(node)
	if len(moved) == 0 {
		return 0
	}
	count := min(moveCount(r.assignmentOf(node).planned), len(moved))
	for _, worker := range moved[:count] {
		r.moves.set(worker, "")
	}
	return count
}

// dropMoves keeps only the moves of listed workers from delegates of the plan to others of the
// plan. It is called when the plan changes.
func (r *Router) dropMoves() {
	clear(r.moves.undone)
	maps.DeleteFunc(r.moves.delegates, func(worker, to string) bool {
		zone, isListed := r.zoneByWorker[worker]
		from := r.plan.delegateOf(worker, zone)
		isPlanned := slices.ContainsFunc(r.plan.candidates(zone), func(n Node) bool { return n.Name == to })
		return !isListed || !isPlanned || from == "" || from == to
	})
}
