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
	// pollWait bounds one read, and with it how late it is known that nothing
	// new stands in the log.
	pollWait       = time.Second
	pollTimeout    = 3 * time.Second
	pollRetryPause = 300 * time.Millisecond
	// awaitedPollInterval joins records that come close together into one read; idleGap
	// joins more while nobody here waits for a record of its own.
	awaitedPollInterval = 10 * time.Millisecond
	idlePollInterval    = 250 * time.Millisecond
)

// ReadResult is what a read found.
type ReadResult struct {
	// SentAt is when the read was sent: what is not in it was appended later.
	SentAt time.Time
	// State is a snapshot to start from; nil to go on from what is there.
	State   *state.State
	Entries []logservice.Entry
	// IsCaughtUp means that the log has nothing more.
	IsCaughtUp bool
	// Err is set when the log did not answer.
	Err error
}

// Reader follows the log. It is safe for concurrent use.
type Reader struct {
	log   Log
	clock clock.Service
	// onResult takes what was read; it may block.
	onResult func(ReadResult)
	// isRecordAwaited reports whether somebody here waits for a record.
	isRecordAwaited func() bool
	// wake ends a pause early.
	wake chan struct{}

	mu sync.Mutex
	// next is the offset to read; it only grows.
	next int64
}

// NewReader returns a reader that starts at the oldest record, or at the last
// whole snapshot if the oldest are gone; run its Run.
// isAwaited says whether somebody waits for a record, which makes it read more
// often.
func NewReader(log Log, c clock.Service, isRecordAwaited func() bool, onResult func(ReadResult)) *Reader {
	return &Reader{log: log, clock: c, onResult: onResult, isRecordAwaited: isRecordAwaited, wake: make(chan struct{}, 1)}
}

// SkipTo goes on after offset, if the reader is not there yet.
func (r *Reader) SkipTo(offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = max(r.next, offset+1)
}

// Wake makes the reader read at once, for a record that was just appended.
func (r *Reader) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reads until ctx ends.
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

// poll makes one read and reports whether the log answered.
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

// recover looks for the first whole snapshot whose tail is still in the log.
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
			r.onResult(ReadResult{SentAt: sentAt, Err: errors.Join(errors.New("journal: no whole snapshot is in the log"), err)})
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

func (r *Reader) resumeFrom(sentAt time.Time, s *state.State, entries []logservice.Entry, next int64) bool {
	r.advancePast(entries)
	r.SkipTo(s.Applied)
	r.onResult(ReadResult{SentAt: sentAt, State: s, Entries: entries, IsCaughtUp: r.hasReached(next)})
	return true
}
