// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const oddEntryCount = 150

// Guards against odd entries of another writer among those of the workers that end processes, or keep them from following the
// list, beside the loss of the owner.
func TestSiteOddEntriesBesideTakeover(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "stopped in order": syscall.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 6})
			rng := rand.New(rand.NewPCG(1, uint64(signal)))
			c.PutOddEntries(rng, oddEntryCount)
			c.PutOddOperatorRecords(rng, oddEntryCount)
			before := c.mustSubmit(taskChain(6, 300)...)
			overwritten := c.Workers()[0]
			overwritten.Overwrite(rng)
			lost := c.owner()
			c.loseOwner(signal)
			overwritten.Overwrite(rng)
			c.awaitState(before, "succeeded")
			c.checkNoLeaseWasAwaited()
			c.checkListIsFollowed(rng)
			c.checkNoneEndedExcept(lost)
		})
	}
}

// Guards against accepted jobs that stand still after a change of owner because the entry of one worker is odd and stays so: its
// own tasks have to wait for its lease, and no others.
func TestSiteOverwrittenEntryDelaysOnlyTasksOfThatWorkerAtTakeover(t *testing.T) {
	c := newSiteCluster(t, 5, site.Options{Workers: 6})
	overwritten := c.fillOneWorker()
	c.await("the owner is old enough", elapsed(2*time.Second))
	elsewhere := c.mustSubmit(taskChain(8, 400)...)
	overwritten.OverwriteForGood()
	c.loseOwner(syscall.SIGKILL)
	c.awaitState(elsewhere, "succeeded")
	c.checkNoLeaseWasAwaited()
	if got := c.Starts(); got != 1+8 {
		t.Errorf("starts: got: %d, want: %d: the job waited for the lease of the worker", got, 1+8)
	}
}

// Guards against the same beside an outage of the store in which all entries lapse.
func TestSiteOddEntriesBesideOutage(t *testing.T) {
	for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent} {
		t.Run(string(mode), func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 6})
			rng := rand.New(rand.NewPCG(2, 0))
			c.mustSubmit(taskChain(6, 300)...)
			c.Store.SetMode(mode)
			c.LapseEntries()
			c.PutOddEntries(rng, oddEntryCount)
			for _, w := range c.Workers() {
				w.Overwrite(rng)
			}
			c.await("the store is out for a while", elapsed(time.Second))
			c.Store.SetMode(site.StoreUp)
			for i, w := range c.Workers() {
				w.RestoreEntry(time.Duration(i) * 100 * time.Millisecond)
			}
			c.checkListIsFollowed(rng)
			c.checkNoneEndedExcept(nil)
		})
	}
}

// checkListIsFollowed checks that a worker that is added now is used, and that one that drains now gets nothing new, while
// odd entries are written on, and that all jobs succeed.
func (c *siteCluster) checkListIsFollowed(rng *rand.Rand) {
	c.t.Helper()
	c.PutOddEntries(rng, oddEntryCount)
	c.PutOddOperatorRecords(rng, oddEntryCount)
	c.Configure(2)
	added, err := c.AddWorker(100)
	if err != nil {
		c.t.Fatal(err)
	}
	drained := c.Workers()[5]
	drained.Drain()
	c.await("the owner knows that the worker is draining", func() bool {
		return strings.Contains(c.owner().Log(), `"worker is leaving"`)
	})
	starts := drained.Starts()
	c.await("the added worker is used", func() bool {
		c.mustSubmit(smallStep(8, 200))
		return added.Starts() > 0
	})
	c.awaitAll()
	for _, n := range c.nodes {
		c.await(n.Name+" has the configuration, or has ended", func() bool {
			return n.HasEnded() || strings.Contains(n.Log(), `"LD0320" version=2`)
		})
	}
	if got := drained.Starts(); got != starts {
		c.t.Errorf("starts on the worker that drains: got: %d, want: %d", got, starts)
	}
}

// checkNoneEndedExcept checks that no process has ended by itself; lost is one that the test has ended.
func (c *siteCluster) checkNoneEndedExcept(lost *site.Node) {
	c.t.Helper()
	for _, n := range c.nodes {
		if n != lost && n.HasEnded() {
			c.t.Errorf("%s: got: ended by itself, want: running", n.Name)
		}
	}
}

// checkNoLeaseWasAwaited checks that the owner did not wait until all leases had ended that an earlier one gave.
func (c *siteCluster) checkNoLeaseWasAwaited() {
	c.t.Helper()
	for line := range strings.Lines(c.owner().Log()) {
		if strings.Contains(line, `"LD0468"`) && (strings.Contains(line, `left="-`) || strings.Contains(line, `left="0s"`)) {
			c.t.Errorf("got: %s, want: time left", line)
		}
	}
}
