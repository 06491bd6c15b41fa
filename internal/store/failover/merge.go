// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package failover

import "github.com/leverdyke/leverdyke/internal/store"

// The values of the spill topic begin with a byte that tells a removal from a value: the store drops
// a key without a value, and the record of the main topic would count again.
const (
	valueRemoved = 0
	valueSet     = 1
)

// encode returns records as they are stored in the spill topic.
func encode(records []store.Record) []store.Record {
	out := make([]store.Record, len(records))
	for i, r := range records {
		out[i] = store.Record{Key: r.Key, Value: []byte{valueRemoved}}
		if len(r.Value) > 0 {
			out[i].Value = append([]byte{valueSet}, r.Value...)
		}
	}
	return out
}

// decodeValue returns the value that a record of the spill topic stands for; an empty one removes
// its key.
func decodeValue(stored []byte) []byte {
	if len(stored) == 0 || stored[0] != valueSet {
		return nil
	}
	return stored[1:]
}

// Merge returns the newest records of a log by those of its two topics. The records of the spill
// topic count as newer than all of the main topic.
func Merge(main, spill *store.Newest) *store.Newest {
	if len(spill.Records) == 0 {
		return main
	}
	replaced := map[string]bool{}
	for i := range spill.Records {
		replaced[spill.Records[i].Key] = true
	}
	out := &store.Newest{End: main.End}
	for _, r := range main.Records {
		if !replaced[r.Key] {
			out.Records = append(out.Records, r)
		}
	}
	for _, r := range spill.Records {
		if value := decodeValue(r.Value); len(value) > 0 {
			out.Records = append(out.Records, store.Record{Key: r.Key, Value: value, Offset: main.End + r.Offset})
		}
	}
	return out
}
