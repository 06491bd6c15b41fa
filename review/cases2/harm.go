// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// harmTime is harm_ms of the deployment.
	harmTime = 4 * time.Second
	// serveTarget is the target in ms of a task that serves. Alone its tail is half of that; a task that fills adds
	// fillShare of it at its full pace.
	serveTarget = 100.0
	fillShare   = 1.0
	// figureTime is the time that a worker's figure of a task covers.
	figureTime = 500 * time.Millisecond
)

// harmCheck follows the tails of the tasks that serve on a worker.
type harmCheck struct {
	samples []tailSample
	// since is from when on tasks have been over their target because of those that fill; zero if they are not.
	since   time.Time
	longest time.Duration
}

// tailSample is the tail of the tasks that serve on a worker at a time.
type tailSample struct {
	at   time.Time
	tail float64
}

// tail returns the tail of the tasks that serve on the worker, in ms.
func (w *loopWorker) tail() (tail float64, isServing bool) {
	tail = serveTarget / 2
	for _, a := range w.running {
		isServing = isServing || a.spec.target > 0 && a.percent() >= 100
		if a.spec.fills {
			tail += fillShare * serveTarget * float64(a.pace) / 100
		}
	}
	return tail, isServing
}

func (h *harmCheck) observe(w *loopWorker, now time.Time) {
	tail, isServing := w.tail()
	h.samples = append(h.samples, tailSample{now, tail})
	for len(h.samples) > 2 && now.Sub(h.samples[0].at) > figureTime {
		h.samples = h.samples[1:]
	}
	switch {
	case !isServing || h.figure() <= serveTarget:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
	if !h.since.IsZero() {
		h.longest = max(h.longest, now.Sub(h.since))
	}
}

// figure returns the tail over the last half second: what one of twenty answers takes or more.
func (h *harmCheck) figure() float64 {
	tails := make([]float64, 0, len(h.samples))
	for _, s := range h.samples {
		tails = append(tails, s.tail)
	}
	slices.Sort(tails)
	if len(tails) == 0 {
		return 0
	}
	return tails[len(tails)*19/20]
}

// rowFigure returns the fifth entry of a row of a listing.
func (w *loopWorker) rowFigure(a *loopRun) int {
	if a.spec.target > 0 {
		return int(w.harm.figure())
	}
	return 500
}

const (
	harmWorkers  = 48
	fillJobs     = 60
	fillTasks    = 48
	fillInterval = 500 * time.Millisecond
)

// playHarm runs a task that serves on each worker, and then jobs of tasks that fill.
func playHarm() (string, error) {
	p, err := newPlay(site.Options{Workers: 1, Zones: 1, MilliCPU: 1, MemoryMiB: 1}, 3, nil)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return "", err
	}
	jobs, workers := &jobSpecs{tasks: map[string]taskSpec{}}, []*loopWorker{}
	for i := range harmWorkers {
		w, err := p.newLoopWorker(i, "kind-a", jobs)
		if err != nil {
			return "", err
		}
		defer close(w.stop)
		workers = append(workers, w)
	}
	time.Sleep(2 * time.Second)
	serving := "0000000000000001"
	jobs.set(serving, taskSpec{lasts: true, target: serveTarget})
	if !p.submit(serving, jobBody(map[string]any{
		"count": harmWorkers, "cpu": 2000, "memMb": 1024, "estimatedMs": 400, "perpetual": true, "antiAffinity": 1, "image": "web", "target_ms": serveTarget,
	}), 5*time.Second) {
		return "", fmt.Errorf("%w: the serving job was not accepted", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	for i := range fillJobs {
		id := fmt.Sprintf("10000000000000%02x", i)
		jobs.set(id, taskSpec{fills: true, work: 4800 * time.Millisecond})
		body := jobBody(map[string]any{"count": fillTasks, "cpu": 1000, "memMb": 256, "estimatedMs": 4800, "image": "batch", "fills": true})
		if p.hasFault && !p.submit(id, body, 5*time.Second) {
			return "", fmt.Errorf("%w: a job was not accepted", errCannotRun)
		}
		time.Sleep(fillInterval)
	}
	longest, harmed := time.Duration(0), 0
	for _, w := range workers {
		w.mu.Lock()
		p.note("%s: over the target for %v on end, %d tasks run", w.id(), w.harm.longest, len(w.running))
		longest = max(longest, w.harm.longest)
		if w.harm.longest >= harmTime {
			harmed++
		}
		w.mu.Unlock()
	}
	if harmed > 0 {
		return fmt.Sprintf("HARM: on %d of %d workers a task was over its target for %v on end, at most for %v", harmed, harmWorkers, harmTime, longest), nil
	}
	return "", nil
}
