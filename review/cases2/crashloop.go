// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// The worker crashes crashesBefore times before the job is handed in, and crashesAfter times after it. It is up
	// for loopUp and down for loopDown.
	crashesBefore = 3
	crashesAfter  = 14
	loopUp        = 1200 * time.Millisecond
	loopDown      = 1500 * time.Millisecond
)

// playCrashLoop crashes the only worker of its kind again and again for a while, whatever runs there, and hands in a
// job that needs this kind.
func playCrashLoop() (string, error) {
	p, err := newPlay(site.Options{Workers: 47, Zones: 3, MilliCPU: 16000, MemoryMiB: 32768}, 3, nil)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return "", err
	}
	id := "0000000000000001"
	w, err := p.newLoopWorker(0, "kind-b", &jobSpecs{tasks: map[string]taskSpec{id: {lasts: true}}})
	if err != nil {
		return "", err
	}
	defer close(w.stop)
	time.Sleep(2 * time.Second)
	if err := p.crashRepeatedly(w, crashesBefore); err != nil {
		return "", err
	}
	body := jobBody(map[string]any{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 400, "perpetual": true, "requirements": "kind-b"})
	if !p.submit(id, body, 5*time.Second) {
		return "", fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	if err := p.crashRepeatedly(w, crashesAfter); err != nil {
		return "", err
	}
	p.note("GET %s: %s, %d tasks run", id, p.state(id), w.tasks())
	time.Sleep(finishTime)
	state := p.state(id)
	p.note("GET %s: %s, %d tasks run; ends `failed` of all lives: %d", id, state, w.tasks(), w.failed)
	if state == "failed" && w.failed == 0 {
		return "LOST: the job is shown as failed, though no run has ended `failed` and nobody has cancelled it", nil
	}
	return "", nil
}

// crashRepeatedly crashes a worker and starts it again as often as told; without the fault it waits as long.
func (p *play) crashRepeatedly(w *loopWorker, times int) error {
	for range times {
		if p.hasFault {
			w.crash()
		}
		time.Sleep(loopDown)
		if p.hasFault {
			if err := w.restart(); err != nil {
				return err
			}
		}
		time.Sleep(loopUp)
	}
	return nil
}
