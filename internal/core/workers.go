// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// rackInEpoch returns a rack if this node owns it in that epoch, or nil. Events
// of links that were opened in another epoch are therefore ignored.
func (c *Core) rackInEpoch(id state.ShardID, epoch worker.Epoch) *rack.Rack {
	if o := c.racks[id]; o != nil && o.rack.Epoch == epoch {
		return o.rack
	}
	return nil
}

// OnReport handles a worker's report, which was sent to the rack's owner of that
// epoch.
func (c *Core) OnReport(id state.ShardID, epoch worker.Epoch, w worker.ID, report *worker.Report) {
	if r := c.rackInEpoch(id, epoch); r != nil {
		r.OnReport(c.now(), w, report)
	}
}

// OnSilent handles that a worker did not answer a poll.
func (c *Core) OnSilent(id state.ShardID, epoch worker.Epoch, w worker.ID) {
	if r := c.rackInEpoch(id, epoch); r != nil {
		r.OnUnresponsive(w)
	}
}

// OnStartResults handles a worker's answer to an order to start tasks.
func (c *Core) OnStartResults(id state.ShardID, epoch worker.Epoch, w worker.ID, results []worker.StartResult) {
	if r := c.rackInEpoch(id, epoch); r != nil {
		r.OnStartResults(c.now(), w, results)
	}
}

// OnStartFailed handles an order to start tasks that got no answer, so that it
// is not known whether the worker received it.
func (c *Core) OnStartFailed(id state.ShardID, epoch worker.Epoch, w worker.ID, tasks []worker.Task) {
	if r := c.rackInEpoch(id, epoch); r != nil {
		r.OnStartFailed(w, tasks)
	}
}
