// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cli_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/inspect"
	"github.com/leverdyke/leverdyke/internal/served"
)

type ownerReport struct{ report inspect.Report }

func (o *ownerReport) Inspect(context.Context) (*inspect.Report, error) { return &o.report, nil }

// An operator sees which sizes of the jobs of a queue are not served, and for how long the oldest wait.
func TestSchedulerShowsWhatWasServed(t *testing.T) {
	owner := &ownerReport{inspect.Report{Served: []served.Count{
		{Queue: "q", Class: served.Largest, Accepted: 9, InTime: 1, Late: 2, Open: 6, Oldest: 90 * time.Second},
		{Queue: "q", Class: served.Rest, Accepted: 7, InTime: 4, TooLate: 1, Failed: 1, Cancelled: 1},
	}}}
	server := httptest.NewServer(inspect.Handler{Source: owner})
	defer server.Close()
	out, code := execute("scheduler", "served", "--nodes", strings.TrimPrefix(server.URL, "http://"))
	text := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{"q largest 9 1 2 0 0 0 6 1m30s", "q rest 7 4 0 1 1 1 0 0s"} {
		if code != 0 || !strings.Contains(text, want) {
			t.Errorf("got: %d %s, want: %q in it", code, out, want)
		}
	}
}
