// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// wideTasks is the number of small tasks that are handed in, as one job or as wideParts jobs.
	wideTasks = 16000
	wideParts = 16
	// Cancels are sent in cancelWaves waves of cancelsPerWave each, with wavePause before each.
	cancelWaves    = 4
	cancelsPerWave = 8
	wavePause      = 4 * time.Second
)

// playWideJob hands in a job of many small tasks, and then cancels jobs that were accepted before.
func playWideJob() (string, error) {
	limit := &storeLimit{}
	p, err := newPlay(site.Options{Workers: 48, Zones: 3, MilliCPU: 16000, MemoryMiB: 32768}, 3, limit.listen)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return "", err
	}
	small := jobBody(map[string]any{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 60000})
	before := []string{}
	for i := range cancelWaves * cancelsPerWave {
		id := fmt.Sprintf("00000000000000%02x", i)
		if !p.submit(id, small, 5*time.Second) {
			return "", fmt.Errorf("%w: a small job was not accepted", errCannotRun)
		}
		before = append(before, id)
	}
	time.Sleep(2 * time.Second)
	parts := wideParts
	if p.hasFault {
		parts = 1
	}
	for i := range parts {
		wide := jobBody(map[string]any{"count": wideTasks / parts, "cpu": 30, "memMb": 16, "estimatedMs": 60000})
		if !p.submit(fmt.Sprintf("10000000000000%02x", i), wide, 5*time.Second) {
			p.note("the wide job was not accepted")
			return "", nil
		}
	}
	unanswered := 0
	for i := range cancelWaves {
		time.Sleep(wavePause)
		p.note("longest record: %d bytes, refused appends: %d, starts: %d", limit.longest.Load(), limit.refused.Load(), p.Starts())
		unanswered += p.cancelAll(before[i*cancelsPerWave : (i+1)*cancelsPerWave])
	}
	p.submit("2000000000000000", small, 5*time.Second)
	p.note("longest record: %d bytes, refused appends: %d, starts: %d", limit.longest.Load(), limit.refused.Load(), p.Starts())
	p.note("cancels without 2xx or 410 after %v: %d of %d", ackTime, unanswered, len(before))
	for _, v := range p.Violations() {
		p.note("violation: %s", v)
	}
	if unanswered >= 3 && unanswered*10 > len(before) {
		return fmt.Sprintf("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after %v", unanswered, len(before), ackTime), nil
	}
	return "", nil
}

// cancelAll cancels jobs, and returns how many of the cancels were not acknowledged in time.
func (p *play) cancelAll(ids []string) int {
	wg, mu, unanswered := sync.WaitGroup{}, sync.Mutex{}, 0
	for _, id := range ids {
		wg.Go(func() {
			a := p.call(http.MethodDelete, id, nil, ackTime)
			p.note("DELETE %s: %s", id, a)
			if a.status/100 == 2 || a.status == http.StatusGone {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
		})
	}
	wg.Wait()
	return unanswered
}
