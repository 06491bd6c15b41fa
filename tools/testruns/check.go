// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/leverdyke/leverdyke/internal/testruns"
)

// The lists of tests: a line for each, which begins with its name.
const (
	knownRedFile    = "KNOWN-RED.txt"
	simulationsFile = "SIMULATIONS.txt"
)

// module is the path of the module; packages of others are not examined.
const module = "github.com/leverdyke/leverdyke"

// concurrentPackages are imported by simulated packages, but no simulation opens the event log in
// them, which has the only goroutine.
var concurrentPackages = []string{module + "/internal/boundedqueue", module + "/internal/events"}

// listedPackage is a package as go list -json describes it.
type listedPackage struct {
	ImportPath, Dir                    string
	GoFiles, TestGoFiles, XTestGoFiles []string
}

// check checks the runs whose events are in the files, and the list of simulations.
func check(files []string) error {
	declared, err := declaredTests()
	if err != nil {
		return err
	}
	runs := [][]testruns.Test{}
	for _, file := range files {
		played, err := playedTests(file)
		if err != nil {
			return err
		}
		runs = append(runs, played)
		fmt.Printf("%s: %d tests\n", filepath.Base(file), len(played))
	}
	wrong := testruns.Misplaced(declared, runs...)
	for _, list := range []string{knownRedFile, simulationsFile} {
		names, err := namesIn(list)
		if err != nil {
			return err
		}
		wrong = append(wrong, testruns.Unknown(names, declared)...)
	}
	concurrent, err := concurrencyOfSimulations(declared)
	if err != nil {
		return err
	}
	wrong = append(wrong, concurrent...)
	if len(wrong) > 0 {
		return fmt.Errorf("testruns: %s", strings.Join(wrong, "\ntestruns: "))
	}
	fmt.Printf("all %d tests of the code were played in one run each\n", len(declared))
	return nil
}

func declaredTests() ([]testruns.Test, error) {
	packages, err := listPackages("./...")
	if err != nil {
		return nil, err
	}
	found := []testruns.Test{}
	for _, p := range packages {
		for _, name := range slices.Concat(p.TestGoFiles, p.XTestGoFiles) {
			source, err := os.ReadFile(filepath.Join(p.Dir, name))
			if err != nil {
				return nil, fmt.Errorf("testruns: %w", err)
			}
			found = append(found, testruns.Declared(p.ImportPath, string(source))...)
		}
	}
	return found, nil
}

func listPackages(args ...string) ([]listedPackage, error) {
	out, err := exec.Command("go", append([]string{"list", "-json"}, args...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("testruns: go list: %w", err)
	}
	found := []listedPackage{}
	for d := json.NewDecoder(strings.NewReader(string(out))); ; {
		p := listedPackage{}
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			return found, nil
		} else if err != nil {
			return nil, fmt.Errorf("testruns: go list: %w", err)
		}
		found = append(found, p)
	}
}

func playedTests(file string) ([]testruns.Test, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("testruns: %w", err)
	}
	defer func() { _ = f.Close() }()
	return testruns.Played(f)
}

// namesIn returns the names with which the lines of a list begin.
func namesIn(list string) ([]string, error) {
	text, err := os.ReadFile(list)
	if err != nil {
		return nil, fmt.Errorf("testruns: %w", err)
	}
	names := []string{}
	for line := range strings.Lines(string(text)) {
		if name, _, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(name, "Test") {
			names = append(names, name)
		}
	}
	return names, nil
}

// concurrencyOfSimulations returns where the packages whose simulations run without the race detector,
// and the packages that they import, are concurrent.
func concurrencyOfSimulations(declared []testruns.Test) ([]string, error) {
	names, err := namesIn(simulationsFile)
	if err != nil {
		return nil, err
	}
	args := []string{"-deps"}
	for _, t := range declared {
		if slices.Contains(names, t.Name) && !slices.Contains(args, t.Package) {
			args = append(args, t.Package)
		}
	}
	packages, err := listPackages(args...)
	if err != nil {
		return nil, err
	}
	found := []string{}
	for _, p := range packages {
		if !strings.HasPrefix(p.ImportPath, module) || slices.Contains(concurrentPackages, p.ImportPath) {
			continue
		}
		for _, name := range p.GoFiles {
			more, err := concurrencyIn(filepath.Join(p.Dir, name))
			if err != nil {
				return nil, err
			}
			found = append(found, more...)
		}
	}
	return found, nil
}

func concurrencyIn(file string) ([]string, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("testruns: %w", err)
	}
	return testruns.Concurrency(file, string(source))
}
