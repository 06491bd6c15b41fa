// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

// Drain starts the hand-over. Everything owned goes to the node that should
// have it without this one.
func (c *Core) Drain() {
	if c.isDraining {
		return
	}
	c.isDraining = true
	c.heartbeatAt = time.Time{}
	c.plannedAt = time.Time{}
	events.Log(events.NodeDraining, "racks", len(c.racks), "homes", len(c.jobShards))
}

// IsHandedOver reports whether nothing is owned any more, or nobody could take
// what is.
func (c *Core) IsHandedOver() bool {
	return len(c.racks)+len(c.jobShards) == 0 || !c.hasSuccessor()
}

// hasHeirs reports whether there is a node that could take what this one owns.
func (c *Core) hasSuccessor() bool {
	now := c.now()
	return !c.isLogUnavailable(now) && len(c.members.Alive(now, c.options.Region, false)) > 0
}
