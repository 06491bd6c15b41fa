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

// submitCrashing hands in a job whose first task crashes its workers. It is not one of
// those that are to succeed.
func (c *siteCell) submitCrashing(steps ...jobStep) string {
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

// playCrashes hands in a job with a task that crashes its workers, and others, and does
// something at each of the first crashes until the job is given up.
func (c *siteCell) playCrashes(atCrash func(n int)) {
	c.t.Helper()
	bad := c.submitCrashing(small(3, 400))
	seen := 0
	c.await("the job with the task is given up", func() bool {
		if n := c.CrashesDuring(bad + ".0.0.0"); n > seen {
			seen = n
			c.mustSubmit(small(3, 300))
			atCrash(n)
		}
		return c.state(bad) == "failed"
	})
	c.awaitAll()
}

// The bound holds where the node that counts ends with each crash, as it is counted, and
// where it cannot write down what it counts.
func TestSiteTheBoundOfCrashesOutlivesOwnersAndOutages(t *testing.T) {
	for name, atCrash := range map[string]func(c *siteCell, n int){
		"owner is killed": func(c *siteCell, _ int) {
			o := c.owner()
			o.Kill()
			if err := o.Start(); err != nil {
				c.t.Fatal(err)
			}
		},
		"store is out": func(c *siteCell, n int) {
			if n > 2 {
				return
			}
			c.Store.SetMode(site.StoreSilent)
			c.await("some seconds pass", after(2*time.Second))
			c.Store.SetMode(site.StoreUp)
		},
		"store is out and all nodes are killed": func(c *siteCell, n int) {
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
			c := newSiteCell(t, 3, site.Options{Workers: 8})
			c.playCrashes(func(n int) { atCrash(c, n) })
		})
	}
}

// after returns a condition that holds some time from now on.
func after(d time.Duration) func() bool {
	at := time.Now().Add(d)
	return func() bool { return time.Now().After(at) }
}

// A carrier that ends with a crash takes the word of it with it.
func TestSiteTheBoundOfCrashesOutlivesCarriers(t *testing.T) {
	c := newCarrierCell(t)
	c.playCrashes(func(int) {
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

// Rooms of workers shrink to a quarter and grow again while jobs come; the stand-in's
// oracle holds each start against the room.
func TestSiteStartsKeepToRoomThatShrinksAndGrows(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 4})
	for round := range 4 {
		for i, w := range c.Workers() {
			if (i+round)%2 == 0 {
				w.Resize(1000, 1000)
			} else {
				w.Resize(4000, 4000)
			}
		}
		end := after(4500 * time.Millisecond)
		c.await("jobs come for some seconds", func() bool {
			c.submit(c.nodes[round%3], "", small(6, 250))
			return end()
		})
		if round == 1 {
			c.owner().Kill()
			c.startKilled()
		}
	}
	for _, w := range c.Workers() {
		w.Resize(4000, 4000)
	}
	c.awaitAll()
}

// startKilled starts the nodes again that were killed.
func (c *siteCell) startKilled() {
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

// The story is told at TestATaskThatCrashesWorkersIsGivenUp of the dispatch package: here
// the real programs play it. The stand-in's oracle counts the crashes and the starts.
func TestSiteATaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 8})
	bad := c.submitCrashing(small(4, 300))
	good := c.mustSubmit(small(8, 300), small(4, 300))
	c.await("the job with the task is given up", func() bool { return c.state(bad) == "failed" })
	c.await("the other job succeeds", func() bool { return c.state(good) == "succeeded" })
	// Three that prove it are enough; a busy machine takes so long to answer that one of them
	// may only count as one of four.
	if got := c.CrashesDuring(bad + ".0.0.0"); got < 2 || got > 4 {
		t.Errorf("workers that crashed under the task: got: %d, want: 2 to 4", got)
	}
}
