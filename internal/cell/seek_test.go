// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

func TestAnOwnerThatMayHaveRunAheadIsNotReliedOn(t *testing.T) {
	clk := &steppedClock{}
	n := newNodeWith(t, fakestore.NewLog(), "n0", "1", clk)
	for name, tc := range map[string]struct {
		record *owner.Record
		want   bool
	}{
		"none":        {nil, true},
		"young":       {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(-800 * time.Millisecond)}, true},
		"old":         {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(-1000 * time.Millisecond)}, false},
		"marked":      {&owner.Record{Epoch: 7, SentAt: clk.Now(), IsUnlogged: true}, false},
		"clock ahead": {&owner.Record{Epoch: 7, SentAt: clk.Now().Add(2 * time.Second)}, false},
	} {
		if got := n.IsExact(tc.record); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
