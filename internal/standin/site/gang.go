// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangs has the runs of all gangs. The tasks of a gang work once all of them are present, and end together. It is
// safe for concurrent use.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
	// ends counts the ends of members by kind.
	ends map[string]int
}

// gangRun is one run of a gang. members has the workers on which its tasks are present, by task.
type gangRun struct {
	members            map[string]*Worker
	checkpoint         string
	isWorking, isEnded bool
}

func newGangs() *gangs { return &gangs{runs: map[string]*gangRun{}, ends: map[string]int{}} }

func gangKey(task string, run uint64) string { return fmt.Sprintf("%s %d", stepName(task), run) }

// join adds a member that has started. With the last one all begin to work. It returns a text if the member
// violates a guarantee.
func (g *gangs) join(w *Worker, task string, r *taskRun) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(task, r.run)
	run := g.runs[key]
	if run == nil {
		run = &gangRun{members: map[string]*Worker{}, checkpoint: r.checkpoint}
		g.runs[key] = run
	}
	run.members[task] = w
	if len(run.members) == r.step.tasks && !run.isEnded {
		run.isWorking = true
		for member, worker := range run.members {
			go worker.beginGang(member, r.run)
		}
	}
	if run.checkpoint != r.checkpoint {
		return fmt.Sprintf("%s starts with the checkpoint %q, another member of its gang with %q", task, r.checkpoint, run.checkpoint)
	}
	return ""
}

// leave removes a member whose run has ended. If the gang was at work, its other members end too.
func (g *gangs) leave(task string, run uint64, result string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ends[result]++
	r := g.runs[gangKey(task, run)]
	if r == nil {
		return
	}
	delete(r.members, task)
	if !r.isWorking || r.isEnded {
		return
	}
	r.isEnded = true
	if result != "done" {
		result = "broken"
	}
	for member, worker := range r.members {
		go worker.endGang(member, run, result)
	}
}

// GangEnds returns how many members of gangs have ended in each way.
func (s *Site) GangEnds() map[string]int {
	s.gangs.mu.Lock()
	defer s.gangs.mu.Unlock()
	return maps.Clone(s.gangs.ends)
}

// beginGang makes a member of a gang begin to work.
func (w *Worker) beginGang(task string, run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[task]; r != nil && r.run == run && r.workingSince.IsZero() {
		r.timer.Stop()
		w.work(task, r)
	}
}

// endGang ends a member of a gang with the others.
func (w *Worker) endGang(task string, run uint64, result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[task]; r != nil && r.run == run {
		w.end(task, r, result)
	}
}
