// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package codec_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
)

// Guards against an allocation of a size that only the data claims: each input announces
// far more elements or bytes than it holds, and must be rejected.
func TestLengthsBeyondDataAreRejected(t *testing.T) {
	for name, data := range map[string][]byte{
		"an array of four billion": {0xdd, 0xff, 0xff, 0xff, 0xff},
		"a map of four billion":    {0xdf, 0xff, 0xff, 0xff, 0xff},
		"bytes that are not there": {0xc6, 0x7f, 0xff, 0xff, 0xff},
		"nothing":                  {},
	} {
		out := []struct{ A, B, C, D int64 }{}
		if err := codec.Unmarshal(data, &out); err == nil {
			t.Errorf("%s: got: nil, want: an error", name)
		}
	}
}

// Guards against a value that is nested so deeply that the process ends: a stack overflow cannot be recovered
// from. The largest is as long as a frame between nodes may be.
func TestDeepNestingIsRejected(t *testing.T) {
	const nested, null, field = 0x91, 0xc0, "\x81\xa1x"
	for _, levels := range []int{200, 10_000, 8<<20 - 10} {
		for name, data := range map[string][]byte{
			"whole":     append(bytes.Repeat([]byte{nested}, levels), null),
			"truncated": bytes.Repeat([]byte{nested}, levels),
			"maps":      append(bytes.Repeat([]byte("\x81\xa0"), levels), null),
			"a field":   append(append([]byte(field), bytes.Repeat([]byte{nested}, levels)...), null),
		} {
			out := struct{}{}
			var anything any
			if codec.Unmarshal(data, &out) == nil || codec.Unmarshal(data, &anything) == nil {
				t.Fatalf("%d levels, %s: got: nil, want: an error", levels, name)
			}
		}
	}
}

// Guards against a value that ends the process because the library panics, here on nothing in the place of a time.
func TestNothingInPlaceOfATimeIsRejected(t *testing.T) {
	out := struct{ A time.Time }{}
	if err := codec.Unmarshal([]byte("\x81\xa1A\xc0"), &out); err == nil {
		t.Error("got: nil, want: an error")
	}
}

func TestRoundTrip(t *testing.T) {
	type value struct{ Name string }
	data, err := codec.Marshal(value{"x"})
	if err != nil {
		t.Fatal(err)
	}
	got := value{}
	if err := codec.Unmarshal(data, &got); err != nil || got.Name != "x" {
		t.Errorf("got: %v, %v, want: x, nil", got, err)
	}
}
