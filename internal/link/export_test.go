// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package link

// HasReply reports whether the reply to a call has arrived that has not been returned.
func HasReply(c *Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if len(p.reply) > 0 {
			return true
		}
	}
	return false
}
