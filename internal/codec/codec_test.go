// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package codec_test

import (
	"testing"

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
