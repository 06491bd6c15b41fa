// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against an accepted job that stands still because its queue has left the configuration and the
// owner has changed: the new owner has never seen the queue's policy.
func TestSiteJobOfARemovedQueueGoesOnAfterARollingRestart(t *testing.T) {
	c := newSiteCluster(t, 2, site.Options{Workers: 2})
	second := smallStep(1, 100)
	second.DependsOn = []int{0}
	id := c.mustSubmit(smallStep(1, 9000), second)
	c.await("the first step starts", func() bool { return c.Starts() == 1 })
	c.ConfigureNamedQueue(2, "other", "/new/")
	isRemoved := func(n *site.Node) bool {
		status, _, err := n.Do(t.Context(), http.MethodGet, site.QueuePrefix+id, nil)
		return err == nil && status == http.StatusNotFound
	}
	for _, n := range c.nodes {
		c.await(n.Name+" no longer has the queue", func() bool { return isRemoved(n) })
	}
	for _, n := range c.nodes {
		c.signal(n, syscall.SIGTERM)
		<-n.Done()
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		c.awaitReady(n)
	}
	c.await("the second step starts", func() bool { return c.Starts() == 2 })
	for _, n := range c.nodes {
		if !isRemoved(n) {
			t.Errorf("%s, a job of the removed queue: got: not 404, want: 404", n.Name)
		}
	}
	c.Configure(3)
	c.awaitState(id, "succeeded")
}
