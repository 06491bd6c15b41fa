// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/emulator/runner"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
)

// shortDay returns a day whose faults all end before the day does.
func shortDay() *scenario.FaultSchedule {
	return &scenario.FaultSchedule{Name: "short", Length: 4 * time.Second, Faults: []scenario.Fault{
		{At: 500 * time.Millisecond, Kind: scenario.NodeKill, Duration: 300 * time.Millisecond},
		{At: time.Second, Kind: scenario.WorkerFailsLongRunning, Duration: time.Second, Count: 2},
		{At: 2 * time.Second, Kind: scenario.WorkerCrash},
	}}
}

// The emulator runs a short day with real node processes. No rule may be violated, and each job that
// came must be counted with one outcome.
func TestEmulatorRunsOneDay(t *testing.T) {
	t.Parallel()
	deployment, err := scenario.LoadDeployment("../../deploy/emulator/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := runner.New(t.Context(), runner.Options{Deployment: deployment, Schedule: shortDay(), Seed: 1, Binary: nodeBinary, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	r, err := p.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Errorf("rule %s is violated at %v: %s", v.Rule, v.At, v.Description)
	}
	for _, k := range r.Kinds {
		if k.Arrived != k.Accepted+k.Refused+k.Unknown || k.Accepted == 0 {
			t.Errorf("%s: got: %+v, want: accepted jobs, and an outcome for each job that came", k.Name, k)
		}
	}
	if r.Faults != 3 || r.IsPartial {
		t.Errorf("got: %d faults, partial: %v, want: 3, the whole day", r.Faults, r.IsPartial)
	}
}

// When a node cannot be started or ends at once, the emulator's error must name the cause: the missing
// program, or the last line that the node wrote.
func TestEmulatorReportsNodeStartFailures(t *testing.T) {
	t.Parallel()
	deployment, err := scenario.LoadDeployment("../../deploy/emulator/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	o := runner.Options{Deployment: deployment, Schedule: shortDay(), Binary: filepath.Join(t.TempDir(), "nothing"), Dir: t.TempDir()}
	if _, err := runner.New(t.Context(), o); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a program: got: %v, want: %v", err, fs.ErrNotExist)
	}
	if err := os.WriteFile(o.Binary, []byte("#!/bin/sh\necho no licence today\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := runner.New(t.Context(), o); err == nil || !strings.Contains(err.Error(), "ended by itself: no licence today") {
		t.Errorf("a node that ends at once: got: %v, want: an error with its last line", err)
	}
}
