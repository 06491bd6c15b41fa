// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"github.com/cespare/xxhash/v2"
)

// A payload is sent to a delegate once, with the first task of its job that the delegate starts.
// The payload is most of the size of an order to start, and a job may have hundreds of tasks.
const (
	// trackedPayloads is the number of payloads per link that the owner remembers as sent.
	// cachedPayloads is the number that a delegate caches: it is larger, so that the delegate never
	// lacks a payload that the owner remembers as sent. A payload has at most 4,000 bytes.
	trackedPayloads = 1024
	cachedPayloads  = 2 * trackedPayloads
)

// payloadKey identifies a payload by its hash.
type payloadKey uint64

func payloadKeyOf(payload string) payloadKey { return payloadKey(xxhash.Sum64String(payload)) }

// fifoCache is a map with a bounded number of entries. When it is full, each new entry evicts the
// oldest one.
type fifoCache[V any] struct {
	capacity int
	values   map[payloadKey]V
	// keys are in the order of insertion. Once the cache is full, keys is a ring buffer whose
	// oldest key is at index oldest.
	keys   []payloadKey
	oldest int
}

func newFIFOCache[V any](capacity int) *fifoCache[V] {
	return &fifoCache[V]{capacity: capacity, values: map[payloadKey]V{}}
}

func (r *fifoCache[V]) get(k payloadKey) (V, bool) {
	v, ok := r.values[k]
	return v, ok
}

// put adds an entry unless the key is present.
func (r *fifoCache[V]) put(k payloadKey, v V) {
	if _, ok := r.values[k]; ok {
		return
	}
	r.values[k] = v
	if len(r.keys) < r.capacity {
		r.keys = append(r.keys, k)
		return
	}
	delete(r.values, r.keys[r.oldest])
	r.keys[r.oldest] = k
	r.oldest = (r.oldest + 1) % r.capacity
}
