// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// at returns a time s seconds after the start of a test.
func at(s float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

func TestStandstillOfAJob(t *testing.T) {
	for name, tc := range map[string]struct {
		play          func(p *site.Progress)
		longest, calm time.Duration
	}{
		"waits for its first task": {func(p *site.Progress) { p.Observe(at(12), true) }, 2 * time.Second, 2 * time.Second},
		"runs":                     {func(p *site.Progress) { p.Start("a.0.0.0", at(10)); p.Observe(at(15), true) }, 0, 0},
		"waits for its next task": {func(p *site.Progress) {
			p.Start("a.0.0.0", at(10))
			p.End("a.0.0.0", true, at(11))
			p.Observe(at(14), true)
		}, 3 * time.Second, 3 * time.Second},
		"starts a failed task again": {func(p *site.Progress) {
			p.Start("a.0.0.0", at(10))
			p.End("a.0.0.0", false, at(11))
			p.Observe(at(12), true)
			p.Start("a.0.0.0", at(13))
			p.Observe(at(20), true)
		}, time.Second, time.Second},
		"no worker has room until 15": {func(p *site.Progress) {
			p.Observe(at(15), false)
			p.Observe(at(16), true)
		}, time.Second, time.Second},
		"within a disturbance": {func(p *site.Progress) {
			p.Disturb(at(11))
			p.Observe(at(14), true)
		}, 4 * time.Second, 0},
		"beyond a disturbance": {func(p *site.Progress) {
			p.Disturb(at(11))
			p.Observe(at(17), true)
		}, 7 * time.Second, 2 * time.Second},
		"has ended": {func(p *site.Progress) {
			p.Forget("a")
			p.Observe(at(20), true)
		}, 0, 0},
		"all tasks are done": {func(p *site.Progress) {
			for _, task := range []string{"a.0.0.0", "a.0.1.0"} {
				p.Start(task, at(10))
				p.End(task, true, at(11))
			}
			p.Observe(at(20), true)
		}, 0, 0},
	} {
		p := site.NewProgress(0)
		p.Accept("a", 2, at(10))
		tc.play(p)
		if got, _ := p.Standstills(); got.Longest != tc.longest || got.Calm != tc.calm {
			t.Errorf("%s: got: %v, want: %v, in calm %v", name, got, tc.longest, tc.calm)
		}
	}
}

// Guards against a standstill that is reported of a gang whose other members were stopped after the first success.
func TestSuccessOfOneMemberEndsAGang(t *testing.T) {
	p := site.NewProgress(0)
	p.AcceptGang("a", 3, at(0))
	p.AcceptGang("b", 3, at(0))
	for _, task := range []string{"a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.1"} {
		p.Start(task, at(0))
	}
	p.End("a.0.0.1", true, at(1))
	for _, task := range []string{"a.0.0.0", "b.0.0.0", "b.0.0.1"} {
		p.End(task, false, at(1))
	}
	p.Observe(at(5), true)
	if got, _ := p.Standstills(); got.LongestOf != "b" || got.Longest != 4*time.Second {
		t.Errorf("got: %v, want: 4s of b, of which no member has succeeded", got)
	}
}

func TestAbsenceOfALongRunningTask(t *testing.T) {
	p := site.NewProgress(0)
	p.AcceptLongRunning("a", 2, at(0))
	p.Start("a.0.0.0", at(1))
	p.Start("a.0.0.1", at(1))
	p.Disturb(at(2))
	p.End("a.0.0.1", false, at(2))
	p.Observe(at(10), true)
	ofJobs, ofLongRunning := p.Standstills()
	if got, want := ofLongRunning, (site.Standstill{Longest: 8 * time.Second, Calm: 2 * time.Second, LongestOf: "a.0.0.1", CalmOf: "a.0.0.1"}); got != want {
		t.Errorf("long-running task: got: %v, want: %v", got, want)
	}
	if ofJobs.Longest != 0 {
		t.Errorf("its job, of which another task runs: got: %v, want: 0", ofJobs)
	}
}

func TestStandstillBeyondTheLimitIsOneViolation(t *testing.T) {
	p := site.NewProgress(3 * time.Second)
	p.Accept("a", 1, at(0))
	p.Disturb(at(0))
	for _, tc := range []struct {
		now  float64
		want int
	}{{7, 0}, {7.1, 1}, {9, 0}} {
		if got := p.Observe(at(tc.now), true); len(got) != tc.want {
			t.Errorf("%v s after the disturbance: got: %v, want: %d violations", tc.now, got, tc.want)
		}
	}
}
