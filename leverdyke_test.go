// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package leverdyke_test

import (
	"errors"
	"testing"

	"github.com/leverdyke/leverdyke"
)

func TestResourcesCount(t *testing.T) {
	free := leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 512, Slots: 3}
	for _, c := range []struct {
		name string
		need leverdyke.Resources
		want int64
	}{
		{"nothing is needed", leverdyke.Resources{}, 0},
		{"limited by processors", leverdyke.Resources{MilliCPU: 400, Slots: 1}, 2},
		{"limited by slots", leverdyke.Resources{MilliCPU: 1, Slots: 1}, 3},
		{"no accelerators", leverdyke.Resources{Accelerators: 1, Slots: 1}, 0},
	} {
		if got := c.need.Count(free); got != c.want {
			t.Errorf("%s: got: %v, want: %v", c.name, got, c.want)
		}
	}
	over := leverdyke.Resources{MilliCPU: -5, Slots: 1}
	if got := (leverdyke.Resources{MilliCPU: 1}).Count(over); got != 0 {
		t.Errorf("negative free capacity: got: %v, want: 0", got)
	}
}

func TestResourcesLacks(t *testing.T) {
	has := leverdyke.Resources{MilliCPU: 10, MemoryMiB: 10, Accelerators: 1, Slots: 1}
	for want, need := range map[string]leverdyke.Resources{
		"":             {MilliCPU: 10, MemoryMiB: 10, Accelerators: 1, Slots: 1},
		"processors":   {MilliCPU: 11},
		"memory":       {MemoryMiB: 11},
		"accelerators": {Accelerators: 2},
		"slots":        {Slots: 2},
	} {
		if got := need.Lacks(has); got != want {
			t.Errorf("%v: got: %q, want: %q", need, got, want)
		}
	}
}

// A caller must be able to match the cause of an error with errors.Is.
func TestErrorWrapsItsCause(t *testing.T) {
	cause := errors.New("cut")
	err := leverdyke.MayHaveRun("the answer did not arrive", cause)
	if !errors.Is(err, cause) {
		t.Errorf("got: %v, want: an error that wraps %v", err, cause)
	}
	if got, want := err.Verdict, leverdyke.VerdictMayHaveRun; got != want {
		t.Errorf("got: %v, want: %v", got, want)
	}
}
