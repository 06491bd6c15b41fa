// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/permit"
	"github.com/leverdyke/leverdyke/internal/work"
)

// freeWorkers returns n candidates on which so many tasks fit.
func freeWorkers(n, fits int) []permit.Candidate {
	out := make([]permit.Candidate, n)
	for i := range out {
		out[i] = permit.Candidate{ID: order.WorkerID(fmt.Sprintf("w%03d", i)), Fits: fits}
	}
	return out
}

// A call must name enough workers that too few are seldom permitted, since another call costs a whole
// round trip, and no more than that, since each makes it longer. The least are the binomial
// distribution's, where each worker stays free; the most are twice that.
func TestCallNamesAsManyWorkersAsAreNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		policy          *order.PermissionPolicy
		missing, fits   int
		share           float64
		atLeast, atMost int
		known           bool
		candidates      int
	}{
		"one task, most are permitted":           {policy: fast, missing: 1, fits: 1, share: 0.7, atLeast: 4, atMost: 8, candidates: 200},
		"one task, few are permitted":            {policy: fast, missing: 1, fits: 1, share: 0.35, atLeast: 11, atMost: 22, candidates: 200},
		"three tasks side by side":               {policy: fast, missing: 3, fits: 3, share: 0.7, atLeast: 4, atMost: 8, candidates: 200},
		"three tasks, one a worker":              {policy: fast, missing: 3, fits: 1, share: 0.7, atLeast: 8, atMost: 16, candidates: 200},
		"one task, a slow call":                  {policy: slow, missing: 1, fits: 1, share: 0.35, atLeast: 5, atMost: 10, candidates: 200},
		"one task, a worker known":               {policy: slow, missing: 1, fits: 1, share: 0.35, atLeast: 1, atMost: 1, known: true, candidates: 200},
		"more tasks than a call can find":        {policy: fast, missing: 80, fits: 1, share: 0.35, atLeast: 100, atMost: 100, candidates: 200},
		"fewer workers than are needed":          {policy: fast, missing: 3, fits: 1, share: 0.35, atLeast: 2, atMost: 2, candidates: 2},
		"no workers":                             {policy: fast, missing: 3, fits: 1, share: 0.35},
		"one task, nobody has free capacity now": {policy: fast, missing: 1, share: 0.7, atLeast: 4, atMost: 24, candidates: 200},
	} {
		candidates := freeWorkers(c.candidates, c.fits)
		for i := range candidates {
			candidates[i].IsPermitted = c.known
		}
		if got := len(permit.ChooseWorkers(candidates, c.policy, c.missing, c.share)); got < c.atLeast || got > c.atMost {
			t.Errorf("%s: got: %d named, want: from %d to %d", name, got, c.atLeast, c.atMost)
		}
	}
}

// Among workers that suit equally well, those near the step's data must be named first: else tasks
// run far from it although the permits would have allowed a near worker.
func TestCallNamesWorkersNearTheDataFirst(t *testing.T) {
	candidates := freeWorkers(40, 2)
	for i := range candidates {
		candidates[i].IsRemote = i < 30
	}
	for _, id := range permit.ChooseWorkers(candidates, fast, 1, 0.7) {
		if id < "w030" {
			t.Errorf("got: %s, want: one of w030 to w039", id)
		}
	}
}

// The channels kept for calls that come at random must be more than are in use on average, and none
// once there are no such calls.
func TestChannelsKeptFollowTheDemand(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond       int
		took, pause     time.Duration
		atLeast, atMost int
	}{
		"short calls":            {40, 25 * ms, 0, 2, 4},
		"long calls":             {40, 250 * ms, 0, 11, 20},
		"none for half a minute": {40, 25 * ms, time.Minute, 0, 0},
	} {
		d, at := permit.Demand{}, now
		for range 60 * c.perSecond {
			at = at.Add(time.Second / time.Duration(c.perSecond))
			d.Record(c.took, at)
		}
		if got := d.Channels(at.Add(c.pause)); got < c.atLeast || got > c.atMost {
			t.Errorf("%s: got: %d channels, want: from %d to %d", name, got, c.atLeast, c.atMost)
		}
	}
}

