// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Clocks that a worker may show when it starts again, beside that of its earlier start, which
// began at an hour.
const (
	clockBehind = time.Second
	clockAhead  = 3 * time.Hour
)

// playRestarts lets workers start again under their IDs while jobs come and lasting tasks
// run, and does something between. All tasks must run, none twice, by the stand-in's word.
func (c *siteCluster) runRestartScenario(clockReading time.Duration, duringRestarts func(round int)) {
	c.t.Helper()
	longRunning := smallStep(6, 0)
	longRunning.Perpetual = true
	c.mustSubmit(longRunning)
	c.accepted = c.accepted[:0]
	c.await("all lasting tasks run", func() bool { return c.running() == 6 })
	c.mustSubmit(smallStep(12, 100), smallStep(8, 100))
	c.awaitAll()
	workers := c.Workers()
	for round := range 3 {
		c.mustSubmit(smallStep(8, 900))
		for i, w := range workers {
			if (i+round)%2 == 0 {
				w.Restart(time.Duration(200+150*i)*time.Millisecond, clockReading)
			}
		}
		duringRestarts(round)
		c.mustSubmit(smallStep(12, 150), smallStep(8, 150))
		c.awaitAll()
		c.await("all lasting tasks run again", func() bool { return c.running() == 6 })
		workers = c.liveWorkers()
	}
}

// living returns the workers that live.
func (c *siteCluster) liveWorkers() []*site.Worker {
	out := []*site.Worker{}
	for _, w := range c.Workers() {
		if !w.IsDead() {
			out = append(out, w)
		}
	}
	return out
}

// The story is told at TestAWorkerStartsAgainUnderItsID of the dispatch package: here the
// real programs play it.
func TestSiteWorkersRestartUnderTheSameID(t *testing.T) {
	for name, clockReading := range map[string]time.Duration{"clock behind": clockBehind, "clock ahead": clockAhead} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 6, HasAdvice: true})
			c.runRestartScenario(clockReading, func(int) {})
		})
	}
}

// What an owner has kept of a worker's earlier start, or had on its way to it, reaches
// nothing of the newer one by way of the next owner either.
func TestSiteWorkersRestartWhileOwnersEnd(t *testing.T) {
	for name, end := range map[string]func(c *siteCluster){
		"killed": func(c *siteCluster) { c.owner().Kill() },
		"planned stop": func(c *siteCluster) {
			n := c.owner()
			c.signal(n, syscall.SIGTERM)
			<-n.Done()
		},
		"store silent": func(c *siteCluster) {
			c.Store.SetMode(site.StoreSilent)
			c.await("some seconds pass", elapsed(2*time.Second))
			c.Store.SetMode(site.StoreUp)
		},
		"store silent and owner killed": func(c *siteCluster) {
			c.Store.SetMode(site.StoreSilent)
			c.await("a second passes", elapsed(time.Second))
			c.owner().Kill()
			c.Store.SetMode(site.StoreUp)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 6})
			c.runRestartScenario(clockBehind, func(int) {
				end(c)
				c.restartEndedNodes()
			})
		})
	}
}

// A carrier has orders on their way to an earlier start of a worker when it ends, stops as
// planned, or is frozen.
func TestSiteWorkersStartAgainWhileCarriersEnd(t *testing.T) {
	c := newDelegateCluster(t)
	c.runRestartScenario(clockAhead, func(round int) {
		owner := c.owner()
		for _, n := range c.nodes {
			switch {
			case n == owner:
			case round == 0:
				n.Kill()
			case round == 1:
				c.signal(n, syscall.SIGTERM)
				<-n.Done()
			default:
				c.signal(n, syscall.SIGSTOP)
				c.await("a second passes", elapsed(time.Second))
				c.signal(n, syscall.SIGCONT)
			}
		}
		c.restartEndedNodes()
	})
}

// An order to an earlier start that is held up and gets no answer reaches the newer one,
// which knows no owner and no run that was stopped.
func TestSiteDelayedOrdersReachANewerIncarnation(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 3})
	for range 3 {
		for _, w := range c.liveWorkers() {
			w.HoldUpStarts(3, 1500*time.Millisecond)
		}
		c.mustSubmit(smallStep(9, 2000))
		c.await("orders are doubted", elapsed(300*time.Millisecond))
		for _, w := range c.liveWorkers() {
			w.Restart(300*time.Millisecond, clockBehind)
		}
		c.awaitAll()
	}
}
