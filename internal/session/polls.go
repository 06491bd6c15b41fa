// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session

import "time"

const (
	// missesAllowed is how many listings in a row may stay away until the worker
	// counts as silent: an answer may be lost.
	missesAllowed = 1
	// firstRetry is the pause after a listing that did not come; it doubles up to
	// longestRetry.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// maxDoublings is how often the pause doubles.
	maxDoublings = 4
	// lookPatience is how long a listing at once may take until another one is
	// asked for beside it, maxLooks how many may be on their way to a worker.
	immediatePollTimeout = 100 * time.Millisecond
	maxImmediatePolls    = 4
)

// Polls is which questions for a listing are on their way to a worker: one that waits for an
// end to tell, and beside it some that are answered at once. The zero value has none.
type Polls struct {
	// isWaiting means that one that waits is on its way since askedAt; the next is not asked
	// for before nextAt.
	isLongPolling                bool
	longPolledAt, nextLongPollAt time.Time
	// misses counts those in a row that did not come.
	misses int
	// looks counts those at once, lookedAt is when the last of these was asked for. wantsLook
	// asks for another one when an answer is there or overdue.
	immediatePolls     int
	polledAt           time.Time
	wantsImmediatePoll bool
}

// MayLongPoll reports whether the next listing that waits may be asked for.
func (p *Polls) MayLongPoll(now time.Time) bool {
	return !p.isLongPolling && !now.Before(p.nextLongPollAt)
}

// IsLongPolling reports whether one is on its way.
func (p *Polls) IsLongPolling() bool { return p.isLongPolling }

// LongPollAge returns for how long one is on its way; 0 when none is.
func (p *Polls) LongPollAge(now time.Time) time.Duration {
	if !p.isLongPolling {
		return 0
	}
	return now.Sub(p.longPolledAt)
}

// BeginLongPoll takes that one is asked for.
func (p *Polls) BeginLongPoll(now time.Time) { p.isLongPolling, p.longPolledAt = true, now }

// DelayLongPollUntil takes that the next one is not to be asked for before then.
func (p *Polls) DelayLongPollUntil(t time.Time) { p.nextLongPollAt = t }

// EndLongPoll takes that the one that waits has come, or that it will not.
func (p *Polls) EndLongPoll() { p.isLongPolling = false }

// CountMiss takes that it did not come.
func (p *Polls) CountMiss(now time.Time) {
	if p.misses >= missesAllowed {
		p.nextLongPollAt = now.Add(min(initialBackoff<<min(p.misses, maxDoublings), maxBackoff))
	}
	p.misses++
}

// HasMissed reports whether the last one did not come.
func (p *Polls) HasMissed() bool { return p.misses > 0 }

// IsSilent reports whether the worker does not answer.
func (p *Polls) IsSilent() bool { return p.misses > missesAllowed }

// heard takes that the worker answers.
func (p *Polls) resetMisses() { p.misses = 0 }

// TryImmediatePoll reports whether a listing at once is to be asked for now. It is wanted later where
// enough are on their way, of which none is overdue.
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

// WantsImmediatePoll reports whether another listing at once is wanted.
func (p *Polls) WantsImmediatePoll() bool { return p.wantsImmediatePoll }

// EndImmediatePoll takes that one at once has come, or will not.
func (p *Polls) EndImmediatePoll() { p.immediatePolls-- }
