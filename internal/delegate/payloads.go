// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"github.com/cespare/xxhash/v2"
)

// A payload goes to a carrier once, with the first task of its job: it is most of an
// order to start, and a job may have hundreds of tasks.
const (
	// knownPayloads is how many payloads an owner takes a carrier to have, keptPayloads
	// how many that has: more, so that it never lacks one that the owner counts on. A
	// payload has 4,000 bytes at most.
	knownPayloads = 1024
	keptPayloads  = 2 * knownPayloads
)

// payloadKey names a payload.
type payloadKey uint64

func keyOf(payload string) payloadKey { return payloadKey(xxhash.Sum64String(payload)) }

// recent is a map that forgets its oldest entry when it has more than it may.
type recent[V any] struct {
	most   int
	values map[payloadKey]V
	// order has the keys, the oldest at next when it is full.
	order []payloadKey
	next  int
}

func newRecent[V any](most int) *recent[V] {
	return &recent[V]{most: most, values: map[payloadKey]V{}}
}

func (r *recent[V]) get(k payloadKey) (V, bool) {
	v, ok := r.values[k]
	return v, ok
}

// put adds an entry that is not there.
func (r *recent[V]) put(k payloadKey, v V) {
	if _, ok := r.values[k]; ok {
		return
	}
	r.values[k] = v
	if len(r.order) < r.most {
		r.order = append(r.order, k)
		return
	}
	delete(r.values, r.order[r.next])
	r.order[r.next] = k
	r.next = (r.next + 1) % r.most
}
