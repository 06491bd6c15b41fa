// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package scenario_test

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/emulator/scenario"
)

const shippedFiles = "../../../deploy/emulator"

// A change of the file format must not leave the deployments and fault schedules in deploy/emulator
// unreadable.
func TestShippedFilesAreValid(t *testing.T) {
	deployments, _ := filepath.Glob(shippedFiles + "/*.yaml")
	schedules, _ := filepath.Glob(shippedFiles + "/days/*.yaml")
	if len(deployments) == 0 || len(schedules) == 0 {
		t.Fatalf("files: got: %d and %d, want: some of each", len(deployments), len(schedules))
	}
	for _, path := range deployments {
		if _, err := scenario.LoadDeployment(path); err != nil {
			t.Error(err)
		}
	}
	for _, path := range schedules {
		if _, err := scenario.LoadFaultSchedule(path); err != nil {
			t.Error(err)
		}
	}
}

const validDeployment = `name: d
nodes: {count: 1}
workers: {count: 1, milliCPU: 1000, memoryMiB: 1000}
jobs:
  - name: k
    perSecond: 1
    steps:
      - {tasks: 1, milliCPU: 100, memoryMiB: 100, takes: 1s}
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// expectFieldError fails the test unless the error names a field and contains all of wants.
func expectFieldError(t *testing.T, name string, err error, wants ...string) {
	t.Helper()
	field := &document.FieldError{}
	if !errors.As(err, &field) {
		t.Errorf("%s: got: %v, want: a *document.FieldError", name, err)
		return
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got: %v, want: an error that names %q", name, err, want)
		}
	}
}

// Each case changes one value of a valid file. The error must name the file and the field.
func TestInvalidDeploymentIsRefused(t *testing.T) {
	if _, err := scenario.LoadDeployment(writeFile(t, validDeployment)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown field":    {"perSecond: 1", "persecond: 1", "persecond"},
		"no node":          {"nodes: {count: 1}", "nodes: {count: 0}", "nodes.count"},
		"share":            {"nodes: {count: 1}", "nodes: {count: 1, cpuShare: 2}", "cpuShare"},
		"too many workers": {"workers: {count: 1,", "workers: {count: 1000,", "workers.count"},
		"a task too large": {"milliCPU: 100,", "milliCPU: 2000,", "milliCPU"},
		"no duration":      {", takes: 1s}", "}", "takes"},
		"both":             {"takes: 1s}", "takes: 1s, lasts: true}", "takes"},
		"negative rate":    {"perSecond: 1", "perSecond: -1", "perSecond"},
	} {
		_, err := scenario.LoadDeployment(writeFile(t, strings.Replace(validDeployment, c.from, c.to, 1)))
		expectFieldError(t, name, err, c.want, "file.yaml")
	}
}

// The error must name the field that is invalid, or list the kinds if the kind is unknown.
func TestInvalidFaultScheduleIsRefused(t *testing.T) {
	for name, c := range map[string]struct{ fault, want string }{
		"unknown kind":    {"{at: 1s, kind: earthquake}", "node-kill"},
		"after the end":   {"{at: 11s, kind: worker-crash}", "at"},
		"no length":       {"{at: 1s, kind: node-kill}", "for"},
		"needless length": {"{at: 1s, kind: worker-crash, for: 1s}", "for"},
		"negative count":  {"{at: 1s, kind: worker-crash, count: -1}", "count"},
		"unknown field":   {"{at: 1s, kind: worker-crash, size: 1}", "size"},
		"not a duration":  {"{at: soon, kind: worker-crash}", "at"},
	} {
		_, err := scenario.LoadFaultSchedule(writeFile(t, "name: d\nlength: 10s\nfaults:\n  - "+c.fault+"\n"))
		expectFieldError(t, name, err, c.want)
	}
	_, err := scenario.LoadFaultSchedule(writeFile(t, "name: d\nlength: 0s\n"))
	expectFieldError(t, "no time", err, "length")
}

// The same seed must give the same schedule, and a saved schedule must be read back unchanged: otherwise
// a violation that a random schedule found could not be reproduced.
func TestRandomFaultScheduleIsReproducibleAndReloadable(t *testing.T) {
	draw := func(seed uint64) *scenario.FaultSchedule {
		return scenario.RandomFaultSchedule("d", 30*time.Second, rand.New(rand.NewPCG(seed, 2)))
	}
	schedule := draw(7)
	if len(schedule.Faults) < 5 || !reflect.DeepEqual(schedule, draw(7)) || reflect.DeepEqual(schedule, draw(8)) {
		t.Errorf("drawn: got: %d faults, want: 5 or more, the same for the same seed only", len(schedule.Faults))
	}
	path := filepath.Join(t.TempDir(), "day.yaml")
	if err := schedule.Save(path); err != nil {
		t.Fatal(err)
	}
	got, err := scenario.LoadFaultSchedule(path)
	if err != nil || !reflect.DeepEqual(got, schedule) {
		t.Errorf("read again: got: %+v, %v, want: %+v", got, err, schedule)
	}
	if reduced := schedule.WithoutFault(0); len(reduced.Faults) != len(schedule.Faults)-1 || reduced.Faults[0] != schedule.Faults[1] {
		t.Errorf("without the first fault: got: %v, want: the others", reduced.Faults)
	}
}
