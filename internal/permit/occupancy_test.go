// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit_test

import (
	"math"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The customers' fractions are those of the time of their recent calls, and count only while channels
// are scarce.
func TestOccupancy(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, tc := range map[string]struct {
		isScarce bool
		// later is the time from the calls to the question, during which steps go on to find no channel.
		later    time.Duration
		newCalls time.Duration
		want     map[work.CustomerName]float64
	}{
		"channels are not scarce": {false, 0, 0, map[work.CustomerName]float64{"a": 0, "b": 0, "c": 0}},
		"scarce":                  {true, 0, 0, map[work.CustomerName]float64{"a": 0.75, "b": 0.25, "c": 0}},
		"scarce, no calls since":  {true, time.Second, 0, map[work.CustomerName]float64{"a": 0.75, "b": 0.25, "c": 0}},
		"old calls are forgotten": {true, time.Hour, time.Second, map[work.CustomerName]float64{"a": 0, "b": 0, "c": 1}},
	} {
		o := permit.Occupancy{}
		o.Record("a", 300*time.Millisecond, start)
		o.Record("b", 100*time.Millisecond, start)
		now := start.Add(tc.later)
		if tc.newCalls > 0 {
			o.Record("c", tc.newCalls, now)
		}
		if tc.isScarce {
			o.RecordNoChannel(now)
		}
		for customer, want := range tc.want {
			if got := o.Fraction(customer, now); math.Abs(got-want) > 1e-6 {
				t.Errorf("%s: %s: got: %v, want: %v", name, customer, got, want)
			}
		}
	}
}

// Channels must not count as scarce for long after a step has found none.
func TestChannelsAreScarceForAWhile(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := permit.Occupancy{}
	o.Record("a", time.Second, now)
	o.RecordNoChannel(now)
	for _, tc := range []struct {
		after time.Duration
		want  float64
	}{{0, 1}, {100 * time.Millisecond, 1}, {2 * time.Second, 0}} {
		if got := o.Fraction("a", now.Add(tc.after)); got != tc.want {
			t.Errorf("%v after a step found no channel: got: %v, want: %v", tc.after, got, tc.want)
		}
	}
}

// A planner must charge a call to the customer of its step, and see that a step finds no channel.
func TestPlannerTracksOccupancy(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := &order.PermissionPolicy{BaseTime: 30 * time.Millisecond, TimePerWorker: time.Millisecond, ValidFor: 2 * time.Second}
	p := permit.NewPlanner(permit.Options{})
	p.Channels().SetNames([]string{"n"})
	p.BeginPass()
	plan := func(id work.JobID, customer work.CustomerName) bool {
		r := permit.Request{
			ID: work.StepID{Job: id}, Customer: customer, Queue: "q", Policy: policy, Missing: 1, AtOnce: 1, Need: leverdyke.Resources{MilliCPU: 1000},
		}
		_, ok := p.Plan(&permit.Step{}, &r, now, func() []permit.Candidate { return []permit.Candidate{{ID: "w", Fits: 1}} })
		return ok
	}
	if !plan("j", "a") {
		t.Fatal("got: no call, want: one")
	}
	if got := p.Occupancy().Fraction("a", now); got != 0 {
		t.Errorf("no step lacks a channel: got: %v, want: 0", got)
	}
	if plan("k", "b") {
		t.Fatal("got: a call without a free channel, want: none")
	}
	if got := p.Occupancy().Fraction("a", now); got != 1 {
		t.Errorf("a step lacks a channel: got: %v, want: 1", got)
	}
}
