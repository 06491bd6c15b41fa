// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Oracle watches from the workers' side that the promises hold. It is safe for
// concurrent use.
type Oracle struct {
	mu sync.Mutex
	// places has, by task, the workers on which it runs.
	places map[string][]string
	// finished has the tasks that ended well.
	finished   map[string]bool
	startCount int
	// jobs are those of which a task began.
	jobs   map[string]bool
	broken []string
}

func newOracle() *Oracle {
	return &Oracle{places: map[string][]string{}, finished: map[string]bool{}, jobs: map[string]bool{}}
}

// began notes a start; the worker's lock is held.
func (o *Oracle) began(task string, w *Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startCount++
	job, _, _ := strings.Cut(task, ".")
	o.jobs[job] = true
	if on := o.places[task]; len(on) > 0 {
		o.broken = append(o.broken, fmt.Sprintf("%s starts on %s while it runs on %v", task, w.id, on))
	}
	if o.finished[task] {
		o.broken = append(o.broken, fmt.Sprintf("%s starts on %s after it was done", task, w.id))
	}
	o.places[task] = append(o.places[task], w.id)
	cpu, mem := int64(0), int64(0)
	for _, r := range w.running {
		cpu += r.step.cpu
		mem += r.step.mem
	}
	if cpu > w.site.options.MilliCPU || mem > w.site.options.MemoryMiB {
		o.broken = append(o.broken, fmt.Sprintf("%s is over its room with %s: %d, %d", w.id, task, cpu, mem))
	}
}

func (o *Oracle) ended(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.places[task] = slices.DeleteFunc(o.places[task], func(id string) bool { return id == worker })
}

func (o *Oracle) done(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finished[task] = true
}

func (o *Oracle) breaks(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken = append(o.broken, what)
}

func (o *Oracle) list() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.broken)
}

func (o *Oracle) hasRun(job string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[job]
}

func (o *Oracle) starts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startCount
}
