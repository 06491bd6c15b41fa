// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package store has what the product asks of the platform's store: topics of
// keyed records of which the newest of each key lasts.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is an entry of a topic. An empty value removes its key.
type Record struct {
	Key   string
	Value []byte
	// Offset is its place in the topic; it is set in records that are read.
	Offset uint64
}

// Writer names who appends, so that the store rejects an earlier owner and
// answers a repeated append as it did the first time.
type Writer struct {
	Name  string
	Epoch uint64
	// Sequence rises by one with each append under one epoch.
	Sequence uint64
}

// Append is a request to add records to a topic: all or none.
type Append struct {
	Topic   string
	Records []Record
	// ExpectedEnd is where the topic must end for it to be done; nil sets no condition.
	ExpectedEnd *uint64
	// Writer is nil for an append without an identity.
	Writer *Writer
}

// Newest is the newest record of each key of a topic.
type Newest struct {
	Records []Record
	// End is the offset that the next record will have.
	End uint64
}

// Log is the platform's store. Implementations are safe for concurrent use.
type Log interface {
	// Append adds records and returns the offset of the first. Without records it
	// only sets the writer's epoch, and returns the end of the topic.
	Append(ctx context.Context, a *Append) (uint64, error)
	// ReadNewest returns the newest records of a topic. Its pages are read one
	// after the other, so that it is no snapshot while others append.
	ReadNewest(ctx context.Context, topic string) (*Newest, error)
	// Wait returns the records from an offset on, as soon as there is one, or none
	// when the time is over.
	Wait(ctx context.Context, topic string, from uint64, maxWait time.Duration) ([]Record, error)
}

// Failure is what an error of the store means.
type Failure string

// The failures.
const (
	// NotApplied means that nothing was done.
	NotApplied Failure = "not done"
	// Unknown means that it may have been done or may be done later.
	Unknown Failure = "unknown"
	// ConditionFailed means that the topic does not end where the condition says.
	ConditionFailed Failure = "moved"
	// Fenced means that a later epoch has appended.
	Fenced Failure = "fenced"
	// WrongSequence means that another sequence number is wanted.
	WrongSequence Failure = "sequence"
	// Trimmed means that the records from that offset on are not kept any more.
	Trimmed Failure = "gone"
)

// Error is an error of the store.
type Error struct {
	Failure Failure
	// End is where the topic ends, with Moved.
	End uint64
	// ExpectedSequence is the sequence number that is wanted, with Sequence.
	ExpectedSequence uint64
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the text of the error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("store: %s: %v", e.Failure, e.Err)
	}
	return "store: " + string(e.Failure)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// FailureOf returns what an error means; one that is not of the store is Unknown.
func FailureOf(err error) Failure {
	if e := (&Error{}); errors.As(err, &e) {
		return e.Failure
	}
	return Unknown
}