func newPlanner(channels int) *permit.Planner {
	p := permit.NewPlanner(permit.Options{})
	p.Channels().SetNames(nodeNames(channels))
	p.BeginPass()
	return p
}

func requestOf(id string, policy *order.PermissionPolicy) *permit.Request {
	return &permit.Request{ID: work.StepID{Job: work.JobID(id)}, Queue: "q", Policy: policy, Missing: 1, AtOnce: 1}
}

// A call before a step can start must not be made when nothing could start while its permits are
// valid, and must leave the step free to call once it can.
func TestCallAheadIsMadeOnlyIfTasksCouldStart(t *testing.T) {
	for name, c := range map[string]struct {
		found  []permit.Candidate
		atOnce int
		want   bool
	}{
		"free capacity":                   {freeWorkers(5, 1), 1, true},
		"none":                            {freeWorkers(5, 0), 1, false},
		"a gang, enough free capacity":    {freeWorkers(60, 1), 10, true},
		"a gang, too little is permitted": {freeWorkers(11, 1), 10, false},
	} {
		p, s, r := newPlanner(8), &permit.Step{}, requestOf("j", fast)
		r.IsAhead, r.AtOnce, r.Missing = true, c.atOnce, c.atOnce
		if _, got := p.Plan(s, r, now, func() []permit.Candidate { return c.found }); got != c.want {
			t.Errorf("%s: got: %v, want: %v", name, got, c.want)
		}
		if !c.want && !s.MayQuery(now) {
			t.Errorf("%s: got: the step may not call now, want: it may", name)
		}
	}
}

// Slow calls must leave to fast ones the channels that these need, whatever their own number.
func TestSlowCallsLeaveChannelsToFastOnes(t *testing.T) {
	p, made := newPlanner(12), 0
	at := now
	for i := range 400 {
		at = at.Add(25 * ms)
		p.BeginPass()
		if i%10 == 0 {
			if _, ok := p.Plan(&permit.Step{}, requestOf(fmt.Sprintf("slow%d", i), slow), at, func() []permit.Candidate { return freeWorkers(9, 1) }); ok {
				made++
			}
		}
		id := fmt.Sprintf("fast%d", i)
		call, ok := p.Plan(&permit.Step{}, requestOf(id, fast), at, func() []permit.Candidate { return freeWorkers(9, 1) })
		if !ok {
			t.Fatalf("fast call %d: got: no channel, want: one", i)
		}
		p.End(call.Channel, work.StepID{Job: work.JobID(id)}, at.Add(20*ms))
	}
	if made < 8 {
		t.Errorf("slow calls under way at the end: got: %d, want: at least 8 of 12 channels", made)
	}
}

// What a planner has learned must come from the workers that were asked about for the first time: those
// known to be permitted are asked about again and again.
func TestPlannerLearnsFromFirstAnswers(t *testing.T) {
	p, s := newPlanner(8), &permit.Step{}
	first := []order.WorkerID{"a", "b", "c", "d"}
	permits := []order.Permit{{Worker: "a"}}
	p.Learn("q", s, first, permits, true)
	s.RecordAnswer(first, permits, 2*time.Second, now)
	want := p.Shares().Of("q")
	for range 100 {
		p.Learn("q", s, []order.WorkerID{"a"}, permits, false)
	}
	if got := p.Shares().Of("q"); got != want {
		t.Errorf("share after the same worker was asked about again: got: %v, want: %v", got, want)
	}
	usage := p.TakeUsage()
	if len(usage) != 1 || usage[0].Granted != 101 || usage[0].Wasted != 100 {
		t.Errorf("got: %+v, want: 101 granted, 100 answers wasted", usage)
	}
}

