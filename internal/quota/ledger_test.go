// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package quota_test

import (
	"slices"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/work"
)

var (
	each   = leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 10}
	limits = []order.Customer{
		{Name: "a", Limit: leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 100}},
		{Name: "memory", Limit: leverdyke.Resources{MemoryMiB: 25}},
		{Name: "free"},
	}
)

func newLedger() *quota.Ledger {
	l := &quota.Ledger{}
	l.SetLimits(limits)
	return l
}

// Tasks may start only as far as the limit allows beside what runs and what may be running.
func TestAdmissible(t *testing.T) {
	for name, tc := range map[string]struct {
		customer work.CustomerName
		prepare  func(l *quota.Ledger)
		want     int
	}{
		"nothing runs":         {"a", func(*quota.Ledger) {}, 4},
		"some":                 {"a", func(l *quota.Ledger) { l.Charge("a", each.Times(3), false) }, 1},
		"some have ended":      {"a", func(l *quota.Ledger) { l.Charge("a", each.Times(3), false); l.Release("a", each, false) }, 2},
		"over the limit":       {"a", func(l *quota.Ledger) { l.Charge("a", each.Times(9), false) }, 0},
		"some may be running":  {"a", func(l *quota.Ledger) { l.AddUncertain("a", each); l.AddUncertain("a", each) }, 2},
		"no longer uncertain":  {"a", func(l *quota.Ledger) { l.AddUncertain("a", each); l.MarkUnknownUsage("a"); l.ClearUncertain() }, 4},
		"of an unknown size":   {"a", func(l *quota.Ledger) { l.MarkUnknownUsage("a") }, 0},
		"of another customer":  {"a", func(l *quota.Ledger) { l.MarkUnknownUsage("free"); l.Charge("memory", each, false) }, 4},
		"another dimension":    {"memory", func(*quota.Ledger) {}, 2},
		"no limit":             {"free", func(l *quota.Ledger) { l.Charge("free", each.Times(99), false); l.MarkUnknownUsage("free") }, 10},
		"unknown":              {"none", func(*quota.Ledger) {}, 10},
		"nobody":               {"", func(l *quota.Ledger) { l.Charge("", each, false); l.MarkUnknownUsage(""); l.AddUncertain("", each) }, 10},
		"lower":                {"a", func(l *quota.Ledger) { l.SetLimits([]order.Customer{{Name: "a", Limit: each}}) }, 1},
		"no longer configured": {"a", func(l *quota.Ledger) { l.SetLimits(nil) }, 4},
		"charged before its limit": {"late", func(l *quota.Ledger) {
			l.Charge("late", each, false)
			l.SetLimits([]order.Customer{{Name: "late", Limit: each.Times(3)}})
		}, 2},
	} {
		l := newLedger()
		tc.prepare(l)
		if got := l.Admissible(tc.customer, each, 10); got != tc.want {
			t.Errorf("%s: got: %d, want: %d", name, got, tc.want)
		}
	}
}

// A limit that is lowered while tasks run is exceeded, and starts that were planned before must then not
// be ordered. A limit that is fully used is not exceeded.
func TestIsOverLimit(t *testing.T) {
	l := newLedger()
	l.Charge("a", each.Times(4), false)
	if l.IsOverLimit("a") || l.IsOverLimit("") || l.IsOverLimit("none") {
		t.Error("all of the limit in use: got: over, want: not")
	}
	l.SetLimits([]order.Customer{{Name: "a", Limit: each.Times(3)}})
	if !l.IsOverLimit("a") {
		t.Error("lowered limit: got: not over, want: over")
	}
}

// Long-running tasks do not end by themselves: a job that only fits without them must not hold back
// the other steps of its customer while it waits.
func TestFitsEventually(t *testing.T) {
	l := newLedger()
	l.Charge("a", each.Times(2), false)
	l.Charge("a", each, true)
	if !l.FitsEventually("a", each.Times(3)) {
		t.Error("fits beside long-running tasks: got: never, want: later")
	}
	if l.FitsEventually("a", each.Times(4)) {
		t.Error("more than long-running tasks leave: got: later, want: never")
	}
	l.Release("a", each, true)
	if !l.FitsEventually("a", each.Times(4)) || !l.FitsEventually("free", each.Times(400)) {
		t.Error("no long-running task, or no limit: got: never, want: later")
	}
}

// The number of batches depends on the limit alone, not on what the customer uses now.
func TestBatches(t *testing.T) {
	l := newLedger()
	l.Charge("a", each.Times(3), false)
	for name, tc := range map[string]struct {
		customer work.CustomerName
		n, want  int
	}{"all at once": {"a", 4, 1}, "one more": {"a", 5, 2}, "many": {"a", 13, 4}, "no limit": {"free", 99, 1}, "unknown": {"none", 99, 1}, "nothing": {"a", 0, 1}} {
		if got := l.Batches(tc.customer, each, tc.n); got != tc.want {
			t.Errorf("%s: got: %d, want: %d", name, got, tc.want)
		}
	}
	if got := l.Batches("a", each.Times(5), 3); got != 3 {
		t.Errorf("tasks that are larger than the limit: got: %d, want: 3", got)
	}
}

func TestMostUtilized(t *testing.T) {
	l := newLedger()
	l.Charge("a", each, false)
	l.Charge("memory", each, false)
	l.Charge("free", each.Times(99), false)
	want := []quota.CustomerUtilization{{Name: "memory", Fraction: 0.4}, {Name: "a", Fraction: 0.25}}
	if got := l.MostUtilized(5); !slices.Equal(got, want) {
		t.Errorf("got: %+v, want: %+v", got, want)
	}
	if got := l.MostUtilized(1); !slices.Equal(got, want[:1]) {
		t.Errorf("only one: got: %+v, want: %+v", got, want[:1])
	}
}

func TestUsage(t *testing.T) {
	l := newLedger()
	l.Charge("a", each, false)
	if got, want := l.Usage("a"), (quota.Usage{Used: each, Limit: limits[0].Limit}); got != want {
		t.Errorf("got: %+v, want: %+v", got, want)
	}
	l.AddUncertain("a", each)
	if !l.Usage("a").IsUncertain || l.Usage("none") != (quota.Usage{}) {
		t.Error("uncertain usage: got: certain, or the usage of an unknown customer, want: uncertain")
	}
}
