// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command slopes measures what a node's control costs at several sizes of each
// thing that grows, fits lines, and writes the table and the plot that
// docs/CAPACITY.md shows.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	beginMark = "<!-- slopes: begin -->"
	endMark   = "<!-- slopes: end -->"
	window    = 8 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "where the programs are")
	docs := flag.String("docs", "docs", "where CAPACITY.md and the plot go")
	only := flag.String("only", "", "measure this axis alone and write nothing")
	flag.Parse()
	if err := run(*bin, *docs, *only); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(bin, docs, only string) error {
	results := []axisResult{}
	for _, a := range axes() {
		if only != "" && a.name != only {
			continue
		}
		r, err := a.measure(filepath.Join(bin, "leverdyked"))
		if err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
		results = append(results, r)
		fmt.Println(r.table())
	}
	if only != "" {
		return nil
	}
	if err := plotAll(results, filepath.Join(docs, "slopes.svg")); err != nil {
		return err
	}
	return splice(filepath.Join(docs, "CAPACITY.md"), render(results))
}

// splice puts text between the marks of a page.
func splice(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(page), beginMark)
	_, after, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return fmt.Errorf("%s has no marks for the table", path)
	}
	return os.WriteFile(path, []byte(before+beginMark+"\n"+text+endMark+after), 0o600)
}

func render(results []axisResult) string {
	out := strings.Builder{}
	fmt.Fprintf(&out, "\nMeasured %s; windows of %v, one machine, all figures per node.\n\n", time.Now().UTC().Format("2006-01-02"), window)
	for i := range results {
		out.WriteString(results[i].table() + "\n")
	}
	out.WriteString(total(results))
	return out.String()
}
