// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package testruns reads what go test -json reports. It prints the results of a run, and checks that
// the runs into which CI splits the tests have played each test exactly once.
package testruns

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Action is what an event reports.
type Action string

// The actions that are evaluated.
const (
	ActionRun         Action = "run"
	ActionPass        Action = "pass"
	ActionSkip        Action = "skip"
	ActionFail        Action = "fail"
	ActionOutput      Action = "output"
	ActionBuildOutput Action = "build-output"
)

// Event is a line that go test -json writes. Test is empty for what concerns the package as a whole.
type Event struct {
	Action  Action
	Package string
	Test    string
	Output  string
	Elapsed float64
}

// ReadEvents calls each for every event.
func ReadEvents(r io.Reader, each func(*Event)) error {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			e := Event{}
			if err := json.Unmarshal(line, &e); err != nil {
				return fmt.Errorf("testruns: %q is no event: %w", line, err)
			}
			each(&e)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("testruns: reading events: %w", err)
		}
	}
}