// The usage of a queue must tell permits that led to starts from those that expired, and calls that
// name full workers from those that name free ones.
func TestUsageTellsPermitsThatWereUsed(t *testing.T) {
	p, s, r := newPlanner(8), &permit.Step{}, requestOf("j", slow)
	found := append(freeWorkers(1, 2), permit.Candidate{ID: "full", IsPermitted: true}, permit.Candidate{ID: "x"})
	r.Missing = 9
	call, ok := p.Plan(s, r, now, func() []permit.Candidate { return found })
	if !ok || len(call.Workers) != 3 {
		t.Fatalf("got: %v, %v, want: a call that names 3 workers", call, ok)
	}
	took := p.End(call.Channel, r.ID, now.Add(700*ms))
	if again := p.End(call.Channel, r.ID, now.Add(800*ms)); took != 700*ms || again != 0 {
		t.Errorf("time on the channel: got: %v, and %v once it had ended, want: 700ms, 0s", took, again)
	}
	p.RecordDuration(r.Queue, r.Policy, len(call.Workers), took)
	permits := []order.Permit{{Worker: "w000"}, {Worker: "full"}}
	p.Learn(r.Queue, s, call.Workers, permits, true)
	s.RecordAnswer(call.Workers, permits, 2*time.Second, now)
	for range 2 {
		p.RecordStart(r.Queue, s, "w000")
	}
	got := p.TakeUsage()[0]
	want := permit.Usage{Queue: "q", Share: got.Share, Calls: 1, Missing: 9, Named: 3, Full: 2, Known: 1, Granted: 2, Used: 1, Expected: 511 * ms, Took: 700 * ms}
	if got != want {
		t.Errorf("got: %+v, want: %+v", got, want)
	}
}

// gangRequest is a request of a gang that needs n tasks at once.
func gangRequest(id string, n int) *permit.Request {
	r := requestOf(id, slow)
	r.Missing, r.AtOnce = n, n
	return r
}

// Calls on whose answers nothing can start must leave half of the channels to those that can start.
func TestCallsThatPrepareLeaveHalfOfTheChannels(t *testing.T) {
	const channels = 12
	p, made := newPlanner(channels), 0
	for i := range channels {
		p.BeginPass()
		if _, ok := p.Plan(&permit.Step{}, gangRequest(fmt.Sprintf("gang%d", i), 4), now, func() []permit.Candidate { return freeWorkers(30, 0) }); ok {
			made++
		}
	}
	if made != channels/2 {
		t.Errorf("calls on whose answers nothing can start: got: %d of %d channels, want: %d", made, channels, channels/2)
	}
	p.BeginPass()
	if _, ok := p.Plan(&permit.Step{}, requestOf("wide", slow), now, func() []permit.Candidate { return freeWorkers(30, 1) }); !ok {
		t.Error("a step that can start: got: no call, want: one")
	}
}

// A step must not ask again for tasks that can start with the permits that it holds.
func TestStepDoesNotAskForWhatItsPermitsCover(t *testing.T) {
	named := func(missing int) int {
		found := freeWorkers(60, 2)
		for i := range 10 {
			found[i].HasPermit, found[i].IsPermitted = true, true
		}
		r := requestOf("j", slow)
		r.Missing = missing
		call, _ := newPlanner(8).Plan(&permit.Step{}, r, now, func() []permit.Candidate { return found })
		return len(call.Workers)
	}
	if got := named(20); got != 0 {
		t.Errorf("20 tasks, 10 permits of workers that fit 2 each: got: %d workers named, want: no call", got)
	}
	without := len(permit.ChooseWorkers(freeWorkers(50, 2), slow, 1, 0.35))
	if got := named(21); got == 0 || got > without {
		t.Errorf("21 tasks: got: %d workers named, want: from 1 to the %d for one task", got, without)
	}
}
