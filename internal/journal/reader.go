// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package journal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/logservice"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	// pollWait is how long the log service may hold a read (long poll) when it
	// has no new record. It also bounds the age of ReadResult.IsCaughtUp, which
	// is only known when a read returns.
	pollWait       = time.Second
	pollTimeout    = 3 * time.Second
	pollRetryPause = 300 * time.Millisecond
	// awaitedPollInterval and idlePollInterval are the pauses after a read, so
	// that records appended in quick succession are fetched by one read. The
	// longer pause applies while this process waits for no record of its own.
	awaitedPollInterval = 10 * time.Millisecond
	idlePollInterval    = 250 * time.Millisecond
)

// ReadResult is the result of one read of the log.
type ReadResult struct {
	// SentAt is when the read was sent. With IsCaughtUp, every record that has
	// not been delivered yet was appended after this time.
	SentAt time.Time
	// State is a snapshot that replaces the reader's current state before
	// Entries are applied; nil means that Entries follow the current state.
	State   *state.State
	Entries []logservice.Entry
	// IsCaughtUp means that the log had no more records than those delivered so
	// far.
	IsCaughtUp bool
	// Err is set when the read failed; the other fields but SentAt are then
	// zero.
	Err error
}

// Reader polls the log and passes new records to a callback. It is safe for
// concurrent use.
type Reader struct {
	log   Log
	clock clock.Service
	// onResult receives the result of each read; it may block, which delays the
	// next read.
	onResult func(ReadResult)
	// isRecordAwaited reports whether this process waits for a record to be
	// read; the reader then polls more often.
	isRecordAwaited func() bool
	// wake ends the pause between two reads.
	wake chan struct{}

	mu sync.Mutex
	// next is the offset at which the next read starts; it only grows.
	next int64
}

// NewReader returns a reader that starts at offset 0 or, if the log service has
// trimmed the oldest records, at a complete snapshot in the log. The caller must
// call Run. onResult receives the result of each read. isRecordAwaited reports
// whether this process waits for a record to be read; the reader then polls more
// often.
func NewReader(log Log, c clock.Service, isRecordAwaited func() bool, onResult func(ReadResult)) *Reader {
	return &Reader{log: log, clock: c, onResult: onResult, isRecordAwaited: isRecordAwaited, wake: make(chan struct{}, 1)}
}

// SkipTo makes the next read start after offset, unless the reader has already
// passed it. It is for records that were received from elsewhere.
func (r *Reader) SkipTo(offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = max(r.next, offset+1)
}

// Wake ends the pause before the next read. It is called when this process has
// just appended a record, to read it without delay.
func (r *Reader) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run polls the log until ctx is done.
func (r *Reader) Run(ctx context.Context) { r.loop(ctx) }

func (r *Reader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := idlePollInterval
		if !r.poll(ctx) {
			pause = pollRetryPause
		} else if r.isRecordAwaited() {
			pause = awaitedPollInterval
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-r.clock.After(pause):
		}
	}
}

// poll makes one read and reports whether it succeeded.
func (r *Reader) poll(ctx context.Context) bool {
	r.mu.Lock()
	from := r.next
	r.mu.Unlock()
	sentAt := r.clock.Now()
	attempt, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	page, err := r.log.Read(attempt, from, pollWait)
	if errors.Is(err, logservice.ErrTrimmed) {
		return r.recover(ctx, page.First)
	}
	if err != nil {
		r.onResult(ReadResult{SentAt: sentAt, Err: err})
		return false
	}
	r.advancePast(page.Entries)
	r.onResult(ReadResult{SentAt: sentAt, Entries: page.Entries, IsCaughtUp: r.hasReached(page.Next)})
	return true
}

func (r *Reader) advancePast(entries []logservice.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(entries); n > 0 {
		r.next = max(r.next, entries[n-1].Offset+1)
	}
}

func (r *Reader) hasReached(next int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next >= next
}

// recover continues after records were trimmed that this reader has not read.
// It reads from first, the oldest offset in the log, until it finds a complete
// snapshot whose following records are all still in the log, and reports whether
// it found one.
func (r *Reader) recover(ctx context.Context, first int64) bool {
	assembler := state.Assembler{}
	entries := []logservice.Entry{}
	from := first
	for ctx.Err() == nil {
		sentAt := r.clock.Now()
		attempt, cancel := context.WithTimeout(ctx, pollTimeout)
		page, err := r.log.Read(attempt, from, 0)
		cancel()
		if err != nil || len(page.Entries) == 0 {
			r.onResult(ReadResult{SentAt: sentAt, Err: errors.Join(errors.New("journal: the oldest records have been trimmed, and no complete snapshot was read from the log"), err)})
			return false
		}
		for i, e := range page.Entries {
			entries = append(entries, e)
			s := findSnapshot(&assembler, e)
			if s == nil || s.Applied < first-1 {
				continue
			}
			return r.resumeFrom(sentAt, s, append(entries, page.Entries[i+1:]...), page.Next)
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return false
}

// findSnapshot adds the snapshot chunks of an entry to the assembler and returns
// the state if one of them completes a snapshot, and nil otherwise.
func findSnapshot(assembler *state.Assembler, e logservice.Entry) *state.State {
	b, err := state.DecodeBatch(e.Data)
	if err != nil {
		return nil
	}
	for _, rec := range b.Records {
		if rec.Chunk == nil {
			continue
		}
		s, err := assembler.Add(state.Process{Node: b.Node, Incarnation: b.Incarnation}, rec.Chunk)
		if err == nil && s != nil {
			return s
		}
	}
	return nil
}

// resumeFrom delivers the snapshot s with the entries that were read, and makes
// the next read start after them. Entries that s already includes are skipped by
// state.State.Apply. It always returns true, the result of poll.
func (r *Reader) resumeFrom(sentAt time.Time, s *state.State, entries []logservice.Entry, next int64) bool {
	r.advancePast(entries)
	r.SkipTo(s.Applied)
	r.onResult(ReadResult{SentAt: sentAt, State: s, Entries: entries, IsCaughtUp: r.hasReached(next)})
	return true
}
