// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

const (
	topicEntries = "keyed.servers"
	// maxRecordBytes and maxKeyBytes bound a record and its key.
	maxRecordBytes = 256 << 10
	maxKeyBytes    = 255
)

// oddValues are the entries of another writer, by what is odd about them. A function gets an entry as a worker writes it.
var oddValues = []func(rng *rand.Rand, good map[string]any) []byte{
	func(*rand.Rand, map[string]any) []byte { return bytes.Repeat([]byte("["), 100_000) },
	func(*rand.Rand, map[string]any) []byte { return bytes.Repeat([]byte(`{"a":`), 50_000) },
	func(*rand.Rand, map[string]any) []byte {
		return []byte(strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990))
	},
	func(*rand.Rand, map[string]any) []byte {
		return bytes.Repeat([]byte("7"), maxRecordBytes-maxKeyBytes-1)
	},
	func(*rand.Rand, map[string]any) []byte { return []byte("null") },
	func(*rand.Rand, map[string]any) []byte { return []byte("[]") },
	func(*rand.Rand, map[string]any) []byte { return []byte("{}") },
	func(*rand.Rand, map[string]any) []byte { return []byte(`""`) },
	func(*rand.Rand, map[string]any) []byte { return []byte("\x00") },
	func(rng *rand.Rand, _ map[string]any) []byte {
		out := make([]byte, 1+rng.IntN(1000))
		for i := range out {
			out[i] = byte(rng.Uint32())
		}
		return out
	},
	oddField("address", "127.0.0.1:1", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "", ":80", "localhost:80", "[::1%x]:80", map[string]any{}, []any{}, 7, nil),
	oddField("slots", json.Number("18446744073709551616"), json.Number("1e400"), json.Number(strings.Repeat("9", 10_000)), -1, "x", 0.5),
	oddField("born", json.Number("9223372036854775808"), json.Number("1e300"), "x", []any{}),
	oddField("sequence", json.Number("1e99"), json.Number("-9223372036854775809"), true),
	oddField("capacity", nil, []any{}, map[string]any{"cpu": json.Number("1e30")}, map[string]any{"cpu": -1, "memMb": 1}, map[string]any{"cpu": 1, "memMb": json.Number("9223372036854775807")}),
	oddField("labels", "r0", map[string]any{}, []any{1, 2}, []any{[]any{}}, make([]string, 80_000)),
	oddField("state", "resting", 7, nil, strings.Repeat("x", 100_000)),
	oddField("service", "", 7, nil, []any{}),
	oddField("zone", "", 7, nil, []any{}),
}

// oddField returns entries that have one of the values in the field, and are as a worker writes them otherwise.
func oddField(field string, values ...any) func(*rand.Rand, map[string]any) []byte {
	return func(rng *rand.Rand, good map[string]any) []byte {
		good[field] = values[rng.IntN(len(values))]
		return mustEncode(good)
	}
}

// oddKeys are keys that no worker has. i-0 is the ID of a worker.
var oddKeys = []string{
	"", "/", "@", "i-0@", "i-0/", "i-0\x00", "i-0\n", "\x00", "\xff", "\xfe\xff", "a\xff", "i-\xff", "\ufffd", "servers/i-0", strings.Repeat("k", maxKeyBytes), strings.Repeat("\xff", maxKeyBytes),
}

// oddOperatorKeys are keys of operators' records that nodes skip or reject. The store rejects invalid configurations itself.
var oddOperatorKeys = []string{
	"", "\xff", "wave/1", "wave/\x00", "configs", "config/", "evacuate", "evacuate/", "evacuate/\xff", "evacuate/nowhere", "evacuate/" + strings.Repeat("z", 200), strings.Repeat("k", maxKeyBytes),
}

// PutOddOperatorRecords writes n records among those of the operators that no operator writes.
func (s *Site) PutOddOperatorRecords(rng *rand.Rand, n int) {
	for i := range n {
		s.Store.Put("keyed.op", oddOperatorKeys[i%len(oddOperatorKeys)], s.oddValue(rng, rng.IntN(len(oddValues))))
	}
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// PutOddEntries writes n entries that no worker writes, under keys of their own. Each has a kind of its own until all kinds
// were written. Under a key that no worker has, the entry may be that of a worker.
func (s *Site) PutOddEntries(rng *rand.Rand, n int) {
	for i := range n {
		s.Store.Put(topicEntries, fmt.Sprintf("odd-%d", i), s.oddValue(rng, i))
		key := oddKeys[i%len(oddKeys)]
		if value := s.oddValue(rng, rng.IntN(len(oddValues))); rng.IntN(2) == 0 {
			s.Store.Put(topicEntries, key, value)
		} else {
			s.Store.Put(topicEntries, key, mustEncode(s.Workers()[0].entry()))
		}
	}
}

func (s *Site) oddValue(rng *rand.Rand, kind int) []byte {
	return oddValues[kind%len(oddValues)](rng, s.Workers()[0].entry())
}

// Overwrite writes an odd entry in place of the worker's. Its next heartbeat repairs that.
func (w *Worker) Overwrite(rng *rand.Rand) {
	w.site.Store.Put(topicEntries, w.id, w.site.oddValue(rng, rng.IntN(len(oddValues))))
}

// OverwriteForGood is Overwrite with an entry that names no address, and the worker writes no other before RestoreEntry.
func (w *Worker) OverwriteForGood() {
	w.mu.Lock()
	w.hasLapsedEntry = true
	w.mu.Unlock()
	w.site.Store.Put(topicEntries, w.id, bytes.Repeat([]byte("["), 100_000))
}
