// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package detour_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/detour"
)

// way answers each request alike and counts them.
type way struct {
	status int
	err    error
	calls  int
}

func (w *way) Do(context.Context, *detour.Request) (*detour.Response, error) {
	w.calls++
	if w.err != nil {
		return nil, w.err
	}
	return &detour.Response{Status: w.status}, nil
}

// onePeer is one peer that is linked, or none.
type onePeer struct {
	way        way
	isLinked   bool
	isMajority bool
}

func (p *onePeer) Sample(int) []string {
	if p.isLinked {
		return []string{"peer"}
	}
	return nil
}

func (p *onePeer) Via(ctx context.Context, _ string, r *detour.Request) (*detour.Response, error) {
	return p.way.Do(ctx, r)
}

func (p *onePeer) IsMajority() bool { return p.isMajority }

var errReset = errors.New("reset")

func TestDo(t *testing.T) {
	unsent := &detour.UnsentError{Err: errReset}
	for name, tc := range map[string]struct {
		direct, peer way
		status       int
		isOpen       bool
	}{
		"direct":                       {way{status: 200}, way{status: 200}, 200, false},
		"a conflict is an answer":      {way{status: 409}, way{status: 200}, 409, false},
		"busy, the peer is served":     {way{status: 503}, way{status: 200}, 200, false},
		"too many, the peer is served": {way{status: 429}, way{status: 200}, 200, false},
		"reset, the peer is served":    {way{err: errReset}, way{status: 200}, 200, false},
		"busy for both":                {way{status: 503}, way{status: 503}, 503, false},
		"reset here, busy there":       {way{err: errReset}, way{status: 503}, 0, true},
		"busy here, reset there":       {way{status: 503}, way{err: errReset}, 0, true},
		"never sent here, busy there":  {way{err: unsent}, way{status: 503}, 503, false},
		"never sent by either":         {way{err: unsent}, way{err: unsent}, 0, false},
	} {
		peers := &onePeer{way: tc.peer, isLinked: true}
		r, err := detour.New(&tc.direct, peers, clock.NewFake()).Do(t.Context(), &detour.Request{Method: http.MethodPost})
		if tc.status != 0 {
			if err != nil || r.Status != tc.status {
				t.Errorf("%s: got: %v, %v, want: %d", name, r, err, tc.status)
			}
			continue
		}
		e := &detour.UnsentError{}
		if isOpen := err != nil && !errors.As(err, &e); err == nil || isOpen != tc.isOpen {
			t.Errorf("%s: got: %v, want: an error, open: %v", name, err, tc.isOpen)
		}
	}
}

func TestTheDirectWayIsLeftAloneForAWhile(t *testing.T) {
	c := clock.NewFake()
	direct := &way{status: 503}
	d := detour.New(direct, &onePeer{way: way{status: 200}, isLinked: true}, c)
	for range 5 {
		if _, err := d.Do(t.Context(), &detour.Request{}); err != nil {
			t.Fatal(err)
		}
	}
	if direct.calls != 1 {
		t.Errorf("direct calls: got: %d, want: 1", direct.calls)
	}
	c.Advance(time.Second)
	if _, err := d.Do(t.Context(), &detour.Request{}); err != nil {
		t.Fatal(err)
	}
	if direct.calls != 2 {
		t.Errorf("direct calls after a second: got: %d, want: 2", direct.calls)
	}
}

// The owner refused requests between the end of an outage and its next beat.
func TestAnOutageCountsAMomentLonger(t *testing.T) {
	c := clock.NewFake()
	direct := &way{status: 503}
	peers := &onePeer{way: way{status: 503}, isLinked: true, isMajority: true}
	d := detour.New(direct, peers, c)
	ask := func() { _, _ = d.Do(t.Context(), &detour.Request{}) }
	if d.HasOutage() {
		t.Error("before any request: got: an outage, want: none")
	}
	ask()
	if !d.HasOutage() {
		t.Error("all ways fail: got: no outage, want: one")
	}
	c.Advance(time.Second)
	direct.status, peers.way.status = 200, 200
	ask()
	if !d.HasOutage() {
		t.Error("just served again: got: no outage, want: one")
	}
	c.Advance(2 * time.Second)
	ask()
	if d.HasOutage() {
		t.Error("served for long: got: an outage, want: none")
	}
}

func TestANodeThatReachesFewPeersHasNoOutage(t *testing.T) {
	peers := &onePeer{way: way{status: 503}, isLinked: true}
	d := detour.New(&way{status: 503}, peers, clock.NewFake())
	if _, err := d.Do(t.Context(), &detour.Request{}); err != nil {
		t.Fatal(err)
	}
	if d.HasOutage() {
		t.Error("got: an outage, want: none, as this node may be cut off")
	}
}
