// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against jobs that stand still for a lease because their owner, which started nothing ahead of the store, was in doubt
// about an earlier owner when it was lost.
func TestSiteDoubtAboutAnEarlierOwnerDelaysNoLaterJob(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 6})
	filling := c.mustSubmit(jobStep{Count: 1, CPU: 4000, MemMb: 4000, EstimatedMs: 600_000})
	c.await("a task takes a whole worker", func() bool { return c.workerOf(filling) != nil })
	c.await("the owner is old enough", elapsed(2*time.Second))
	c.mustSubmit(taskChain(8, 400)...)
	c.accepted = nil
	c.Store.SetMode(site.StoreBusy)
	c.awaitLog("owner runs ahead", "ahead=true")
	c.workerOf(filling).Crash()
	c.powerCycleNodes()
	later := c.mustSubmit(taskChain(6, 400)...)
	c.await("the later job has started", func() bool { return c.HasStarted(later) })
	lost := c.owner()
	c.loseOwner(syscall.SIGKILL)
	<-lost.Done()
	if err := lost.Start(); err != nil {
		t.Fatal(err)
	}
	c.awaitState(later, "succeeded")
	if c.workerOf(filling) != nil {
		t.Error("a job accepted after the doubt had begun: got: waited for a lease, want: finished before")
	}
}

// workerOf returns a worker that runs a task of the job, nil when there is none.
func (c *siteCluster) workerOf(job string) *site.Worker {
	for _, state := range c.Snapshot() {
		runsJob := slices.ContainsFunc(state.Running, func(task string) bool { return strings.HasPrefix(task, job+".") })
		if !runsJob {
			continue
		}
		for _, w := range c.liveWorkers() {
			if w.ID() == state.ID {
				return w
			}
		}
	}
	return nil
}
