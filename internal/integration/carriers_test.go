// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"slices"
	"syscall"
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// newCarrierCell returns a cell of three nodes that can talk to two workers each, of
// which there are six: the owner leaves them to the others.
func newCarrierCell(t *testing.T) *siteCell {
	t.Helper()
	c := newSiteCell(t, 3, site.Options{Workers: 6, HasPermissionService: true, CPUShare: carrierShare})
	c.awaitLog("number of nodes that carry", "carriers=2")
	return c
}

// Whatever becomes of a carrier, jobs are done, lasting tasks stay, and no task runs
// twice, by the stand-in's word.
func TestSiteSurvivesItsCarriers(t *testing.T) {
	for name, fail := range map[string]func(c *siteCell, n *site.Node) (mend func()){
		"kill": func(c *siteCell, n *site.Node) func() {
			n.Kill()
			return func() {
				if err := n.Start(); err != nil {
					c.t.Fatal(err)
				}
			}
		},
		"freeze": func(c *siteCell, n *site.Node) func() {
			c.signal(n, syscall.SIGSTOP)
			return func() { c.signal(n, syscall.SIGCONT) }
		},
		"planned stop": func(c *siteCell, n *site.Node) func() {
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
			c := newCarrierCell(t)
			lasting := small(3, 0)
			lasting.Perpetual = true
			c.mustSubmit(lasting)
			c.accepted = c.accepted[:0]
			c.await("all lasting tasks run", func() bool { return c.running() == 3 })
			owner := c.owner()
			for _, n := range slices.Clone(c.nodes) {
				if n == owner {
					continue
				}
				c.submit(owner, "", small(4, 600), small(2, 100))
				mend := fail(c, n)
				c.submit(owner, "", small(3, 300))
				c.awaitAll()
				mend()
				c.awaitReady(n)
			}
			c.await("all lasting tasks run at the end", func() bool { return c.running() == 3 })
		})
	}
}
