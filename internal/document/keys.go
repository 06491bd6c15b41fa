// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package document

import (
	"reflect"
	"slices"
	"strings"
)

// keysOf returns the keys of a struct and of its nested structs, sorted and separated by
// commas, for the text of an error.
func keysOf(out any) string {
	keys := []string{}
	appendKeys(reflect.TypeOf(out), &keys, 0)
	slices.Sort(keys)
	return strings.Join(slices.Compact(keys), ", ")
}

// maxDepth bounds how deep keysOf follows nested structs, so that a recursive type ends.
const maxDepth = 4

// appendKeys appends the yaml keys of t, and of the types nested in it, to keys.
func appendKeys(t reflect.Type, keys *[]string, depth int) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || depth > maxDepth {
		return
	}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		*keys = append(*keys, name)
		appendKeys(t.Field(i).Type, keys, depth+1)
	}
}
