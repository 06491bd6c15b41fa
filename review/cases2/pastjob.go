// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// memoryBytes is memoryMb of the settings. restartDelay is the delay after which the platform starts a process again.
	memoryBytes  = 284 << 20
	restartDelay = 500 * time.Millisecond
	// The job has scheduledTimes times, one each scheduleInterval, with scheduledTasks tasks each.
	scheduledTimes    = 10000
	scheduleInterval  = time.Second
	scheduledTasks    = 100
	goodScheduledJobs = 10
)

// playPastSchedule hands in a job with times, of which most were due before.
func playPastSchedule() (string, error) {
	p, err := newPlay(site.Options{Workers: 48, Zones: 3, MilliCPU: 16000, MemoryMiB: 32768}, 3, nil)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return "", err
	}
	w := &memoryWatch{play: p, stop: make(chan struct{})}
	for _, n := range p.nodes {
		w.wg.Add(1)
		go w.run(n)
	}
	defer w.wg.Wait()
	defer close(w.stop)
	small := jobBody(map[string]any{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 2000})
	ids := []string{}
	for i := range goodScheduledJobs {
		id := fmt.Sprintf("00000000000000%02x", i)
		if !p.submit(id, small, 5*time.Second) {
			return "", fmt.Errorf("%w: a small job was not accepted", errCannotRun)
		}
		ids = append(ids, id)
	}
	time.Sleep(5 * time.Second)
	startAt := time.Now()
	if p.hasFault {
		startAt = startAt.Add(-scheduledTimes * scheduleInterval)
	}
	body, err := json.Marshal(map[string]any{
		"spec": "s", "repeatCount": scheduledTimes, "startAtMs": startAt.UnixMilli(), "intervalMs": scheduleInterval.Milliseconds(),
		"steps": []any{map[string]any{"count": scheduledTasks, "cpu": 100, "memMb": 64, "estimatedMs": 500}},
	})
	if err != nil {
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p.submit("1000000000000000", body, 5*time.Second)
	time.Sleep(20 * time.Second)
	time.Sleep(finishTime)
	unanswered := 0
	for _, id := range ids {
		s := p.state(id)
		p.note("GET %s: %s", id, s)
		if s != "succeeded" {
			unanswered++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.note("processes over their memory: %d, most memory: %d MB; starts of tasks: %d", w.kills, w.most>>20, p.Starts())
	if unanswered > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs that had ended are unknown or get no answer; processes over their memory: %d", unanswered, len(ids), w.kills), nil
	}
	return "", nil
}

// memoryWatch kills processes that go over their memory, and starts them again, as the platform does.
type memoryWatch struct {
	play *play
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	kills int
	most  int64
}

func (w *memoryWatch) run(n *node) {
	defer w.wg.Done()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(n.process.Process.Pid)
		w.mu.Lock()
		w.most = max(w.most, used)
		isOver := used > memoryBytes
		if isOver {
			w.kills++
		}
		w.mu.Unlock()
		if !isOver {
			continue
		}
		w.play.note("node %d is over its memory with %d MB and is killed", n.number, used>>20)
		n.signal(syscall.SIGKILL)
		<-n.done
		time.Sleep(restartDelay)
		if err := n.start(w.play.dir); err != nil {
			w.play.note("node %d: %v", n.number, err)
			return
		}
	}
}

// residentBytes returns the memory of a process, without what it shares with files.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (resident - shared) * int64(os.Getpagesize())
}
