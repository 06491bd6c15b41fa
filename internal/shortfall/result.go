// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package shortfall

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/leverdyke/leverdyke/internal/served"
)

// Result is a played day with its figures.
type Result struct {
	// Name names the site, the day and the seed.
	Name    string
	Play    *Play
	Sizes   []Size
	Floors  Floors
	Figures []Figure
}

// NewResult returns the result of a play.
func NewResult(name string, p *Play, sizes []Size, floors Floors) *Result {
	return &Result{Name: name, Play: p, Sizes: sizes, Floors: floors, Figures: Figures(p, sizes, floors)}
}

// IsShort reports whether a figure is below its floor, or the bench found something wrong.
func (r *Result) IsShort() bool {
	return len(r.Play.Complaints()) > 0 || slices.ContainsFunc(r.Figures, func(f Figure) bool { return f.IsBelow() })
}

// Write writes what was served, by kind and by size.
func (r *Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s: worth %.3f, whole day %.3f (floor %.3f)\n", r.Name, r.Play.Worth, r.Play.Served, r.Floors.Day)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "kind\towed\tin time\tlate\tnot served\tshare served\tworth\tfloor")
	for i := range r.Play.Kinds {
		k := &r.Play.Kinds[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%.3f\n", k.Name, k.Owed(), k.InTime, k.Late, max(k.Owed()-k.Served(), 0), k.Share(), k.Worth, r.Floors.Kind)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("shortfall: %w", err)
	}
	return r.writeSizes(w)
}

func (r *Result) writeSizes(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	totals := kindTotals(r.Sizes)
	fmt.Fprintln(t, "by the logs\tsize\tjobs\towed\tserved\tshare\tfloor")
	for i := range r.Sizes {
		s := &r.Sizes[i]
		total := totals[s.Kind]
		share, _ := s.Share()
		whole, _ := total.Share()
		floor := "-"
		if s.Class != served.Rest {
			floor = fmt.Sprintf("%.2f", sizeFloor*whole)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.2f\t%s\n", s.Kind, s.Class, s.Jobs, s.Owed, s.Served, share, floor)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("shortfall: %w", err)
	}
	return nil
}

// maxWorst is how many figures WriteWorst lists besides those below their floors.
const maxWorst = 10

// WriteWorst lists the figures of all results that are lowest compared with their floors, and what the
// bench found wrong. It lists everything that is below its floor.
func WriteWorst(w io.Writer, results []*Result) error {
	type entry struct {
		name   string
		figure Figure
	}
	entries := []entry{}
	for _, r := range results {
		for _, c := range r.Play.Complaints() {
			fmt.Fprintf(w, "%s: the bench says %s\n", r.Name, c)
		}
		for _, f := range r.Figures {
			entries = append(entries, entry{r.Name, f})
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.figure.ratio(), b.figure.ratio()) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "worst\tfigure\tvalue\tfloor\t")
	for i, e := range entries {
		verdict := ""
		if e.figure.IsBelow() {
			verdict = "below"
		} else if i >= maxWorst {
			break
		}
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%s\n", e.name, e.figure.What, e.figure.Value, e.figure.Floor, verdict)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("shortfall: %w", err)
	}
	return nil
}
