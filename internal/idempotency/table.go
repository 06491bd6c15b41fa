// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package idempotency keeps the answers to requests that may not be repeated, so that
// a caller's retry gets the first answer and never a second run.
package idempotency

import (
	"container/list"
	"context"
	"sync"

	"github.com/leverdyke/leverdyke/internal/node"
)

const (
	defaultMaxBytes = 2 << 20
	// MaxAnswerBytes is the longest body that is kept for a retry.
	MaxAnswerBytes = 64 << 10
	entryBytes     = 256
)

// Key is an idempotency key.
type Key = [16]byte

// ClaimOutcome says what the log says of a key.
type ClaimOutcome string

// The fates of a key.
const (
	// ClaimWon means that this process may send the request, once.
	ClaimWon ClaimOutcome = "won"
	// ClaimLost means that a process was first to have it.
	ClaimLost ClaimOutcome = "lost"
	// ClaimNotRecorded means that the log did not take it, and will not.
	ClaimNotRecorded ClaimOutcome = "not-taken"
	// ClaimUnknown means that it is not known whether the log has it.
	ClaimUnknown ClaimOutcome = "open"
)

// NewTableOptions sets the bounds. The zero value works.
type NewTableOptions struct {
	// MaxBytes bounds what is kept; 0 means 2 MiB. What is dropped first is the
	// oldest answer; that the key was used stays in the log.
	MaxBytes int
}

// Table has the keys that this process was the first to run. It is safe for
// concurrent use.
type Table struct {
	mu        sync.Mutex
	options   NewTableOptions
	entries   map[Key]*Entry
	completed *list.List
	bytes     int
}

// Entry is a key that this process runs or has run.
type Entry struct {
	key Key
	// Digest is of the request; it never changes.
	Digest uint64
	// done is closed when answer is set, which happens once.
	done    chan struct{}
	answer  node.SavedAnswer
	element *list.Element
	bytes   int
}

// NewTable returns an empty table.
func NewTable(options NewTableOptions) *Table {
	if options.MaxBytes == 0 {
		options.MaxBytes = defaultMaxBytes
	}
	return &Table{options: options, entries: map[Key]*Entry{}, completed: list.New()}
}

// Begin returns the entry of a key, and whether it is new: then the caller has
// to End or Abandon it.
func (t *Table) Begin(key Key, digest uint64) (*Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e, false
	}
	e := &Entry{key: key, Digest: digest, done: make(chan struct{}), bytes: entryBytes}
	t.entries[key] = e
	return e, true
}

// Find returns the entry of a key, or nil.
func (t *Table) Find(key Key) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[key]
}

// Abandon removes an entry whose key was not won; those who wait for it are
// told that there is no answer here.
func (t *Table) Abandon(e *Entry, a node.SavedAnswer) {
	t.mu.Lock()
	delete(t.entries, e.key)
	t.mu.Unlock()
	e.answer = a
	close(e.done)
}

// Complete sets the answer and drops the oldest answers beyond the bound.
func (t *Table) Complete(e *Entry, a node.SavedAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.answer = a
	e.bytes += len(a.Body)
	close(e.done)
	e.element = t.completed.PushBack(e)
	t.bytes += e.bytes
	for t.bytes > t.options.MaxBytes && t.completed.Len() > 0 {
		oldest, _ := t.completed.Remove(t.completed.Front()).(*Entry)
		t.bytes -= oldest.bytes
		delete(t.entries, oldest.key)
	}
}

// Completed returns the answers, oldest first.
func (t *Table) Completed() []node.KeptAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]node.KeptAnswer, 0, t.completed.Len())
	for el := t.completed.Front(); el != nil; el = el.Next() {
		if e, ok := el.Value.(*Entry); ok {
			list = append(list, node.KeptAnswer{Key: e.key, Answer: e.answer})
		}
	}
	return list
}

// Import adds answers that another node had kept. A key that is here already
// stays as it is.
func (t *Table) Import(list []node.KeptAnswer) {
	for i := range list {
		e, isNew := t.Begin(list[i].Key, list[i].Answer.Digest)
		if isNew {
			t.Complete(e, list[i].Answer)
		}
	}
}

// Wait returns the answer when there is one; false means that ctx ended first.
func (e *Entry) Wait(ctx context.Context) (node.SavedAnswer, bool) {
	select {
	case <-e.done:
		return e.answer, true
	case <-ctx.Done():
		return node.SavedAnswer{}, false
	}
}
