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
func (c *siteCell) playRestarts(clock time.Duration, between func(round int)) {
	c.t.Helper()
	lasting := small(6, 0)
	lasting.Perpetual = true
	c.mustSubmit(lasting)
	c.accepted = c.accepted[:0]
	c.await("all lasting tasks run", func() bool { return c.running() == 6 })
	c.mustSubmit(small(12, 100), small(8, 100))
	c.awaitAll()
	workers := c.Workers()
	for round := range 3 {
		c.mustSubmit(small(8, 900))
		for i, w := range workers {
			if (i+round)%2 == 0 {
				w.Restart(time.Duration(200+150*i)*time.Millisecond, clock)
			}
		}
		between(round)
		c.mustSubmit(small(12, 150), small(8, 150))
		c.awaitAll()
		c.await("all lasting tasks run again", func() bool { return c.running() == 6 })
		workers = c.living()
	}
}

// living returns the workers that live.
func (c *siteCell) living() []*site.Worker {
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
func TestSiteWorkersStartAgainUnderTheirIDs(t *testing.T) {
	for name, clock := range map[string]time.Duration{"clock behind": clockBehind, "clock ahead": clockAhead} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCell(t, 3, site.Options{Workers: 6, HasPermissionService: true})
			c.playRestarts(clock, func(int) {})
		})
	}
}

// What an owner has kept of a worker's earlier start, or had on its way to it, reaches
// nothing of the newer one by way of the next owner either.
func TestSiteWorkersStartAgainWhileOwnersEnd(t *testing.T) {
	for name, end := range map[string]func(c *siteCell){
		"killed": func(c *siteCell) { c.owner().Kill() },
		"planned stop": func(c *siteCell) {
			n := c.owner()
			c.signal(n, syscall.SIGTERM)
			<-n.Done()
		},
		"store silent": func(c *siteCell) {
			c.Store.SetMode(site.StoreSilent)
			c.await("some seconds pass", after(2*time.Second))
			c.Store.SetMode(site.StoreUp)
		},
		"store silent and owner killed": func(c *siteCell) {
			c.Store.SetMode(site.StoreSilent)
			c.await("a second passes", after(time.Second))
			c.owner().Kill()
			c.Store.SetMode(site.StoreUp)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSiteCell(t, 3, site.Options{Workers: 6})
			c.playRestarts(clockBehind, func(int) {
				end(c)
				c.startKilled()
			})
		})
	}
}

// A carrier has orders on their way to an earlier start of a worker when it ends, stops as
// planned, or is frozen.
func TestSiteWorkersStartAgainWhileCarriersEnd(t *testing.T) {
	c := newCarrierCell(t)
	c.playRestarts(clockAhead, func(round int) {
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
				c.await("a second passes", after(time.Second))
				c.signal(n, syscall.SIGCONT)
			}
		}
		c.startKilled()
	})
}

// An order to an earlier start that is held up and gets no answer reaches the newer one,
// which knows no owner and no run that was stopped.
func TestSiteOrdersThatAreHeldUpReachANewerStart(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 3})
	for range 3 {
		for _, w := range c.living() {
			w.DelayStarts(3, 1500*time.Millisecond)
		}
		c.mustSubmit(small(9, 2000))
		c.await("orders are doubted", after(300*time.Millisecond))
		for _, w := range c.living() {
			w.Restart(300*time.Millisecond, clockBehind)
		}
		c.awaitAll()
	}
}
