// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

// A job that was removed and submitted again in one batch was accepted, and then removed by a later
// record of the same batch.
func TestResubmittedJobSurvivesRemovalInSameBatch(t *testing.T) {
	parts, err := owner.EncodeBatch(&dispatch.Batch{ExpiredJobs: []work.JobID{"a"}, NewJobs: []*work.Spec{newJob("a")}})
	if err != nil {
		t.Fatal(err)
	}
	isPersisted := false
	for _, part := range parts {
		for _, r := range part {
			if r.Key == "j/a" {
				isPersisted = len(r.Value) > 0
			}
		}
	}
	if !isPersisted {
		t.Error("the job after the batch: got: removed, want: kept")
	}
}

// Guards against tasks that run twice: an owner that ended between two parts of a batch had removed a worker, for which its
// successor then did not wait, and had not stored what ran there.
func TestWorkersAreRemovedAfterWhatRanThereIsStored(t *testing.T) {
	b := &dispatch.Batch{RemovedWorkers: []order.WorkerID{"w"}, Progress: map[work.JobID]*work.Progress{}}
	for i := range 200 {
		b.Progress[work.JobID(fmt.Sprintf("j%03d", i))] = progressOf(500, time.Time{})
	}
	parts, err := owner.EncodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}
	if len(parts) < 2 {
		t.Fatalf("parts: got: %d, want: some", len(parts))
	}
	for i, part := range parts {
		for j := range part {
			if isLast := i == len(parts)-1 && j == len(part)-1; part[j].Key == "w/w" && !isLast {
				t.Errorf("the removal is record %d of part %d of %d: got: followed by others, want: the last", j, i, len(parts))
			}
		}
	}
}
