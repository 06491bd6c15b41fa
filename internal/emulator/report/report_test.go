// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package report_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/report"
	"github.com/leverdyke/leverdyke/internal/emulator/rules"
	"github.com/leverdyke/leverdyke/internal/emulator/runner"
)

func result() *runner.Result {
	return &runner.Result{
		Deployment: "small", Schedule: "calm", Seed: 3, Length: time.Minute,
		Kinds:      []runner.KindResult{{Name: "check", Arrived: 7, Accepted: 6, Refused: 1, Succeeded: 6, SubmitLatency: runner.Quantiles{P99: 12 * time.Millisecond}}},
		Violations: []rules.Violation{{Rule: rules.JobsEnd, At: 2 * time.Second, Description: "job 1 has not ended"}},
	}
}

// The text must name the run, the rules that were broken with their violations, and those that held.
func TestScreenListsViolations(t *testing.T) {
	b := &strings.Builder{}
	if err := report.Screen(b, result()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"calm on small, seed 3", "rule ends       BROKEN 1 times", "job 1 has not ended", "rule lasting    held", "12ms"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("screen: got: %s, want: text that contains %q", b, want)
		}
	}
}

// Programs read one result a line, so that the JSON must have no line break and decode to the result.
func TestJSONIsOneReadableLine(t *testing.T) {
	b := &strings.Builder{}
	if err := report.JSON(b, result()); err != nil {
		t.Fatal(err)
	}
	got := runner.Result{}
	if err := json.Unmarshal([]byte(b.String()), &got); err != nil || strings.Count(b.String(), "\n") != 1 {
		t.Fatalf("got: %q, %v, want: one line of JSON", b, err)
	}
	if got.Seed != 3 || len(got.Violations) != 1 || got.Kinds[0].Arrived != 7 {
		t.Errorf("got: %+v, want: the result", got)
	}
}
