// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package outlier_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/outlier"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTwoFailuresInARowSetAWorkerAside(t *testing.T) {
	h := outlier.Health{}
	h.Failed(now, "a")
	h.Failed(now, "a")
	if h.IsPaused(now) {
		t.Error("after two failures of one job: got: paused, want: not, the job may be at fault")
	}
	h.Failed(now, "b")
	if !h.IsPaused(now) || !h.OnTrial {
		t.Error("after failures of two jobs: got: in use, want: set aside")
	}
	later := now.Add(3 * time.Second)
	if h.IsPaused(later) {
		t.Error("3s later: got: paused, want: on trial")
	}
	h.Failed(later, "c")
	if !h.IsPaused(later.Add(5 * time.Second)) {
		t.Error("after a failed trial: got: in use after 5s, want: aside for longer")
	}
	h.Succeeded(later)
	if h.OnTrial {
		t.Error("after a success: got: on trial, want: in use")
	}
}

func TestAWorkerIsTriedBeforeItsPauseIsOver(t *testing.T) {
	h := outlier.Health{}
	h.Refused(now)
	if h.MayTryEarly(now) {
		t.Error("a worker that takes nothing: got: tried early, want: not")
	}
	h.Failed(now, "a")
	h.Failed(now, "b")
	h.Failed(now, "c")
	early := now.Add(3 * time.Second)
	if !h.IsPaused(early) || h.MayTryEarly(early.Add(-time.Millisecond)) || !h.MayTryEarly(early) {
		t.Error("a pause of 6 s: got: no early trial from 3 s on, want: one")
	}
	h.BeginTrial(early)
	if h.IsPaused(early) || h.IsTrial(early.Add(-time.Millisecond)) || !h.IsTrial(early) {
		t.Error("tried early: got: no trial, want: one with what is ordered from then on")
	}
	h.Passed()
	if h.OnTrial || h.IsTrial(early) {
		t.Error("passed: got: on trial, want: in use")
	}
}

func TestRiskFollowsTheShareOfFailures(t *testing.T) {
	good, bad := outlier.Health{}, outlier.Health{}
	for range 10 {
		good.Succeeded(now)
		bad.Succeeded(now)
	}
	for range 5 {
		bad.Failed(now, "a")
	}
	if good.Risk(now) >= bad.Risk(now) {
		t.Errorf("risks: got: %.2f and %.2f, want: less for the one that fails nothing", good.Risk(now), bad.Risk(now))
	}
	if !good.IsSound(now) || bad.IsSound(now) {
		t.Errorf("sound: got: %v and %v, want: only the first", good.IsSound(now), bad.IsSound(now))
	}
}

func TestASlowWorkerProvesItself(t *testing.T) {
	s := outlier.Speed{}
	s.JudgedSlow(now)
	s.Ended(3*time.Second, time.Second)
	if !s.IsSlow(now) || !s.IsSuspect {
		t.Error("after a slow task: got: as others, want: slow")
	}
	s.Ended(time.Second, time.Second)
	if s.IsSuspect {
		t.Error("after a task in the usual time: got: suspect, want: not")
	}
}

func TestProgressTellsTheLastRate(t *testing.T) {
	p := outlier.Progress{}
	at := order.WorkerTime(time.Hour)
	p.Take(at, 0, time.Second)
	if _, ok := p.Rate(); ok {
		t.Error("after one sample: got: a rate, want: none")
	}
	p.Take(at+order.WorkerTime(500*time.Millisecond), 50, time.Second)
	p.Take(at+order.WorkerTime(550*time.Millisecond), 51, time.Second)
	if rate, ok := p.Rate(); !ok || rate != 100 {
		t.Errorf("rate: got: %v, %v, want: 100 %% a second, not of samples too near", rate, ok)
	}
}
