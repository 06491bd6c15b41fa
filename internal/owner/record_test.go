// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

// A job that was forgotten and handed in again in one batch was accepted, and then
// removed by the end of the same batch.
func TestAJobThatIsHandedInAgainOutlastsItsForgetting(t *testing.T) {
	parts, err := owner.EncodeBatch(&dispatch.Batch{ExpiredJobs: []work.JobID{"a"}, NewJobs: []*work.Spec{job("a")}})
	if err != nil {
		t.Fatal(err)
	}
	isKept := false
	for _, part := range parts {
		for _, r := range part {
			if r.Key == "j/a" {
				isKept = len(r.Value) > 0
			}
		}
	}
	if !isKept {
		t.Error("the job after the batch: got: removed, want: kept")
	}
}
