// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/dispatch"
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
