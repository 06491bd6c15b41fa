// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package fairshare tells which customers have more of all room in use than their share. It is
// pure.
//
// It answers the load in which one customer sends many times its usual: while others wait, it
// gets no more than its share, and what they leave it has.
package fairshare

import (
	"github.com/leverdyke/leverdyke/internal/work"
)

// overRatio is how many times its share a customer may have in use until it counts as over it:
// what it has in use comes and goes with single jobs.
const overShareRatio = 1.5

// Usage is what a customer that has work running or waiting has in use.
type Usage struct {
	Name work.CustomerName
	// Weight makes its share, beside the weights of the others; over 0.
	Weight float64
	// Fraction is what part of all room it has in use, by the dimension of which that is most.
	Fraction float64
}

// OverShare returns the customers that have more in use than their shares. One whose share is below
// the mean may have as much as the mean, or a single wide job would hold back all its others.
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
