// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package inspect_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/inspect"
	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/waits"
)

type source func() (*inspect.Report, error)

func (s source) Inspect(context.Context) (*inspect.Report, error) { return s() }

func serve(t *testing.T, s source) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(inspect.Handler{Source: s})
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// An operator asks any nodes and gets the report of the owner, whichever of them it is.
func TestReportComesFromTheOwner(t *testing.T) {
	want := &inspect.Report{
		Node: "n1", Epoch: 3, At: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		Waiting:  []waits.Waiting{{Queue: "q", Reason: waits.Capacity, Steps: 2, Tasks: 9, Longest: time.Second}},
		Served:   []served.Count{{Queue: "q", Class: served.Largest, Accepted: 3, InTime: 1, Open: 2, Oldest: time.Minute}},
		Refusals: []inspect.Refusal{{Job: "a", Queue: "q", Reason: "no capacity in time"}},
		Workers:  []inspect.Worker{{ID: "w", Class: "slow", Ratio: 1.25, Observations: 12}},
	}
	follower := serve(t, func() (*inspect.Report, error) { return nil, &inspect.NotOwnerError{Owner: "n1"} })
	failing := serve(t, func() (*inspect.Report, error) { return nil, errors.New("too busy") })
	owner := serve(t, func() (*inspect.Report, error) { return want, nil })
	got, err := inspect.Fetch(t.Context(), http.DefaultClient, []netip.AddrPort{follower, failing, owner})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got: %+v, %v, want: %+v", got, err, want)
	}
}

// Without the owner among the nodes, the operator is told which node to ask.
func TestErrorNamesTheOwner(t *testing.T) {
	follower := serve(t, func() (*inspect.Report, error) { return nil, &inspect.NotOwnerError{Owner: "n1"} })
	_, err := inspect.Fetch(t.Context(), http.DefaultClient, []netip.AddrPort{follower})
	if err == nil || !strings.Contains(err.Error(), "ask n1") {
		t.Errorf("got: %v, want: an error that names n1", err)
	}
}

// A burst of refusals must not fill the owner's memory.
func TestRefusalsAreBounded(t *testing.T) {
	r, now := inspect.Refusals{}, clock.NewFake().Now()
	for i := range 10_000 {
		r.Add(inspect.Refusal{At: now.Add(time.Duration(i) * time.Millisecond)})
	}
	latest := r.Latest()
	if len(latest) > 1000 {
		t.Errorf("kept: got: %d, want: at most 1000", len(latest))
	}
	if got, want := latest[len(latest)-1].At, now.Add(9999*time.Millisecond); !got.Equal(want) {
		t.Errorf("the latest: got: %v, want: %v", got, want)
	}
}
