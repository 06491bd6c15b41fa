// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// In soaks, workers that may run all steps were replaced by ones that may not, until no worker was left
// that the permission service lets run some step.
func TestReplacementsMayRunAllStepsLikeTheirWorkers(t *testing.T) {
	s := &soak{siteCluster: newSiteCluster(t, 0, site.Options{Workers: 6, HasPermissionService: true}), lastWorkerNumber: 100}
	for range 3 {
		for _, w := range s.liveWorkers() {
			if site.MayRunAllSteps(w.ID()) {
				s.replaceWorker(w)
			}
		}
	}
	got := 0
	for _, w := range s.liveWorkers() {
		if site.MayRunAllSteps(w.ID()) {
			got++
		}
	}
	if want := 3; got != want {
		t.Errorf("workers that may run all steps after each was replaced three times: got: %d, want: %d", got, want)
	}
}
