// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/queue"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	// holdExpiry is how long a rack keeps held places; holdPatience how long the
	// home waits for a rack's word before it lets go of all.
	holdExpiry   = 10 * time.Second
	holdPatience = 3 * time.Second
	gangRetry    = 500 * time.Millisecond
	// persistAge is from when on an all-at-once job asks every rack, even if the
	// summaries say that there is no room, so that the racks keep room for it.
	persistAge = 10 * time.Second
)

// gang is an all-at-once job's way to its places. Holds are taken rack by rack
// in the order of the racks' names, which every home follows, so that no two
// jobs wait for each other; whoever cannot get all lets go of all.
type gang struct {
	// id is the hold in progress; 0 means none.
	id    uint64
	need  int
	racks []state.ShardID
	// counts has the places held so far, at names the rack that was asked last.
	counts map[state.ShardID]int
	at     int
	sentAt time.Time
	// notBefore is when to try again after having let go.
	notBefore time.Time
	// isStarted means that the tasks were started together; isBroken that the
	// rest is being stopped, to be started together again.
	isStarted, isBroken bool
}

func (g *gang) total() int {
	n := 0
	for _, c := range g.counts {
		n += c
	}
	return n
}

// open counts a job's tasks that are not over.
func (j *job) open() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].phase != phaseFinal {
			n++
		}
	}
	return n
}

func (h *Home) tryGang(s *scanner, j *job, allowed int) queue.Result {
	g := &j.gang
	need := j.open()
	switch {
	case g.id != 0 || s.now.Before(g.notBefore):
		return queue.Skipped
	case j.waiting < need:
		j.why = "the rest of it is being stopped, to be started together again"
		return queue.Skipped
	case allowed < need:
		j.why = whyQuota
		return queue.Skipped
	}
	if j.spec.IsOnce && h.intendAll(j) {
		return queue.Started
	}
	racks := h.gangRacks(s, j, need)
	if len(racks) == 0 {
		j.why = whyNoRoom
		return queue.Blocked
	}
	g.isBroken = false
	h.counter++
	g.id = h.Epoch<<attemptBits | h.counter
	g.need, g.racks, g.at, g.counts = need, racks, 0, map[state.ShardID]int{}
	h.sendHold(s.now, j)
	j.why = "places for all its tasks are being held"
	return queue.Started
}

// intendAll writes the intents that are lacking, and reports whether any were.
func (h *Home) intendAll(j *job) bool {
	in := &intent{job: j.id}
	for i := range j.tasks {
		if j.tasks[i].phase == phaseWaiting && !j.tasks[i].isIntended {
			h.setPhase(j, i, phaseIntending)
			in.tasks = append(in.tasks, i)
		}
	}
	if len(in.tasks) == 0 {
		return false
	}
	j.why = whyIntent
	h.record(recording{intent: in}, state.Record{Intent: &state.Intent{Job: j.id, Tasks: in.tasks}})
	return true
}

// gangRacks chooses the racks to hold places in, the fewest that seem to have
// room, in the order of their names; nil means that there is not enough.
func (h *Home) gangRacks(s *scanner, j *job, need int) []state.ShardID {
	type option struct {
		id    state.ShardID
		count int
	}
	options := []option{}
	total := 0
	for i, id := range h.order {
		if s.views[i].IsShut && s.now.Sub(j.since) < persistAge {
			continue
		}
		n := int(j.spec.Each.Count(s.views[i].Free))
		if n > 0 {
			options = append(options, option{id, n})
			total += n
		}
	}
	if total < need {
		if s.now.Sub(j.since) < persistAge {
			return nil
		}
		return h.order
	}
	slices.SortStableFunc(options, func(a, b option) int { return b.count - a.count })
	racks := []state.ShardID{}
	// One spare place in eight, since summaries are old.
	for sum := 0; len(options) > 0 && sum < need+need/8; options = options[1:] {
		racks = append(racks, options[0].id)
		sum += options[0].count
	}
	slices.Sort(racks)
	return racks
}

