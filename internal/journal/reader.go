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
	pollWait    = time.Second
	pollTimeout = 3 * time.Second
	pollPause   = 300 * time.Millisecond
	// busyGap joins records that come close together into one read; idleGap
	// joins more while nobody here waits for a record of its own.
	busyGap = 10 * time.Millisecond
	idleGap = 250 * time.Millisecond
)

// Tailed is what a read found.
type Tailed struct {
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
	// out takes what was read; it may block.
	out func(Tailed)
	// isAwaited reports whether somebody here waits for a record.
	isAwaited func() bool
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
func NewReader(log Log, c clock.Service, isAwaited func() bool, out func(Tailed)) *Reader {
	return &Reader{log: log, clock: c, out: out, isAwaited: isAwaited, wake: make(chan struct{}, 1)}
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
		pause := idleGap
		if !r.poll(ctx) {
			pause = pollPause
		} else if r.isAwaited() {
			pause = busyGap
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
	sent := r.clock.Now()
	attempt, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	page, err := r.log.Read(attempt, from, pollWait)
	if errors.Is(err, logservice.ErrTrimmed) {
		return r.recover(ctx, page.First)
	}
	if err != nil {
		r.out(Tailed{SentAt: sent, Err: err})
		return false
	}
	r.advance(page.Entries)
	r.out(Tailed{SentAt: sent, Entries: page.Entries, IsCaughtUp: r.isAt(page.Next)})
	return true
}

func (r *Reader) advance(entries []logservice.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(entries); n > 0 {
		r.next = max(r.next, entries[n-1].Offset+1)
	}
}

func (r *Reader) isAt(next int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next >= next
}

// recover looks for the first whole snapshot whose tail is still in the log.
func (r *Reader) recover(ctx context.Context, first int64) bool {
	found := state.Assembler{}
	kept := []logservice.Entry{}
	from := first
	for ctx.Err() == nil {
		sent := r.clock.Now()
		attempt, cancel := context.WithTimeout(ctx, pollTimeout)
		page, err := r.log.Read(attempt, from, 0)
		cancel()
		if err != nil || len(page.Entries) == 0 {
			r.out(Tailed{SentAt: sent, Err: errors.Join(errors.New("journal: no whole snapshot is in the log"), err)})
			return false
		}
		for i, e := range page.Entries {
			kept = append(kept, e)
			s := addChunks(&found, e)
			if s == nil || s.Applied < first-1 {
				continue
			}
			return r.start(sent, s, append(kept, page.Entries[i+1:]...), page.Next)
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return false
}

func addChunks(found *state.Assembler, e logservice.Entry) *state.State {
	b, err := state.DecodeBatch(e.Data)
	if err != nil {
		return nil
	}
	for _, rec := range b.Records {
		if rec.Chunk == nil {
			continue
		}
		s, err := found.Add(state.Process{Node: b.Node, Incarnation: b.Incarnation}, rec.Chunk)
		if err == nil && s != nil {
			return s
		}
	}
	return nil
}

func (r *Reader) start(sent time.Time, s *state.State, entries []logservice.Entry, next int64) bool {
	r.advance(entries)
	r.SkipTo(s.Applied)
	r.out(Tailed{SentAt: sent, State: s, Entries: entries, IsCaughtUp: r.isAt(next)})
	return true
}
