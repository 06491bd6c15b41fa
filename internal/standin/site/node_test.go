// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Two test runs whose process IDs differed by a multiple of 250 gave their nodes the
// same addresses: nodes of one could not start, or answered for the other.
func TestProcessesShareNoSlot(t *testing.T) {
	seen := map[int]bool{}
	for range 3 {
		n, free, err := site.ClaimSlot()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = free() })
		if seen[n] {
			t.Errorf("slot %d: got: given twice, want: once", n)
		}
		seen[n] = true
	}
}
