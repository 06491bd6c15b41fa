// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against work that is lost because leases lapse in an outage of the store, although its owner and most nodes run.
func TestSiteOutageOfTheStoreLetsNoLeaseLapse(t *testing.T) {
	for name, tc := range map[string]struct {
		mode  site.StoreMode
		nodes int
	}{
		"the store is silent":                   {site.StoreSilent, 3},
		"the store refuses, many nodes":         {site.StoreBusy, 7},
		"the store is silent and one node runs": {site.StoreSilent, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, tc.nodes, site.Options{})
			c.mustSubmit(smallStep(4, 13_000))
			c.await("the tasks run", func() bool { return c.running() == 4 })
			c.await("the owner is old enough", elapsed(time.Second))
			c.Store.SetMode(tc.mode)
			c.await("the outage has lasted for 9 s", elapsed(9*time.Second))
			c.Store.SetMode(site.StoreUp)
			c.awaitAll()
			if got, want := c.Starts(), 4; got != want {
				t.Errorf("starts of four tasks: got: %d, want: %d", got, want)
			}
		})
	}
}
