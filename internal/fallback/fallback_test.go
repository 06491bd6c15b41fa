// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package fallback_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// fixedResponder gives each request the same result and counts the requests.
type fixedResponder struct {
	status int
	err    error
	calls  int
}

func (w *fixedResponder) Do(context.Context, *fallback.Request) (*fallback.Response, error) {
	w.calls++
	if w.err != nil {
		return nil, w.err
	}
	return &fallback.Response{Status: w.status}, nil
}

// singlePeer has one peer, linked or not.
type singlePeer struct {
	responder  fixedResponder
	isLinked   bool
	isMajority bool
}

func (p *singlePeer) Sample(int) []string {
	if p.isLinked {
		return []string{"peer"}
	}
	return nil
}

func (p *singlePeer) Via(ctx context.Context, _ string, r *fallback.Request) (*fallback.Response, error) {
	return p.responder.Do(ctx, r)
}

func (p *singlePeer) IsMajority(time.Time, int) bool { return p.isMajority }

var errReset = errors.New("reset")

func TestDoReturnsTheBestResultOfAllPaths(t *testing.T) {
	unsent := &fallback.UnsentError{Err: errReset}
	for name, tc := range map[string]struct {
		direct, peer fixedResponder
		status       int
		isUncertain  bool
	}{
		"direct":                       {fixedResponder{status: 200}, fixedResponder{status: 200}, 200, false},
		"a conflict is an answer":      {fixedResponder{status: 409}, fixedResponder{status: 200}, 409, false},
		"busy, the peer is served":     {fixedResponder{status: 503}, fixedResponder{status: 200}, 200, false},
		"too many, the peer is served": {fixedResponder{status: 429}, fixedResponder{status: 200}, 200, false},
		"reset, the peer is served":    {fixedResponder{err: errReset}, fixedResponder{status: 200}, 200, false},
		"busy for both":                {fixedResponder{status: 503}, fixedResponder{status: 503}, 503, false},
		"reset here, busy there":       {fixedResponder{err: errReset}, fixedResponder{status: 503}, 0, true},
		"full for both":                {fixedResponder{status: 507}, fixedResponder{status: 507}, 507, false},
		"reset here, full there":       {fixedResponder{err: errReset}, fixedResponder{status: 507}, 0, true},
		"busy here, reset there":       {fixedResponder{status: 503}, fixedResponder{err: errReset}, 0, true},
		"never sent here, busy there":  {fixedResponder{err: unsent}, fixedResponder{status: 503}, 503, false},
		"never sent by either":         {fixedResponder{err: unsent}, fixedResponder{err: unsent}, 0, false},
	} {
		peers := &singlePeer{responder: tc.peer, isLinked: true}
		r, err := fallback.New(&tc.direct, peers, clock.NewFake()).Do(t.Context(), &fallback.Request{Method: http.MethodPost})
		if tc.status != 0 {
			if err != nil || r.Status != tc.status {
				t.Errorf("%s: got: %v, %v, want: %d", name, r, err, tc.status)
			}
			continue
		}
		e := &fallback.UnsentError{}
		if isUncertain := err != nil && !errors.As(err, &e); err == nil || isUncertain != tc.isUncertain {
			t.Errorf("%s: got: %v, want: an error, uncertain: %v", name, err, tc.isUncertain)
		}
	}
}

func TestFailedDirectPathIsNotUsedDuringBackoff(t *testing.T) {
	c := clock.NewFake()
	direct := &fixedResponder{status: 503}
	d := fallback.New(direct, &singlePeer{responder: fixedResponder{status: 200}, isLinked: true}, c)
	for range 5 {
		if _, err := d.Do(t.Context(), &fallback.Request{}); err != nil {
			t.Fatal(err)
		}
	}
	if direct.calls != 1 {
		t.Errorf("direct calls: got: %d, want: 1", direct.calls)
	}
	c.Advance(time.Second)
	if _, err := d.Do(t.Context(), &fallback.Request{}); err != nil {
		t.Fatal(err)
	}
	if direct.calls != 2 {
		t.Errorf("direct calls after a second: got: %d, want: 2", direct.calls)
	}
}

