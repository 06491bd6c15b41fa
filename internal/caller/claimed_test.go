// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package caller_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/caller"
)

// Guards against an answer that is lost, or a second run, when the first caller's time is over before the worker is done.
func TestAnswerAfterTheCallersTimeoutIsKeptForARetry(t *testing.T) {
	release, runs := make(chan struct{}), atomic.Int64{}
	w := newWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	s := newCallerServer(t, true, newFakeKeys(1)[0], w)
	key := newKey(t)
	if r := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.KeyHeader, key, caller.TimeoutHeader, "1s"); r.err != nil || r.verdict != leverdyke.VerdictMayHaveRun {
		t.Errorf("caller whose time is over: got: %v %v %q %v, want: %v", r.status, r.verdict, r.body, r.err, leverdyke.VerdictMayHaveRun)
	}
	close(release)
	r := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.KeyHeader, key)
	if r.err != nil || r.verdict != leverdyke.VerdictRan || r.body != "done" || runs.Load() != 1 {
		t.Errorf("retry: got: %v %v %q %v after %d runs, want: %v, the answer of the only run", r.status, r.verdict, r.body, r.err, runs.Load(), leverdyke.VerdictRan)
	}
}
