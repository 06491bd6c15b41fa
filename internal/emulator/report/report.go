// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package report writes the results of emulations, as JSON or as text for people.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
	"github.com/leverdyke/leverdyke/internal/emulator/runner"
)

// maxListedViolations bounds the number of violations that Screen lists for each rule.
const maxListedViolations = 3

// JSON writes a result as one line of JSON.
func JSON(w io.Writer, r *runner.Result) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// Screen writes a result as a table and a list of rules for people.
func Screen(w io.Writer, r *runner.Result) error {
	b := &strings.Builder{}
	partial := ""
	if r.IsPartial {
		partial = ", ended early"
	}
	fmt.Fprintf(b, "%s on %s, seed %d: %v, %d faults, %d runs of tasks%s\n\n", r.Schedule, r.Deployment, r.Seed, r.Length.Round(time.Second), r.Faults, r.Starts, partial)
	fmt.Fprintf(b, "%-14s %6s %9s %8s %8s %10s %7s %10s %10s %10s %10s\n", "jobs", "came", "accepted", "refused", "unknown", "succeeded", "failed", "cancelled", "answer p50", "answer p99", "end p99")
	for i := range r.Kinds {
		k := &r.Kinds[i]
		fmt.Fprintf(b, "%-14s %6d %9d %8d %8d %10d %7d %10d %10s %10s %10s\n", k.Name, k.Arrived, k.Accepted, k.Refused, k.Unknown, k.Succeeded, k.Failed, k.Cancelled,
			short(k.SubmitLatency.P50), short(k.SubmitLatency.P99), short(k.CompletionTime.P99))
	}
	fmt.Fprintf(b, "\nlong-running tasks: not running for at most %s\n", short(r.LongestOutage))
	writeRules(b, r)
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// writeRules writes for each rule whether it held, and its first violations.
func writeRules(b *strings.Builder, r *runner.Result) {
	for _, rule := range rules.All {
		violations := []string{}
		for _, v := range r.Violations {
			if v.Rule == rule {
				violations = append(violations, fmt.Sprintf("%10s  %s", short(v.At), v.Description))
			}
		}
		status := "held"
		if len(violations) > 0 {
			status = fmt.Sprintf("BROKEN %d times", len(violations))
		}
		fmt.Fprintf(b, "rule %-10s %s\n", rule, status)
		for _, violation := range violations[:min(len(violations), maxListedViolations)] {
			fmt.Fprintln(b, violation)
		}
	}
}

// short rounds a duration to milliseconds, or to 10 ms from one second on; a zero duration is "-".
func short(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	}
	return d.Round(10 * time.Millisecond).String()
}
