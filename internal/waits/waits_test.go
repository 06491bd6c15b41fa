// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package waits_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/waits"
)

// Waits of the same queue and reason are added up, and taking the totals resets them.
func TestTotals(t *testing.T) {
	s := waits.Totals{}
	s.Add("b", waits.Capacity, 2, time.Second)
	s.Add("a", waits.Channel, 3, time.Second)
	s.Add("b", waits.Limit, 1, 5*time.Second)
	s.Add("b", waits.Capacity, 1, time.Second)
	want := []waits.Wait{{"a", waits.Channel, 3 * time.Second}, {"b", waits.Limit, 5 * time.Second}, {"b", waits.Capacity, 3 * time.Second}}
	if got := s.Take(); !slices.Equal(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
	if got := s.Take(); len(got) > 0 {
		t.Errorf("after they were taken: got: %v, want: none", got)
	}
}
