// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package shortfall compares what was served on played days, by kind of request and by size, with the
// least that has to be.
package shortfall

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/leverdyke/leverdyke/internal/served"
)

// Figure is a measured share beside the least that it has to be.
type Figure struct {
	// What names the figure.
	What         string
	Value, Floor float64
}

// IsBelow reports whether the figure is below its floor.
func (f *Figure) IsBelow() bool { return f.Value < f.Floor }

// ratio returns how many times its floor the figure is.
func (f *Figure) ratio() float64 { return f.Value / f.Floor }

const (
	// judgedShare is the least share of all requests of a kind that has a floor of its own.
	judgedShare = 1.0 / 20
	// sizeFloor is the least served share of a size class, compared with that of its kind.
	sizeFloor = 0.5
)

// Figures returns all figures of a play that have a floor, the worst first.
func Figures(p *Play, sizes []Size, floors Floors) []Figure {
	out := []Figure{{"whole day", p.Served, floors.Day}}
	owed := 0
	for i := range p.Kinds {
		owed += p.Kinds[i].Owed()
	}
	for i := range p.Kinds {
		if k := &p.Kinds[i]; float64(k.Owed()) >= judgedShare*float64(owed) {
			out = append(out, Figure{k.Name, k.Worth, floors.Kind})
		}
	}
	out = append(out, sizeFigures(sizes)...)
	out = slices.DeleteFunc(out, func(f Figure) bool { return f.Floor <= 0 })
	slices.SortStableFunc(out, func(a, b Figure) int { return cmp.Compare(a.ratio(), b.ratio()) })
	return out
}

func sizeFigures(sizes []Size) []Figure {
	totals := kindTotals(sizes)
	out := []Figure{}
	for i := range sizes {
		s := &sizes[i]
		share, isOwed := s.Share()
		if s.Class == served.Rest || !isOwed {
			continue
		}
		total := totals[s.Kind]
		whole, _ := total.Share()
		out = append(out, Figure{fmt.Sprintf("%s, %s (by logs)", s.Kind, s.Class), share, sizeFloor * whole})
	}
	return out
}

// kindTotals returns the sums of the size classes, by kind.
func kindTotals(sizes []Size) map[string]Size {
	out := map[string]Size{}
	for i := range sizes {
		s := &sizes[i]
		t := out[s.Kind]
		out[s.Kind] = Size{Kind: s.Kind, Jobs: t.Jobs + s.Jobs, Owed: t.Owed + s.Owed, Served: t.Served + s.Served}
	}
	return out
}

// Complaints returns what the bench itself found wrong with a play.
func (p *Play) Complaints() []string {
	out := []string{}
	for _, c := range []struct {
		name  string
		value json.RawMessage
	}{{"broken rules", p.Breaks}, {"short", p.Short}, {"missed", p.Missed}} {
		if text := string(c.value); !slices.Contains([]string{"", "null", "[]", "{}"}, text) {
			out = append(out, c.name+": "+text)
		}
	}
	return out
}
