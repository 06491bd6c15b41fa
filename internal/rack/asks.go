// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// pendingAsk is one attempt that is asked for, until the next Flush.
type pendingAsk struct {
	ask  *node.Ask
	item *node.AskItem
}

// The reasons for refusing an attempt. None of them lets it be started later.
const (
	whyEpoch   = "the ask is for another epoch of the rack"
	whyHome    = "another node is the home now"
	whyDeputy  = "the rack is kept alive by a deputy while the log is out"
	whyNoRoom  = "no room"
	whyOther   = "another attempt of the task is here"
	whyEarmark = "the room is kept for an all-at-once job"
	whyNoHold  = "the held place has lapsed"
)

// settled are a home's attempts that must not start any more.
type settled struct {
	floor uint64
	why   map[uint64]string
}

func (r *Rack) settledOf(home state.ShardID) *settled {
	s := r.settled[home]
	if s == nil {
		s = &settled{why: map[uint64]string{}}
		r.settled[home] = s
	}
	return s
}

// raiseFloor forgets what no late ask can bring back.
func (s *settled) raiseFloor(floor uint64) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for attempt := range s.why {
		if attempt < floor {
			delete(s.why, attempt)
		}
	}
}

// acceptHome reports whether the epoch is the home's highest seen here.
func (r *Rack) acceptHome(home state.ShardID, epoch uint64) bool {
	if epoch < r.homes[home] {
		return false
	}
	r.homes[home] = epoch
	return true
}

// OnAsk takes an ask; it is settled with the others at the next Flush.
func (r *Rack) OnAsk(ask *node.Ask) {
	why := ""
	switch {
	case ask.RackEpoch != r.Epoch:
		why = whyEpoch
	case !r.acceptHome(ask.Home, ask.HomeEpoch):
		why = whyHome
	case r.options.IsDeputy:
		why = whyDeputy
	}
	if why == "" {
		r.settledOf(ask.Home).raiseFloor(ask.Floor)
	}
	for i := range ask.Items {
		if why != "" {
			r.answerRefused(ask, ask.Items[i].Task.Key, why)
			continue
		}
		r.asks = append(r.asks, pendingAsk{ask, &ask.Items[i]})
	}
}

// Flush settles the asks that came since the last one: class, then the team's
// share of its quota, then age.
func (r *Rack) Flush(now time.Time) {
	r.retryUrgents(now)
	r.retryPushedGrants(now)
	if len(r.asks) == 0 {
		return
	}
	asks := r.asks
	r.asks = nil
	slices.SortStableFunc(asks, func(a, b pendingAsk) int {
		return cmp.Or(
			cmp.Compare(a.item.Task.Class.Rank(), b.item.Task.Class.Rank()),
			cmp.Compare(a.item.Share, b.item.Share), cmp.Compare(b.item.Age, a.item.Age),
		)
	})
	for _, p := range asks {
		r.settle(now, p)
	}
}

// settle starts one attempt or refuses it. An attempt that is here already is
// answered as it stands, so that an ask may be sent again.
func (r *Rack) settle(now time.Time, p pendingAsk) {
	key := p.item.Task.Key
	s := r.settledOf(p.ask.Home)
	if why, ok := s.why[key.Attempt]; ok || key.Attempt < s.floor {
		if why != "" {
			r.answerRefused(p.ask, key, why)
		}
		return
	}
	if h := r.held[key]; h != nil {
		h.asked = p.ask
		if h.phase != phaseStarting {
			r.answerStarted(h)
		}
		return
	}
	if r.isUrgentWaiting(key) {
		return
	}
	if other, ok := r.byTask[key.Task]; ok && r.held[other].phase != phaseEnded {
		r.answerRefused(p.ask, key, whyOther)
		return
	}
	if p.item.HoldID != 0 {
		r.settleHeld(now, p)
		return
	}
	if r.isEarmarkedAgainst(now, p.item) {
		r.answerRefused(p.ask, key, whyEarmark)
		return
	}
	best, second := r.choose(now, p.item)
	if best == nil {
		r.keepFor(now, p.item)
		r.settleUrgent(now, p)
		return
	}
	r.place(now, p, best, second, "best of the rack")
}

// choose returns the worker to take and the runner-up, or nil.
func (r *Rack) choose(now time.Time, item *node.AskItem) (best, second *vm) {
	candidates := make([]placement.Candidate, len(r.order))
	for i, id := range r.order {
		v := r.vms[id]
		if !r.isUsable(now, v) || r.health.IsEjected(now, v.id) || r.isKeptFrom(now, v, item) {
			candidates[i].IsShut = true
			continue
		}
		candidates[i] = placement.Candidate{Free: r.free(v), Capacity: v.capacity}
		if item.Task.RunTime == 0 {
			candidates[i].Siblings = siblings(v, item.Task.Key.Task.Job)
		}
	}
	b, s := placement.Best(placement.Policy{Waiting: item.Waiting, Packing: item.Packing}, r.expected(&item.Task), candidates)
	if b >= 0 {
		best = r.vms[r.order[b]]
	}
	if s >= 0 {
		second = r.vms[r.order[s]]
	}
	return best, second
}

