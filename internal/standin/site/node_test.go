// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Two processes whose IDs differ by a multiple of 250 begin their search at the same address slot. Each must
// get a slot of its own: with a shared one, nodes of one test run could not start, or answered requests
// meant for the other run.
func TestProcessesShareNoSlot(t *testing.T) {
	seen := map[int]bool{}
	for range 3 {
		n, free, err := site.ClaimSlot()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = free() })
		if seen[n] {
			t.Errorf("slot %d: got: claimed twice, want: once", n)
		}
		seen[n] = true
	}
}
