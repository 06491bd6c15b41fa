// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/work"
)

const ms = time.Millisecond

var (
	cheap  = &order.PermissionPolicy{BaseTime: 13 * ms, TimePerWorker: ms / 5, ValidFor: 2 * time.Second}
	costly = &order.PermissionPolicy{BaseTime: 490 * ms, TimePerWorker: 7 * ms, ValidFor: 2 * time.Second}
	now    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func TestChoose(t *testing.T) {
	many := make([]permit.Candidate, 80)
	for i := range many {
		many[i] = permit.Candidate{ID: order.WorkerID(string(rune('A' + i))), Fits: 2}
	}
	for name, c := range map[string]struct {
		found   []permit.Candidate
		policy  *order.PermissionPolicy
		missing int
		want    []order.WorkerID
	}{
		"those with room first, then those that are known": {
			[]permit.Candidate{{ID: "a"}, {ID: "b", Fits: 1}, {ID: "c", IsGood: true}, {ID: "d", Fits: 3}, {ID: "e", Fits: 1, IsGood: true}},
			costly, 9,
			[]order.WorkerID{"e", "d", "b", "c", "a"},
		},
		"those with room that are not known before those without that are": {
			[]permit.Candidate{{ID: "a", IsGood: true}, {ID: "b", IsGood: true}, {ID: "c", IsGood: true}, {ID: "d", Fits: 1}},
			costly, 1,
			[]order.WorkerID{"d", "a", "b", "c"},
		},
		"no more than are needed, where they are known": {
			[]permit.Candidate{{ID: "a", Fits: 3, IsGood: true}, {ID: "b", Fits: 3, IsGood: true}, {ID: "c", Fits: 3, IsGood: true}},
			costly, 2,
			[]order.WorkerID{"a"},
		},
		"slow ones last": {
			[]permit.Candidate{{ID: "a", Fits: 9, IsSuspect: true}, {ID: "b", Fits: 1}},
			costly, 1,
			[]order.WorkerID{"b", "a"},
		},
	} {
		if got := permit.Choose(c.found, c.policy, c.missing); !slices.Equal(got, c.want) {
			t.Errorf("%s: got: %v, want: %v", name, got, c.want)
		}
	}
	if got := len(permit.Choose(slices.Clone(many), costly, 1)); got != 6 {
		t.Errorf("asked about for one task, of 80 with room: got: %d, want: 6", got)
	}
	if got := len(permit.Choose(slices.Clone(many), cheap, 1)); got != 80 {
		t.Errorf("asked about by a cheap call: got: %d, want: 80", got)
	}
	for i := range many {
		many[i].Fits = 0
	}
	for missing, want := range map[int]int{1: 9, 5: 43, 20: 80} {
		if got := len(permit.Choose(slices.Clone(many), costly, missing)); got != want {
			t.Errorf("asked about of 80 without room, for %d tasks: got: %d, want: %d", missing, got, want)
		}
	}
}

func TestLanes(t *testing.T) {
	l := permit.Lanes{}
	step := work.StepID{Job: "j"}
	if got := l.Free(cheap); got != "" {
		t.Errorf("without ways: got: %q, want: none", got)
	}
	l.SetNames([]string{"a", "b", "c"})
	name := l.Free(costly)
	patience := l.Take(name, step, costly, 10, now)
	if want := 2*560*ms + 250*ms; patience != want {
		t.Errorf("patience: got: %v, want: %v", patience, want)
	}
	if got := l.Free(costly); got != "" {
		t.Errorf("for a further costly call: got: %q, want: none, two are left to cheap ones", got)
	}
	if got := l.Free(cheap); got == "" || got == name {
		t.Errorf("for a cheap call: got: %q, want: another than %q", got, name)
	}
	if lost := l.Expire(now.Add(patience)); len(lost) != 0 {
		t.Errorf("lost in time: got: %v, want: none", lost)
	}
	if lost := l.Expire(now.Add(2 * patience)); !slices.Equal(lost, []work.StepID{step}) {
		t.Errorf("lost: got: %v, want: %v", lost, step)
	}
	l.Take("a", step, cheap, 1, now)
	lost, isChanged := l.SetNames([]string{"b", "c"})
	if !isChanged || !slices.Equal(lost, []work.StepID{step}) {
		t.Errorf("lost with a way that is gone: got: %v, %v, want: %v", lost, isChanged, step)
	}
}

func TestStep(t *testing.T) {
	s := permit.Step{}
	s.Asked()
	if s.MayAsk(now) {
		t.Error("while a call is on its way: got: may ask, want: not")
	}
	s.Answered([]order.WorkerID{"a", "b"}, []order.Permit{{Worker: "b", Text: "t"}}, 2*time.Second, now)
	if isGood, isKnown := s.Verdict("a"); isGood || !isKnown {
		t.Errorf("a worker that may not: got: %v, %v, want: known as such", isGood, isKnown)
	}
	if text, ok := s.Holds("b", now.Add(1700*ms)); !ok || text != "t" {
		t.Errorf("a ticket: got: %q, %v, want: t", text, ok)
	}
	if _, ok := s.Holds("b", now.Add(1800*ms)); ok {
		t.Error("a ticket about to end: got: holds, want: not")
	}
	good := []order.WorkerID{}
	s.Good(func(id order.WorkerID) { good = append(good, id) })
	s.Permitted(now.Add(3*time.Second), func(id order.WorkerID) { t.Errorf("permitted later: got: %s, want: none", id) })
	if !slices.Equal(good, []order.WorkerID{"b"}) {
		t.Errorf("good: got: %v, want: b", good)
	}
	s.Failed(now)
	if s.MayAsk(now) || !s.MayAsk(now.Add(100*ms)) {
		t.Error("after a failure: got: no pause of 100ms")
	}
}