// The owner rejected requests between the end of an outage and its next heartbeat. The outage must
// count until that heartbeat.
func TestOutageLastsThroughRecoveryWindow(t *testing.T) {
	c := clock.NewFake()
	direct := &fixedResponder{status: 503}
	peers := &singlePeer{responder: fixedResponder{status: 503}, isLinked: true, isMajority: true}
	d := fallback.New(direct, peers, c)
	sendRequest := func() { _, _ = d.Do(t.Context(), &fallback.Request{}) }
	if d.HasOutage(time.Time{}, 0) {
		t.Error("before any request: got: an outage, want: none")
	}
	sendRequest()
	if !d.HasOutage(time.Time{}, 0) {
		t.Error("all paths fail: got: no outage, want: one")
	}
	c.Advance(time.Second)
	direct.status, peers.responder.status = 200, 200
	sendRequest()
	if !d.HasOutage(time.Time{}, 0) {
		t.Error("just served again: got: no outage, want: one")
	}
	c.Advance(2 * time.Second)
	sendRequest()
	if d.HasOutage(time.Time{}, 0) {
		t.Error("served for long: got: an outage, want: none")
	}
}

func TestMinorityNodeReportsNoOutage(t *testing.T) {
	peers := &singlePeer{responder: fixedResponder{status: 503}, isLinked: true}
	d := fallback.New(&fixedResponder{status: 503}, peers, clock.NewFake())
	if _, err := d.Do(t.Context(), &fallback.Request{}); err != nil {
		t.Fatal(err)
	}
	if d.HasOutage(time.Time{}, 0) {
		t.Error("got: an outage, want: none, as this node may be cut off")
	}
}

// silentResponder does not answer before the context ends, except from call number answersFrom on;
// 0 means never.
type silentResponder struct {
	mu          sync.Mutex
	answersFrom int
	calls       int
	received    chan struct{}
}

func newSilentResponder(answersFrom int) *silentResponder {
	return &silentResponder{answersFrom: answersFrom, received: make(chan struct{}, 64)}
}

