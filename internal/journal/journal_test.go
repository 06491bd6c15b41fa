// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package journal_test

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/journal"
	"github.com/leverdyke/leverdyke/internal/logservice"
	"github.com/leverdyke/leverdyke/internal/state"
)

// fakeLog is an in-memory log that can lose replies and refuse appends.
type fakeLog struct {
	mu      sync.Mutex
	entries []logservice.Entry
	// first is the oldest offset that has not been trimmed.
	first int64
	// loseReplies is the number of next appends that take effect but return an
	// error; refuseAppends is the number of next appends that the log refuses.
	loseReplies, refuseAppends int
	appended                   chan []byte
}

var errReplyLost = errors.New("lost")

func (l *fakeLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuseAppends > 0 {
		l.refuseAppends--
		return 0, logservice.ErrRefused
	}
	offset := int64(len(l.entries))
	l.entries = append(l.entries, logservice.Entry{Offset: offset, Data: data})
	if l.appended != nil {
		l.appended <- data
	}
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, errReplyLost
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, from int64, _ time.Duration) (logservice.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := logservice.Page{First: l.first, Next: int64(len(l.entries))}
	if from < l.first {
		return page, logservice.ErrTrimmed
	}
	page.Entries = append(page.Entries, l.entries[min(from, page.Next):]...)
	return page, nil
}

// advanceUntil moves a fake clock until done is closed.
func advanceUntil(c *clock.Fake, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
			c.Advance(50 * time.Millisecond)
		}
	}
}

func joinRecord() state.Record {
	return state.Record{Join: &state.Join{Node: "n", Incarnation: 1}}
}

// An append whose reply is lost may still have taken effect, so the writer
// retries with the same sequence number. The copies must be recognised as
// duplicates, and the callback must be called once, with the result of the first.
func TestAppendIsRetriedAfterALostReplyAndReportedOnce(t *testing.T) {
	log := &fakeLog{loseReplies: 2, refuseAppends: 1, appended: make(chan []byte, 9)}
	c := clock.NewFake()
	w := journal.NewWriter(log, state.Process{Node: "n", Incarnation: 1}, journal.NewWriterOptions{Clock: c, MaxWait: 1 << 60})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	results := make(chan error, 2)
	w.Put(joinRecord(), func(err error) { results <- err })
	done := make(chan struct{})
	go advanceUntil(c, done)
	s := state.NewState()
	first := state.Outcome{}
	for i := range 3 {
		b, err := state.DecodeBatch(<-log.appended)
		if err != nil {
			t.Fatal(err)
		}
		out := s.Apply(int64(i), b)
		if i == 0 {
			first = out
		} else if !errors.Is(out.Err, state.ErrAlreadyApplied) {
			t.Errorf("copy %d: got: %v, want: %v", i, out.Err, state.ErrAlreadyApplied)
		}
	}
	close(done)
	w.OnApplied(1, first)
	if err := <-results; err != nil {
		t.Errorf("got: %v, want: nil", err)
	}
	select {
	case err := <-results:
		t.Errorf("got: a second callback with %v, want: one", err)
	default:
	}
}

// When only the replies of the log are lost, a batch that is read from the log
// shows that appends work. If the writer still considered the log unavailable,
// it would refuse the next record, and no append could ever end the outage.
func TestBatchReadFromTheLogEndsTheOutage(t *testing.T) {
	log := &fakeLog{loseReplies: 1 << 30, appended: make(chan []byte, 1<<10)}
	c := clock.NewFake()
	w := journal.NewWriter(log, state.Process{Node: "n", Incarnation: 1}, journal.NewWriterOptions{Clock: c, MaxWait: 1 << 60})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Put(joinRecord(), nil)
	go w.Run(ctx)
	done := make(chan struct{})
	go advanceUntil(c, done)
	for !w.IsLogUnavailable() {
		runtime.Gosched()
	}
	w.OnApplied(1, state.Outcome{Results: []error{nil}})
	for w.IsLogUnavailable() {
		runtime.Gosched()
	}
	close(done)
	if !w.Put(joinRecord(), nil) {
		t.Error("got: the next record is refused, want: accepted")
	}
}

