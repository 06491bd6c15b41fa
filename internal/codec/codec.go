// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package codec encodes and decodes msgpack. It adds checks that the library lacks:
// a length that received data claims is not used for an allocation before the data
// is known to be that long, data may be nested only so deeply, and no malformed data
// makes Unmarshal panic.
package codec

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds how deeply a value is nested, far above any type of this program. The decoder
// recurses once a level, and a stack overflow would end the process.
const maxDepth = 100

var errTooDeep = errors.New("the value is nested too deeply")

// Marshal encodes v as msgpack, with structs as maps from field names to values.
func Marshal(v any) ([]byte, error) {
	buf := bytes.Buffer{}
	e := msgpack.NewEncoder(&buf)
	// Without this, each integer takes nine bytes, whatever its value.
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return buf.Bytes(), nil
}

// MarshalCompact encodes v as msgpack with structs as arrays, without the names of
// their fields. Use it only for messages whose sender and receiver run the same version,
// because a field is identified by its position alone.
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

// Unmarshal decodes data into v. The library allocates an array of the length that
// the data claims, so nine bytes could make it allocate hundreds of gigabytes.
// Skipping over the whole value first proves that the data holds at least one byte
// for each element.
func Unmarshal(data []byte, v any) (err error) {
	// The library panics on some malformed data, such as nothing in the place of a time.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("codec: the decoder panicked: %v", r)
		}
	}()
	if err := skip(msgpack.NewDecoder(bytes.NewReader(data)), 0); err != nil {
		return fmt.Errorf("codec: %w", err)
	}
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("codec: %w", err)
	}
	return nil
}

// skip skips the next value, which is nested in depth others.
func skip(d *msgpack.Decoder, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	n := 0
	switch {
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		n, err = d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
		n, err = d.DecodeMapLen()
		n *= 2
	default:
		return d.Skip()
	}
	for range n {
		if err != nil {
			return err
		}
		err = skip(d, depth+1)
	}
	return err
}
