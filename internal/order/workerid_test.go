// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package order_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Names that contain the separator must not be split at it: part of the name would be read as a
// start time.
func TestWorkerIDHasNameAndIncarnation(t *testing.T) {
	startedAt := time.UnixMilli(1791916135672)
	for name, tc := range map[string]struct {
		name           string
		startedAt      time.Time
		hasIncarnation bool
	}{
		"start":                    {"i-92de3f55d3", startedAt, true},
		"no start time":            {"i-92de3f55d3", time.Time{}, false},
		"a separator in the name":  {"i@92", time.Time{}, false},
		"a separator, and a start": {"i@92@", startedAt, true},
		"no name":                  {"", startedAt, true},
	} {
		id := order.NewWorkerID(tc.name, tc.startedAt)
		if id.Name() != tc.name || id.HasIncarnation() != tc.hasIncarnation {
			t.Errorf("%s: got: %q, %v of %s, want: %q, %v", name, id.Name(), id.HasIncarnation(), id, tc.name, tc.hasIncarnation)
		}
	}
}

// An ID without a start time may identify any incarnation of its worker, so that it counts
// neither as a different incarnation nor as a different worker.
func TestIncarnationsOfAWorkerAreDistinguished(t *testing.T) {
	startedAt := time.UnixMilli(1791916135672)
	first, second := order.NewWorkerID("w", startedAt), order.NewWorkerID("w", startedAt.Add(-time.Millisecond))
	other, unknown := order.NewWorkerID("v", startedAt), order.NewWorkerID("w", time.Time{})
	for name, tc := range map[string]struct {
		a, b                order.WorkerID
		isSame, isDifferent bool
	}{
		"the same incarnation": {first, order.NewWorkerID("w", startedAt), true, false},
		"another incarnation":  {first, second, true, true},
		"another worker":       {first, other, false, false},
		"may be the same":      {first, unknown, true, false},
	} {
		if got := tc.a.IsSameWorker(tc.b); got != tc.isSame {
			t.Errorf("%s: same worker: got: %v, want: %v", name, got, tc.isSame)
		}
		if got := tc.a.IsOtherIncarnation(tc.b); got != tc.isDifferent || tc.b.IsOtherIncarnation(tc.a) != got {
			t.Errorf("%s: other incarnation: got: %v, want: %v", name, got, tc.isDifferent)
		}
	}
}
