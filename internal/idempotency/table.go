// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package idempotency stores the answers to requests that may not be executed twice.
// A caller's retry with the same idempotency key gets the answer to the first request
// and does not execute it again.
package idempotency

import (
	"container/list"
	"context"
	"sync"

	"github.com/leverdyke/leverdyke/internal/node"
)

const (
	defaultMaxBytes = 2 << 20
	// MaxAnswerBytes is the length of the longest response body that is stored for
	// retries.
	MaxAnswerBytes = 64 << 10
	// entryBytes is the memory charged for an entry in addition to its body.
	entryBytes = 256
)

// Key is an idempotency key.
type Key = [16]byte

// ClaimOutcome is the result of a process's attempt to claim a key by a record in the
// log. The first record for a key wins.
type ClaimOutcome string

// The outcomes of a claim.
const (
	// ClaimWon means that this process's record is the first one for the key: it may
	// send the request, once.
	ClaimWon ClaimOutcome = "won"
	// ClaimLost means that the log already has a record for the key.
	ClaimLost ClaimOutcome = "lost"
	// ClaimNotRecorded means that this claim has no effect and will have none: this
	// process may not send the request.
	ClaimNotRecorded ClaimOutcome = "not-taken"
	// ClaimUnknown means that it is not known whether the log has the record.
	ClaimUnknown ClaimOutcome = "open"
)

// NewTableOptions bounds a table. Zero values mean the defaults.
type NewTableOptions struct {
	// MaxBytes bounds the memory for completed entries; 0 means 2 MiB. The oldest
	// answers are evicted first. The log still records that their keys were used.
	MaxBytes int
}

// Table holds the keys of the requests that this process runs or has run, with their
// answers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	options NewTableOptions
	entries map[Key]*Entry
	// completed lists the entries with an answer in order of completion; bytes is the
	// sum of their sizes.
	completed *list.List
	bytes     int
}

// Entry is the record of one key.
type Entry struct {
	key Key
	// Digest is the hash of the request for which the entry was created; it never
	// changes.
	Digest uint64
	// done is closed once answer is set.
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

// Begin returns the entry of a key and whether this call created it. The caller must
// pass an entry that it created to either Complete or Abandon.
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

// Abandon removes an entry for which this process has not claimed the key. It passes a to the
// requests that wait for the entry, and does not store it for later retries.
func (t *Table) Abandon(e *Entry, a node.SavedAnswer) {
	t.mu.Lock()
	delete(t.entries, e.key)
	t.mu.Unlock()
	e.answer = a
	close(e.done)
}

// Complete stores the answer of an entry, passes it to the requests that wait for it,
// and evicts the oldest answers while the table exceeds its bound.
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

// Completed returns the stored answers, oldest first.
func (t *Table) Completed() []node.KeyedAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]node.KeyedAnswer, 0, t.completed.Len())
	for el := t.completed.Front(); el != nil; el = el.Next() {
		if e, ok := el.Value.(*Entry); ok {
			list = append(list, node.KeyedAnswer{Key: e.key, Answer: e.answer})
		}
	}
	return list
}

// Import adds answers that another node has stored. It skips keys that the table
// already has.
func (t *Table) Import(list []node.KeyedAnswer) {
	for i := range list {
		e, isNew := t.Begin(list[i].Key, list[i].Answer.Digest)
		if isNew {
			t.Complete(e, list[i].Answer)
		}
	}
}

// Wait waits for the answer and returns it; false means that ctx ended first.
func (e *Entry) Wait(ctx context.Context) (node.SavedAnswer, bool) {
	select {
	case <-e.done:
		return e.answer, true
	case <-ctx.Done():
		return node.SavedAnswer{}, false
	}
}
