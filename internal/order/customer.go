// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package order

import (
	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Customer is the policy of a customer, from the configuration.
type Customer struct {
	// Name is never empty.
	Name work.CustomerName
	// Weight sets the customer's share of all capacity while other customers have tasks
	// waiting: its weight divided by the sum of their weights and its own. It is never negative.
	// A customer of weight 0 is not held to a share.
	Weight float64
	// Limit is what the customer's tasks may use over all workers. A dimension of 0 has no
	// limit; none is negative.
	Limit leverdyke.Resources
}

// Equal reports whether both have the same policy.
func (c Customer) Equal(other Customer) bool { return c == other }

// Policy is the part of a configuration that the owner applies.
type Policy struct {
	Queues    []Queue
	Customers []Customer
}
