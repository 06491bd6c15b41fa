// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rules

import "time"

// Calm knows which times were free of disturbances. The zero value has had none.
type Calm struct{ disturbances []span }

type span struct{ from, to time.Duration }

// Disturb notes a disturbance from one time to another, of which the second may lie ahead.
func (c *Calm) Disturb(from, to time.Duration) {
	c.disturbances = append(c.disturbances, span{from, to})
}

// IsCalm reports whether nothing was disturbed from one time to another.
func (c *Calm) IsCalm(from, to time.Duration) bool {
	for _, d := range c.disturbances {
		if d.from <= to && d.to >= from {
			return false
		}
	}
	return true
}
