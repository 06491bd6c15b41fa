// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package testruns_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/leverdyke/leverdyke/internal/testruns"
)

func TestDeclaredTests(t *testing.T) {
	for source, want := range map[string][]string{
		"func TestA(t *testing.T) {}\nfunc TestB_1(t *testing.T) {}\n": {"TestA", "TestB_1"},
		"func FuzzA(f *testing.F) {}\n":                                {"FuzzA"},
		"func Test(t *testing.T) {}\n":                                 {"Test"},
		"func TestMain(m *testing.M) {}\n":                             {},
		"func Testify() {}\nfunc testA() {}\n// func TestC(":           {},
		"func (x *X) TestA(t *testing.T) {}\n":                         {},
	} {
		got := []string{}
		for _, d := range testruns.Declared("p", source) {
			got = append(got, d.Name)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%q: got: %v, want: %v", source, got, want)
		}
	}
}

// events are those of a package of a passed, a failed and a skipped test, and of one that did not
// end.
const events = `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestPassed"}
{"Action":"output","Package":"p","Test":"TestPassed","Output":"passed's line\n"}
{"Action":"pass","Package":"p","Test":"TestPassed","Elapsed":0.1}
{"Action":"run","Package":"p","Test":"TestFailed"}
{"Action":"output","Package":"p","Test":"TestFailed","Output":"=== RUN   TestFailed\n"}
{"Action":"run","Package":"p","Test":"TestFailed/sub"}
{"Action":"output","Package":"p","Test":"TestFailed/sub","Output":"subtest's line\n"}
{"Action":"fail","Package":"p","Test":"TestFailed/sub","Elapsed":0.1}
{"Action":"output","Package":"p","Test":"TestFailed","Output":"failed's line\n"}
{"Action":"fail","Package":"p","Test":"TestFailed","Elapsed":0.1}
{"Action":"run","Package":"p","Test":"TestSkipped"}
{"Action":"skip","Package":"p","Test":"TestSkipped","Elapsed":0}
{"Action":"run","Package":"p","Test":"TestStopped"}
{"Action":"output","Package":"p","Test":"TestStopped","Output":"panic\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t0.3s\n"}
{"Action":"fail","Package":"p","Elapsed":0.3}
`

func TestPlayedTestsAreThoseThatEnded(t *testing.T) {
	got, err := testruns.Played(strings.NewReader(events))
	want := []testruns.Test{{Package: "p", Name: "TestPassed"}, {Package: "p", Name: "TestFailed"}, {Package: "p", Name: "TestSkipped"}}
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("got: %v, %v, want: %v", got, err, want)
	}
}

func TestPrinterPrintsResultsAndFailures(t *testing.T) {
	out := &strings.Builder{}
	if err := testruns.ReadEvents(strings.NewReader(events), testruns.NewPrinter(out).Add); err != nil {
		t.Fatal(err)
	}
	want := "subtest's line\nfailed's line\nFAIL\tp\t0.3s\npanic\n"
	if got := out.String(); got != want {
		t.Errorf("got: %q, want: %q", got, want)
	}
}

func TestOutputThatIsNoEventIsAnError(t *testing.T) {
	if err := testruns.ReadEvents(strings.NewReader("panic\n"), func(*testruns.Event) {}); err == nil {
		t.Error("got: no error, want: one")
	}
}

func TestEachTestIsPlayedInOneRun(t *testing.T) {
	a, b, other := testruns.Test{Package: "p", Name: "TestA"}, testruns.Test{Package: "p", Name: "TestB"}, testruns.Test{Package: "q", Name: "TestA"}
	declared := []testruns.Test{a, b, other}
	for name, c := range map[string]struct {
		runs [][]testruns.Test
		want int
	}{
		"each once":                        {[][]testruns.Test{{a, other}, {b}}, 0},
		"left out":                         {[][]testruns.Test{{a}, {b}}, 1},
		"twice":                            {[][]testruns.Test{{a, b, other}, {b}}, 1},
		"same name, left out in one place": {[][]testruns.Test{{b}, {a}}, 1},
		"no run":                           {nil, 3},
	} {
		if got := testruns.Misplaced(declared, c.runs...); len(got) != c.want {
			t.Errorf("%s: got: %v, want: %d", name, got, c.want)
		}
	}
}

func TestListedNamesMustBeThoseOfOneTest(t *testing.T) {
	declared := []testruns.Test{{Package: "p", Name: "TestA"}, {Package: "q", Name: "TestA"}, {Package: "p", Name: "TestB"}}
	for name, want := range map[string]int{"TestB": 0, "TestA": 1, "TestC": 1} {
		if got := testruns.Unknown([]string{name}, declared); len(got) != want {
			t.Errorf("%s: got: %v, want: %d", name, got, want)
		}
	}
}

func TestConcurrency(t *testing.T) {
	for source, want := range map[string]int{
		"package p\nfunc f() {}":                         0,
		"package p\nfunc f() { go f() }":                 1,
		"package p\ntype t struct { c chan int }":        1,
		"package p\nimport \"sync\"\nvar m sync.Mutex":   1,
		"package p\nimport _ \"sync/atomic\"":            1,
		"package p\n// go f()\nconst s = \"go chan ()\"": 0,
	} {
		got, err := testruns.Concurrency("p.go", source)
		if err != nil || len(got) != want {
			t.Errorf("%q: got: %v, %v, want: %d", source, got, err, want)
		}
	}
}
