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

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/logservice"
	"github.com/leverdyke/leverdyke/internal/ring"
	"github.com/leverdyke/leverdyke/internal/state"
)

// Log is what the writer and the reader need of the log service.
type Log interface {
	Append(ctx context.Context, data []byte) (int64, error)
	Read(ctx context.Context, from int64, wait time.Duration) (logservice.Page, error)
}

// ResultFunc is told what became of a record: nil when it took effect, an error of
// the fold when it did not, state.ErrNotTaken when it is not in the log,
// state.ErrUnseen when it is but was never folded here. It is called in the
// goroutine that folds.
type ResultFunc func(error)

// NewWriterOptions sets the bounds. Zero values mean the defaults.
type NewWriterOptions struct {
	// AppendsPerSecond is this node's share of the log; 0 means 6.
	AppendsPerSecond float64
	// MaxWait is how long a record may wait for its first append; 0 means 3 s.
	MaxWait time.Duration
	Clock   clock.Service
	// OnAppended is called after each append that was answered; nil means nobody.
	OnAppended func()
	// RunInApplier runs f in the goroutine that folds.
	RunInApplier func(f func())
}

const (
	defaultAppendsPerSecond = 6
	appendBurst             = 6
	defaultMaxWait          = 3 * time.Second
	maxQueued               = 8192
	maxBatchRecords         = 512
	appendTimeout           = 2 * time.Second
	appendRetryPause        = 200 * time.Millisecond
	// unavailableAfter is how long an append may fail before the log counts as out.
	unavailableAfter = 1500 * time.Millisecond
)

// Writer appends one process's batches, one at a time. It is safe for
// concurrent use.
type Writer struct {
	log     Log
	owner   state.Process
	options NewWriterOptions
	queue   *ring.Ring[queuedRecord]

	mu sync.Mutex
	// inFlight has the callbacks of each batch that was handed to the log.
	inFlight map[uint64][]ResultFunc
	// lastSeen is the last sequence number that was seen in the log.
	lastSeen uint64
	seenCh   chan struct{}
	// failingSince is since when appends fail; zero while they succeed.
	failingSince time.Time
	seq          uint64
	appendCount  int64
	// next is when the next append may be made, in the sense of the share.
	tokens   float64
	refilled time.Time
}

type queuedRecord struct {
	record   state.Record
	callback ResultFunc
	queuedAt time.Time
}

// NewWriter returns a writer for the process owner; run its Run.
func NewWriter(log Log, owner state.Process, options NewWriterOptions) *Writer {
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = defaultAppendsPerSecond
	}
	if options.MaxWait == 0 {
		options.MaxWait = defaultMaxWait
	}
	if options.Clock == nil {
		options.Clock = clock.Real{}
	}
	if options.OnAppended == nil {
		options.OnAppended = func() {}
	}
	if options.RunInApplier == nil {
		options.RunInApplier = func(f func()) { f() }
	}
	return &Writer{
		log: log, owner: owner, options: options, queue: ring.NewRing[queuedRecord](maxQueued),
		inFlight: map[uint64][]ResultFunc{}, seenCh: make(chan struct{}),
		tokens: appendBurst, refilled: options.Clock.Now(),
	}
}

// Put queues a record. It reports false, and done is not called, when the log
// is out or too many records wait: the record is surely not appended.
func (w *Writer) Put(r state.Record, callback ResultFunc) bool {
	if callback == nil {
		callback = func(error) {}
	}
	return !w.IsLogUnavailable() && w.queue.TryPut(queuedRecord{r, callback, w.options.Clock.Now()})
}

// HasPendingBatch reports whether a batch has been handed to the log and has not been
// seen in it.
func (w *Writer) HasPendingBatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inFlight) > 0
}

// IsLogUnavailable reports whether appends have been failing for some time.
func (w *Writer) IsLogUnavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failingSince.IsZero() && w.options.Clock.Now().Sub(w.failingSince) > unavailableAfter
}

// Appends returns how many appends were made.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appendCount
}

// OnApplied tells the writer that its batch seq stands in the log, with the
// results of its records. It must be called in the goroutine that folds.
func (w *Writer) OnApplied(seq uint64, out state.Outcome) {
	w.mu.Lock()
	callbacks := w.inFlight[seq]
	delete(w.inFlight, seq)
	w.recordSeen(seq)
	w.mu.Unlock()
	for i, callback := range callbacks {
		switch {
		case out.Err != nil:
			callback(out.Err)
		case i < len(out.Results):
			callback(out.Results[i])
		}
	}
}

