// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

import "time"

const (
	// missesAllowed is how many long polls in a row may stay unanswered before the worker
	// counts as silent: a single answer may be lost.
	missesAllowed = 1
	// initialBackoff is the pause after a long poll that was not answered; it doubles up to
	// maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// maxDoublings is how often the pause doubles.
	maxDoublings = 4
	// immediatePollTimeout is how long an immediate poll may stay unanswered before another one
	// is sent beside it. maxImmediatePolls bounds how many of a worker may be in flight.
	immediatePollTimeout = 100 * time.Millisecond
	maxImmediatePolls    = 4
)

// Polls tracks the polls of a worker that are in flight: at most one long poll, which the worker
// answers when an attempt ends, and beside it some immediate polls, which it answers at once. The
// zero value has none.
type Polls struct {
	// isLongPolling means that a long poll is in flight; it was sent at longPolledAt. The next
	// one is not sent before nextLongPollAt.
	isLongPolling                bool
	longPolledAt, nextLongPollAt time.Time
	// misses counts the last long polls in a row that were not answered.
	misses int
	// immediatePolls counts the immediate polls in flight; the last one was sent at polledAt.
	// wantsImmediatePoll means that another one is to be sent as soon as one of them is answered
	// or overdue.
	immediatePolls     int
	polledAt           time.Time
	wantsImmediatePoll bool
}

// MayLongPoll reports whether the next long poll may be sent.
func (p *Polls) MayLongPoll(now time.Time) bool {
	return !p.isLongPolling && !now.Before(p.nextLongPollAt)
}

// IsLongPolling reports whether a long poll is in flight.
func (p *Polls) IsLongPolling() bool { return p.isLongPolling }

// LongPollAge returns for how long the long poll has been in flight; 0 when none is.
func (p *Polls) LongPollAge(now time.Time) time.Duration {
	if !p.isLongPolling {
		return 0
	}
	return now.Sub(p.longPolledAt)
}

// BeginLongPoll records that a long poll is sent now.
func (p *Polls) BeginLongPoll(now time.Time) { p.isLongPolling, p.longPolledAt = true, now }

// DelayLongPollUntil keeps the next long poll from being sent before t.
func (p *Polls) DelayLongPollUntil(t time.Time) { p.nextLongPollAt = t }

// EndLongPoll records that the long poll was answered, or that it failed.
func (p *Polls) EndLongPoll() { p.isLongPolling = false }

// CountMiss records that the long poll was not answered, and delays the next one where that is
// not the first one in a row.
func (p *Polls) CountMiss(now time.Time) {
	if p.misses >= missesAllowed {
		p.nextLongPollAt = now.Add(min(initialBackoff<<min(p.misses, maxDoublings), maxBackoff))
	}
	p.misses++
}

// HasMissed reports whether the last long poll was not answered.
func (p *Polls) HasMissed() bool { return p.misses > 0 }

// IsSilent reports whether the worker counts as silent: more long polls in a row than
// missesAllowed were not answered.
func (p *Polls) IsSilent() bool { return p.misses > missesAllowed }

// resetMisses records that the worker answers.
func (p *Polls) resetMisses() { p.misses = 0 }

// TryImmediatePoll reports whether an immediate poll may be sent now, and if so counts it as
// sent. It may not be sent while maxImmediatePolls are in flight, or while the last one is in
// flight and not overdue. In these cases WantsImmediatePoll reports true until it is sent later.
func (p *Polls) TryImmediatePoll(now time.Time) bool {
	isInTime := p.immediatePolls > 0 && now.Sub(p.polledAt) < immediatePollTimeout
	if p.immediatePolls >= maxImmediatePolls || isInTime {
		p.wantsImmediatePoll = true
		return false
	}
	p.immediatePolls++
	p.polledAt, p.wantsImmediatePoll = now, false
	return true
}

// WantsImmediatePoll reports whether an immediate poll could not be sent and is still wanted.
func (p *Polls) WantsImmediatePoll() bool { return p.wantsImmediatePoll }

// EndImmediatePoll records that an immediate poll was answered, or that it failed.
func (p *Polls) EndImmediatePoll() { p.immediatePolls-- }
