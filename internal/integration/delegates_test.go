// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"slices"
	"syscall"
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// newDelegateCluster returns a cluster of three nodes and six workers. The CPU share of a node
// lets it talk to two workers only, so that the owner assigns them to the other two nodes as its
// delegates.
func newDelegateCluster(t *testing.T) *siteCluster {
	t.Helper()
	c := newSiteCluster(t, 3, site.Options{Workers: 6, HasPermissionService: true, CPUShare: delegateCPUShare})
	c.awaitLog("number of nodes that carry", "carriers=2")
	return c
}

// A delegate that is killed, frozen or stopped as planned must not affect the work: all jobs
// succeed, all long-running tasks run in the end, and the stand-in's oracle sees no task run twice.
func TestSiteSurvivesFaultsOfDelegates(t *testing.T) {
	for name, fail := range map[string]func(c *siteCluster, n *site.Node) (repair func()){
		"kill": func(c *siteCluster, n *site.Node) func() {
			n.Kill()
			return func() {
				if err := n.Start(); err != nil {
					c.t.Fatal(err)
				}
			}
		},
		"freeze": func(c *siteCluster, n *site.Node) func() {
			c.signal(n, syscall.SIGSTOP)
			return func() { c.signal(n, syscall.SIGCONT) }
		},
		"planned stop": func(c *siteCluster, n *site.Node) func() {
			c.signal(n, syscall.SIGTERM)
			return func() {
				<-n.Done()
				if err := n.Start(); err != nil {
					c.t.Fatal(err)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newDelegateCluster(t)
			longRunning := smallStep(3, 0)
			longRunning.Perpetual = true
			c.mustSubmit(longRunning)
			c.accepted = c.accepted[:0]
			c.await("all long-running tasks run", func() bool { return c.running() == 3 })
			owner := c.owner()
			for _, n := range slices.Clone(c.nodes) {
				if n == owner {
					continue
				}
				c.submit(owner, "", smallStep(4, 600), smallStep(2, 100))
				repair := fail(c, n)
				c.submit(owner, "", smallStep(3, 300))
				c.awaitAll()
				repair()
				c.awaitReady(n)
			}
			c.await("all long-running tasks run at the end", func() bool { return c.running() == 3 })
		})
	}
}