// OnSkipped tells the writer that its batches up to seq stand in the log, but were
// not folded here: whoever waits for their records hears state.ErrUnseen. It
// must be called in the goroutine that folds.
func (w *Writer) OnSkipped(seq uint64) {
	w.mu.Lock()
	skipped := []ResultFunc{}
	for _, s := range slices.Sorted(maps.Keys(w.inFlight)) {
		if s <= seq {
			skipped = append(skipped, w.inFlight[s]...)
			delete(w.inFlight, s)
		}
	}
	w.recordSeen(seq)
	w.mu.Unlock()
	for _, callback := range skipped {
		callback(state.ErrOutcomeUnknown)
	}
}

// recordSeen ends the sending of batches up to seq. The caller holds mu.
func (w *Writer) recordSeen(seq uint64) {
	if seq <= w.lastSeen {
		return
	}
	w.lastSeen = seq
	close(w.seenCh)
	w.seenCh = make(chan struct{})
}

// Run appends batches until ctx ends.
func (w *Writer) Run(ctx context.Context) { w.loop(ctx) }

func (w *Writer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue.Out():
			w.awaitRateLimit(ctx)
			w.appendBatch(ctx, first)
		}
	}
}

// awaitRateLimit waits until the node's share of the log allows an append; more
// records join the batch meanwhile.
func (w *Writer) awaitRateLimit(ctx context.Context) {
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

// appendBatch joins what waits into one batch and appends it until it is settled.
func (w *Writer) appendBatch(ctx context.Context, first queuedRecord) {
	now := w.options.Clock.Now()
	batch := &state.Batch{Node: w.owner.Node, Incarnation: w.owner.Incarnation, Millis: time.Now().UnixMilli()}
	callbacks := []ResultFunc{}
	for q, ok := first, true; ok; q, ok = w.nextQueued() {
		if now.Sub(q.queuedAt) > w.options.MaxWait {
			w.options.RunInApplier(func() { q.callback(state.ErrNotAppended) })
			continue
		}
		batch.Records = append(batch.Records, q.record)
		callbacks = append(callbacks, q.callback)
		if len(batch.Records) >= maxBatchRecords {
			break
		}
	}
	if len(callbacks) == 0 {
		return
	}
	w.mu.Lock()
	w.seq++
	batch.Seq = w.seq
	w.inFlight[batch.Seq] = callbacks
	w.mu.Unlock()
	w.appendUntilSettled(ctx, batch)
}

func (w *Writer) nextQueued() (queuedRecord, bool) {
	select {
	case q := <-w.queue.Out():
		return q, true
	default:
		return queuedRecord{}, false
	}
}

// appendUntilSettled sends a batch until the log answers or the batch is seen
// in it. Its fate is not known in between, so that it can not be given up.
func (w *Writer) appendUntilSettled(ctx context.Context, b *state.Batch) {
	data, err := b.Encode()
	if err != nil {
		w.failBatch(b.Seq, errors.Join(state.ErrNotAppended, err))
		return
	}
	for ctx.Err() == nil && !w.isSeen(b.Seq) {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.log.Append(attempt, data)
		cancel()
		w.recordAttempt(err)
		if err == nil {
			w.options.OnAppended()
			return
		}
		w.mu.Lock()
		seenCh := w.seenCh
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-seenCh:
		case <-w.options.Clock.After(appendRetryPause):
		}
	}
	// The batch was read from the log: its answers were lost, but the log takes
	// appends. While it counts as out nothing else would ever be tried.
	w.recordAvailable()
}

func (w *Writer) recordAvailable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingSince = time.Time{}
}

func (w *Writer) failBatch(seq uint64, err error) {
	w.mu.Lock()
	callbacks := w.inFlight[seq]
	delete(w.inFlight, seq)
	w.mu.Unlock()
	for _, callback := range callbacks {
		w.options.RunInApplier(func() { callback(err) })
	}
}

func (w *Writer) isSeen(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastSeen >= seq
}

func (w *Writer) recordAttempt(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendCount++
	switch {
	case err == nil:
		w.failingSince = time.Time{}
	case w.failingSince.IsZero():
		w.failingSince = w.options.Clock.Now()
	}
}
