// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package runner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

// Result is what a play showed.
type Result struct {
	Deployment string        `json:"deployment"`
	Day        string        `json:"day"`
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	// Faults is how many were played, Starts how many runs of tasks began.
	Faults int          `json:"faults"`
	Starts int          `json:"starts"`
	Kinds  []KindResult `json:"kinds"`
	// LongestAway is the longest time for which nothing of a task that lasts ran.
	LongestAway time.Duration     `json:"longestAway"`
	Violations  []rules.Violation `json:"violations"`
	// IsPartial means that the play was ended before its time.
	IsPartial bool `json:"isPartial"`
}

// KindResult is what callers of one kind of job saw.
type KindResult struct {
	Name string `json:"name"`
	// Came is how many jobs came. Accepted, Refused and Unknown are what became of handing them in:
	// Refused only where each answer was a refusal.
	Came     int `json:"came"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Succeeded, Failed and Cancelled are what the accepted ones were shown as at last.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Answers are the times to the answer that took the job, Ends those until it was shown as
	// succeeded, both from when it came.
	Answers Times `json:"answers"`
	Ends    Times `json:"ends"`
}

// Times are quantiles.
type Times struct {
	Half time.Duration `json:"p50"`
	Most time.Duration `json:"p99"`
	Max  time.Duration `json:"max"`
}

// tally counts one kind while jobs come. It is safe for concurrent use.
type tally struct {
	mu            sync.Mutex
	result        KindResult
	answers, ends *hdrhistogram.Histogram
}

// longestTime is the longest that a histogram tells apart.
const longestTime = 10 * time.Minute

func newTally(name string) *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestTime.Microseconds(), 3) }
	return &tally{result: KindResult{Name: name}, answers: h(), ends: h()}
}

func (t *tally) note(change func(*KindResult)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.result)
}

func (t *tally) took(h *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = h.RecordValue(min(d, longestTime).Microseconds())
}

func (t *tally) take() KindResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.Answers, r.Ends = timesOf(t.answers), timesOf(t.ends)
	return r
}

func timesOf(h *hdrhistogram.Histogram) Times {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Times{at(50), at(99), time.Duration(h.Max()) * time.Microsecond}
}
