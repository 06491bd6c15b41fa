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

// Format is the format in which a result is printed.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatYAML  Format = "yaml"
)

// Table is a result as rows of cells, with a header.
type Table struct {
	Header []string
	Rows   [][]string
}

// Print writes v as JSON or YAML or, for the table format, writes t.
func Print(w io.Writer, format Format, v any, t Table) error {
	switch format {
	case FormatTable, "":
		return printTable(w, t)
	case FormatJSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case FormatYAML:
		// Convert from JSON, so that the YAML has the same keys.
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
	return &UsageError{fmt.Sprintf("--output: %q is not a format (allowed: table, json, yaml)", format)}
}

func printTable(w io.Writer, t Table) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.Header, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}
