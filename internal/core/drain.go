// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

// Drain starts to hand over all shards that this node owns: it appends a claim
// of each shard in the name of the node that should own it without this one.
func (c *Core) Drain() {
	if c.isDraining {
		return
	}
	c.isDraining = true
	c.heartbeatAt = time.Time{}
	c.plannedAt = time.Time{}
	events.Log(events.NodeDraining, "racks", len(c.racks), "homes", len(c.jobShards))
}

// IsHandedOver reports whether this node owns no shard any more, or whether no
// node could take its shards over.
func (c *Core) IsHandedOver() bool {
	return len(c.racks)+len(c.jobShards) == 0 || !c.hasSuccessor()
}

// hasSuccessor reports whether there is a node that could take over the shards
// of this one. Without the log no shard can be claimed.
func (c *Core) hasSuccessor() bool {
	now := c.now()
	return !c.isLogUnavailable(now) && len(c.members.Alive(now, c.options.Region, false)) > 0
}
