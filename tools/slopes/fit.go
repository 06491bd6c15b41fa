// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math"
	"os"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The limits of a node and of the log.
const (
	maxCPU     = 0.042
	maxRSS     = 32.0
	maxBytes   = 20000.0
	maxAppends = 100.0
	// cellNodes is how many nodes the two offices have.
	cellNodes = 14
)

// line is a fitted straight line with the standard deviation of what is left.
type line struct {
	base, slope, rest float64
}

func fit(points []point, y func(p *point) float64) line {
	xs, ys := []float64{}, []float64{}
	for i := range points {
		xs, ys = append(xs, points[i].x), append(ys, y(&points[i]))
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i := range xs {
		d := ys[i] - base - slope*xs[i]
		sum += d * d
	}
	return line{base, slope, math.Sqrt(sum / float64(len(xs)))}
}

// quantity is one of the things that are measured.
type quantity struct {
	name, unit string
	of         func(p *point) float64
	limit      float64
}

var quantities = []quantity{
	{"processor", "% of a core", func(p *point) float64 { return 100 * p.cpu }, 100 * maxCPU},
	{"memory", "MiB RSS", func(p *point) float64 { return p.rss }, maxRSS},
	{"bytes", "KB/s", func(p *point) float64 { return p.bytes / 1000 }, maxBytes / 1000},
	{"appends", "1/s", func(p *point) float64 { return p.appends }, maxAppends / cellNodes},
}

func (r *axisResult) table() string {
	out := strings.Builder{}
	fmt.Fprintf(&out, "| %s per node |", r.axis.unit)
	for _, q := range quantities {
		fmt.Fprintf(&out, " %s (%s) |", q.name, q.unit)
	}
	out.WriteString("\n|---|---|---|---|---|\n")
	largest := 0.0
	for i := range r.points {
		p := &r.points[i]
		largest = max(largest, p.x)
		fmt.Fprintf(&out, "| %.0f |", p.x)
		for _, q := range quantities {
			fmt.Fprintf(&out, " %.2f |", q.of(p))
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "| slope per 1 (error of the fit) |")
	for _, q := range quantities {
		l := fit(r.points, q.of)
		fmt.Fprintf(&out, " %.4f (±%.2f) |", l.slope, l.rest)
	}
	mark := "within what was measured"
	if r.axis.atSize > largest {
		mark = "extrapolated"
	}
	fmt.Fprintf(&out, "\n| adds at %.1f, the two-year size (%s) |", r.axis.atSize, mark)
	for _, q := range quantities {
		fmt.Fprintf(&out, " %.2f |", fit(r.points, q.of).slope*r.axis.atSize)
	}
	fmt.Fprintf(&out, "\n| adds at %.1f, today's size |", r.axis.today)
	for _, q := range quantities {
		fmt.Fprintf(&out, " %.2f |", fit(r.points, q.of).slope*r.axis.today)
	}
	out.WriteString("\n")
	return out.String()
}

// total adds what each axis adds to the base of an almost empty cell: the
// smallest cell of the first axis, less what its own size adds.
func total(results []axisResult) string {
	out := strings.Builder{}
	out.WriteString("| a node at the two-year size | processor (% of a core) | memory (MiB RSS) | bytes (KB/s) | appends (1/s) |\n|---|---|---|---|---|\n")
	sums := make([]float64, len(quantities))
	row := func(name string, value func(q *quantity, i int) float64) {
		fmt.Fprintf(&out, "| %s |", name)
		for i := range quantities {
			v := value(&quantities[i], i)
			sums[i] += v
			fmt.Fprintf(&out, " %.2f |", v)
		}
		out.WriteString("\n")
	}
	// The base has 2 peers in it, which the peers' row must not count again.
	row("base: an idle node with 2 peers", func(q *quantity, _ int) float64 { return fit(results[0].points, q.of).base })
	few, many := &results[2], &results[3]
	for i := range results {
		r := &results[i]
		x := r.axis.atSize
		if r.axis.name == "starts" {
			// Each node reads the ends of all: a start costs its node's own part
			// and, at every node, that of a reader. Two sizes of the cell part them.
			row(fmt.Sprintf("%.1f task starts a second on each of %d nodes (own part and readers' part)", x, cellNodes), func(q *quantity, _ int) float64 {
				a, b := fit(few.points, q.of).slope, fit(many.points, q.of).slope
				reader := max((b-a)/(manyNodes-nodes), 0)
				return (a + reader*(cellNodes-nodes)) * x
			})
			continue
		}
		if r.axis.name == "starts8" {
			continue
		}
		if r.axis.name == "peers" {
			x -= nodes - 1
		}
		row(fmt.Sprintf("%.1f %s", x, r.axis.unit), func(q *quantity, _ int) float64 { return fit(r.points, q.of).slope * x })
	}
	fmt.Fprintf(&out, "| **sum** |")
	for i := range quantities {
		fmt.Fprintf(&out, " **%.2f** |", sums[i])
	}
	fmt.Fprintf(&out, "\n| limit |")
	for i := range quantities {
		fmt.Fprintf(&out, " %.2f |", quantities[i].limit)
	}
	out.WriteString("\n")
	return out.String()
}

// plotAll draws each axis' use of its limits.
func plotAll(results []axisResult, path string) error {
	const width, height = 9 * vg.Inch, 6 * vg.Inch
	canvas := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: 2, Cols: 3, PadX: vg.Millimeter, PadY: vg.Millimeter}
	dc := draw.New(canvas)
	for i := range results {
		p, err := plotOne(&results[i])
		if err != nil {
			return err
		}
		p.Draw(tiles.At(dc, i%3, i/3))
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func plotOne(r *axisResult) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.axis.unit
	p.X.Label.Text = "per node"
	p.Y.Label.Text = "% of the limit"
	p.Y.Min = 0
	args := []any{}
	for _, q := range quantities[:3] {
		points := plotter.XYs{}
		for i := range r.points {
			points = append(points, plotter.XY{X: r.points[i].x, Y: 100 * q.of(&r.points[i]) / q.limit})
		}
		args = append(args, q.name, points)
	}
	return p, plotutil.AddLinePoints(p, args...)
}
