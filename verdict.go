// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package leverdyke

import "fmt"

// Verdict is whether a request may have run. The zero value is not valid.
type Verdict string

// The verdicts.
const (
	// VerdictRan means that the request ran and its answer is complete.
	VerdictRan Verdict = "ran"
	// VerdictNotRun guarantees that the request has not run and will not run.
	VerdictNotRun Verdict = "not-run"
	// VerdictMayHaveRun means that it is not known whether the request ran.
	VerdictMayHaveRun Verdict = "may-have-run"
)

// Refusal is why a request that did not run was refused. The zero value means that the request may
// succeed when it is sent again later.
type Refusal string

// The refusals that remain the same when the request is sent again.
const (
	// RefusalTaken means that the ID of the request is already used by another customer.
	RefusalTaken Refusal = "taken"
	// RefusalImpossible means that the request can never be carried out unless it is changed.
	RefusalImpossible Refusal = "impossible"
)

// VerdictHeader is the HTTP header that carries the verdict to a caller.
const VerdictHeader = "Leverdyke-Verdict"

// Error is an error with its verdict.
type Error struct {
	// Verdict is never empty.
	Verdict Verdict
	// Refusal is empty if the request may succeed when it is sent again.
	Refusal Refusal
	// Reason is a short sentence without a full stop at its end.
	Reason string
	// RetryAfterSeconds is after how many seconds to retry; 0 means that no time is known.
	RetryAfterSeconds int
	// Err is the cause; nil means that there is none.
	Err error
}

// Error returns the text of the error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("leverdyke: %s (%s): %v", e.Reason, e.Verdict, e.Err)
	}
	return fmt.Sprintf("leverdyke: %s (%s)", e.Reason, e.Verdict)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// NotRun returns an error with VerdictNotRun.
func NotRun(reason string, retryAfterSeconds int) *Error {
	return &Error{Verdict: VerdictNotRun, Reason: reason, RetryAfterSeconds: retryAfterSeconds}
}

// MayHaveRun returns an error with VerdictMayHaveRun: it is not known whether the request ran.
func MayHaveRun(reason string, cause error) *Error {
	return &Error{Verdict: VerdictMayHaveRun, Reason: reason, Err: cause}
}
