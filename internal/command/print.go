// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// Form is how a result is printed.
type Format string

// The forms.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatYAML  Format = "yaml"
)

// Table is a result as rows of cells, under a head.
type Table struct {
	Header []string
	Rows   [][]string
}

// Print writes v, or the table in its place.
func Print(w io.Writer, format Format, v any, t Table) error {
	switch format {
	case FormatTable, "":
		return printTable(w, t)
	case FormatJSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case FormatYAML:
		// The YAML form has the same keys as the JSON form.
		data, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("command: %w", err)
		}
		text, err := yaml.JSONToYAML(data)
		if err != nil {
			return fmt.Errorf("command: %w", err)
		}
		_, err = w.Write(text)
		return err
	}
	return &UsageError{fmt.Sprintf("--output: %q is no form (allowed: table, json, yaml)", format)}
}

func printTable(w io.Writer, t Table) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.Header, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}
