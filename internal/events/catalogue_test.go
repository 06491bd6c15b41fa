// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package events_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/leverdyke/leverdyke/internal/events"
)

// retired has the numbers of events of earlier versions.
var retired = []int{488, 489}

// Guards against an event with a number that had another meaning in an earlier version.
func TestRetiredNumbersAreNotUsedAgain(t *testing.T) {
	for _, e := range events.Catalogue() {
		if slices.Contains(retired, e.Number) {
			t.Errorf("LD%04d: got: %q, want: no event", e.Number, e.Name)
		}
	}
}

// Guards against an event that is missing from docs/EVENTS.md or differs from it in level or
// text, a documented event that no longer exists, and a number that is used twice.
func TestDocumentedEventsMatchCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile(`(?m)^\| LD(\d{4}) \| (\w+) \| (.+?) \| (.+) \|$`).FindAllStringSubmatch(string(page), -1)
	documented := map[string]string{}
	for _, r := range rows {
		documented[r[1]] = r[2] + " " + r[3]
	}
	seen := map[string]bool{}
	for _, e := range events.Catalogue() {
		number := fmt.Sprintf("%04d", e.Number)
		if seen[number] {
			t.Errorf("LD%s: got: two events, want: one", number)
		}
		seen[number] = true
		if got, want := documented[number], string(e.Level)+" "+e.Name; got != want {
			t.Errorf("LD%s on the page: got: %q, want: %q", number, got, want)
		}
	}
	for number := range documented {
		if !seen[number] {
			t.Errorf("LD%s is on the page: got: no such event, want: one", number)
		}
	}
}
