// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/state"
)

// BenchmarkMemory reports how many bytes of heap an idempotency key and a job
// of 300 tasks take.
func BenchmarkMemory(b *testing.B) {
	b.Run("key", func(b *testing.B) {
		benchMemory(b, func(i int) state.Record {
			k := [16]byte{}
			binary.BigEndian.PutUint64(k[:], uint64(i))
			return state.Record{IdempotencyKey: &state.IdempotencyKey{Key: k}}
		})
	})
	b.Run("job", func(b *testing.B) {
		benchMemory(b, func(i int) state.Record {
			return state.Record{Submit: &state.Submit{Spec: leverdyke.JobSpec{ID: fmt.Sprintf("0192f0c1-7c1e-7abc-8def-%012d", i), Team: "t", Tasks: 300}}}
		})
	})
}

func benchMemory(b *testing.B, record func(i int) state.Record) {
	const entries = 20000
	for b.Loop() {
		s, offset := state.NewState(), int64(-1)
		w := joinNode(s, &offset, "a", 1)
		before := heapBytes()
		for i := range entries {
			w.write(record(i))
		}
		b.ReportMetric(float64(heapBytes()-before)/entries, "bytes/entry")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
