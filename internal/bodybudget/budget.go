// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package bodybudget bounds the memory that the bodies of requests take: those that are still
// arriving and those that are being handled. When the memory is used up, the bodies that have been
// arriving for the longest time are aborted in favor of new ones.
package bodybudget

import (
	"container/list"
	"context"
	"errors"
	"sync"
)

// ErrFull means that there is no memory for a body, and none that is still arriving could be aborted
// to make room.
var ErrFull = errors.New("bodybudget: no memory for the body")

// ErrAborted means that a body was aborted to make room for others.
var ErrAborted = errors.New("bodybudget: body aborted to make room for others")

// Options configures a Budget.
type Options struct {
	// Limit is how many bytes all bodies may take together.
	Limit int64
	// FreeBytes is how many bytes of each body are not counted. Bodies of ordinary size then need
	// nothing from the budget.
	FreeBytes int64
	// OnAbort is called for each body that is aborted; nil means that nothing is called.
	OnAbort func()
}

// Budget is a number of bytes that bodies share. It is safe for concurrent use.
type Budget struct {
	options Options

	mu   sync.Mutex
	used int64
	// arriving has the leases of the bodies that are still arriving and take memory, the oldest first.
	arriving *list.List
	// aborted is how many bytes aborted bodies have not released yet.
	aborted int64
	// released is closed and replaced when bytes are released or bodies aborted.
	released chan struct{}
}

// NewBudget returns a Budget of which nothing is used.
func NewBudget(o Options) *Budget {
	if o.OnAbort == nil {
		o.OnAbort = func() {}
	}
	return &Budget{options: o, arriving: list.New(), released: make(chan struct{})}
}

// Used returns how many bytes are in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Lease is the memory of one body. Abort is called at most once, while the body is arriving.
type Lease struct {
	budget *Budget
	abort  func()
	// element is the lease's element of arriving; nil if it is not there.
	element    *list.Element
	bytes      int64
	hasArrived bool
	isAborted  bool
}

// Open returns a lease without bytes for a body that is about to arrive. If the body is aborted,
// abort is called while the budget is locked: it must not block.
func (b *Budget) Open(abort func()) *Lease { return &Lease{budget: b, abort: abort} }

// Resize changes how many bytes the body takes. If they are not there, it aborts older bodies that
// are still arriving, and waits until these have released enough. A body that takes memory alone
// gets as much as it needs. Resize returns ErrAborted if the body was itself aborted, and ErrFull if
// there is no memory or ctx ends before there is.
func (l *Lease) Resize(ctx context.Context, bytes int64) error {
	bytes = max(bytes-l.budget.options.FreeBytes, 0)
	for {
		released, err := l.tryResize(bytes)
		if released == nil {
			return err
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ErrFull
		}
	}
}

// tryResize is one attempt of Resize. It returns a channel if bytes of aborted bodies will be
// released, which is closed when that happens.
func (l *Lease) tryResize(bytes int64) (<-chan struct{}, error) {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.isAborted {
		return nil, ErrAborted
	}
	missing := b.used - l.bytes + bytes - b.options.Limit
	switch {
	case bytes <= l.bytes || missing <= 0 || b.used == l.bytes:
		l.set(bytes)
		return nil, nil
	case b.abortOldest(missing, l):
		return b.released, nil
	}
	return nil, ErrFull
}

// abortOldest aborts arriving bodies other than that of l, the oldest first, until missing bytes will
// be released. It reports false, and aborts none, if there are not enough.
func (b *Budget) abortOldest(missing int64, l *Lease) bool {
	missing -= b.aborted
	victims := []*Lease{}
	for e := b.arriving.Front(); e != nil && missing > 0; e = e.Next() {
		if v := e.Value.(*Lease); v != l {
			victims = append(victims, v)
			missing -= v.bytes
		}
	}
	if missing > 0 {
		return false
	}
	for _, v := range victims {
		v.isAborted = true
		b.aborted += v.bytes
		v.unlist()
		v.abort()
		b.options.OnAbort()
	}
	if len(victims) > 0 {
		// A victim may itself be waiting for memory.
		b.notify()
	}
	return true
}

// notify wakes the bodies that wait for memory.
func (b *Budget) notify() {
	close(b.released)
	b.released = make(chan struct{})
}

// set changes the bytes of a lease. The budget must be locked.
func (l *Lease) set(bytes int64) {
	b := l.budget
	b.used += bytes - l.bytes
	if bytes < l.bytes {
		b.notify()
	}
	l.bytes = bytes
	switch {
	case bytes == 0 || l.hasArrived:
		l.unlist()
	case l.element == nil:
		l.element = b.arriving.PushBack(l)
	}
}

func (l *Lease) unlist() {
	if l.element != nil {
		l.budget.arriving.Remove(l.element)
		l.element = nil
	}
}

// Arrived records that the whole body has arrived, so that it is not aborted any more. It returns
// ErrAborted if the body was aborted before.
func (l *Lease) Arrived() error {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.isAborted {
		return ErrAborted
	}
	l.hasArrived = true
	l.unlist()
	return nil
}

// Release returns all bytes to the budget. The lease is not used any more.
func (l *Lease) Release() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.isAborted {
		l.budget.aborted -= l.bytes
	}
	l.set(0)
	l.hasArrived = true
}
