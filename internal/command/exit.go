// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package command has what the programs' command lines share: the exit codes and the formats
// in which results are printed.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed = 1
	// ExitInvalid means that the arguments or the contents of a file are invalid.
	ExitInvalid = 2
	// ExitConflict means that another operator changed the document first.
	ExitConflict = 3
	// ExitOutcomeUnknown means that the change may have taken effect or not.
	ExitOutcomeUnknown = 4
	// ExitInvariantViolated means that a test run found a violated invariant.
	ExitInvariantViolated = 5
)

// Exit ends the process with the exit code of err. It prints err first, unless it is nil.
func Exit(err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	os.Exit(ExitCode(err))
}

// ExitCode returns the exit code for an error.
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

// inputError is implemented by errors about the contents of a file. The packages that
// return them do not import this one.
type inputError interface {
	error
	// IsInput does nothing; an error that has the method is one about a file.
	IsInput()
}

// violationError is implemented by errors that report a violated invariant.
type violationError interface {
	error
	// IsViolation does nothing; an error that has the method reports a violated invariant.
	IsViolation()
}

// problemCode returns the exit code for a request that a node has refused.
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

// UsageError is an error in the arguments of a command line.
type UsageError struct {
	Text string
}

// Error returns the text of the error.
func (e *UsageError) Error() string { return e.Text }
