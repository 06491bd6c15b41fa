// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package failover stores the records of one writer in a main topic, and in a spill topic while the
// store does not serve the main one. A store that is down in part serves one of them as a rule.
//
// A record of the spill topic replaces the record of the main topic that has the same key. The
// writer returns to the main topic only after all records of the spill topic have been copied to
// it and then removed, so that a record in the spill topic is never older than the one it replaces.
package failover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/store"
)

// Options configures a Log. OnUnexpectedOffset may be nil.
type Options struct {
	Store store.Log
	// Topic is the main topic, SpillTopic the one that is used while Topic is not served.
	Topic, SpillTopic string
	// Name and Epoch are those of the writer in both topics.
	Name  string
	Epoch uint64
	// MaxAppendBytes is about how much one append carries while records are copied.
	MaxAppendBytes int
	// OnUnexpectedOffset is called when an append begins at another offset than the one at which the
	// topic ended, as far as this writer knows.
	OnUnexpectedOffset func(topic string, offset, want uint64, records int)
}

// Log is the log of one writer. It is not safe for concurrent use, except for Probe and
// IsMainServed.
type Log struct {
	options Options
	main    stream
	spill   stream
	// isSpilling means that records are appended to the spill topic. It is set as long as the spill
	// topic has records, or may get some by an append whose outcome is unknown.
	isSpilling bool
	// spilled has the values in the spill topic by key; an empty one removes the key.
	spilled ordered.Map[string, []byte]
	// pendingFor are the caller's records whose encoded form spill.pending is; nil when that is a
	// removal of copied records.
	pendingFor []store.Record
	// maySpill is the result of the last Probe, until it is used.
	maySpill atomic.Bool
	// open are the caller's records that may be stored although no append of them has succeeded.
	open []store.Record
}

// New returns the log of a writer that has fenced all previous writers in both topics and has read
// them after that. main and spill are what it has read.
func New(options Options, main, spill *store.Newest) *Log {
	l := &Log{options: options}
	writer := store.Writer{Name: options.Name, Epoch: options.Epoch, Sequence: 1}
	l.main = stream{options: &l.options, topic: options.Topic, writer: writer, end: main.End}
	l.spill = stream{options: &l.options, topic: options.SpillTopic, writer: writer, end: spill.End}
	for i := range spill.Records {
		l.spilled.Set(spill.Records[i].Key, decodeValue(spill.Records[i].Value))
	}
	l.updateSpilling()
	return l
}

// IsSpilling reports whether records are appended to the spill topic.
func (l *Log) IsSpilling() bool { return l.isSpilling }

// Spilled returns how many records the spill topic has.
func (l *Log) Spilled() int { return l.spilled.Len() }

// Append appends records. After an error other than store.NotApplied and store.Fenced it is unknown
// whether they are stored, and the next call must have the same slice of records. After
// store.NotApplied they are not stored and never will be.
func (l *Log) Append(ctx context.Context, records []store.Record) error {
	isRepeated := isSame(l.pendingFor, records)
	if err := l.settleSpill(ctx); err != nil || isRepeated {
		return l.classify(err, records)
	}
	if !l.isSpilling {
		err := l.main.append(ctx, records)
		if err == nil || store.FailureOf(err) == store.Fenced || !l.maySpill.Swap(false) {
			return l.classify(err, records)
		}
		l.isSpilling = true
	}
	l.pendingFor = records
	err := l.appendSpill(ctx, encode(records))
	l.updateSpilling()
	return l.classify(err, records)
}

// Ends are where the two topics end, as far as the writer knows.
type Ends struct{ Main, Spill uint64 }

// Ends returns the present ends, for Probe.
func (l *Log) Ends() Ends { return Ends{l.main.end, l.spill.end} }

// Probe finds out whether Append may continue in the spill topic: the store serves it and not the
// main topic. A single append that is refused or gets no answer is not a reason, because the next
// one will succeed.
func (l *Log) Probe(ctx context.Context, ends Ends) {
	maySpill := !l.IsMainServed(ctx, ends) && l.isServed(ctx, l.options.SpillTopic, ends.Spill)
	l.maySpill.Store(maySpill)
}

// IsMainServed reports whether the store serves the main topic.
func (l *Log) IsMainServed(ctx context.Context, ends Ends) bool {
	return l.isServed(ctx, l.options.Topic, ends.Main)
}

// probeTime is how long the store may wait for a record when it is only asked whether it serves.
const probeTime = time.Millisecond

// isServed reports whether the store serves a topic that ends at end or after.
func (l *Log) isServed(ctx context.Context, topic string, end uint64) bool {
	_, err := l.options.Store.Wait(ctx, topic, end, probeTime)
	return err == nil || store.FailureOf(err) == store.Trimmed
}

// classify returns the error for the caller of Append, by what may still become of the records.
func (l *Log) classify(err error, records []store.Record) error {
	if err == nil {
		l.open = nil
		return nil
	}
	if store.FailureOf(err) == store.Fenced {
		return err
	}
	if isSame(l.main.pending, records) || isSame(l.pendingFor, records) || store.FailureOf(err) == store.WrongSequence {
		l.open = records
	}
	if isSame(l.open, records) {
		return &store.Error{Failure: store.Unknown, Err: err}
	}
	return &store.Error{Failure: store.NotApplied, Err: err}
}

// isSame reports whether two slices are the same one.
func isSame(a, b []store.Record) bool { return len(a) > 0 && len(b) > 0 && &a[0] == &b[0] }

// settleSpill repeats the append to the spill topic whose outcome is unknown, if there is one.
func (l *Log) settleSpill(ctx context.Context) error {
	if l.spill.pending == nil {
		return nil
	}
	err := l.appendSpill(ctx, l.spill.pending)
	l.updateSpilling()
	return err
}

// appendSpill appends encoded records to the spill topic.
func (l *Log) appendSpill(ctx context.Context, encoded []store.Record) error {
	err := l.spill.append(ctx, encoded)
	if l.spill.pending == nil {
		l.pendingFor = nil
	}
	if err != nil {
		return err
	}
	for _, r := range encoded {
		if len(r.Value) == 0 {
			l.spilled.Delete(r.Key)
			continue
		}
		l.spilled.Set(r.Key, decodeValue(r.Value))
	}
	return nil
}

// updateSpilling returns to the main topic when the spill topic has no records and will get none.
func (l *Log) updateSpilling() {
	l.isSpilling = l.spilled.Len() > 0 || l.spill.pending != nil
}

// Drain copies the records of the spill topic to the main topic and removes them from the spill
// topic. After an error the log continues to spill, and Drain may be called again.
func (l *Log) Drain(ctx context.Context) error {
	if err := l.settleSpill(ctx); err != nil || !l.isSpilling {
		return err
	}
	if l.main.pending != nil {
		if err := l.main.append(ctx, l.main.pending); err != nil {
			return err
		}
	}
	removals := []store.Record{}
	for _, part := range l.parts() {
		if err := l.main.append(ctx, part); err != nil {
			return err
		}
		for _, r := range part {
			removals = append(removals, store.Record{Key: r.Key})
		}
	}
	err := l.appendSpill(ctx, removals)
	l.updateSpilling()
	return err
}

// parts returns the records of the spill topic as the main topic gets them, in parts that fit one
// append each.
func (l *Log) parts() [][]store.Record {
	parts := [][]store.Record{}
	size := 0
	for key, value := range l.spilled.All() {
		size += len(key) + len(value)
		if len(parts) == 0 || size > l.options.MaxAppendBytes {
			parts, size = append(parts, nil), len(key)+len(value)
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], store.Record{Key: key, Value: value})
	}
	return parts
}
