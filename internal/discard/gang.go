// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package discard

import "time"

// lateOrderTime is how long a member of a gang may be missing after its order, while its order may
// still arrive. The other members wait for it without working: they are stopped before a new run of
// the gang could be working in their place.
const lateOrderTime = 250 * time.Millisecond

// IsOrderOverdue reports whether an order to start that the worker has not carried out yet is given
// up. age is the time since the order. A single task is given up at once, because another worker can
// begin it; a member of a gang takes all others with it.
func IsOrderOverdue(kind Kind, age time.Duration) bool {
	return kind != KindGang || age >= lateOrderTime
}

// KeepsTurn reports whether a gang that waits goes before work that can still be in time although it is
// itself late: a gang needs so much capacity at once that it would hardly ever start otherwise. One
// that has just lost a member and all of its work takes its turn by its deadline, like other work.
func KeepsTurn(hasLostMember, hasSaved bool) bool { return !hasLostMember || hasSaved }
