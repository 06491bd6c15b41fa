// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against accepted jobs that stand still until the lease of a crashed worker ends that runs none of their tasks.
func TestSiteCrashBesideTakeoverDelaysOnlyTasksOfThatWorker(t *testing.T) {
	for name, tc := range map[string]struct {
		crash func(*site.Worker)
		// age is how long the first owner has been ready when the worker crashes.
		age time.Duration
		// lead is the time from the crash to the loss of the owner.
		lead time.Duration
		// losses are the signals that end the owner and its successors.
		losses []syscall.Signal
	}{
		"unlisted at once, killed":            {(*site.Worker).Crash, 2 * time.Second, 0, []syscall.Signal{syscall.SIGKILL}},
		"unlisted at once, stopped in order":  {(*site.Worker).Crash, 2 * time.Second, 0, []syscall.Signal{syscall.SIGTERM}},
		"unlisted late, killed":               {(*site.Worker).CrashSilently, 2 * time.Second, 0, []syscall.Signal{syscall.SIGKILL}},
		"unlisted late, stopped in order":     {(*site.Worker).CrashSilently, 2 * time.Second, 0, []syscall.Signal{syscall.SIGTERM}},
		"killed later":                        {(*site.Worker).CrashSilently, 2 * time.Second, 300 * time.Millisecond, []syscall.Signal{syscall.SIGKILL}},
		"stopped in order later":              {(*site.Worker).Crash, 2 * time.Second, 300 * time.Millisecond, []syscall.Signal{syscall.SIGTERM}},
		"the owner has just begun":            {(*site.Worker).Crash, 0, 0, []syscall.Signal{syscall.SIGKILL}},
		"two owners in a row are killed":      {(*site.Worker).CrashSilently, 2 * time.Second, 0, []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL}},
		"one is killed, the next one stopped": {(*site.Worker).Crash, 2 * time.Second, 0, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 5, site.Options{Workers: 6})
			crashed := c.fillOneWorker()
			c.await("the owner is old enough", elapsed(tc.age))
			elsewhere := c.mustSubmit(taskChain(8, 400)...)
			tc.crash(crashed)
			c.await("the owner is due to be lost", elapsed(tc.lead))
			for _, signal := range tc.losses {
				c.loseOwner(signal)
			}
			c.await("the job that runs elsewhere succeeds", func() bool { return c.state(elsewhere) == "succeeded" })
			// One task fills the crashed worker, and can only start again once that one's lease has ended.
			if got := c.Starts(); got != 1+8 {
				t.Errorf("starts: got: %d, want: %d: the job waited for the lease of the crashed worker", got, 1+8)
			}
		})
	}
}

// fillOneWorker starts a task that takes a whole worker until the end of the test, and returns that worker.
func (c *siteCluster) fillOneWorker() *site.Worker {
	c.t.Helper()
	const milliCPU, memory, lasting = 4000, 4000, 600_000
	c.mustSubmit(jobStep{Count: 1, CPU: milliCPU, MemMb: memory, EstimatedMs: lasting})
	c.accepted = nil
	var filled *site.Worker
	c.await("the worker is filled", func() bool {
		i := slices.IndexFunc(c.Workers(), func(w *site.Worker) bool { return w.Running() == 1 })
		if i >= 0 {
			filled = c.Workers()[i]
		}
		return filled != nil
	})
	return filled
}

// taskChain returns the steps of a job that are one task each, one after the other.
func taskChain(length int, milliseconds float64) []jobStep {
	steps := []jobStep{}
	for i := range length {
		step := smallStep(1, milliseconds)
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		steps = append(steps, step)
	}
	return steps
}

// loseOwner ends the owner's process by a signal and waits until another node is the owner.
func (c *siteCluster) loseOwner(signal syscall.Signal) {
	c.t.Helper()
	lost := c.owner()
	c.signal(lost, signal)
	c.await("another node is the owner", func() bool { return c.owner() != lost })
}
