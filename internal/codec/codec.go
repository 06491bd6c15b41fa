// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package codec is msgpack with the check that the library lacks: a length in
// foreign bytes is not believed before the bytes are seen to be there.
package codec

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal returns v as msgpack.
func Marshal(v any) ([]byte, error) {
	buf := bytes.Buffer{}
	e := msgpack.NewEncoder(&buf)
	// Whole numbers take nine bytes each otherwise.
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return buf.Bytes(), nil
}

// MarshalCompact returns v as msgpack with structs as arrays, without the names
// of their fields: for messages whose two ends are of one version.
func MarshalCompact(v any) ([]byte, error) {
	buf := bytes.Buffer{}
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return buf.Bytes(), nil
}

// Unmarshal reads data into v. The library allocates an array by its claimed
// length, so that nine bytes can ask for hundreds of gigabytes; walking over
// the value first proves that each element has at least a byte.
func Unmarshal(data []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return fmt.Errorf("codec: %w", err)
	}
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("codec: %w", err)
	}
	return nil
}
