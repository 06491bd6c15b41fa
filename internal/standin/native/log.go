// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package native is a small fake of what nodes need around them: a log, a list of VMs and workers. Faults can be
// injected, and an oracle checks the scheduler's guarantees from the workers' side. It is for tests and the
// quickstart only.
package native

import (
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/logservice"
)

const (
	defaultAppendsPerSecond = 100
	appendBurst             = 20
	maxPageBytes            = 1 << 20
)

// LogFaults are the faults that the log injects. The zero value is a healthy log. IsUnavailable drops the connections
// of all requests, Slow delays each append, and LoseReplies is how many of the next appends take effect
// without a reply.
type LogFaults struct {
	IsUnavailable bool          `json:"out"`
	Slow          time.Duration `json:"slow_ns"`
	LoseReplies   int           `json:"lose_replies"`
}

// Log is an append-only log in memory. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	clock   clock.Service
	entries []logservice.Entry
	times   []time.Time
	next    int64
	// retention is how long entries are kept; 0 keeps them forever.
	retention time.Duration
	tokens    float64
	refilled  time.Time
	faults    LogFaults
	changed   chan struct{}
	appends   int64
}

// NewLog returns an empty log that keeps entries for the retention period; 0 keeps them forever.
func NewLog(c clock.Service, retention time.Duration) *Log {
	return &Log{clock: c, retention: retention, tokens: appendBurst, refilled: c.Now(), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wake()
}

// Faults returns the injected faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns how many appends took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append appends an entry and returns its offset. It reports false if the rate limit is exceeded.
func (l *Log) Append(data []byte) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilled).Seconds()*defaultAppendsPerSecond, appendBurst)
	l.refilled = now
	if l.tokens < 1 {
		return 0, false
	}
	l.tokens--
	offset := l.next
	l.next++
	l.appends++
	l.entries = append(l.entries, logservice.Entry{Offset: offset, Data: data})
	l.times = append(l.times, now)
	l.trim(now)
	l.wake()
	return offset, true
}

// LoseReply reports whether the reply to an append that took effect must be dropped, and counts it against
// the LoseReplies that were set.
func (l *Log) LoseReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseReplies <= 0 {
		return false
	}
	l.faults.LoseReplies--
	return true
}

// Page returns the entries that start at offset from, at most some maxPageBytes of them, whether the entry
// at from has been trimmed, and a channel that is closed at the next change.
func (l *Log) Page(from int64) (logservice.Page, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(l.clock.Now())
	first := l.next
	if len(l.entries) > 0 {
		first = l.entries[0].Offset
	}
	page := logservice.Page{First: first, Next: l.next}
	if from < first {
		return page, true, l.changed
	}
	size := 0
	for i := from - first; i < int64(len(l.entries)) && size < maxPageBytes; i++ {
		page.Entries = append(page.Entries, l.entries[i])
		size += len(l.entries[i].Data)
	}
	return page, false, l.changed
}

// TrimBefore drops the entries before an offset, as the end of their retention period does.
func (l *Log) TrimBefore(offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.entries) > 0 && l.entries[0].Offset < offset {
		l.entries = l.entries[1:]
		l.times = l.times[1:]
	}
}

func (l *Log) trim(now time.Time) {
	if l.retention <= 0 {
		return
	}
	for len(l.entries) > 0 && now.Sub(l.times[0]) > l.retention {
		l.entries = l.entries[1:]
		l.times = l.times[1:]
	}
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
