// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package report_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/report"
	"github.com/leverdyke/leverdyke/internal/served"
)

const testLog = `  4.0723 edge-1 I0526 02:58:46.0 1 keep.go:231] "job accepted" event="LD0422" job="a" queue="q" steps=2 batch=1 took="12ms"
I1202 17:12:04.9 2 place.go:87] "tasks of a step placed" event="LD0450" step="a.0.0" queue="q" placed=3 waiting=1 waited="30ms"
I1202 17:12:04.9 2 place.go:87] "tasks of a step placed" event="LD0450" step="a.0.0" queue="q" placed=1 waiting=0 waited="500ms"
I1202 17:12:04.9 2 worker.go:252] "order to start was not answered" event="LD0451" task="a.0.0.1" run=1 worker="i \"1\"" age="70ms"
I1202 17:12:04.9 2 listing.go:281] "attempt ended without success" event="LD0453" task="a.0.0.2" run=1 worker="w" how="failed" failures=1
I1202 17:12:04.9 2 listing.go:281] "attempt ended without success" event="LD0453" task="a.0.0.2" run=1 worker="w" how="stopped"
I1202 17:12:04.9 2 place.go:87] "tasks of a step placed" event="LD0450" step="a.0.1" queue="q" placed=1 waiting=0 waited="20ms"
I1202 17:12:04.9 2 job.go:346] "job is over" event="LD0456" job="a" state="succeeded" why="all = ended" took="1.05s" attempts=0
I1202 17:12:04.9 2 keep.go:231] "job accepted" event="LD0422" job="b" queue="q" steps=1 batch=1 took="11ms"
not a line of a node, event="LD
`

// The log has two placements of one step, of which only the first counts, an attempt that
// failed and one that was stopped, quoted values with an equals sign and with quotes, a job
// without an end, and a line that is cut off.
func TestReportSplitsJobTimeByStage(t *testing.T) {
	r := &report.Report{}
	if err := r.Read(strings.NewReader(testLog)); err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	if err := r.Write(out, 5); err != nil {
		t.Fatal(err)
	}
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"2 jobs, 1 of them from their acceptance to their end",
		"q accept 1 12ms 12ms 12ms 12ms",
		"q wait for a place 1 50ms",
		"q run and notice 1 1s",
		"a q 1.05s 12ms 50ms 1, 1, 0 succeeded",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got: %s, want: %q in it", out, want)
		}
	}
}

// The report must tell which sizes of the jobs of a queue are served. Jobs whose size is unknown are
// left out.
func TestReportCountsJobsBySize(t *testing.T) {
	log := &strings.Builder{}
	accept := func(id string, work time.Duration) {
		fmt.Fprintf(log, "x \"job accepted\" event=\"LD0422\" job=%q queue=\"q\" steps=1 work=%q batch=1 took=\"1ms\"\n", id, work)
	}
	end := func(id, state, took string) {
		fmt.Fprintf(log, "x \"job is over\" event=\"LD0456\" job=%q queue=\"q\" work=\"1s\" state=%q why=\"w\" took=%q objective=\"2s\" attempts=0\n", id, state, took)
	}
	for i := range 10 {
		accept(fmt.Sprint("j", i), time.Duration(i+1)*time.Second)
	}
	accept("unknown", 0)
	end("j0", "succeeded", "2s")
	end("j1", "succeeded", "6s")
	end("j2", "succeeded", "6.1s")
	end("j3", "failed", "1s")
	end("j4", "cancelled", "1s")
	end("j8", "succeeded", "1s")
	r := &report.Report{}
	if err := r.Read(strings.NewReader(log.String())); err != nil {
		t.Fatal(err)
	}
	want := []served.Count{
		{Queue: "q", Class: served.Largest, Accepted: 1, Open: 1},
		{Queue: "q", Class: served.Large, Accepted: 2, InTime: 1, Open: 1},
		{Queue: "q", Class: served.Rest, Accepted: 7, InTime: 1, Late: 1, TooLate: 1, Failed: 1, Cancelled: 1, Open: 2},
	}
	if got := r.Served(); !slices.Equal(got, want) {
		t.Errorf("got: %+v, want: %+v", got, want)
	}
	out := &strings.Builder{}
	if err := r.Write(out, 0); err != nil || !strings.Contains(strings.Join(strings.Fields(out.String()), " "), "q large 2 1 0 0 0 0 1") {
		t.Errorf("got: %s, %v, want: the counts in it", out, err)
	}
}

func TestReportOfEmptyLog(t *testing.T) {
	out := &strings.Builder{}
	r := &report.Report{}
	if err := r.Read(strings.NewReader("")); err != nil {
		t.Fatal(err)
	}
	if err := r.Write(out, 5); err != nil || !strings.HasPrefix(out.String(), "0 lines, 0 jobs") {
		t.Errorf("got: %q, %v, want: a report of nothing", out, err)
	}
}

// FuzzRead checks that no input makes Read panic.
func FuzzRead(f *testing.F) {
	f.Add(testLog)
	f.Add(`x event="LD0422" job="`)
	f.Fuzz(func(_ *testing.T, log string) {
		r := &report.Report{}
		_ = r.Read(strings.NewReader(log))
	})
}
