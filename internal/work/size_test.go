// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/work"
)

// recordBytes is the length of the longest record that the users' store takes.
const recordBytes = 256 << 10

// A job that is accepted but does not fit into a record would keep all jobs of its batch from being
// written.
func TestLargestJobFitsIntoRecord(t *testing.T) {
	spec := work.Spec{
		ID: "5c0e7a21d94b36f8", Queue: strings.Repeat("q", 200), Customer: work.CustomerName(strings.Repeat("c", 200)), Payload: strings.Repeat("x", 4000),
		Rounds: 10_000, Interval: math.MaxInt64, StartAt: time.Now(), AcceptedAt: time.Now(),
	}
	earlier := []int{}
	for i := range work.MaxSteps {
		name := strings.Repeat("n", 64<<10/work.MaxSteps/2)
		spec.Steps = append(spec.Steps, work.Step{
			Count: 78, Need: leverdyke.Resources{MilliCPU: 10_000_000, MemoryMiB: 100_000_000, Accelerators: math.MaxInt64},
			Estimate: math.MaxInt64, After: earlier[:i:i], Label: name, Image: name, MaxPerWorker: math.MaxInt64, MaxUnavailable: math.MaxInt64, TailTarget: math.MaxInt64,
		})
		earlier = append(earlier, i)
	}
	if err := spec.Validate(); err != nil {
		t.Fatalf("got: %v, want: nil", err)
	}
	data, err := codec.Marshal(&spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes, %d in memory", len(data), spec.MemoryBytes())
	if len(data) > recordBytes {
		t.Errorf("encoded job: got: %d bytes, want: at most %d", len(data), recordBytes)
	}
}
