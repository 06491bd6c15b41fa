// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package runner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/leverdyke/leverdyke/internal/emulator/rules"
)

// Result is the result of an emulation.
type Result struct {
	// Deployment and Schedule are the names of the deployment and the fault schedule.
	Deployment string        `json:"deployment"`
	Schedule   string        `json:"day"`
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	// Faults is the number of faults injected, Starts the number of task attempts that started.
	Faults int          `json:"faults"`
	Starts int          `json:"starts"`
	Kinds  []KindResult `json:"kinds"`
	// LongestOutage is the longest time for which a long-running task had no running attempt.
	LongestOutage time.Duration     `json:"longestAway"`
	Violations    []rules.Violation `json:"violations"`
	// IsPartial means that the emulation was cancelled before its end.
	IsPartial bool `json:"isPartial"`
}

// KindResult is what the callers of one kind of job observed.
type KindResult struct {
	Name string `json:"name"`
	// Arrived is the number of jobs that arrived. Accepted, Refused and Unknown count the outcomes of
	// submitting them: Refused only if every attempt was answered with a refusal, Unknown if a job was
	// not accepted in time and an attempt got no full answer, so that it may have been accepted.
	Arrived  int `json:"came"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Succeeded, Failed and Cancelled count the final states of the accepted jobs.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// SubmitLatency is the time from a job's arrival to the answer that accepted it, CompletionTime the
	// time from its arrival until a node reported it as succeeded.
	SubmitLatency  Quantiles `json:"answers"`
	CompletionTime Quantiles `json:"ends"`
}

// Quantiles are the median, the 99th percentile and the maximum of a distribution of times.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// kindCounter counts the jobs of one kind while they arrive. It is safe for concurrent use.
type kindCounter struct {
	mu                            sync.Mutex
	result                        KindResult
	submitLatency, completionTime *hdrhistogram.Histogram
}

// maxRecordedTime is the upper bound of the histograms; longer times are recorded as this.
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
