// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// lostNodes of allNodes go away for good, the owner among them.
	allNodes  = 7
	lostNodes = 4
	// watchTime is for how long the tasks of the lost worker are watched.
	watchTime = 40 * time.Second
)

// playMostLost takes away most machines of the system and one worker at the same moment.
func playMostLost() (string, error) {
	p, err := newPlay(site.Options{Workers: 1, Zones: 1, MilliCPU: 1, MemoryMiB: 1}, allNodes, nil)
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
	for i := range 10 {
		if err := p.submitLasting(jobs, fmt.Sprintf("00000000000000%02x", i), tasksPerJob, taskSpec{lasts: true}); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	lost := busiest(workers)
	tasks := lost.taskNames()
	owner, err := p.owner()
	if err != nil {
		return "", err
	}
	p.note("the owner is node %d; %s runs %v", owner, lost.id(), tasks)
	at := time.Now()
	if p.hasFault {
		lost.crash()
		p.loseNodes(owner)
	}
	back := map[string]time.Duration{}
	for time.Since(at) < watchTime && len(back) < len(tasks) {
		time.Sleep(50 * time.Millisecond)
		for _, task := range tasks {
			if _, isBack := back[task]; !isBack && countTasks(workers, task) > 0 {
				back[task] = time.Since(at)
				p.note("%s runs again after %v", task, back[task])
			}
		}
	}
	away := 0
	for _, task := range tasks {
		if after, isBack := back[task]; !isBack || after > awayTime+contactTime {
			away++
		}
	}
	p.note("tasks on all workers: %d; tasks of the lost worker that were away for more than %v: %d of %d", countTasks(workers, ""), awayTime+contactTime, away, len(tasks))
	if away > 0 {
		return fmt.Sprintf("LOST: %d of %d tasks that last did not run %v after their worker was lost, beside free capacity", away, len(tasks), awayTime+contactTime), nil
	}
	return "", nil
}

// contactTime is contactMs of the deployment.
const contactTime = 3 * time.Second

// loseNodes ends the processes of lostNodes nodes for good.
func (p *play) loseNodes(owner int) {
	lost := []*node{p.nodes[owner]}
	for i, n := range p.nodes {
		if i != owner && len(lost) < lostNodes {
			lost = append(lost, n)
		}
	}
	for _, n := range lost {
		n.signal(syscall.SIGKILL)
		p.note("node %d is lost", n.number)
	}
	for _, n := range lost {
		<-n.done
	}
}

// busiest returns the worker with most tasks.
func busiest(workers []*loopWorker) *loopWorker {
	best := workers[0]
	for _, w := range workers {
		if w.tasks() > best.tasks() {
			best = w
		}
	}
	return best
}

func (w *loopWorker) taskNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := []string{}
	for task := range w.running {
		names = append(names, task)
	}
	return names
}

var ownedLine = regexp.MustCompile(`event="LD0300" epoch=(\d+)`)

// owner returns the number of the node that was the last to say in its log that it owns the shard.
func (p *play) owner() (int, error) {
	owner, highest := -1, 0
	for _, n := range p.nodes {
		f, err := os.Open(filepath.Join(p.dir, fmt.Sprintf("node-%d.log", n.number)))
		if err != nil {
			return 0, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			if m := ownedLine.FindStringSubmatch(lines.Text()); m != nil && strings.Contains(lines.Text(), "shard owned") {
				if epoch, _ := strconv.Atoi(m[1]); epoch > highest {
					owner, highest = n.number, epoch
				}
			}
		}
		_ = f.Close()
	}
	if owner < 0 {
		return 0, fmt.Errorf("%w: there is no owner", errCannotRun)
	}
	return owner, nil
}
