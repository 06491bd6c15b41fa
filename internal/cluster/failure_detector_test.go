// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/cluster"
)

// Guards against an owner that is suspected too early, because a few heartbeats are late, or too
// late.
func TestAnOwnerIsSilentAfterThreeMissedHeartbeats(t *testing.T) {
	now := clock.NewFake().Now()
	detector := &cluster.FailureDetector{}
	detector.Reset(now)
	detector.RecordHeartbeat(now.Add(100*time.Millisecond), 4, 0)
	for after, want := range map[time.Duration]bool{350 * time.Millisecond: false, 450 * time.Millisecond: true} {
		if got := detector.IsSilent(now.Add(after)); got != want {
			t.Errorf("silent after %v: got: %v, want: %v", after, got, want)
		}
	}
}

// Guards against a node that waits longer than necessary for the record of a dead owner, or less
// than a living owner may need: the wait depends on when the newest record was persisted, as the
// last heartbeat said, and on the latency of the store.
func TestTheWaitEndsWhenTheNextRecordIsOverdue(t *testing.T) {
	const ms = time.Millisecond
	begin := clock.NewFake().Now()
	for name, tc := range map[string]struct {
		age, after time.Duration
		newest     uint64
		answer     time.Duration
		want       time.Duration
	}{
		"persisted just before the last heartbeat": {0, 300 * ms, 4, 10 * ms, 190 * ms},
		"persisted long before the last heartbeat": {250 * ms, 300 * ms, 4, 10 * ms, 0},
		"the store answers slowly":                 {250 * ms, 300 * ms, 4, 370 * ms, 1380 * ms},
		"a record after the last heartbeat":        {250 * ms, 300 * ms, 5, 10 * ms, 490 * ms},
	} {
		detector := &cluster.FailureDetector{}
		detector.Reset(begin)
		detector.RecordHeartbeat(begin, 4, tc.age)
		if got := detector.RemainingWait(begin.Add(tc.after), tc.newest, tc.answer); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
	detector := &cluster.FailureDetector{}
	detector.Reset(begin)
	if got := detector.RemainingWait(begin.Add(time.Second), 0, 0); got != 450*ms {
		t.Errorf("before the first heartbeat: got: %v, want: a whole period", got)
	}
}
