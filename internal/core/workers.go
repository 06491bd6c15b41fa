// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// owned returns the rack if this node owns it in that epoch, or nil.
func (c *Core) owned(id state.ShardID, epoch worker.Epoch) *rack.Rack {
	if o := c.racks[id]; o != nil && o.rack.Epoch == epoch {
		return o.rack
	}
	return nil
}

// OnReport takes a worker's report to a rack's owner of that epoch.
func (c *Core) OnReport(id state.ShardID, epoch worker.Epoch, w worker.ID, rep *worker.Report) {
	if r := c.owned(id, epoch); r != nil {
		r.OnReport(c.now(), w, rep)
	}
}

// OnSilent notes that a worker did not answer.
func (c *Core) OnSilent(id state.ShardID, epoch worker.Epoch, w worker.ID) {
	if r := c.owned(id, epoch); r != nil {
		r.OnUnresponsive(w)
	}
}

// OnStartResults takes a worker's answer to a start.
func (c *Core) OnStartResults(id state.ShardID, epoch worker.Epoch, w worker.ID, results []worker.StartResult) {
	if r := c.owned(id, epoch); r != nil {
		r.OnStartResults(c.now(), w, results)
	}
}

// OnStartFailed notes that it is not known whether a worker got a start.
func (c *Core) OnStartFailed(id state.ShardID, epoch worker.Epoch, w worker.ID, tasks []worker.Task) {
	if r := c.owned(id, epoch); r != nil {
		r.OnStartFailed(w, tasks)
	}
}
