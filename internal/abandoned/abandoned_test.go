// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package abandoned_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/abandoned"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

const ms = time.Millisecond

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func task(i int) work.TaskID { return work.TaskID{Job: "a", Index: i} }

// An abandoned start may reach any incarnation of its worker, as they share its name and
// address. It must be known for each of them until it cannot arrive any more, and for no other
// worker.
func TestAbandonedStartMayReachAnyIncarnationOfItsWorker(t *testing.T) {
	o := abandoned.Starts{}
	first, second := order.NewWorkerID("w", begin), order.NewWorkerID("w", begin.Add(time.Minute))
	o.Add(first, task(0), 1, begin, begin)
	o.Add(second, task(1), 2, begin.Add(time.Second), begin.Add(time.Second))
	o.Add(first, task(2), 3, begin, begin.Add(abandoned.MaxDelay+ms))
	for name, tc := range map[string]struct {
		id   order.WorkerID
		at   time.Duration
		want int
	}{
		"at once":               {first, time.Second, 2},
		"a newer incarnation":   {second, abandoned.MaxDelay, 2},
		"the first has expired": {second, abandoned.MaxDelay + ms, 1},
		"all have expired":      {second, abandoned.MaxDelay + time.Second + ms, 0},
		"another worker":        {"other", time.Second, 0},
	} {
		if got := len(o.ForWorker(tc.id, begin.Add(tc.at))); got != tc.want {
			t.Errorf("%s: got: %d starts, want: %d", name, got, tc.want)
		}
	}
	if got := o.Generation(second); got != 3 || o.Generation("other") != 0 {
		t.Errorf("generations: got: %d and %d, want: 3 and 0", got, o.Generation("other"))
	}
	o.DropExpired(begin.Add(time.Hour))
	if got := o.Generation(first); got != 3 || len(o.ForWorker(first, begin)) != 0 {
		t.Errorf("after an hour: got: generation %d, %d starts, want: 3, 0", got, len(o.ForWorker(first, begin)))
	}
}

// Orders to refuse may be lost as well, so that they are repeated until the worker acknowledges
// them. A silent worker must not get all of them at each tick: it may owe answers to a hundred
// starts.
func TestRefusalIsRepeatedUntilAcknowledged(t *testing.T) {
	const retry = 120 * ms
	starts := []abandoned.Start{}
	for i := range 6 {
		starts = append(starts, abandoned.Start{Task: task(i), Run: 1, Until: begin.Add(abandoned.MaxDelay)})
	}
	for name, tc := range map[string]struct {
		isSilent bool
		want     []int
	}{
		"it answers":                       {false, []int{6, 0, 0, 0, 0, 0, 0, 6}},
		"it is silent, a few at each tick": {true, []int{4, 4, 4, 4, 4, 4, 4, 4}},
	} {
		r := abandoned.Refusals{}
		r.Add(starts)
		r.Add(starts[:2])
		for i, want := range tc.want {
			if got := len(r.Due(begin.Add(time.Duration(i)*20*ms), retry, tc.isSilent)); got != want {
				t.Errorf("%s, after %d ticks of 20 ms: got: %d, want: %d", name, i, got, want)
			}
		}
		for i := range 5 {
			r.MarkRefused(task(i), 1)
		}
		r.MarkRefused(task(5), 2)
		if got := len(r.Due(begin.Add(time.Second), retry, false)); got != 1 || !r.HasPending() {
			t.Errorf("%s, all but one are acknowledged: got: %d, want: 1", name, got)
		}
		if got := len(r.Due(begin.Add(abandoned.MaxDelay+ms), retry, false)); got != 0 || r.HasPending() {
			t.Errorf("%s, none can arrive any more: got: %d, want: 0", name, got)
		}
	}
}
