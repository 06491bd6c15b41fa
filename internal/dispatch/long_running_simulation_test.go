// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// longestAway is how long nothing of a task that lasts may run, if there has been room for two
	// such tasks in the last roomTime of that.
	longestAway = 9 * time.Second
	roomTime    = 3 * time.Second
)

// lastingWatch finds from outside tasks that last of which nothing runs for too long although
// workers that may run them have had room all the while.
type lastingWatch struct {
	w *world
	// awayFrom is since when nothing of a task runs, roomFrom since when a worker has had room for
	// a task of a step.
	awayFrom map[work.TaskID]time.Duration
	roomFrom map[place]time.Duration
	// lost has the tasks that were away for too long, and for how long.
	lost map[work.TaskID]time.Duration
}

// place is where a task of a step may run.
type place struct {
	step   work.StepID
	worker order.WorkerID
}

func newLastingWatch(w *world) *lastingWatch {
	return &lastingWatch{w: w, awayFrom: map[work.TaskID]time.Duration{}, roomFrom: map[place]time.Duration{}, lost: map[work.TaskID]time.Duration{}}
}

// look takes the state of the world now.
func (l *lastingWatch) look() {
	running := map[work.TaskID]bool{}
	for _, m := range l.w.each() {
		for id := range m.running {
			running[id] = running[id] || !m.isDead
		}
	}
	for _, job := range l.w.order {
		for s := range l.w.specs[job].Steps {
			if l.w.specs[job].Steps[s].IsLongRunning && l.w.told[job] == "" {
				l.lookAt(work.StepID{Job: job, Step: s}, running)
			}
		}
	}
}

func (l *lastingWatch) lookAt(step work.StepID, running map[work.TaskID]bool) {
	spec, now := &l.w.specs[step.Job].Steps[step.Step], l.w.since()
	places := l.standing(step, spec)
	for i := range spec.Count {
		id := work.TaskID{Job: step.Job, Round: step.Round, Step: step.Step, Index: i}
		if running[id] {
			delete(l.awayFrom, id)
			continue
		}
		if _, ok := l.awayFrom[id]; !ok {
			l.awayFrom[id] = now
		}
		if away := now - l.awayFrom[id]; away >= longestAway && places >= 2 {
			l.lost[id] = away
		}
	}
}

// standing returns how many tasks of a step workers have had room for all of roomTime.
func (l *lastingWatch) standing(step work.StepID, spec *work.Step) int {
	queue, now, n := l.w.queueOf(step.Job), l.w.since(), 0
	for _, m := range l.w.each() {
		p := place{step, m.entry.ID}
		fits := m.fits(step, spec)
		if fits == 0 || m.isDead || m.isCut || m.isSick || m.entry.IsDraining || queue.Permission != nil && !l.w.permits(queue, step, m.entry.ID) {
			delete(l.roomFrom, p)
			continue
		}
		if _, ok := l.roomFrom[p]; !ok {
			l.roomFrom[p] = now
		}
		if now-l.roomFrom[p] >= roomTime {
			n += fits
		}
	}
	return n
}

// permits reports whether the worker may run the step.
func (w *world) permits(q *order.Queue, s work.StepID, id order.WorkerID) bool {
	if w.mayRunStep != nil {
		return w.mayRunStep(q, s, id)
	}
	return w.mayRun == nil || w.mayRun(id)
}

// fits returns how many tasks of the step the worker has room for.
func (m *modelWorker) fits(s work.StepID, spec *work.Step) int {
	free, need := m.entry.Capacity.Sub(m.used()), spec.Need
	free.Slots, need.Slots = 0, 0
	if !need.FitsIn(free) {
		return 0
	}
	n := int(need.Count(free))
	if spec.MaxPerWorker == 0 {
		return n
	}
	most := spec.MaxPerWorker
	for id := range m.running {
		if id.StepID() == s {
			most--
		}
	}
	return max(min(n, most), 0)
}

// lastingTrouble is what happens in each round of playLasting.
type lastingTrouble string

const (
	sickWorkers    lastingTrouble = "workers fail all for some seconds"
	crashedWorkers lastingTrouble = "workers crash"
	newOwners      lastingTrouble = "another owner takes over"
)

// playLasting plays a minute of an office in which tasks that last fail after some seconds, with six
// rounds of a trouble in the first half of it, and watches that none of them stays away.
func playLasting(seed uint64, trouble lastingTrouble) *lastingWatch {
	const short, long = 25.0, 5.0
	o := newOffice(seed, testSize)
	o.idle(time.Second)
	for i := range 2 {
		s := work.Step{Count: max(int(o.spread(12, 0.8, 18)), 1), Need: longStepNeed, Estimate: time.Hour, IsLongRunning: true, MaxUnavailable: -1}
		if o.rng.Float64() < 0.6 {
			s.MaxPerWorker = 1
		}
		o.submitTo("lasting", fmt.Sprintf("lasting%02d", i), s)
	}
	o.lastingFailTime, o.lastingFailShare = 20*time.Second, 0.7
	o.crashing(func(work.TaskID) bool { return false })
	l := newLastingWatch(o.world)
	o.play(4*time.Second, short, long, nobody)
	o.failShare = 0.02
	watch := func(until time.Duration) {
		for o.since() < until {
			o.play(50*time.Millisecond, short, long, nobody)
			l.look()
		}
	}
	for range 6 {
		sick := o.strike(trouble)
		watch(o.since() + time.Duration(3000+o.rng.IntN(4000))*time.Millisecond)
		for _, m := range sick {
			m.isSick = false
		}
	}
	watch(time.Minute)
	return l
}

// strike begins a trouble with an eighth of the workers, and returns those that are sick.
func (o *office) strike(trouble lastingTrouble) []*modelWorker {
	switch trouble {
	case crashedWorkers:
		o.crashSome(o.size / 8)
	case newOwners:
		o.takeOver()
	case sickWorkers:
		ids, sick := o.living(), []*modelWorker{}
		for range o.size / 8 {
			m := o.workers[ids[o.rng.IntN(len(ids))]]
			m.isSick = true
			sick = append(sick, m)
		}
		return sick
	}
	return nil
}