func (w *silentResponder) Do(ctx context.Context, _ *fallback.Request) (*fallback.Response, error) {
	w.mu.Lock()
	w.calls++
	isServed := w.answersFrom > 0 && w.calls >= w.answersFrom
	w.mu.Unlock()
	w.received <- struct{}{}
	if isServed {
		return &fallback.Response{Status: 200}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (w *silentResponder) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// longWait makes requests that would take an hour if no other path were tried in parallel to the
// silent one.
const longWait = time.Hour

// doInBackground sends a request and returns a channel that receives its error.
func doInBackground(t *testing.T, d *fallback.Client) chan error {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := d.Do(context.WithoutCancel(t.Context()), &fallback.Request{Method: http.MethodPost, Wait: longWait})
		done <- err
	}()
	return done
}

// passHedgeDelay waits until the direct path has received a request and the given number of timers
// was set, then advances the clock past the hedge delay once.
func passHedgeDelay(t *testing.T, c *countingClock, direct *silentResponder, timers int64) {
	t.Helper()
	<-direct.received
	await.True(t, "the request waits for its timer", func() bool { return c.timers.Load() == timers })
	c.Advance(2 * longWait)
}

// When the store left the owner's requests without an answer, the owner waited 0.7 s on the direct
// path at each request, and rejected its callers meanwhile. A direct path that a peer overtakes
// repeatedly must back off.
func TestOvertakenDirectPathBacksOff(t *testing.T) {
	c := &countingClock{Fake: clock.NewFake()}
	direct, peers := newSilentResponder(0), &singlePeer{responder: fixedResponder{status: 200}, isLinked: true}
	d := fallback.New(direct, peers, c)
	// Each request sets a timer at its start and another when the first has expired.
	for _, timers := range []int64{1, 3} {
		done := doInBackground(t, d)
		passHedgeDelay(t, c, direct, timers)
		if err := <-done; err != nil {
			t.Errorf("got: %v, want: served by the peer", err)
		}
	}
	for range 5 {
		if _, err := d.Do(t.Context(), &fallback.Request{}); err != nil {
			t.Error(err)
		}
	}
	if got := direct.callCount(); got != 2 {
		t.Errorf("direct calls: got: %d, want: 2, as peers overtook it twice", got)
	}
}

// When a response is lost, the service sends nothing more for that request. It must be sent again
// on the same path.
func TestLostResponseIsRequestedAgain(t *testing.T) {
	c := &countingClock{Fake: clock.NewFake()}
	direct := newSilentResponder(3)
	d := fallback.New(direct, &singlePeer{}, c)
	done := doInBackground(t, d)
	passHedgeDelay(t, c, direct, 1)
	passHedgeDelay(t, c, direct, 2)
	if err := <-done; err != nil {
		t.Errorf("got: %v, want: served", err)
	}
	if got := direct.callCount(); got != 3 {
		t.Errorf("direct calls: got: %d, want: 3", got)
	}
}

// steppedResponder transfers a byte of its response for each value on step, until complete is
// closed.
type steppedResponder struct {
	calls                 atomic.Int64
	step, moved, complete chan struct{}
}

func (w *steppedResponder) Do(ctx context.Context, _ *fallback.Request) (*fallback.Response, error) {
	w.calls.Add(1)
	for {
		select {
		case <-w.complete:
			return &fallback.Response{Status: 200}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.step:
			progress.Report(ctx, 1)
			w.moved <- struct{}{}
		}
	}
}

// countingClock counts the timers that were set.
type countingClock struct {
	*clock.Fake
	timers atomic.Int64
}

func (c *countingClock) After(d time.Duration) <-chan time.Time {
	defer c.timers.Add(1)
	return c.Fake.After(d)
}

// A page of 1 MB on its way over a link of 10 Mbit/s was requested again and again through peers,
// over the same link. While bytes move, no other path may be tried.
func TestResponseInTransferIsNotRequestedAgain(t *testing.T) {
	c := &countingClock{Fake: clock.NewFake()}
	direct := &steppedResponder{step: make(chan struct{}), moved: make(chan struct{}), complete: make(chan struct{})}
	peers := &singlePeer{responder: fixedResponder{status: 200}, isLinked: true}
	done := doInBackground(t, fallback.New(direct, peers, c))
	for i := range 20 {
		await.True(t, "the request waits for its timer", func() bool { return c.timers.Load() == int64(i+1) })
		select {
		case direct.step <- struct{}{}:
			<-direct.moved
		case err := <-done:
			t.Fatalf("got: %v from another path, want: to wait for the direct one", err)
		}
		c.Advance(2 * longWait)
	}
	close(direct.complete)
	if err := <-done; err != nil {
		t.Errorf("got: %v, want: an answer", err)
	}
	if got := direct.calls.Load(); got != 1 || peers.responder.calls != 0 {
		t.Errorf("calls: got: %d and %d by the peer, want: 1 and none", got, peers.responder.calls)
	}
}

// recordingClock records the durations of its timers.
type recordingClock struct {
	*clock.Fake
	timers chan time.Duration
}

func (c *recordingClock) After(d time.Duration) <-chan time.Time {
	c.timers <- d
	return c.Fake.After(d)
}

// A service that had become slow got each request on seven paths at once after 0.4 s, and became
// slower still: a new owner had no list of workers for 2.8 s, although reading the list took 1.8 s.
// The hedge delay must grow with the latency, and recover with it.
func TestHedgeDelayGrowsWithLatency(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name      string
		latencies []time.Duration
		minDelay  time.Duration
	}{
		{"nothing is known", nil, 40 * ms},
		{"a usual service", []time.Duration{5 * ms, 5 * ms, 5 * ms}, 40 * ms},
		{"one that has just turned slow", []time.Duration{5 * ms, 5 * ms, 364 * ms}, 900 * ms},
		{"one that was slow a while ago", []time.Duration{364 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms, 5 * ms}, 40 * ms},
	} {
		clk := &recordingClock{Fake: clock.NewFake(), timers: make(chan time.Duration, 8)}
		d := fallback.New(&fixedResponder{status: 200}, &singlePeer{}, clk)
		for _, latency := range tc.latencies {
			d.ObserveLatency(latency)
		}
		if _, err := d.Do(t.Context(), &fallback.Request{Method: http.MethodGet}); err != nil {
			t.Fatal(err)
		}
		if got := <-clk.timers; got < tc.minDelay || tc.minDelay < 900*ms && got > 90*ms {
			t.Errorf("%s: the next path is tried after: got: %v, want: %v", tc.name, got, tc.minDelay)
		}
	}
}
