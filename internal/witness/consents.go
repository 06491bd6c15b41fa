// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package witness

import "slices"

// Consents are those that an owner has. The zero value has none.
type Consents struct {
	// round counts the requests; an answer to an earlier one does not count.
	round uint64
	// isRequested means that they were requested and not withdrawn since.
	isRequested bool
	// asked has the processes that were asked, with whether they consent.
	asked map[string]bool
}

// BeginRequest begins a request, unless there is one. It returns the witnesses of the quorums to ask, which are those that have
// not consented, and the round of the request.
func (c *Consents) BeginRequest(quorums ...Quorum) ([]string, uint64) {
	if !c.isRequested {
		c.round++
		c.isRequested, c.asked = true, map[string]bool{}
	}
	missing := []string{}
	for i := range quorums {
		for _, w := range quorums[i].Witnesses {
			if !c.asked[w] && !slices.Contains(missing, w) {
				missing = append(missing, w)
			}
		}
	}
	for _, w := range missing {
		c.asked[w] = false
	}
	return missing, c.round
}

// RecordGiven records that a witness consents to the request of a round.
func (c *Consents) RecordGiven(process string, round uint64) {
	if c.isRequested && round == c.round {
		c.asked[process] = true
	}
}

// EndRequest ends the request, and returns its round.
func (c *Consents) EndRequest() uint64 {
	c.isRequested, c.asked = false, nil
	return c.round
}

// Round returns the round of the last request, 0 if there was none.
func (c *Consents) Round() uint64 { return c.round }

// IsRequested reports whether consents are requested, and not withdrawn since.
func (c *Consents) IsRequested() bool { return c.isRequested }

// AreGivenByMost reports whether most of the witnesses consent.
func (c *Consents) AreGivenByMost(q *Quorum) bool {
	return !q.IsEmpty() && q.countIn(c.asked) >= q.minConsents()
}
