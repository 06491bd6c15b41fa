// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// submitCrashing submits a job whose first task crashes each worker that runs it. The job is not
// among those that awaitAll expects to succeed.
func (c *siteCluster) submitCrashing(steps ...jobStep) string {
	c.t.Helper()
	id := ""
	c.await("a job is accepted", func() bool {
		status := 0
		id, status = c.submit(c.nodes[0], "crash", steps...)
		return status == http.StatusOK
	})
	c.accepted = slices.DeleteFunc(c.accepted, func(other string) bool { return other == id })
	return id
}

// runCrashScenario submits a job with a task that crashes its workers, and another job at each
// crash, and calls atCrash with the number of crashes so far. It returns when the crashing job has
// failed and the others have succeeded.
func (c *siteCluster) runCrashScenario(atCrash func(n int)) {
	c.t.Helper()
	crashing := c.submitCrashing(smallStep(3, 400))
	seenCrashes := 0
	c.await("the job with the crashing task fails", func() bool {
		if n := c.CrashesDuring(crashing + ".0.0.0"); n > seenCrashes {
			seenCrashes = n
			c.mustSubmit(smallStep(3, 300))
			atCrash(n)
		}
		return c.state(crashing) == "failed"
	})
	c.awaitAll()
}

// A task that crashes its workers fails its job after a limited number of crashes. The count must
// not be lost when the owner, which counts, is killed at each crash, nor when the store is
// unavailable, so that the owner cannot persist the count.
func TestSiteCrashLimitHoldsAcrossOwnersAndOutages(t *testing.T) {
	for name, atCrash := range map[string]func(c *siteCluster, n int){
		"owner is killed": func(c *siteCluster, _ int) {
			o := c.owner()
			o.Kill()
			if err := o.Start(); err != nil {
				c.t.Fatal(err)
			}
		},
		"store is out": func(c *siteCluster, n int) {
			if n > 2 {
				return
			}
			c.Store.SetMode(site.StoreSilent)
			c.await("the store is out for some seconds", elapsed(2*time.Second))
			c.Store.SetMode(site.StoreUp)
		},
		"store is out and all nodes are killed": func(c *siteCluster, n int) {
			if n > 2 {
				return
			}
			c.Store.SetMode(site.StoreBusy)
			for _, node := range c.nodes {
				node.Kill()
			}
			c.Store.SetMode(site.StoreUp)
			for _, node := range c.nodes {
				if err := node.Start(); err != nil {
					c.t.Fatal(err)
				}
			}
			c.awaitReady(c.nodes...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 8})
			c.runCrashScenario(func(n int) { atCrash(c, n) })
		})
	}
}

// elapsed returns a condition that becomes true after d.
func elapsed(d time.Duration) func() bool {
	at := time.Now().Add(d)
	return func() bool { return time.Now().After(at) }
}

// The limit is that of the crashes that one task may cause before its job fails. A delegate is a node
// that polls workers and sends them orders on behalf of the owner. One that is killed right after a
// worker crashed may not have reported the crash to the owner, and no other node reports it. The owner
// must count the crash nevertheless, so that the job fails within the limit: it knows which tasks it
// ordered the worker to run, and learns of the crash from the platform's worker list, from a later
// poll of the worker, or from the expiry of the worker's lease. Here all nodes but the owner are killed
// at each crash.
func TestSiteCrashLimitHoldsAcrossDelegateRestarts(t *testing.T) {
	c := newDelegateCluster(t)
	c.runCrashScenario(func(int) {
		owner := c.owner()
		for _, n := range c.nodes {
			if n != owner {
				n.Kill()
				if err := n.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// The capacity of workers shrinks to a quarter and grows again while jobs are submitted. The
// stand-in's oracle compares each start with the worker's capacity at that time.
func TestSiteStartsFitChangingWorkerCapacity(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 4})
	for round := range 4 {
		for i, w := range c.Workers() {
			if (i+round)%2 == 0 {
				w.Resize(1000, 1000)
			} else {
				w.Resize(4000, 4000)
			}
		}
		end := elapsed(4500 * time.Millisecond)
		c.await("jobs are submitted for some seconds", func() bool {
			c.submit(c.nodes[round%3], "", smallStep(6, 250))
			return end()
		})
		if round == 1 {
			c.owner().Kill()
			c.restartEndedNodes()
		}
	}
	for _, w := range c.Workers() {
		w.Resize(4000, 4000)
	}
	c.awaitAll()
}

// restartEndedNodes starts the nodes again whose processes have ended, and waits until all nodes
// are ready.
func (c *siteCluster) restartEndedNodes() {
	c.t.Helper()
	for _, n := range c.nodes {
		if !n.HasEnded() {
			continue
		}
		if err := n.Start(); err != nil {
			c.t.Fatal(err)
		}
	}
	c.awaitReady(c.nodes...)
}

// Runs the fault of TestJobIsFailedWhenItsTaskCrashesWorkers (package dispatch) with real
// processes: a task that crashes its workers was started again without end. The stand-in's oracle
// counts the crashes and the starts.
func TestSiteTaskThatCrashesWorkersFailsItsJob(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 8})
	crashing := c.submitCrashing(smallStep(4, 300))
	healthy := c.mustSubmit(smallStep(8, 300), smallStep(4, 300))
	c.await("the job with the crashing task fails", func() bool { return c.state(crashing) == "failed" })
	c.await("the other job succeeds", func() bool { return c.state(healthy) == "succeeded" })
	// Three crashes right after the task's start are enough to fail the job. On a busy machine answers
	// take so long that a crash may count only as weak evidence, of which four are needed.
	if got := c.CrashesDuring(crashing + ".0.0.0"); got < 2 || got > 4 {
		t.Errorf("workers that crashed under the task: got: %d, want: 2 to 4", got)
	}
}
