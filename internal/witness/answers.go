// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package witness

import (
	"slices"
	"time"
)

// Answers has when the last request was sent that each witness has answered. A successor of the owner that sends the requests
// rules out that most witnesses answer any later one (Survey): a witness answers the requests of no earlier owner any more
// once it has answered one of the successor. The zero value has none.
type Answers struct{ sentAt map[string]time.Time }

// Record records that a witness has answered a request that was sent at a time.
func (a *Answers) Record(witness string, sentAt time.Time) {
	if a.sentAt == nil {
		a.sentAt = map[string]time.Time{}
	}
	if sentAt.After(a.sentAt[witness]) {
		a.sentAt[witness] = sentAt
	}
}

// Retain removes the answers of all witnesses that none of the quorums name.
func (a *Answers) Retain(quorums []Quorum) {
	for name := range a.sentAt {
		if !slices.ContainsFunc(quorums, func(q Quorum) bool { return slices.Contains(q.Witnesses, name) }) {
			delete(a.sentAt, name)
		}
	}
}

// MostSince returns the latest time since which most of the witnesses of a quorum have answered a request; zero if there is none.
func (a *Answers) MostSince(q *Quorum) time.Time {
	if q.IsEmpty() {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(q.Witnesses))
	for _, w := range q.Witnesses {
		times = append(times, a.sentAt[w])
	}
	slices.SortFunc(times, func(x, y time.Time) int { return y.Compare(x) })
	return times[q.minConsents()-1]
}
