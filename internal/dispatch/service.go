// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// objectiveOf returns the time within which a job should end, by what is known of its tasks now;
// 0 if its queue has none or the job runs repeatedly. It changes no state, unlike criticalPath.
func (e *Engine) objectiveOf(j *job) time.Duration {
	q, r := e.queues[j.spec.Queue], j.rounds[0]
	if q.Stretch <= 0 || r == nil || j.spec.Rounds > 0 {
		return 0
	}
	longest, ends := time.Duration(0), make([]time.Duration, len(r.steps))
	for i, s := range r.steps {
		if s.spec.IsLongRunning {
			return 0
		}
		for _, k := range s.spec.After {
			ends[i] = max(ends[i], ends[k])
		}
		batches := e.quota.Batches(s.customer(), s.spec.Need, len(s.tasks))
		ends[i] += time.Duration(batches)*e.durationByEnds(s) + queryTime(&q)
		longest = max(longest, ends[i])
	}
	return q.TargetLatency + time.Duration(q.Stretch*float64(longest))
}
