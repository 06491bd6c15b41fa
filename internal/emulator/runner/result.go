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
	Schedule   string        `json:"day"`
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	// Faults is how many were played, Starts how many runs of tasks began.
	Faults int          `json:"faults"`
	Starts int          `json:"starts"`
	Kinds  []KindResult `json:"kinds"`
	// LongestAway is the longest time for which nothing of a task that lasts ran.
	LongestOutage time.Duration     `json:"longestAway"`
	Violations    []rules.Violation `json:"violations"`
	// IsPartial means that the play was ended before its time.
	IsPartial bool `json:"isPartial"`
}

// KindResult is what callers of one kind of job saw.
type KindResult struct {
	Name string `json:"name"`
	// Came is how many jobs came. Accepted, Refused and Unknown are what became of handing them in:
	// Refused only where each answer was a refusal.
	Arrived  int `json:"came"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Succeeded, Failed and Cancelled are what the accepted ones were shown as at last.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Answers are the times to the answer that took the job, Ends those until it was shown as
	// succeeded, both from when it came.
	SubmitLatency  Quantiles `json:"answers"`
	CompletionTime Quantiles `json:"ends"`
}

// Times are quantiles.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// tally counts one kind while jobs come. It is safe for concurrent use.
type kindCounter struct {
	mu                            sync.Mutex
	result                        KindResult
	submitLatency, completionTime *hdrhistogram.Histogram
}

// longestTime is the longest that a histogram tells apart.
const maxRecordedTime = 10 * time.Minute

func newKindCounter(name string) *kindCounter {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3) }
	return &kindCounter{result: KindResult{Name: name}, submitLatency: newHistogram(), completionTime: newHistogram()}
}

func (t *kindCounter) update(change func(*KindResult)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.result)
}

func (t *kindCounter) record(h *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = h.RecordValue(min(d, maxRecordedTime).Microseconds())
}

func (t *kindCounter) snapshot() KindResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.SubmitLatency, r.CompletionTime = quantilesOf(t.submitLatency), quantilesOf(t.completionTime)
	return r
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{at(50), at(99), time.Duration(h.Max()) * time.Microsecond}
}
