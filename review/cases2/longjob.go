// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	longTasks    = 96
	longTaskTime = 400 * time.Second
	// Small jobs come as often as visura-check does, with the same tasks.
	smallJobs        = 5
	smallJobInterval = 8 * time.Second
	// standstill is for how long a job may have nothing running although there is capacity for it.
	standstill = 3 * time.Second
)

// playLongJob hands in a job whose tasks take long, and then small ones, whose tasks have plenty of room.
func playLongJob() (string, error) {
	p, err := newPlay(site.Options{Workers: 48, Zones: 3, MilliCPU: 16000, MemoryMiB: 32768}, 3, nil)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return "", err
	}
	long := map[string]any{"count": longTasks, "cpu": 1000, "memMb": 1024}
	id := "1000000000000000"
	if p.hasFault {
		posted := jobBody(long)
		long["estimatedMs"] = longTaskTime.Milliseconds()
		if !p.submitAs(id, posted, jobBody(long)) {
			return "", fmt.Errorf("%w: the long job was not accepted", errCannotRun)
		}
	}
	time.Sleep(12 * time.Second)
	wg, mu := sync.WaitGroup{}, sync.Mutex{}
	stood, longest := 0, time.Duration(0)
	for i := range smallJobs {
		wg.Go(func() {
			waited := p.awaitStart(fmt.Sprintf("0000000000000%03x", i))
			mu.Lock()
			defer mu.Unlock()
			if longest = max(longest, waited); waited > standstill {
				stood++
			}
		})
		time.Sleep(smallJobInterval)
	}
	wg.Wait()
	p.note("jobs with nothing running for %v: %d of %d, longest %v", standstill, stood, smallJobs, longest)
	for _, v := range p.Violations() {
		p.note("violation: %s", v)
	}
	if stood > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs had nothing running for %v beside free capacity, at most %v", stood, smallJobs, standstill, longest), nil
	}
	return "", nil
}

// awaitStart submits a small job and returns how long after its acceptance its first task is started.
func (p *play) awaitStart(id string) time.Duration {
	body := jobBody(map[string]any{"count": 6, "cpu": 1300, "memMb": 1024, "estimatedMs": 800})
	if !p.submit(id, body, 5*time.Second) {
		return 0
	}
	accepted := time.Now()
	for !p.HasStarted(id) && time.Since(accepted) < finishTime {
		time.Sleep(10 * time.Millisecond)
	}
	waited := time.Since(accepted)
	p.note("%s has started: %v, after %v; starts in all: %d", id, p.HasStarted(id), waited, p.Starts())
	return waited
}

// submitAs submits a job of which workers see another body.
func (p *play) submitAs(id string, posted, seen []byte) bool {
	if err := p.RegisterJob(id, seen); err != nil {
		panic(err)
	}
	a := p.call("POST", id, posted, 5*time.Second)
	p.note("POST %s: %s", id, a)
	return a.status/100 == 2
}
