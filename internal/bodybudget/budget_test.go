// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package bodybudget_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/leverdyke/leverdyke/internal/bodybudget"
)

// body is a lease whose abort closes aborted.
type body struct {
	*bodybudget.Lease
	aborted chan struct{}
}

// open returns a body that takes n bytes.
func open(t *testing.T, b *bodybudget.Budget, n int64) body {
	t.Helper()
	aborted := make(chan struct{})
	l := body{b.Open(func() { close(aborted) }), aborted}
	if err := l.Resize(t.Context(), n); err != nil {
		t.Fatalf("%d bytes: got: %v, want: nil", n, err)
	}
	return l
}

func (l body) isAborted() bool {
	select {
	case <-l.aborted:
		return true
	default:
		return false
	}
}

func (l body) arrived(t *testing.T) {
	t.Helper()
	if err := l.Arrived(); err != nil {
		t.Fatalf("arrived: got: %v, want: nil", err)
	}
}

// Guards against a body of ordinary size that is refused because large ones use up the memory.
func TestSmallBodiesNeedNothing(t *testing.T) {
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 100, FreeBytes: 10})
	large := open(t, b, 110)
	large.arrived(t)
	for range 50 {
		open(t, b, 10)
	}
	if got, want := b.Used(), int64(100); got != want || large.isAborted() {
		t.Errorf("got: %v bytes, aborted %v, want: %v, false", got, large.isAborted(), want)
	}
}

// Guards against bodies that have arrived, or more bodies than necessary, being aborted, and against
// a limit that is exceeded while aborted bodies still hold their memory.
func TestOldestArrivingBodyMakesRoom(t *testing.T) {
	aborts := 0
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 100, OnAbort: func() { aborts++ }})
	arrived, old, young := open(t, b, 40), open(t, b, 30), open(t, b, 30)
	arrived.arrived(t)
	newest := b.Open(func() {})
	done := make(chan error)
	go func() { done <- newest.Resize(t.Context(), 25) }()
	<-old.aborted
	if got, want := b.Used(), int64(100); got != want {
		t.Errorf("bytes before the release: got: %v, want: %v", got, want)
	}
	old.Release()
	if err := <-done; err != nil {
		t.Errorf("got: %v, want: nil", err)
	}
	if arrived.isAborted() || young.isAborted() || aborts != 1 {
		t.Errorf("aborted: got: %v, %v, %d in all, want: false, false, 1", arrived.isAborted(), young.isAborted(), aborts)
	}
	if got, want := b.Used(), int64(95); got != want {
		t.Errorf("bytes: got: %v, want: %v", got, want)
	}
}

// Guards against a request that waits although nothing will be released, and against bodies that are
// aborted in vain.
func TestFullBudgetRefusesAtOnce(t *testing.T) {
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 100})
	arrived, arriving := open(t, b, 80), open(t, b, 20)
	arrived.arrived(t)
	if err := b.Open(func() {}).Resize(t.Context(), 30); !errors.Is(err, bodybudget.ErrFull) {
		t.Errorf("got: %v, want: %v", err, bodybudget.ErrFull)
	}
	if arriving.isAborted() {
		t.Error("aborted: got: true, want: false")
	}
	arrived.Release()
	if err := b.Open(func() {}).Resize(t.Context(), 30); err != nil {
		t.Errorf("after a release: got: %v, want: nil", err)
	}
}

// Guards against a configuration that allows bodies larger than the budget, none of which would ever
// be accepted.
func TestSingleBodyMayExceedLimit(t *testing.T) {
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 100})
	large := open(t, b, 1000)
	large.arrived(t)
	if err := b.Open(func() {}).Resize(t.Context(), 1); !errors.Is(err, bodybudget.ErrFull) {
		t.Errorf("second body: got: %v, want: %v", err, bodybudget.ErrFull)
	}
}

// Guards against a body that waits for memory past its deadline.
func TestWaitEndsWithContext(t *testing.T) {
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 100})
	slow := open(t, b, 100)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- b.Open(func() {}).Resize(ctx, 50) }()
	<-slow.aborted
	cancel()
	if err := <-done; !errors.Is(err, bodybudget.ErrFull) {
		t.Errorf("got: %v, want: %v", err, bodybudget.ErrFull)
	}
}

// Guards against two bodies that wait for each other: one that waits is aborted itself.
func TestAbortedBodyStopsWaiting(t *testing.T) {
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 100})
	first, second := open(t, b, 50), open(t, b, 50)
	done := make(chan error)
	go func() { done <- second.Resize(t.Context(), 100) }()
	<-first.aborted
	third := make(chan error)
	go func() { third <- b.Open(func() {}).Resize(t.Context(), 90) }()
	<-second.aborted
	if err := <-done; !errors.Is(err, bodybudget.ErrAborted) {
		t.Errorf("got: %v, want: %v", err, bodybudget.ErrAborted)
	}
	second.Release()
	first.Release()
	if err := <-third; err != nil {
		t.Errorf("third: got: %v, want: nil", err)
	}
	if got, want := b.Used(), int64(90); got != want {
		t.Errorf("bytes: got: %v, want: %v", got, want)
	}
}

// Guards against bytes that are lost or added where a buffer grows, and against memory for a length
// that was only announced.
func TestReadAllReturnsBody(t *testing.T) {
	for _, n := range []int{0, 1, 2047, 2048, 2049, 100_000} {
		for _, length := range []int64{-1, int64(n), 1 << 40} {
			b := bodybudget.NewBudget(bodybudget.Options{Limit: 1 << 20})
			l, want := b.Open(func() {}), strings.Repeat("x", n)
			got, err := bodybudget.ReadAll(t.Context(), iotest.HalfReader(strings.NewReader(want)), length, l)
			if err != nil || string(got) != want {
				t.Errorf("%d bytes, length %d: got: %d bytes, %v, want: %d, nil", n, length, len(got), err, n)
			}
			if got, bound := b.Used(), int64(2*n+1); got > bound {
				t.Errorf("%d bytes, length %d: bytes in use: got: %d, want: at most %d", n, length, got, bound)
			}
			l.Release()
			if got := b.Used(); got != 0 {
				t.Errorf("%d bytes, length %d: bytes after the release: got: %d, want: 0", n, length, got)
			}
		}
	}
}

// Guards against an aborted body that is reported as one that the sender broke off.
func TestReadAllReportsAbort(t *testing.T) {
	b := bodybudget.NewBudget(bodybudget.Options{Limit: 10_000})
	sent, source := io.Pipe()
	defer func() { _ = source.Close() }()
	slow := b.Open(func() { _ = sent.CloseWithError(io.ErrClosedPipe) })
	done := make(chan error)
	go func() {
		_, err := bodybudget.ReadAll(t.Context(), sent, -1, slow)
		slow.Release()
		done <- err
	}()
	if _, err := source.Write(make([]byte, 3000)); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	if err := b.Open(func() {}).Resize(t.Context(), 9000); err != nil {
		t.Errorf("got: %v, want: nil", err)
	}
	if err := <-done; !errors.Is(err, bodybudget.ErrAborted) {
		t.Errorf("got: %v, want: %v", err, bodybudget.ErrAborted)
	}
}