// A process that continues from a snapshot never applies its own batches that
// the snapshot includes. Their callbacks must still be called, and only once.
func TestSkippedBatchIsReportedOnceAsOutcomeUnknown(t *testing.T) {
	log := &fakeLog{refuseAppends: 1 << 30, appended: make(chan []byte, 9)}
	c := clock.NewFake()
	w := journal.NewWriter(log, state.Process{Node: "n", Incarnation: 1}, journal.NewWriterOptions{Clock: c, MaxWait: 1 << 60})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan error, 9)
	w.Put(joinRecord(), func(err error) { results <- err })
	go w.Run(ctx)
	done := make(chan struct{})
	go advanceUntil(c, done)
	for !w.HasPendingBatch() {
		runtime.Gosched()
	}
	w.OnSkipped(1)
	close(done)
	if err := <-results; !errors.Is(err, state.ErrOutcomeUnknown) {
		t.Errorf("got: %v, want: %v", err, state.ErrOutcomeUnknown)
	}
	w.OnApplied(1, state.Outcome{Results: []error{nil}})
	select {
	case err := <-results:
		t.Errorf("got: a second callback with %v, want: one", err)
	default:
	}
	if w.HasPendingBatch() {
		t.Error("got: a batch in flight, want: none")
	}
}

func TestRecordThatWaitsTooLongIsNotAppended(t *testing.T) {
	log := &fakeLog{}
	c := clock.NewFake()
	w := journal.NewWriter(log, state.Process{Node: "n", Incarnation: 1}, journal.NewWriterOptions{Clock: c, MaxWait: time.Second})
	results := make(chan error, 1)
	w.Put(joinRecord(), func(err error) { results <- err })
	c.Advance(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	if err := <-results; !errors.Is(err, state.ErrNotAppended) {
		t.Errorf("got: %v, want: %v", err, state.ErrNotAppended)
	}
	if got := len(log.entries); got != 0 {
		t.Errorf("got: %d appends, want: 0", got)
	}
}

func TestRecordsQueuedTogetherShareAnAppend(t *testing.T) {
	log := &fakeLog{appended: make(chan []byte, 200)}
	w := journal.NewWriter(log, state.Process{Node: "n", Incarnation: 1}, journal.NewWriterOptions{Clock: clock.NewFake()})
	for range 100 {
		w.Put(joinRecord(), nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	b, err := state.DecodeBatch(<-log.appended)
	if err != nil || len(b.Records) != 100 {
		t.Errorf("got: %d records, %v, want: 100 in one batch", len(b.Records), err)
	}
}

// Here the log no longer has the first two batches, so a reader cannot apply it
// from the start: it must find the snapshot and the records that follow its base,
// including one that was appended before the snapshot's chunks.
func TestReaderStartsAtACompleteSnapshotWhenTheLogIsTrimmed(t *testing.T) {
	log := &fakeLog{}
	s := state.NewState()
	put := func(seq uint64, records ...state.Record) {
		b := &state.Batch{Node: "n", Incarnation: 1, Seq: seq, Records: records}
		data, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		offset, _ := log.Append(context.Background(), data)
		s.Apply(offset, b)
	}
	put(1, joinRecord())
	put(2, state.Record{Publish: &state.Publish{Doc: "d", Body: []byte("one")}})
	chunks, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	put(3, state.Record{Publish: &state.Publish{Doc: "d", Base: 1, Body: []byte("two")}})
	put(4, chunks...)
	put(5, state.Record{Publish: &state.Publish{Doc: "d", Base: 2, Body: []byte("three")}})
	log.first = 2
	results := make(chan journal.ReadResult, 9)
	r := journal.NewReader(log, clock.NewFake(), func() bool { return false }, func(t journal.ReadResult) { results <- t })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	got := <-results
	if got.State == nil || !got.IsCaughtUp {
		t.Fatalf("got: %+v, want: a snapshot and the records after it", got)
	}
	for _, e := range got.Entries {
		b, err := state.DecodeBatch(e.Data)
		if err != nil {
			t.Fatal(err)
		}
		got.State.Apply(e.Offset, b)
	}
	if d := got.State.Docs["d"]; d.Version != 3 || string(d.Body) != "three" {
		t.Errorf("got: version %d %q, want: 3, three", d.Version, d.Body)
	}
}
