// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work

// CustomerName names a customer. The empty name stands for none: the job came through a
// public queue, or from a record that did not tell.
type CustomerName string

// Caller is who asks something of a job.
type Caller struct {
	// Customer is the one whose key the call carried; empty for none.
	Customer CustomerName
	// PublicQueue is the queue that the call came through if anyone may use that; else empty.
	PublicQueue string
}

// MayAccess reports whether the caller may see and cancel a job, or hand it in again. A job
// without a customer is open to whoever may use a queue.
func (c Caller) MayAccess(s *Spec) bool {
	isPublic := c.PublicQueue != "" && c.PublicQueue == s.Queue
	return s.Customer == "" || s.Customer == c.Customer || isPublic
}

// Submitter returns who has handed in the job.
func (s *Spec) Submitter() Caller {
	if s.Customer == "" {
		return Caller{PublicQueue: s.Queue}
	}
	return Caller{Customer: s.Customer}
}
