// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/caller"
	"github.com/leverdyke/leverdyke/internal/draining"
)

// newDrainingServer is newCallerServer with a server that can be shut down.
func newDrainingServer(t *testing.T, isOnce bool, workers ...string) (*draining.Server, string) {
	t.Helper()
	s := caller.NewServer(newCallerHandler(t, isOnce, newFakeKeys(1)[0], workers...))
	d := draining.NewServer(s, draining.NewServerOptions{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(d.Listen(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return d, "http://" + l.Addr().String()
}

// Guards against a stop that cuts an answer whose first part has been sent before the stop's time has passed.
func TestAnswerInProgressIsNotCutBeforeTheEndOfAStop(t *testing.T) {
	w := newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	d, url := newDrainingServer(t, false, w)
	res, err := http.Get(url + "/s/s/")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	finish, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Shutdown(finish) }()
	got, err := io.ReadAll(res.Body)
	deadline, _ := finish.Deadline()
	if left := time.Until(deadline); finish.Err() == nil && left > 100*time.Millisecond {
		t.Errorf("cut after %q with %v, %v before the end of the stop, want: not before it", got, err, left.Round(time.Millisecond))
	}
	<-done
}

// Guards against a request with a key that gets no answer at a stop: its context is detached from that which the stop
// ends.
func TestRequestWithAKeyIsAnsweredBeforeTheEndOfAStop(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	w := newWorker(t, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	t.Cleanup(func() { close(release) })
	d, url := newDrainingServer(t, true, w)
	got := make(chan result, 1)
	key := newKey(t)
	go func() { got <- call(t, url+"/s/s/", http.MethodPost, "x", caller.KeyHeader, key) }()
	<-begun
	finish, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := d.Shutdown(finish)
	if r := <-got; r.err != nil || r.verdict != leverdyke.VerdictMayHaveRun {
		t.Errorf("got: %+v, want: %v (shutdown: %v)", r, leverdyke.VerdictMayHaveRun, err)
	}
}

// Guards against "not run" for a request whose first attempt may have run, when its retry waits for a slot until the
// stop ends its context.
func TestRequestThatMayHaveRunIsNotAnsweredAsNotRun(t *testing.T) {
	ran := make(chan struct{}, 1)
	w := newWorker(t, func(http.ResponseWriter, *http.Request) {
		ran <- struct{}{}
		panic(http.ErrAbortHandler)
	})
	d, url := newDrainingServer(t, false, w)
	got := make(chan result, 1)
	go func() { got <- call(t, url+"/s/s/", http.MethodPost, "x", caller.TimeoutHeader, "1h") }()
	<-ran
	finish, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	err := d.Shutdown(finish)
	if r := <-got; r.err != nil || r.verdict != leverdyke.VerdictMayHaveRun {
		t.Errorf("got: %v %v %q %v, want: %v (shutdown: %v)", r.status, r.verdict, r.body, r.err, leverdyke.VerdictMayHaveRun, err)
	}
}

// The same without a stop: the caller's own timeout ends the wait of the retry.
func TestRequestThatMayHaveRunIsNotAnsweredAsNotRunAtItsTimeout(t *testing.T) {
	w := newWorker(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s := newCallerServer(t, false, newFakeKeys(1)[0], w)
	if r := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.TimeoutHeader, "300ms"); r.err != nil || r.verdict != leverdyke.VerdictMayHaveRun {
		t.Errorf("got: %v %v %q %v, want: %v", r.status, r.verdict, r.body, r.err, leverdyke.VerdictMayHaveRun)
	}
}