func (h *Home) sendHold(now time.Time, j *job) {
	g := &j.gang
	rack := g.racks[g.at]
	g.sentAt = now
	h.toRack(rack, node.Message{ReserveRequest: &node.ReserveRequest{
		JobShard: h.ID, JobShardEpoch: h.Epoch, Rack: rack, RackEpoch: h.racks[rack].epoch, ID: g.id, Each: j.spec.Each,
		Count: g.need - g.total(), Class: j.spec.Class, Age: now.Sub(j.since), Expiry: holdExpiry,
	}})
}

// OnHoldReply takes a rack's word on held places.
func (h *Home) OnHoldReply(now time.Time, r *node.ReserveReply) {
	if r.Summary != nil {
		h.OnRoom(r.Summary)
	}
	j := h.gangByHold(r.ID)
	if j == nil {
		if r.Count > 0 {
			h.toRack(r.Rack, node.Message{ReservationRelease: &node.ReservationRelease{JobShard: h.ID, Rack: r.Rack, ID: r.ID}})
		}
		return
	}
	g := &j.gang
	if g.at >= len(g.racks) || g.racks[g.at] != r.Rack {
		return
	}
	g.counts[r.Rack] = r.Count
	g.at++
	switch {
	case g.total() >= g.need:
		h.commit(now, j)
	case g.at < len(g.racks):
		h.sendHold(now, j)
	default:
		j.why = "not all of its tasks find a place at the same time"
		h.letGo(now, j)
	}
}

func (h *Home) gangByHold(id uint64) *job {
	for _, j := range h.list {
		if id != 0 && j.gang.id == id {
			return j
		}
	}
	return nil
}

// commit asks for the held places.
func (h *Home) commit(now time.Time, j *job) {
	g := &j.gang
	s := &scanner{now: now, asks: map[state.ShardID]*node.StartRequest{}}
	next := 0
	for _, rack := range g.racks {
		for n := g.counts[rack]; n > 0 && next < len(j.tasks); next++ {
			if j.tasks[next].phase == phaseWaiting {
				h.ask(s, j, next, rack, g.id)
				n--
			}
		}
	}
	h.sendAsks(s.asks)
	g.id = 0
	g.isStarted = true
	h.requeue(j)
}

// letGo gives all held places back and tries again later; the wait hangs on
// the job, so that two jobs do not meet again.
func (h *Home) letGo(now time.Time, j *job) {
	h.releaseGang(j)
	j.gang.notBefore = now.Add(backoff(leverdyke.TaskID{Job: j.id}, 1) * gangRetry / firstBackoff)
}

func (h *Home) releaseGang(j *job) {
	g := &j.gang
	if g.id == 0 {
		return
	}
	for i, rack := range g.racks {
		if i <= g.at {
			h.toRack(rack, node.Message{ReservationRelease: &node.ReservationRelease{JobShard: h.ID, Rack: rack, ID: g.id}})
		}
	}
	g.id = 0
}

// expireGangs lets go where a rack does not answer.
func (h *Home) expireGangs(now time.Time) {
	for _, j := range h.list {
		if j.gang.id != 0 && now.Sub(j.gang.sentAt) > holdPatience {
			j.why = "a rack did not answer in time"
			h.letGo(now, j)
		}
	}
}

// brokenBy breaks an all-at-once job of which an attempt has ended early.
func (h *Home) brokenBy(j *job, k worker.Key) {
	if j.spec.Kind == leverdyke.KindGang {
		h.breakGang(j, k.String())
	}
}

// breakGang stops what runs of an all-at-once job, so that all of it starts
// together again.
func (h *Home) breakGang(j *job, why string) {
	if j.gang.isBroken || !j.gang.isStarted {
		return
	}
	j.gang.isBroken, j.gang.isStarted = true, false
	h.event(EventGangBroken, j.id, why)
	stops := map[state.ShardID][]worker.Key{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phaseAsked || t.phase == phaseRunning {
			stops[t.rack] = append(stops[t.rack], j.key(i))
		}
	}
	h.sendStops(stops)
}
