// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/order"
)

// lateSuccess is what the log tells of a run that ended as done after it was given up.
type lateSuccess struct {
	why      string
	other    order.WorkerID
	otherRun uint64
}

// logLateSuccesses makes the cluster's engine log into the slice that is returned.
func logLateSuccesses(c *retryCluster) *[]lateSuccess {
	logged := &[]lateSuccess{}
	c.log = func(event events.Event, keysAndValues ...any) {
		if event != events.LateSuccess {
			return
		}
		fields := map[any]any{}
		for i := 0; i+1 < len(keysAndValues); i += 2 {
			fields[keysAndValues[i]] = keysAndValues[i+1]
		}
		*logged = append(*logged, lateSuccess{fields["why"].(string), fields["other"].(order.WorkerID), fields["otherRun"].(uint64)})
	}
	return logged
}

// A log without this line could not tell on what evidence a run was given up whose end arrived later.
func TestSuccessOfAGivenUpRunIsLoggedWithTheEvidence(t *testing.T) {
	for want, giveUp := range map[string]func(*retryCluster, order.WorkerID){
		"life over":            func(c *retryCluster, id order.WorkerID) { c.engine.IncarnationEnded(id) },
		"missing in a listing": func(c *retryCluster, id order.WorkerID) { c.reportNothing(id) },
		"leases lapsed":        func(c *retryCluster, id order.WorkerID) { c.silentWorker = id; c.advance(8 * time.Second) },
	} {
		c := newRetryCluster("v", "w")
		logged := logLateSuccesses(c)
		c.submit("a", false)
		first := c.starts[0]
		c.starts = nil
		c.clock.Advance(tick)
		c.engine.Advance(c.clock.Now())
		giveUp(c, first.Worker)
		c.settle()
		if len(c.starts) != 1 {
			t.Errorf("%s: starts after the run was given up: got: %d, want: 1", want, len(c.starts))
			continue
		}
		second := c.starts[0]
		c.silentWorker = ""
		c.relist()
		c.answerPoll(first.Worker, order.End{Number: 1, Task: first.Task, Run: first.Run, Kind: order.EndSucceeded})
		if got := *logged; len(got) != 1 || got[0] != (lateSuccess{want, second.Worker, second.Run}) {
			t.Errorf("got: %v, want: one of %q, beside run %d on %s", got, want, second.Run, second.Worker)
		}
	}
}

// The end of a run that is known and the only one must not be logged as a late one.
func TestSuccessOfAKnownRunIsNotLoggedAsLate(t *testing.T) {
	c := newRetryCluster("v", "w")
	logged := logLateSuccesses(c)
	c.submit("a", false)
	c.endLastStart(order.EndSucceeded)
	if got := *logged; len(got) != 0 {
		t.Errorf("got: %v, want: no line", got)
	}
}
