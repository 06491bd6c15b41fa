// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package journal appends records to the log in batches and reads the log. When
// the reply to an append is lost, the writer appends the batch again with the
// same sequence number; state.State.Apply ignores the second copy.
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

// Log is the part of the log service's client that the writer and the reader
// use.
type Log interface {
	Append(ctx context.Context, data []byte) (int64, error)
	Read(ctx context.Context, from int64, wait time.Duration) (logservice.Page, error)
}

// ResultFunc receives the outcome of a record: nil if it took effect, an error
// of state.State.Apply if it did not, state.ErrNotAppended if it is not in the
// log and will not be, or state.ErrOutcomeUnknown if it is in the log but was
// not applied by this process. It is called in the goroutine that applies the
// log.
type ResultFunc func(error)

// NewWriterOptions configures a Writer. Zero values mean the defaults.
type NewWriterOptions struct {
	// AppendsPerSecond limits the rate of appends, because all nodes share the
	// log service; 0 means 6.
	AppendsPerSecond float64
	// MaxWait is how long a record may wait in the queue before its first append
	// is tried; 0 means 3 s. After that it fails with state.ErrNotAppended.
	MaxWait time.Duration
	Clock   clock.Service
	// OnAppended, if not nil, is called after each append that the log
	// acknowledged.
	OnAppended func()
	// RunInApplier runs f in the goroutine that applies the log; nil means that
	// f is called directly.
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
	// unavailableAfter is how long appends must have been failing before the log
	// counts as unavailable.
	unavailableAfter = 1500 * time.Millisecond
)

// Writer appends the batches of one process, one at a time. It is safe for
// concurrent use.
type Writer struct {
	log     Log
	owner   state.Process
	options NewWriterOptions
	queue   *boundedqueue.Queue[queuedRecord]

	mu sync.Mutex
	// inFlight has the callbacks of each batch of which an append has been or
	// will be tried and whose outcome is not known, by sequence number.
	inFlight map[uint64][]ResultFunc
	// lastReadSeq is the largest sequence number of this process that was read from
	// the log. seenCh is closed, and replaced, when it grows.
	lastReadSeq uint64
	seenCh      chan struct{}
	// failingSince is when the first of the current run of failed appends ended;
	// zero while appends succeed.
	failingSince time.Time
	// seq is the sequence number of the last batch.
	seq         uint64
	appendCount int64
	// tokens and refilled are the token bucket that limits the rate of appends.
	// tokens is negative while an append waits: it has borrowed tokens that are not refilled yet.
	tokens   float64
	refilled time.Time
}

type queuedRecord struct {
	record   state.Record
	callback ResultFunc
	queuedAt time.Time
}

// NewWriter returns a writer for the process owner. The caller must call Run.
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
		log: log, owner: owner, options: options, queue: boundedqueue.NewQueue[queuedRecord](maxQueued),
		inFlight: map[uint64][]ResultFunc{}, seenCh: make(chan struct{}),
		tokens: appendBurst, refilled: options.Clock.Now(),
	}
}

// Put queues a record and reports whether it was accepted. It returns false
// while the log is unavailable or the queue is full; the record is then certain
// not to be appended, and callback, which may be nil, is not called.
func (w *Writer) Put(r state.Record, callback ResultFunc) bool {
	if callback == nil {
		callback = func(error) {}
	}
	return !w.IsLogUnavailable() && w.queue.TryPut(queuedRecord{r, callback, w.options.Clock.Now()})
}

// HasPendingBatch reports whether there is a batch in flight: one that the
// writer started to append and that has not been read from the log.
func (w *Writer) HasPendingBatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inFlight) > 0
}

// IsLogUnavailable reports whether appends have been failing for more than 1.5 s.
func (w *Writer) IsLogUnavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failingSince.IsZero() && w.options.Clock.Now().Sub(w.failingSince) > unavailableAfter
}

// Appends returns the number of appends that were tried, including those that
// failed.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appendCount
}

// OnApplied notifies the writer that its batch seq was read from the log and
// applied with the outcome out, and calls the callbacks of its records. It must
// be called in the goroutine that applies the log.
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

// OnSkipped notifies the writer that its batches up to seq are in the log but
// will not be applied by this process, because it continued from a snapshot that
// includes them. The callbacks of their records get state.ErrOutcomeUnknown. It
// must be called in the goroutine that applies the log.
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

// recordSeen ends the retries of batches up to seq, since they are in the log.
// The caller holds mu.
func (w *Writer) recordSeen(seq uint64) {
	if seq <= w.lastReadSeq {
		return
	}
	w.lastReadSeq = seq
	close(w.seenCh)
	w.seenCh = make(chan struct{})
}

// Run appends the queued records until ctx is done.
func (w *Writer) Run(ctx context.Context) { w.loop(ctx) }

func (w *Writer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue.Items():
			w.awaitRateLimit(ctx)
			w.appendBatch(ctx, first)
		}
	}
}

// awaitRateLimit takes a token and waits until AppendsPerSecond allows the
// append. Records that are queued meanwhile become part of the same batch.
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

// appendBatch puts first and the other queued records, up to maxBatchRecords,
// into one batch and appends it. Records that have waited longer than MaxWait
// fail instead.
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

// nextQueued returns the next queued record, or false if there is none.
func (w *Writer) nextQueued() (queuedRecord, bool) {
	select {
	case q := <-w.queue.Items():
		return q, true
	default:
		return queuedRecord{}, false
	}
}

// appendUntilSettled retries the append of a batch until the log acknowledges it
// or the batch is read from the log. After a failed append it is not known
// whether the batch is in the log, so that it cannot be reported as not appended.
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
	// The batch was read from the log: only the replies were lost, and the log
	// accepts appends. It must not count as unavailable any longer: Put would
	// refuse every record, so that no append would be tried that could end the
	// outage.
	w.recordAvailable()
}

// recordAvailable notes that the log accepts appends.
func (w *Writer) recordAvailable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingSince = time.Time{}
}

// failBatch calls the callbacks of a batch that will not be appended.
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
	return w.lastReadSeq >= seq
}

// recordAttempt counts an append and notes whether it failed.
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
