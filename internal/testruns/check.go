// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package testruns

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Test is a test function.
type Test struct {
	// Package is the import path.
	Package string
	Name    string
}

// String returns the package and the name.
func (t Test) String() string { return t.Package + " " + t.Name }

var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)(?:[^a-z(][A-Za-z0-9_]*)?)\(`)

// Declared returns the tests that a test file of a package declares.
func Declared(importPath, source string) []Test {
	found := []Test{}
	for _, m := range testFunction.FindAllStringSubmatch(source, -1) {
		if m[1] != "TestMain" {
			found = append(found, Test{Package: importPath, Name: m[1]})
		}
	}
	return found
}

// Played returns the tests that ran to an end in a run, without subtests.
func Played(r io.Reader) ([]Test, error) {
	found := []Test{}
	err := ReadEvents(r, func(e *Event) {
		hasEnded := e.Action == ActionPass || e.Action == ActionFail || e.Action == ActionSkip
		if hasEnded && e.Test != "" && !strings.Contains(e.Test, "/") {
			found = append(found, Test{Package: e.Package, Name: e.Test})
		}
	})
	return found, err
}

// Misplaced returns what is wrong with how the tests are spread over runs: each must have been played
// in exactly one of them.
func Misplaced(declared []Test, runs ...[]Test) []string {
	counts := map[Test]int{}
	for _, t := range slices.Concat(runs...) {
		counts[t]++
	}
	wrong := []string{}
	for _, t := range declared {
		if n := counts[t]; n != 1 {
			wrong = append(wrong, fmt.Sprintf("%s: played in %d runs, want 1", t, n))
		}
	}
	return wrong
}

// Unknown returns the names in a list that are not those of exactly one test.
func Unknown(list []string, declared []Test) []string {
	wrong := []string{}
	for _, name := range list {
		n := 0
		for _, t := range declared {
			if t.Name == name {
				n++
			}
		}
		if n != 1 {
			wrong = append(wrong, fmt.Sprintf("%s: %d tests have this name, want 1", name, n))
		}
	}
	return wrong
}
