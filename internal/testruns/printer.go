// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package testruns

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Printer prints the results of packages and what failed tests have written, like go test without -v.
type Printer struct {
	out io.Writer
	// written has, by package and test, what a test that has not ended has written.
	written map[string]map[string]*strings.Builder
}

// NewPrinter returns a Printer that writes to out.
func NewPrinter(out io.Writer) *Printer {
	return &Printer{out: out, written: map[string]map[string]*strings.Builder{}}
}

// Add takes the next event.
func (p *Printer) Add(e *Event) {
	switch {
	case e.Action == ActionBuildOutput:
		p.print(e.Output)
	case e.Action == ActionOutput && e.Test == "":
		if e.Output != "PASS\n" {
			p.print(e.Output)
		}
	case e.Action == ActionOutput:
		if !strings.HasPrefix(e.Output, "=== ") {
			p.keep(e)
		}
	case e.Action == ActionPass, e.Action == ActionSkip, e.Action == ActionFail:
		p.end(e)
	}
}

func (p *Printer) keep(e *Event) {
	if p.written[e.Package] == nil {
		p.written[e.Package] = map[string]*strings.Builder{}
	}
	if p.written[e.Package][e.Test] == nil {
		p.written[e.Package][e.Test] = &strings.Builder{}
	}
	_, _ = p.written[e.Package][e.Test].WriteString(e.Output)
}

// end prints what was kept of a test that has failed. When a package has failed, it prints what was
// kept of the tests that did not end, of which one may have stopped the whole package.
func (p *Printer) end(e *Event) {
	if e.Test == "" {
		for _, test := range slices.Sorted(maps.Keys(p.written[e.Package])) {
			p.end(&Event{Action: e.Action, Package: e.Package, Test: test})
		}
		delete(p.written, e.Package)
		return
	}
	text := p.written[e.Package][e.Test]
	delete(p.written[e.Package], e.Test)
	if text != nil && e.Action == ActionFail {
		p.print(text.String())
	}
}

func (p *Printer) print(text string) { _, _ = fmt.Fprint(p.out, text) }
