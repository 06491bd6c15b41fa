// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"slices"
	"testing"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Guards against a young owner that writes records without the runs that were handed on to it.
func TestOwnerHandsOnOutlastedRunsUntilItsWorkersReport(t *testing.T) {
	log := fakestore.NewLog()
	workers := newWorkersOfEndedOwner(t, log)
	inherited := []crash.OutlastedRun{{Task: work.TaskID{Job: "a", Index: 1}, Run: 1, Worker: "w"}}
	second := runOwner(t, log, newFakeWorkers(), emptyList{}, clock.Real{}, nil, func(o *owner.Options) {
		o.Claim.Previous.Outlasted, o.Claim.Record.Outlasted = inherited, inherited
	})
	await.True(t, "the second owner writes records", func() bool { n, _ := second.LastRecord(); return n >= 3 })
	if got := newestRecord(t, log).Outlasted; !slices.Equal(got, inherited) {
		t.Errorf("got: %v, want: %v", got, inherited)
	}
	close(workers.gate)
}
