// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package command_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/command"
)

// fileError is an error about a file, as other packages return it.
type fileError struct{ error }

func (fileError) IsInput() {}

func TestExitCode(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want int
	}{
		"nothing":           {nil, command.ExitOK},
		"any failure":       {errors.New("x"), command.ExitFailed},
		"a file":            {fmt.Errorf("run: %w", fileError{errors.New("x")}), command.ExitInvalid},
		"may have run":      {leverdyke.MayHaveRun("x", nil), command.ExitOutcomeUnknown},
		"certainly not run": {leverdyke.NotRun("x", 0), command.ExitFailed},
	} {
		if got := command.ExitCode(tc.err); got != tc.want {
			t.Errorf("%s: got: %d, want: %d", name, got, tc.want)
		}
	}
}
