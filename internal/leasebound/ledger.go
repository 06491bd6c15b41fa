// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package leasebound has what an owner hands on about the leases of workers that do not answer: when
// they end at the latest. A new owner must not start the tasks of such a worker elsewhere before. It
// cannot know more than that the previous owner may have renewed the lease at its very end, unless
// that owner's record says otherwise: then the waits of several owners do not add up.
//
// An owner must keep its word: while a record names a worker, that owner does not renew the worker's
// lease. If the worker answers, the owner first writes a record without it.
package leasebound

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// Bound says for how long what runs on a worker may go on. It is stored as an array to keep the record
// small.
type Bound struct {
	_msgpack struct{} `msgpack:",as_array"`

	Worker order.WorkerID
	// Left is the longest time that the worker's lease may last, from when the bound was written. It is
	// not negative.
	Left time.Duration
}

// Ledger tracks which workers are named in an owner's records. The zero value has none. It is not
// safe for concurrent use.
type Ledger struct {
	// version counts the changes of the set of workers that the next record names.
	version uint64
	// droppedAt has all workers that a record in the store may name, with the version from which on
	// records do not; 0 for workers that the next record names.
	droppedAt map[order.WorkerID]uint64
}

// Set sets which workers the next record names.
func (l *Ledger) Set(bounds []Bound) {
	next := make(map[order.WorkerID]bool, len(bounds))
	isChanged := false
	for i := range bounds {
		id := bounds[i].Worker
		next[id] = true
		droppedAt, isKnown := l.droppedAt[id]
		isChanged = isChanged || !isKnown || droppedAt > 0
	}
	for id, droppedAt := range l.droppedAt {
		isChanged = isChanged || droppedAt == 0 && !next[id]
	}
	if !isChanged {
		return
	}
	l.version++
	for id, droppedAt := range l.droppedAt {
		if droppedAt == 0 && !next[id] {
			l.droppedAt[id] = l.version
		}
	}
	if l.droppedAt == nil {
		l.droppedAt = make(map[order.WorkerID]uint64, len(next))
	}
	for id := range next {
		l.droppedAt[id] = 0
	}
}

// Version returns the version of the set that was set last.
func (l *Ledger) Version() uint64 { return l.version }

// Persisted records that the newest record in the store was written from that version or a later one.
func (l *Ledger) Persisted(version uint64) {
	for id, droppedAt := range l.droppedAt {
		if droppedAt > 0 && droppedAt <= version {
			delete(l.droppedAt, id)
		}
	}
}

// Names reports whether a record that is, or may become, the newest one in the store names the
// worker. Its lease must not be renewed then.
func (l *Ledger) Names(id order.WorkerID) bool {
	_, isNamed := l.droppedAt[id]
	return isNamed
}
