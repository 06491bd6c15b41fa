// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package fakestore is an in-memory store for tests.
package fakestore

import (
	"context"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/store"
)

// Log is an in-memory store with faults that a test can inject. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	topics map[string][]store.Record
	// writers has what is known of the writer of each topic.
	writers map[string]*writer
	// appendFault is called before an append of records by a writer. It returns the error that the
	// writer gets, and whether the append is applied nevertheless.
	appendFault func(a *store.Append) (err error, isApplied bool)
	// isDown makes the store refuse all requests, and downTopics those for single topics.
	isDown     bool
	downTopics map[string]bool
	// changed is closed at the next append.
	changed chan struct{}
}

// writer is what the store knows of the writer of a topic.
type writer struct {
	epoch uint64
	// answers has the first answer to each sequence number of the epoch.
	answers map[uint64]uint64
}

// NewLog returns an empty store.
func NewLog() *Log {
	return &Log{topics: map[string][]store.Record{}, writers: map[string]*writer{}, downTopics: map[string]bool{}, changed: make(chan struct{})}
}

// writerOf returns the writer of a topic.
func (l *Log) writerOf(topic string) *writer {
	if l.writers[topic] == nil {
		l.writers[topic] = &writer{answers: map[uint64]uint64{}}
	}
	return l.writers[topic]
}

// Append adds records as the platform's store does. Like a client of that store, it sends nothing
// when the context has ended.
func (l *Log) Append(ctx context.Context, a *store.Append) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return 0, &store.Error{Failure: store.Unknown, Err: ctx.Err()}
	}
	if l.isDown || l.downTopics[a.Topic] {
		return 0, &store.Error{Failure: store.NotApplied}
	}
	if a.Writer != nil && len(a.Records) > 0 {
		if l.appendFault != nil {
			if err, isApplied := l.appendFault(a); err != nil {
				if isApplied {
					_, _ = l.append(a)
				}
				return 0, err
			}
		}
	}
	return l.append(a)
}

func (l *Log) append(a *store.Append) (uint64, error) {
	end := uint64(len(l.topics[a.Topic]))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return 0, &store.Error{Failure: store.ConditionFailed, End: end}
	}
	if w := a.Writer; w != nil {
		known := l.writerOf(a.Topic)
		if w.Epoch < known.epoch {
			return 0, &store.Error{Failure: store.Fenced}
		}
		if w.Epoch > known.epoch {
			clear(known.answers)
		}
		known.epoch = w.Epoch
		if first, ok := known.answers[w.Sequence]; ok && len(a.Records) > 0 {
			return first, nil
		}
		known.answers[w.Sequence] = end
	}
	for _, r := range a.Records {
		r.Offset = uint64(len(l.topics[a.Topic]))
		l.topics[a.Topic] = append(l.topics[a.Topic], r)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return end, nil
}

// ReadNewest returns the newest record of each key.
func (l *Log) ReadNewest(_ context.Context, topic string) (*store.Newest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown || l.downTopics[topic] {
		return nil, &store.Error{Failure: store.NotApplied}
	}
	newest := map[string]store.Record{}
	for _, r := range l.topics[topic] {
		newest[r.Key] = r
	}
	out := &store.Newest{End: uint64(len(l.topics[topic]))}
	for _, r := range newest {
		if len(r.Value) > 0 {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

// Wait returns the records from an offset on, as soon as there is one.
func (l *Log) Wait(ctx context.Context, topic string, from uint64, maxWait time.Duration) ([]store.Record, error) {
	timeout := time.After(maxWait)
	for {
		l.mu.Lock()
		all := l.topics[topic]
		changed := l.changed
		isDown := l.isDown || l.downTopics[topic]
		l.mu.Unlock()
		switch {
		case isDown:
			return nil, &store.Error{Failure: store.NotApplied}
		case from < uint64(len(all)):
			return all[from:], nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, &store.Error{Failure: store.Unknown, Err: ctx.Err()}
		}
	}
}

// SetDown makes the store refuse all requests, or serve again.
func (l *Log) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}

// SetTopicDown makes the store refuse all requests for a topic, or serve them again.
func (l *Log) SetTopicDown(topic string, isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downTopics[topic] = isDown
}

// SetAppendFault sets a function that is called before an append of records by a writer. It returns
// the error that the writer gets, and whether the append is applied nevertheless. nil lets all
// appends succeed.
func (l *Log) SetAppendFault(appendFault func(a *store.Append) (err error, isApplied bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendFault = appendFault
}

// CountKey returns how many records of a topic have the key and a value.
func (l *Log) CountKey(topic, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.topics[topic] {
		if r.Key == key && len(r.Value) > 0 {
			n++
		}
	}
	return n
}
