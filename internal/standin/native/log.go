// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package native has small stand-ins for what the platform gives: a log, a
// list of VMs and workers, with faults that can be set, and an oracle that
// watches what must always hold. It is for tests and the quickstart only.
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

// LogFaults says how the log misbehaves. Its zero value is a healthy log.
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
	// Retention is how long entries are kept; 0 keeps them for ever.
	retention time.Duration
	tokens    float64
	refilled  time.Time
	faults    LogFaults
	changed   chan struct{}
	appends   int64
}

// NewLog returns an empty log that keeps entries for retention; 0 means for
// ever.
func NewLog(c clock.Service, retention time.Duration) *Log {
	return &Log{clock: c, retention: retention, tokens: appendBurst, refilled: c.Now(), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wake()
}

// Faults returns the faults in force.
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

// Append adds data. It reports false when the rate is exceeded.
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

// LoseReply reports whether the reply of an append that took effect is to be
// lost, and counts it.
func (l *Log) LoseReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseReplies <= 0 {
		return false
	}
	l.faults.LoseReplies--
	return true
}

// Page returns the entries from offset from on, whether from was trimmed, and
// a channel that is closed at the next change.
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

// TrimBefore drops the entries before offset, as the end of retention does.
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
