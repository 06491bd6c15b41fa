// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package shortfall_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/served"
	"github.com/leverdyke/leverdyke/internal/shortfall"
)

const testSite = `name = "harbour"
goal = { floor = 0.9 }
zones = [
  { name = "z", region = "r" },
]
[goal]
mean = 0.4

[[day]]
name = "calm"
goal = { floor = 0.5 }
floor_classes = [0.4]
plan = [
  { at = 1.0, kind = "x", name = "y" },
]
[[day]]
name = "rough"
`

func TestFloorsOfSite(t *testing.T) {
	got, err := shortfall.ReadFloors(strings.NewReader(testSite))
	want := map[string]shortfall.Floors{"calm": {Day: 0.5, Kind: 0.4}, "rough": {}}
	if err != nil || len(got) != 2 || got["calm"] != want["calm"] || got["rough"] != want["rough"] {
		t.Errorf("got: %v, %v, want: %v", got, err, want)
	}
	if _, err := shortfall.ReadFloors(strings.NewReader("[[day]]\nname = \"a\"\ngoal = { floor = 0.5.5 }\n")); err == nil {
		t.Error("a floor that is no number: got: no error, want: one")
	}
}

func TestReportThatCannotBeUsed(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "{}", `{"classes": "none"}`, `{"classes": [{"n": "many"}]}`} {
		if _, err := shortfall.ParsePlay([]byte(text)); err == nil {
			t.Errorf("%q: got: no error, want: one", text)
		}
	}
}

// What the bench says to be wrong is passed on, whatever its form.
func TestComplaintsOfTheBench(t *testing.T) {
	for text, want := range map[string]int{
		`"short": [], "missed": [], "breaks": {}`: 0,
		`"short": null`: 0,
		`"short": [["a", 0.1]], "missed": ["x"], "breaks": {"LIMIT": 2}`:    3,
		`"short": "much", "missed": {"k": 1}, "breaks": ["LIMIT", "ORDER"]`: 3,
	} {
		p, err := shortfall.ParsePlay([]byte(`{"classes": [{"name": "a", "n": 1}], ` + text + `}`))
		if err != nil {
			t.Fatal(err)
		}
		if got := p.Complaints(); len(got) != want {
			t.Errorf("%s: got: %v, want: %d", text, got, want)
		}
	}
}

// playLog is a log of our own making.
type playLog struct{ strings.Builder }

func (l *playLog) line(at float64, event, format string, args ...any) {
	fmt.Fprintf(l, "  %.4f node-1 I0606 08:14:27.2 1 x.go:1] \"text\" event=%q "+format+"\n", append([]any{at, event}, args...)...)
}

func (l *playLog) accept(at float64, job, queue string, work time.Duration) {
	l.line(at, "LD0422", "job=%q queue=%q steps=1 work=%q batch=1 took=\"1ms\"", job, queue, work)
}

func (l *playLog) end(at float64, job, state string, took time.Duration) {
	l.line(at, "LD0456", "job=%q queue=\"q\" work=\"1s\" state=%q why=\"w\" took=%q objective=\"2s\" attempts=0", job, state, took)
}

// newLog has a queue of ten jobs of 1 to 10 s of work, of which the largest and two others have no end, one
// ended too late, one failed and one was cancelled, and a job from before the traffic.
func newLog() *playLog {
	l := &playLog{}
	l.WriteString("built in 1 s\n")
	l.accept(-2, "before", "q", time.Hour)
	for i := range 10 {
		l.accept(float64(i), fmt.Sprint("j", i), "q", time.Duration(i+1)*time.Second)
	}
	// A second owner accepts it again.
	l.accept(40, "j9", "q", 10*time.Second)
	l.end(10, "j0", "succeeded", 2*time.Second)
	l.end(10, "j1", "succeeded", 5*time.Second)
	l.end(10, "j2", "succeeded", 7*time.Second)
	l.end(10, "j3", "failed", time.Second)
	l.end(10, "j4", "cancelled", time.Second)
	l.end(10, "j5", "succeeded", time.Second)
	l.end(10, "j7", "succeeded", time.Second)
	l.WriteString("not a line of a node event=\"LD0456\" job=\"j9\" state=\"succeeded\"\n")
	return l
}