func (r *Rack) place(now time.Time, p pendingAsk, v, second *vm, why string) {
	h := &held{task: p.item.Task, vm: v, phase: phaseStarting, since: now, told: now, asked: p.ask}
	h.task.State = worker.StateRunning
	// Until it reports itself, it counts for what others of its job have used.
	h.task.Usage = r.expected(&h.task)
	r.add(h)
	r.endKeep(h.task.Key.Task.Job)
	if r.health.Placed(now, v.id, h.task.Key) {
		r.event(EventWorkerProbed, v.id, worker.Key{}, "")
	}
	r.orderStart(now, h)
	d := Decision{Key: h.task.Key, Worker: v.id, Why: why}
	if second != nil {
		d.RunnerUp = second.id
	}
	r.out.Decisions = append(r.out.Decisions, d)
	r.isChanged = true
}

// orderStart adds a start to the orders, joined with others for the same worker.
func (r *Rack) orderStart(now time.Time, h *held) {
	h.told = now
	h.isOrdered = true
	for i := range r.out.Starts {
		if r.out.Starts[i].Worker == h.vm.id {
			r.out.Starts[i].Tasks = append(r.out.Starts[i].Tasks, h.task)
			return
		}
	}
	r.out.Starts = append(r.out.Starts, StartOrder{h.vm.id, h.vm.boot, h.vm.asOf, []worker.Task{h.task}})
}

func (r *Rack) answerStarted(h *held) {
	if h.asked == nil {
		return
	}
	r.answer(h.asked, node.AnswerResult{Key: h.task.Key, Worker: h.vm.id})
	h.asked = nil
}

func (r *Rack) answerRefused(ask *node.Ask, key worker.Key, why string) {
	r.refuse(ask, node.AnswerResult{Key: key, Refused: why})
}

func (r *Rack) refuse(ask *node.Ask, result node.AnswerResult) {
	if ask == nil {
		return
	}
	r.settledOf(ask.Home).why[result.Key.Attempt] = result.Refused
	r.answer(ask, result)
}

// refuseForRoom refuses an ask for which there is no room, and tells the home
// if more was needed than the task declares.
func (r *Rack) refuseForRoom(p pendingAsk) {
	result := node.AnswerResult{Key: p.item.Task.Key, Refused: whyNoRoom}
	if need := r.expected(&p.item.Task); need != p.item.Task.Declared {
		result.Expected = &need
	}
	r.refuse(p.ask, result)
}

// answer adds a result to the answers, joined with others for the same home.
func (r *Rack) answer(ask *node.Ask, result node.AnswerResult) {
	for i := range r.out.ToHome {
		m := &r.out.ToHome[i]
		if m.Home == ask.Home && m.Message.Answer != nil {
			m.Message.Answer.Results = append(m.Message.Answer.Results, result)
			return
		}
	}
	a := &node.Answer{Home: ask.Home, Rack: r.ID, RackEpoch: ask.RackEpoch, Results: []node.AnswerResult{result}}
	r.out.ToHome = append(r.out.ToHome, HomeMessage{ask.Home, node.Message{Answer: a}})
}

// OnDeed does a home's deed to its attempts. Attempts that are not here are
// left out: the home learns of them by news.
func (r *Rack) OnDeed(now time.Time, d *node.Deed) {
	if !r.acceptHome(d.Home, d.HomeEpoch) {
		return
	}
	orders := map[worker.ID][]worker.Key{}
	for _, k := range d.Keys {
		r.cancelUrgent(k)
		h := r.held[k]
		if h == nil || h.phase == phaseEnded {
			continue
		}
		h.deed = d.Deed
		h.told = now
		orders[h.vm.id] = append(orders[h.vm.id], k)
	}
	for _, id := range r.order {
		if keys := orders[id]; len(keys) > 0 {
			r.out.Acts = append(r.out.Acts, ActOrder{id, d.Deed, keys})
		}
	}
}

func sortedHeld(m map[worker.Key]*held) []*held {
	list := make([]*held, 0, len(m))
	for _, h := range m {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *held) int { return compareKeys(a.task.Key, b.task.Key) })
	return list
}

func compareKeys(a, b worker.Key) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// isLower reports whether a is less urgent than b.
func isLower(a, b leverdyke.Class) bool { return a.Rank() > b.Rank() }
