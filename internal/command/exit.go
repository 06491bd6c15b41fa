// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package command has what the command lines share: exit codes, signals and
// the forms in which results are printed.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/operator"
)

// The exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailed means that the command failed and nothing was changed.
	ExitFailed = 1
	// ExitInvalid means that the arguments or a file are at fault.
	ExitInvalid = 2
	// ExitConflict means that another operator changed the document first.
	ExitConflict = 3
	// ExitUnknown means that the change may have taken effect.
	ExitOutcomeUnknown = 4
	// ExitViolated means that something that must always hold did not.
	ExitInvariantViolated = 5
)

// Exit prints an error and ends the process with the code that it calls for.
func Exit(err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	os.Exit(ExitCode(err))
}

// CodeOf returns the exit code that an error calls for.
func ExitCode(err error) int {
	fieldErr := &document.FieldError{}
	problem := &operator.ProblemError{}
	verdictErr := &leverdyke.Error{}
	usageErr := &UsageError{}
	inputErr := inputError(nil)
	violationErr := violationError(nil)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fieldErr), errors.As(err, &usageErr), errors.As(err, &inputErr):
		return ExitInvalid
	case errors.As(err, &violationErr):
		return ExitInvariantViolated
	case errors.As(err, &problem):
		return problemCode(problem)
	case errors.As(err, &verdictErr) && verdictErr.Verdict == leverdyke.VerdictMayHaveRun:
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// inputError is an error of an adapter that says that a file is at fault.
type inputError interface {
	error
	// IsInput tells such errors from others by having it.
	IsInput()
}

// violationError is an error that says that something did not hold that always must.
type violationError interface {
	error
	// IsViolation tells such errors from others by having it.
	IsViolation()
}

func problemCode(p *operator.ProblemError) int {
	switch {
	case p.IsInvalid:
		return ExitInvalid
	case p.IsConflict:
		return ExitConflict
	case p.Verdict == leverdyke.VerdictMayHaveRun:
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// UsageError means that the command line is at fault.
type UsageError struct {
	Text string
}

// Error returns the text of the error.
func (e *UsageError) Error() string { return e.Text }
