// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

// drain starts the hand-over. Everything owned goes to the node that should
// have it without this one.
func (c *core) drain() {
	if c.isDraining {
		return
	}
	c.isDraining = true
	c.beatAt = time.Time{}
	c.planAt = time.Time{}
	events.Log(events.NodeDraining, "racks", len(c.racks), "homes", len(c.homes))
}

// hasHeirs reports whether there is a node that could take what this one owns.
func (c *core) hasHeirs() bool {
	now := c.now()
	return !c.isLogOut(now) && len(c.members.Alive(now, c.node.settings.Region, false)) > 0
}
