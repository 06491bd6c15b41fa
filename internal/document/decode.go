// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package document decodes YAML files strictly. An unknown key, a wrong type or a value
// out of range is an error that names the file, the line and the key and says which
// values are allowed.
package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// FieldError is an error in the contents of a file, with its position.
type FieldError struct {
	File string
	// Line counts from 1; 0 means that the error concerns the whole file.
	Line int
	// Key is the path of the key, such as "each.memory_mib"; it may be empty.
	Key string
	// Problem says what is wrong, Allowed which values are valid.
	Problem, Allowed string
}

// Error returns "file:line: key: problem (allowed: values)", without the empty parts.
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

// File is a decoded file. Its syntax tree gives the lines of keys, so that a caller's own
// checks can return errors with a line.
type File struct {
	name string
	tree *ast.File
}

// Decode decodes data into out, which must be a pointer to a struct with yaml tags. The
// name stands for the file in errors, which are of type *FieldError.
func Decode(name string, data []byte, out any) (*File, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, fromYAML(name, err, "", data)
	}
	if len(tree.Docs) > 1 {
		return nil, &FieldError{File: name, Problem: "has more than one document", Allowed: "one document per file"}
	}
	if len(strings.TrimSpace(string(data))) == 0 {
		return nil, &FieldError{File: name, Problem: "is empty", Allowed: "a YAML mapping"}
	}
	if err := yaml.UnmarshalWithOptions(data, out, yaml.Strict()); err != nil {
		return nil, fromYAML(name, err, keysOf(out), data)
	}
	return &File{name: name, tree: tree}, nil
}

// Errorf returns a FieldError at a key, such as "each.memory_mib", with the line of the
// key.
func (f *File) Errorf(key, allowed, format string, args ...any) error {
	return &FieldError{File: f.name, Line: f.line(key), Key: key, Problem: fmt.Sprintf(format, args...), Allowed: allowed}
}

// line returns the line of a key. If the file lacks the key, it returns the line of the
// closest enclosing key that is there, or 1.
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

// fromYAML turns an error of the YAML library into a FieldError. keys lists the known keys,
// for an error about an unknown one.
func fromYAML(name string, err error, keys string, data []byte) error {
	e := &FieldError{File: name, Problem: firstLine(err.Error()), Allowed: "valid YAML"}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		e.Problem = yamlErr.GetMessage()
		if t := yamlErr.GetToken(); t != nil {
			e.Line = t.Position.Line
			e.Key = t.Value
			if t.Prev != nil && t.Prev.Prev != nil && t.Prev.Value == ":" {
				// The token is a value, preceded by the colon and the key.
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

// locate sets line and key of an error that the library returns without a position, such as
// one about a duration. It takes the value that the message quotes and searches for the
// first line whose value contains it.
func (e *FieldError) locate(data []byte) {
	_, afterQuote, ok := strings.Cut(e.Problem, `"`)
	value, _, ok2 := strings.Cut(afterQuote, `"`)
	if !ok || !ok2 || value == "" {
		return
	}
	for i, line := range strings.Split(string(data), "\n") {
		key, text, ok := strings.Cut(line, ":")
		if ok && strings.Contains(text, value) {
			e.Line, e.Key, e.Allowed = i+1, strings.TrimSpace(key), "a value of the key's type, such as 30s for a duration"
			return
		}
	}
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
