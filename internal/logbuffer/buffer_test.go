// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package logbuffer_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/logbuffer"
)

func TestAfterHasNoGaps(t *testing.T) {
	b := logbuffer.NewBuffer(-1)
	large := make([]byte, 100<<10)
	for offset := range int64(5) {
		b.Add(offset, large)
	}
	for offset, want := range map[int64]int{
		// Only two batches fit, 3 and 4; some batches that follow offset 1 have
		// been dropped, so that After(1) must return none.
		-1: 0, 1: 0, 2: 2, 3: 1, 4: 0, 9: 0,
	} {
		got := b.After(offset)
		if len(got) != want {
			t.Errorf("after %d: got: %d batches, want: %d", offset, len(got), want)
		}
		if len(got) > 0 && got[0].Offset != offset+1 {
			t.Errorf("after %d: got: from %d, want: from %d", offset, got[0].Offset, offset+1)
		}
	}
}

func TestLastBatchIsKeptHoweverLong(t *testing.T) {
	b := logbuffer.NewBuffer(6)
	b.Add(7, make([]byte, 1<<20))
	if got := len(b.After(6)); got != 1 {
		t.Errorf("got: %d batches, want: 1", got)
	}
	if got := len(b.After(5)); got != 0 {
		t.Errorf("before the buffer's first batch: got: %d batches, want: 0", got)
	}
}
