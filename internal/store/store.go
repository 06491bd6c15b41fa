// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package store defines what the product needs from the platform's store: topics of keyed records,
// which retain at least the newest record of each key.
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
	// Offset is the record's position in the topic; it is set in records that are read.
	Offset uint64
}

// Writer identifies the writer of an append, so that the store can reject a previous owner and can
// answer a repeated append as it did the first time.
type Writer struct {
	Name  string
	Epoch uint64
	// Sequence rises by one with each append under one epoch.
	Sequence uint64
}

// Append is a request to add records to a topic atomically: all or none.
type Append struct {
	Topic   string
	Records []Record
	// ExpectedEnd is the offset at which the topic must end for the append to be applied; nil sets
	// no condition.
	ExpectedEnd *uint64
	// Writer is nil for an append without an identity.
	Writer *Writer
}

// Newest has the newest record of each key of a topic.
type Newest struct {
	Records []Record
	// End is the offset that the next record will have.
	End uint64
}

// Log is the platform's store. Implementations are safe for concurrent use.
type Log interface {
	// Append adds records and returns the offset of the first. Without records it only sets the
	// writer's epoch, and returns the end of the topic.
	Append(ctx context.Context, a *Append) (uint64, error)
	// ReadNewest returns the newest record of each key of a topic. The pages are read one after the
	// other, so the result is not a snapshot while others append.
	ReadNewest(ctx context.Context, topic string) (*Newest, error)
	// Wait returns the records from an offset on as soon as there is at least one, or none when the
	// wait time has passed.
	Wait(ctx context.Context, topic string, from uint64, maxWait time.Duration) ([]Record, error)
}

// Failure classifies an error of the store.
type Failure string

// The classes of failure.
const (
	// NotApplied means that nothing was done.
	NotApplied Failure = "not done"
	// Unknown means that the request may have been applied or may still be applied later.
	Unknown Failure = "unknown"
	// ConditionFailed means that the topic does not end at ExpectedEnd.
	ConditionFailed Failure = "moved"
	// Fenced means that a writer with a later epoch has appended.
	Fenced Failure = "fenced"
	// WrongSequence means that the store expects another sequence number.
	WrongSequence Failure = "sequence"
	// Trimmed means that the records from that offset on are no longer retained.
	Trimmed Failure = "gone"
)

// Error is an error of the store.
type Error struct {
	Failure Failure
	// End is where the topic ends, with ConditionFailed.
	End uint64
	// ExpectedSequence is the sequence number that the store expects, with WrongSequence.
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

// FailureOf returns the class of an error; an error that is not the store's is Unknown.
func FailureOf(err error) Failure {
	if e := (&Error{}); errors.As(err, &e) {
		return e.Failure
	}
	return Unknown
}
