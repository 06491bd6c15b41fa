// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/metrics"
	"github.com/leverdyke/leverdyke/internal/served"
)

// A scrape must tell how many jobs of each size of a queue were served, and how long the oldest waits.
func TestScrapeHasServedJobs(t *testing.T) {
	jobs, err := metrics.NewJobs()
	if err != nil {
		t.Fatal(err)
	}
	counts := []served.Count{
		{Queue: "a", Class: served.Largest, Accepted: 3, InTime: 1, Open: 2, Oldest: 90 * time.Second},
		{Queue: "a", Class: served.Rest, Accepted: 8, InTime: 7, TooLate: 1},
	}
	if err := jobs.ObserveServed(func() []served.Count { return counts }); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	jobs.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`leverdyke_job_served{outcome="in time",queue="a",size="largest"} 1`,
		`leverdyke_job_served{outcome="open",queue="a",size="largest"} 2`,
		`leverdyke_job_served{outcome="too late",queue="a",size="rest"} 1`,
		`leverdyke_job_oldest_open_seconds{queue="a",size="largest"} 90`,
	} {
		if got := w.Body.String(); !strings.Contains(got, want+"\n") {
			t.Errorf("got: %s, want: a line %s", got, want)
		}
	}
}
