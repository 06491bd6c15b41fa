// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package journal writes records to the log in groups and follows the log. It
// settles lost replies by sending a batch again under the same sequence number;
// whoever folds the log drops the second copy.
package journal

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/logservice"
	"github.com/leverdyke/leverdyke/internal/state"
)

// Log is what the writer and the reader need of the log service.
type Log interface {
	Append(ctx context.Context, data []byte) (int64, error)
	Read(ctx context.Context, from int64, wait time.Duration) (logservice.Page, error)
}

// Done is told what became of a record: nil when it took effect, an error of
// the fold when it did not, state.ErrNotTaken when it is not in the log,
// state.ErrUnseen when it is but was never folded here. It is called in the
// goroutine that folds.
type Done func(error)

// NewWriterOptions sets the bounds. Zero values mean the defaults.
type NewWriterOptions struct {
	// AppendsPerSecond is this node's share of the log; 0 means 6.
	AppendsPerSecond float64
	// MaxWait is how long a record may wait for its first append; 0 means 3 s.
	MaxWait time.Duration
	Clock   clock.Service
	// Appended is called after each append that was answered; nil means nobody.
	Appended func()
	// Settle runs f in the goroutine that folds.
	Settle func(f func())
}

const (
	defaultAppendsPerSecond = 6
	appendBurst             = 6
	defaultMaxWait          = 3 * time.Second
	maxQueued               = 8192
	maxBatchRecords         = 512
	appendTimeout           = 2 * time.Second
	retryPause              = 200 * time.Millisecond
	// outAfter is how long an append may fail before the log counts as out.
	outAfter = 1500 * time.Millisecond
)

// Writer appends one process's batches, one at a time. It is safe for
// concurrent use.
type Writer struct {
	log     Log
	owner   state.Owner
	options NewWriterOptions
	queue   *boundedqueue.Queue[queued]

	mu sync.Mutex
	// inFlight has the callbacks of each batch that was handed to the log.
	inFlight map[uint64][]Done
	// folded is the last sequence number that was seen in the log.
	folded   uint64
	foldedCh chan struct{}
	// failingSince is since when appends fail; zero while they succeed.
	failingSince time.Time
	seq          uint64
	appends      int64
	// next is when the next append may be made, in the sense of the share.
	tokens   float64
	refilled time.Time
}

type queued struct {
	record state.Record
	done   Done
	at     time.Time
}

// NewWriter returns a writer for the process owner; run its Run.
func NewWriter(log Log, owner state.Owner, options NewWriterOptions) *Writer {
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = defaultAppendsPerSecond
	}
	if options.MaxWait == 0 {
		options.MaxWait = defaultMaxWait
	}
	if options.Clock == nil {
		options.Clock = clock.Real{}
	}
	if options.Appended == nil {
		options.Appended = func() {}
	}
	if options.Settle == nil {
		options.Settle = func(f func()) { f() }
	}
	return &Writer{
		log: log, owner: owner, options: options, queue: boundedqueue.NewQueue[queued](maxQueued),
		inFlight: map[uint64][]Done{}, foldedCh: make(chan struct{}),
		tokens: appendBurst, refilled: options.Clock.Now(),
	}
}

// Put queues a record. It reports false, and done is not called, when the log
// is out or too many records wait: the record is surely not appended.
func (w *Writer) Put(r state.Record, done Done) bool {
	if done == nil {
		done = func(error) {}
	}
	return !w.IsOut() && w.queue.TryPut(queued{r, done, w.options.Clock.Now()})
}

// IsAwaited reports whether a batch has been handed to the log and has not been
// seen in it.
func (w *Writer) IsAwaited() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inFlight) > 0
}

// IsOut reports whether appends have been failing for some time.
func (w *Writer) IsOut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failingSince.IsZero() && w.options.Clock.Now().Sub(w.failingSince) > outAfter
}

// Appends returns how many appends were made.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Folded tells the writer that its batch seq stands in the log, with the
// results of its records. It must be called in the goroutine that folds.
func (w *Writer) Folded(seq uint64, out state.Outcome) {
	w.mu.Lock()
	dones := w.inFlight[seq]
	delete(w.inFlight, seq)
	w.noteSeen(seq)
	w.mu.Unlock()
	for i, done := range dones {
		switch {
		case out.Err != nil:
			done(out.Err)
		case i < len(out.Results):
			done(out.Results[i])
		}
	}
}

