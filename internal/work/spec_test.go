// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The work of a job is that of all tasks whose end is expected, on all their processors.
func TestWorkOfJob(t *testing.T) {
	need := leverdyke.Resources{MilliCPU: 1500}
	for name, tc := range map[string]struct {
		steps []work.Step
		want  time.Duration
	}{
		"no steps":         {nil, 0},
		"two steps":        {[]work.Step{{Count: 4, Need: need, Estimate: 2 * time.Second}, {Count: 1, Need: need, Estimate: time.Second}}, 13500 * time.Millisecond},
		"long-running":     {[]work.Step{{Count: 4, Need: need, Estimate: 2 * time.Second, IsLongRunning: true}}, 0},
		"best effort":      {[]work.Step{{Count: 1, Need: need, Estimate: 2 * time.Second, IsBestEffort: true}}, 3 * time.Second},
		"without estimate": {[]work.Step{{Count: 4, Need: need}}, 0},
	} {
		if got := (&work.Spec{Steps: tc.steps}).Work(); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
