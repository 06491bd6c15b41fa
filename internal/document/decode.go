// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package document reads YAML files strictly: an unknown key, a wrong type or
// a value out of range is an error that names the file, line and key and says
// what is allowed.
package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// FieldError says what is wrong in a file.
type FieldError struct {
	File string
	// Line counts from 1; 0 means that the whole file is meant.
	Line int
	// Key is the path of the key, such as "each.memory_mib"; it may be empty.
	Key string
	// Problem says what is wrong, Allowed what would be right.
	Problem, Allowed string
}

// Error returns the text of the error.
func (e *FieldError) Error() string {
	text := e.File
	if e.Line > 0 {
		text += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	text += ": " + e.Problem
	if e.Allowed != "" {
		text += " (allowed: " + e.Allowed + ")"
	}
	return text
}

// File is a decoded file, for checks that name their line.
type File struct {
	name string
	tree *ast.File
}

// Decode reads data into out, which must be a pointer to a struct with yaml
// tags. The error is a *FieldError.
func Decode(name string, data []byte, out any) (*File, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, fromYAML(name, err, "", data)
	}
	if len(tree.Docs) > 1 {
		return nil, &FieldError{File: name, Problem: "has more than one document", Allowed: "one document a file"}
	}
	if len(strings.TrimSpace(string(data))) == 0 {
		return nil, &FieldError{File: name, Problem: "is empty", Allowed: "a YAML mapping"}
	}
	if err := yaml.UnmarshalWithOptions(data, out, yaml.Strict()); err != nil {
		return nil, fromYAML(name, err, keysOf(out), data)
	}
	return &File{name: name, tree: tree}, nil
}

// Errorf returns an error at a key, such as "each.memory_mib".
func (f *File) Errorf(key, allowed, format string, args ...any) error {
	return &FieldError{File: f.name, Line: f.line(key), Key: key, Problem: fmt.Sprintf(format, args...), Allowed: allowed}
}

// line finds the key or, where it is missing, the nearest one above it.
func (f *File) line(key string) int {
	for k := key; k != ""; {
		path, err := yaml.PathString("$." + k)
		if err == nil {
			if n, err := path.FilterFile(f.tree); err == nil && n != nil {
				return n.GetToken().Position.Line
			}
		}
		i := strings.LastIndex(k, ".")
		if i < 0 {
			break
		}
		k = k[:i]
	}
	return 1
}

func fromYAML(name string, err error, keys string, data []byte) error {
	e := &FieldError{File: name, Problem: firstLine(err.Error()), Allowed: "valid YAML"}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		e.Problem = yamlErr.GetMessage()
		if t := yamlErr.GetToken(); t != nil {
			e.Line = t.Position.Line
			e.Key = t.Value
			if t.Prev != nil && t.Prev.Prev != nil && t.Prev.Value == ":" {
				// The token is the value: its key stands before the colon.
				e.Key = t.Prev.Prev.Value
			}
		}
	}
	unknownFieldErr := &yaml.UnknownFieldError{}
	if errors.As(err, &unknownFieldErr) {
		e.Problem = "unknown key"
		e.Allowed = keys
	}
	typeErr := &yaml.TypeError{}
	if errors.As(err, &typeErr) {
		e.Problem = "wrong type"
		e.Allowed = typeErr.DstType.String()
	}
	if e.Line == 0 {
		e.locate(data)
	}
	return e
}

// locate finds the value that an error without a position quotes, such as a
// duration's.
func (e *FieldError) locate(data []byte) {
	_, afterQuote, ok := strings.Cut(e.Problem, `"`)
	value, _, ok2 := strings.Cut(afterQuote, `"`)
	if !ok || !ok2 || value == "" {
		return
	}
	for i, line := range strings.Split(string(data), "\n") {
		key, text, ok := strings.Cut(line, ":")
		if ok && strings.Contains(text, value) {
			e.Line, e.Key, e.Allowed = i+1, strings.TrimSpace(key), "a value of the key's kind, such as 30s for a duration"
			return
		}
	}
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
