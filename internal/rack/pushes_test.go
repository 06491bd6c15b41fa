// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// newFullBench returns a rack of one worker with a replica of a service and
// tasks of a class in all other slots.
func newFullBench(t *testing.T, class leverdyke.Class, isOnce bool) *bench {
	t.Helper()
	b := newBench(t, 1, vm)
	replica := b.task("service", small, leverdyke.ClassNormal)
	replica.Service, replica.Request = "s", leverdyke.Resources{MilliCPU: 100, Slots: 1}
	b.ask(node.StartItem{Task: replica})
	for range 3 {
		task := b.task("fill", small, class)
		task.IsOnce = isOnce
		task.RunTime = time.Hour
		b.ask(node.StartItem{Task: task})
	}
	b.run(1)
	if got := b.rack.Room(b.clock.Now()).Free.Slots; got != 0 {
		t.Fatalf("got: %d slots free, want: 0", got)
	}
	return b
}

// A caller waits at the counter and a batch can wait: requests push batches
// aside, but nothing as urgent as they are and nothing that may not be repeated.
func TestRequestsPushBatchesAside(t *testing.T) {
	for name, c := range map[string]struct {
		class   leverdyke.Class
		isOnce  bool
		asked   leverdyke.Class
		isGiven bool
	}{
		"a batch for a normal request":       {leverdyke.ClassBatch, false, leverdyke.ClassNormal, true},
		"a batch for an urgent request":      {leverdyke.ClassBatch, false, leverdyke.ClassUrgent, true},
		"a normal task for an urgent one":    {leverdyke.ClassNormal, false, leverdyke.ClassUrgent, true},
		"not a batch for a batch's request":  {leverdyke.ClassBatch, false, leverdyke.ClassBatch, false},
		"not a normal task for a normal one": {leverdyke.ClassNormal, false, leverdyke.ClassNormal, false},
		"not what may not be repeated":       {leverdyke.ClassBatch, true, leverdyke.ClassUrgent, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFullBench(t, c.class, c.isOnce)
			b.rack.OnGrantAsk(b.clock.Now(), "n1", &node.GrantRequest{Service: "s", Slots: 3, Class: c.asked})
			b.perform()
			b.rack.OnGrantAsk(b.clock.Now(), "n1", &node.GrantRequest{Service: "s", Slots: 3, Class: c.asked})
			b.perform()
			b.run(2)
			given, refused := 0, 0
			for i := range b.toNode {
				if g := b.toNode[i].Grant; g != nil && g.RefusalReason == "" {
					given++
				} else if g != nil {
					refused++
				}
			}
			want := 0
			if c.isGiven {
				want = 1
			}
			if given != want || (refused > 0) == c.isGiven {
				t.Errorf("got: %d grants and %d refusals, want: %d grants", given, refused, want)
			}
			if got := b.workers["w0"].Running("fill"); got != 3-want {
				t.Errorf("got: %d tasks left, want: %d", got, 3-want)
			}
			for key, n := range b.news {
				if n.State != worker.StateCheckpointed {
					t.Errorf("%s: got: %v, want: checkpointed", key, n.State)
				}
			}
			if got := b.oracle.Report().OverCommits; got != 0 {
				t.Errorf("got: %d over-commits, want: 0", got)
			}
		})
	}
}

// Room that does not come about is refused in time for another rack to be asked.
func TestPushThatDoesNotHelpIsRefused(t *testing.T) {
	b := newFullBench(t, leverdyke.ClassBatch, false)
	b.rack.OnGrantAsk(b.clock.Now(), "n1", &node.GrantRequest{Service: "s", Slots: 1, Class: leverdyke.ClassNormal})
	// The worker's answer is lost with the worker: nothing is performed.
	b.rack.Take()
	b.clock.Advance(2 * time.Second)
	b.rack.OnSilent("w0")
	b.rack.Tick(b.clock.Now())
	b.perform()
	if len(b.toNode) != 1 || b.toNode[0].Grant == nil || b.toNode[0].Grant.RefusalReason == "" {
		t.Errorf("got: %+v, want: one refusal", b.toNode)
	}
}

// The summary says for how many requests batches could be pushed aside.
func TestSummaryTellsWhatBatchesYield(t *testing.T) {
	for class, want := range map[leverdyke.Class]int{leverdyke.ClassBatch: 3, leverdyke.ClassNormal: 0} {
		b := newFullBench(t, class, false)
		room := b.rack.Room(b.clock.Now())
		if got := room.Services[0]; got.Slots != 0 || got.PreemptibleSlots != want {
			t.Errorf("%s: got: %+v, want: 0 slots and %d yielded", class, got, want)
		}
	}
}
