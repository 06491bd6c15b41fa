// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"github.com/cespare/xxhash/v2"
)

// A payload goes to a carrier once, with the first task of its job: it is most of an
// order to start, and a job may have hundreds of tasks.
const (
	// trackedPayloads is how many payloads an owner takes a carrier to have, keptPayloads
	// how many that has: more, so that it never lacks one that the owner counts on. A
	// payload has 4,000 bytes at most.
	trackedPayloads = 1024
	cachedPayloads  = 2 * trackedPayloads
)

// payloadKey names a payload.
type payloadKey uint64

func payloadKeyOf(payload string) payloadKey { return payloadKey(xxhash.Sum64String(payload)) }

// fifoCache is a map that forgets its oldest entry when it has more than it may.
type fifoCache[V any] struct {
	capacity int
	values   map[payloadKey]V
	// keys has the keys, the oldest at next when it is full.
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

// put adds an entry that is not there.
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
