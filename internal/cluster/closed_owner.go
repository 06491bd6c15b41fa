// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

// closedOwner has the epoch of the last owner that is known to have closed its connections, also those
// to workers: it handed over, or closed its link to this node, as the kernel does for a process that was
// killed. After a power loss an owner is silent first. The zero value has none.
type closedOwner struct{ epoch uint64 }

// linkClosed records that the owner of that epoch closed its link.
func (c *closedOwner) linkClosed(epoch uint64) { c.epoch = epoch }

// linked records a link to the owner of that epoch: if it closed one before, it goes on.
func (c *closedOwner) linked(epoch uint64) {
	if c.epoch == epoch {
		c.epoch = 0
	}
}

// is reports whether the owner of that epoch has closed its connections.
func (c *closedOwner) is(epoch uint64) bool { return epoch > 0 && c.epoch == epoch }
