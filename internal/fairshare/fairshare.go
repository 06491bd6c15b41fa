// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package fairshare finds the customers that use more of the cluster's resources than their share.
// It does no I/O and reads no clock.
//
// It handles a load in which one customer submits many times its usual amount. While work of other
// customers waits, that customer gets no more than its share; it may use the capacity that the
// others leave free.
package fairshare

import (
	"github.com/leverdyke/leverdyke/internal/work"
)

// overShareRatio is how many times its share a customer may use before it counts as over its
// share: usage fluctuates as single jobs start and end.
const overShareRatio = 1.5

// Usage is the usage of a customer that has work running or waiting.
type Usage struct {
	Name work.CustomerName
	// Weight is above 0. The share of a customer is its weight divided by the sum of all weights.
	Weight float64
	// Fraction is the fraction of what all customers share that the customer uses, in the resource in
	// which that fraction is largest. Resources are the dimensions of the total capacity, and others
	// that are scarce.
	Fraction float64
}

// OverShare returns the customers that use more than their share. A customer whose share is below
// the mean may use as much as the mean; otherwise a single job with many tasks would hold back all
// its other jobs.
func OverShare(usages []Usage) []work.CustomerName {
	sum := 0.0
	for i := range usages {
		sum += usages[i].Weight
	}
	over := []work.CustomerName{}
	for i := range usages {
		u := &usages[i]
		if u.Fraction > max(overShareRatio*u.Weight/sum, 1/float64(len(usages))) {
			over = append(over, u.Name)
		}
	}
	return over
}
