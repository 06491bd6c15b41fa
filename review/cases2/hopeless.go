// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	goodJobs      = 38
	hopelessJobs  = 2
	hopelessTasks = 32
	laterJobs     = 3
	tasksPerJob   = 8
	// awayTime is after what time a task that lasts has to run again, whatever else runs: 3 s that count, from 6 s after
	// its turn has come.
	awayTime = 9 * time.Second
)

// playHopeless runs jobs that last, hands in two whose tasks fail soon after each start, and then further good ones.
func playHopeless() (string, error) {
	p, err := newPlay(site.Options{Workers: 1, Zones: 1, MilliCPU: 1, MemoryMiB: 1}, 3, nil)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return "", err
	}
	jobs, workers, err := p.newLoopWorkers(48)
	defer stopAll(workers)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	for i := range goodJobs {
		if err := p.submitLasting(jobs, fmt.Sprintf("00000000000000%02x", i), tasksPerJob, taskSpec{lasts: true}); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	for i := range hopelessJobs {
		spec := taskSpec{lasts: true}
		if p.hasFault {
			spec.failsAfter = 100 * time.Millisecond
		}
		if err := p.submitLasting(jobs, fmt.Sprintf("10000000000000%02x", i), hopelessTasks, spec); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	away := 0
	for i := range laterJobs {
		id := fmt.Sprintf("20000000000000%02x", i)
		if err := p.submitLasting(jobs, id, tasksPerJob, taskSpec{lasts: true}); err != nil {
			return "", err
		}
		at := time.Now()
		for time.Since(at) < awayTime && countTasks(workers, id) < tasksPerJob {
			time.Sleep(20 * time.Millisecond)
		}
		running := countTasks(workers, id)
		away += tasksPerJob - running
		p.note("%s: %d of %d tasks run %v after it was accepted; tasks on all workers: %d", id, running, tasksPerJob, time.Since(at), countTasks(workers, ""))
		p.awaitBatch(jobs, workers, i)
	}
	if away > 0 {
		return fmt.Sprintf("LOST: %d of %d tasks that last did not run %v after their job was accepted, beside free capacity", away, laterJobs*tasksPerJob, awayTime), nil
	}
	return "", nil
}

// awaitBatch hands in a job that ends, and records how long it takes.
func (p *play) awaitBatch(jobs *jobSpecs, workers []*loopWorker, i int) {
	id := fmt.Sprintf("30000000000000%02x", i)
	jobs.set(id, taskSpec{work: 800 * time.Millisecond})
	if !p.submit(id, jobBody(map[string]any{"count": 6, "cpu": 1300, "memMb": 1024, "estimatedMs": 800}), 5*time.Second) {
		return
	}
	at := time.Now()
	for time.Since(at) < awayTime && countTasks(workers, id) == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	p.note("%s: %d tasks run %v after it was accepted", id, countTasks(workers, id), time.Since(at))
}

// newLoopWorkers starts machines of one kind.
func (p *play) newLoopWorkers(n int) (*jobSpecs, []*loopWorker, error) {
	jobs, workers := &jobSpecs{tasks: map[string]taskSpec{}}, []*loopWorker{}
	for i := range n {
		w, err := p.newLoopWorker(i, "kind-a", jobs)
		if err != nil {
			return nil, workers, err
		}
		workers = append(workers, w)
	}
	return jobs, workers, nil
}

func stopAll(workers []*loopWorker) {
	for _, w := range workers {
		close(w.stop)
	}
}

// submitLasting hands in a job of tasks that last.
func (p *play) submitLasting(jobs *jobSpecs, id string, count int, spec taskSpec) error {
	jobs.set(id, spec)
	body := jobBody(map[string]any{"count": count, "cpu": 500, "memMb": 512, "estimatedMs": 400, "perpetual": true})
	if !p.submit(id, body, 5*time.Second) {
		return fmt.Errorf("%w: job %s was not accepted", errCannotRun, id)
	}
	return nil
}

// countTasks returns how many tasks run of the jobs whose IDs begin so.
func countTasks(workers []*loopWorker, job string) int {
	n := 0
	for _, w := range workers {
		w.mu.Lock()
		for task := range w.running {
			if strings.HasPrefix(task, job) {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}