func sizesOf(t *testing.T, l *playLog, kinds []shortfall.Kind) []shortfall.Size {
	t.Helper()
	log, err := shortfall.ReadLog(strings.NewReader(l.String()))
	if err != nil {
		t.Fatal(err)
	}
	return log.Sizes(kinds)
}

// Without the kind of a queue, the open jobs are owed that are older than three times the objective.
func TestSizesFromLogs(t *testing.T) {
	l := newLog()
	l.line(14, "LD0450", "step=\"x.0.0\"")
	want := []shortfall.Size{
		{Kind: "q", Class: served.Largest, Jobs: 1, Owed: 1},
		{Kind: "q", Class: served.Large, Jobs: 2, Owed: 2, Served: 1},
		{Kind: "q", Class: served.Rest, Jobs: 7, Owed: 5, Served: 3},
	}
	if got := sizesOf(t, l, nil); !slices.Equal(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
}

// With the kind of a queue, as many open jobs are owed as were not served of the kind, the oldest ones.
func TestSizesFromLogsFollowTheReport(t *testing.T) {
	want := []shortfall.Size{
		{Kind: "k", Class: served.Largest, Jobs: 1},
		{Kind: "k", Class: served.Large, Jobs: 2, Owed: 1, Served: 1},
		{Kind: "k", Class: served.Rest, Jobs: 7, Owed: 5, Served: 3},
	}
	// One of the two that failed ended too late.
	if got := sizesOf(t, newLog(), []shortfall.Kind{{Name: "k", Asked: 10, Failed: 2}}); !slices.Equal(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
}

// Requests that were never accepted are in no log, and no open job takes their place.
func TestRequestsThatWereNeverAcceptedMakeNoOpenJobOwed(t *testing.T) {
	for failed, want := range map[int]int{3: 5, 4: 6, 6: 8} {
		owed := 0
		// Of five that are in no log, three were refused.
		for _, s := range sizesOf(t, newLog(), []shortfall.Kind{{Name: "k", Asked: 15, Refused: 3, Failed: failed}}) {
			owed += s.Owed
		}
		if owed != want {
			t.Errorf("%d failed: owed: got: %d, want: %d", failed, owed, want)
		}
	}
}

// A queue must never get the name of another kind: alike numbers are no match.
func TestKindsOfQueuesOfAlikeNumbers(t *testing.T) {
	kinds := []shortfall.Kind{{Name: "few", Asked: 10}, {Name: "many", Asked: 40}}
	for name, tc := range map[string]struct {
		jobs int
		want string
	}{"clear": {40, "many"}, "alike": {11, "other"}} {
		l := newLog()
		for i := range tc.jobs {
			l.accept(1, fmt.Sprint("o", i), "other", time.Second)
		}
		if got := sizesOf(t, l, kinds)[0].Kind; got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

const testReport = `{"G": 0.41, "served": 0.55, "short": [], "missed": [], "breaks": {}, "more": [null, {"x": 1}],
"classes": [{"name": "a", "n": 100, "in_aim": 60, "late": 20, "failed": 10, "not_owed": 10, "worth": 0.39},
{"name": "rare", "n": 3, "worth": 0.1}]}`

func TestFiguresAreComparedWithTheirFloors(t *testing.T) {
	p, err := shortfall.ParsePlay([]byte(testReport))
	if err != nil {
		t.Fatal(err)
	}
	sizes := []shortfall.Size{
		{Kind: "a", Class: served.Largest, Owed: 10, Served: 4},
		{Kind: "a", Class: served.Large, Owed: 10, Served: 5},
		{Kind: "a", Class: served.Rest, Owed: 80, Served: 81},
		{Kind: "idle", Class: served.Largest},
	}
	r := shortfall.NewResult("harbour calm seed 1", p, sizes, shortfall.Floors{Day: 0.5, Kind: 0.4})
	want := []shortfall.Figure{
		{"a, largest (by logs)", 0.4, 0.45}, {"a", 0.39, 0.4}, {"whole day", 0.55, 0.5}, {"a, large (by logs)", 0.5, 0.45},
	}
	if !slices.Equal(r.Figures, want) || !r.IsShort() {
		t.Errorf("got: %v, short %v, want: %v, short", r.Figures, r.IsShort(), want)
	}
	out := &strings.Builder{}
	if err := r.Write(out); err != nil {
		t.Fatal(err)
	}
	if err := shortfall.WriteWorst(out, []*shortfall.Result{r}); err != nil {
		t.Fatal(err)
	}
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"a 90 60 20 10 0.89 0.390 0.400", "a largest 0 10 4 0.40 0.45",
		"harbour calm seed 1 a, largest (by logs) 0.400 0.450 below harbour calm seed 1 a 0.390 0.400 below harbour calm seed 1 whole day",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got: %s, want: %q in it", out, want)
		}
	}
	if r := shortfall.NewResult("x", p, nil, shortfall.Floors{Day: 0.5, Kind: 0.39}); r.IsShort() {
		t.Errorf("all figures at their floors: got: %v, want: not short", r.Figures)
	}
}

// A hunt plays each day once, and reads what it has played before.
func TestHuntPlaysEachDayOnce(t *testing.T) {
	dir := t.TempDir()
	site, bench := filepath.Join(dir, "harbour.toml"), filepath.Join(dir, "bench")
	write(t, site, testSite)
	write(t, filepath.Join(dir, "log"), newLog().String())
	write(t, filepath.Join(dir, "example"), testReport)
	// The program is called with run SITE DAY --vary --seed N --jobs 1 --report FILE and more.
	write(t, bench, fmt.Sprintf("#!/bin/sh\necho \"$2 $3 $6\" >>%[1]s/calls\ntest $6 = 3 && exit 1\ncp %[1]s/example ${10}\ncat %[1]s/log\n", dir))
	h := &shortfall.Hunt{Bench: bench, Sites: []string{site}, Days: []string{"calm"}, Seeds: []uint64{1, 2, 3}, Dir: dir, AtOnce: 1, Why: "test"}
	for range 2 {
		results, err := h.Run(t.Context())
		if len(results) != 2 || err == nil || !strings.Contains(err.Error(), "harbour calm seed 3") {
			t.Fatalf("got: %d results, %v, want: two, and an error that names seed 3", len(results), err)
		}
		if r := results[1]; r.Name != "harbour calm seed 2" || r.Play.Worth != 0.41 || len(r.Sizes) != 3 || r.Floors.Day != 0.5 {
			t.Errorf("got: %+v, want: that of seed 2", r)
		}
	}
	calls, err := os.ReadFile(filepath.Join(dir, "calls"))
	if err != nil || strings.Count(string(calls), "\n") != 4 {
		t.Errorf("calls: got: %s, %v, want: one of seeds 1 and 2, two of seed 3", calls, err)
	}
	h.Days, h.Seeds = []string{filepath.Join(dir, "own.toml")}, []uint64{4}
	results, err := h.Run(t.Context())
	if err != nil || len(results) != 1 || results[0].Name != "harbour own seed 4" || results[0].Floors.Kind != 0 {
		t.Errorf("a day of a file: got: %v, %v, want: its result, without floors", results, err)
	}
	h.Days = []string{"unknown"}
	if _, err := h.Run(t.Context()); err == nil {
		t.Error("a day that the site does not have: got: no error, want: one")
	}
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
}

func TestParseSeeds(t *testing.T) {
	if got, err := shortfall.ParseSeeds("3,11-13"); err != nil || !slices.Equal(got, []uint64{3, 11, 12, 13}) {
		t.Errorf("got: %v, %v, want: 3, 11, 12, 13", got, err)
	}
	for _, text := range []string{"", "a", "3-1", "1-", "-1", "1,,2", "1-100000", "0-18446744073709551615"} {
		if got, err := shortfall.ParseSeeds(text); err == nil {
			t.Errorf("%q: got: %v, want: an error", text, got)
		}
	}
}
