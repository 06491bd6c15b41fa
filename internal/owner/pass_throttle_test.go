// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/owner"
)

// Without pauses, expensive scheduling passes would take all of the owner's time, and answers would
// count as missing because they are handled too late.
func TestOwnerPausesAfterExpensivePasses(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct{ took, want time.Duration }{
		{0, 0},
		{90 * time.Microsecond, 0},
		{200 * time.Microsecond, 2 * time.Millisecond},
		{2 * time.Millisecond, 6 * time.Millisecond},
		{20 * time.Millisecond, 60 * time.Millisecond},
		{time.Second, 100 * time.Millisecond},
	} {
		if got := owner.PauseAfter(c.took, now); got != c.want {
			t.Errorf("pause after a pass of %v: got: %v, want: %v", c.took, got, c.want)
		}
	}
}
