// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work

// CustomerName names a customer. It is empty for a job without a customer: one that was submitted
// through a public queue, or whose record does not say whose it is.
type CustomerName string

// Caller is the origin of a call about a job.
type Caller struct {
	// Customer is the customer whose key the call carried; empty means that it carried none.
	Customer CustomerName
	// PublicQueue is the queue through which the call came, if anyone may use that queue;
	// otherwise it is empty.
	PublicQueue string
}

// MayAccess reports whether the caller may see and cancel a job, or submit it again. A job without
// a customer is open to every caller that may use a queue.
func (c Caller) MayAccess(s *Spec) bool {
	isPublic := c.PublicQueue != "" && c.PublicQueue == s.Queue
	return s.Customer == "" || s.Customer == c.Customer || isPublic
}

// Submitter returns the caller that submitted the job.
func (s *Spec) Submitter() Caller {
	if s.Customer == "" {
		return Caller{PublicQueue: s.Queue}
	}
	return Caller{Customer: s.Customer}
}
