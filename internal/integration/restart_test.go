// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Readings of a worker's clock when its process starts again under the same ID. The clock of the
// first incarnation starts at one hour, so that one reading is behind it and the other ahead.
const (
	clockBehind = time.Second
	clockAhead  = 3 * time.Hour
)

// runRestartScenario restarts workers under their IDs, with the given clock reading, while jobs are
// submitted and long-running tasks run, and calls duringRestarts in each round. All tasks must run,
// and the stand-in's oracle must see none run twice.
func (c *siteCluster) runRestartScenario(clockReading time.Duration, duringRestarts func(round int)) {
	c.t.Helper()
	longRunning := smallStep(6, 0)
	longRunning.Perpetual = true
	c.mustSubmit(longRunning)
	c.accepted = c.accepted[:0]
	c.await("all long-running tasks run", func() bool { return c.running() == 6 })
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
		c.await("all long-running tasks run again", func() bool { return c.running() == 6 })
		workers = c.liveWorkers()
	}
}

// liveWorkers returns the workers that have not crashed.
func (c *siteCluster) liveWorkers() []*site.Worker {
	out := []*site.Worker{}
	for _, w := range c.Workers() {
		if !w.IsDead() {
			out = append(out, w)
		}
	}
	return out
}

// Runs the fault of TestRestartedWorkerIsTrackedAsNewIncarnation (package dispatch) with real
// processes: what the owner knew of a worker's previous incarnation was applied to the new one.
func TestSiteWorkersRestartUnderTheSameID(t *testing.T) {
	for name, clockReading := range map[string]time.Duration{"clock behind": clockBehind, "clock ahead": clockAhead} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{Workers: 6, HasPermissionService: true})
			c.runRestartScenario(clockReading, func(int) {})
		})
	}
}

// An owner may have persisted state of a worker's previous incarnation, or sent it orders that have
// not arrived, when it ends or loses the store. The next owner must not apply any of this to the
// worker's new incarnation.
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
			c.await("the store is silent for some seconds", elapsed(2*time.Second))
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

// Delegates are killed, stopped as planned, or frozen while their orders to a worker's previous
// incarnation have not arrived. A frozen delegate sends its orders late, to the new incarnation.
func TestSiteWorkersStartAgainWhileDelegatesEnd(t *testing.T) {
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

// A start order for a worker's previous incarnation is delayed and gets no answer, so that it
// reaches the new incarnation. That one knows neither an owner's epoch nor a stopped attempt by which
// it could tell that the order is stale.
func TestSiteDelayedOrdersReachANewerIncarnation(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 3})
	for range 3 {
		for _, w := range c.liveWorkers() {
			w.DelayStarts(3, 1500*time.Millisecond)
		}
		c.mustSubmit(smallStep(9, 2000))
		c.await("start orders stay unacknowledged", elapsed(300*time.Millisecond))
		for _, w := range c.liveWorkers() {
			w.Restart(300*time.Millisecond, clockBehind)
		}
		c.awaitAll()
	}
}