// Passed tells the writer that its batches up to seq stand in the log, but were
// not folded here: whoever waits for their records hears state.ErrUnseen. It
// must be called in the goroutine that folds.
func (w *Writer) Passed(seq uint64) {
	w.mu.Lock()
	passed := []Done{}
	for _, s := range slices.Sorted(maps.Keys(w.inFlight)) {
		if s <= seq {
			passed = append(passed, w.inFlight[s]...)
			delete(w.inFlight, s)
		}
	}
	w.noteSeen(seq)
	w.mu.Unlock()
	for _, done := range passed {
		done(state.ErrUnseen)
	}
}

// noteSeen ends the sending of batches up to seq. The caller holds mu.
func (w *Writer) noteSeen(seq uint64) {
	if seq <= w.folded {
		return
	}
	w.folded = seq
	close(w.foldedCh)
	w.foldedCh = make(chan struct{})
}

// Run appends batches until ctx ends.
func (w *Writer) Run(ctx context.Context) { w.loop(ctx) }

func (w *Writer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue.Items():
			w.awaitShare(ctx)
			w.runBatch(ctx, first)
		}
	}
}

// awaitShare waits until the node's share of the log allows an append; more
// records join the batch meanwhile.
func (w *Writer) awaitShare(ctx context.Context) {
	now := w.options.Clock.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilled).Seconds()*w.options.AppendsPerSecond, appendBurst)
	w.refilled = now
	w.tokens--
	if w.tokens >= 0 {
		return
	}
	wait := time.Duration(-w.tokens / w.options.AppendsPerSecond * float64(time.Second))
	select {
	case <-ctx.Done():
	case <-w.options.Clock.After(wait):
	}
}

// runBatch joins what waits into one batch and appends it until it is settled.
func (w *Writer) runBatch(ctx context.Context, first queued) {
	now := w.options.Clock.Now()
	batch := &state.Batch{Node: w.owner.Node, Incarnation: w.owner.Incarnation, Millis: time.Now().UnixMilli()}
	dones := []Done{}
	for q, ok := first, true; ok; q, ok = w.next() {
		if now.Sub(q.at) > w.options.MaxWait {
			w.options.Settle(func() { q.done(state.ErrNotTaken) })
			continue
		}
		batch.Records = append(batch.Records, q.record)
		dones = append(dones, q.done)
		if len(batch.Records) >= maxBatchRecords {
			break
		}
	}
	if len(dones) == 0 {
		return
	}
	w.mu.Lock()
	w.seq++
	batch.Seq = w.seq
	w.inFlight[batch.Seq] = dones
	w.mu.Unlock()
	w.appendUntilSettled(ctx, batch)
}

func (w *Writer) next() (queued, bool) {
	select {
	case q := <-w.queue.Items():
		return q, true
	default:
		return queued{}, false
	}
}

// appendUntilSettled sends a batch until the log answers or the batch is seen
// in it. Its fate is not known in between, so that it can not be given up.
func (w *Writer) appendUntilSettled(ctx context.Context, b *state.Batch) {
	data, err := b.Encode()
	if err != nil {
		w.fail(b.Seq, errors.Join(state.ErrNotTaken, err))
		return
	}
	for ctx.Err() == nil && !w.isFolded(b.Seq) {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.log.Append(attempt, data)
		cancel()
		w.note(err)
		if err == nil {
			w.options.Appended()
			return
		}
		w.mu.Lock()
		seen := w.foldedCh
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-seen:
		case <-w.options.Clock.After(retryPause):
		}
	}
	// The batch was read from the log: its answers were lost, but the log takes
	// appends. While it counts as out nothing else would ever be tried.
	w.noteWorking()
}

func (w *Writer) noteWorking() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingSince = time.Time{}
}

func (w *Writer) fail(seq uint64, err error) {
	w.mu.Lock()
	dones := w.inFlight[seq]
	delete(w.inFlight, seq)
	w.mu.Unlock()
	for _, done := range dones {
		w.options.Settle(func() { done(err) })
	}
}

func (w *Writer) isFolded(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.folded >= seq
}

func (w *Writer) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appends++
	switch {
	case err == nil:
		w.failingSince = time.Time{}
	case w.failingSince.IsZero():
		w.failingSince = w.options.Clock.Now()
	}
}
