// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"maps"
	"slices"
)

const (
	// assumedShare is the share of the workers that is expected to be permitted where nothing is
	// known yet.
	assumedShare = 0.35
	// assumedWeight is how many workers asked about the assumption counts for.
	assumedWeight = 20
	// maxWeight is how many workers asked about the past counts for at most, so that a share that
	// changes is followed.
	maxWeight = 4000
)

// Shares are the shares of workers that are permitted to run the steps of a queue, learned from the
// answers to calls. The zero value has learned nothing.
type Shares struct{ byQueue map[string]QueueShare }

// QueueShare is what is known about the share of permitted workers of a queue.
type QueueShare struct {
	Queue string
	// Share is the fraction, from 0 to 1, of the workers asked about that were permitted.
	Share float64
	// Weight is how many workers asked about Share counts for. It is positive.
	Weight float64
}

// isValid reports whether the share may be learned from. It is false for NaN.
func (q *QueueShare) isValid() bool {
	return q.Share >= 0 && q.Share <= 1 && q.Weight > 0 && q.Weight <= maxWeight
}

// Observe records an answer to a call for a step of the queue: of asked workers that were asked
// about for the first time, granted are permitted.
func (s *Shares) Observe(queue string, asked, granted int) {
	if asked <= 0 {
		return
	}
	if s.byQueue == nil {
		s.byQueue = map[string]QueueShare{}
	}
	old := s.byQueue[queue]
	permitted := old.Share*old.Weight + float64(min(max(granted, 0), asked))
	weight := old.Weight + float64(asked)
	s.byQueue[queue] = QueueShare{Queue: queue, Share: min(permitted/weight, 1), Weight: min(weight, maxWeight)}
}

// Of returns the share of workers that is expected to be permitted, between 0 and 1 and never either.
func (s *Shares) Of(queue string) float64 {
	q := s.byQueue[queue]
	return (q.Share*q.Weight + assumedShare*assumedWeight) / (q.Weight + assumedWeight)
}

// Snapshot returns what is known, sorted by queue.
func (s *Shares) Snapshot() []QueueShare {
	out := make([]QueueShare, 0, len(s.byQueue))
	for _, queue := range slices.Sorted(maps.Keys(s.byQueue)) {
		out = append(out, s.byQueue[queue])
	}
	return out
}

// Restore sets what is known about the queues of a snapshot. Entries that can't come from one are
// ignored.
func (s *Shares) Restore(shares []QueueShare) {
	if s.byQueue == nil {
		s.byQueue = make(map[string]QueueShare, len(shares))
	}
	for _, q := range shares {
		if q.isValid() {
			s.byQueue[q.Queue] = q
		}
	}
}
