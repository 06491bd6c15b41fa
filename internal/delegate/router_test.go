// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

const ms = time.Millisecond

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// workersOf returns n workers, assigned to the zones in turn.
func workersOf(n int, zones ...string) []order.Worker {
	out := []order.Worker{}
	for i := range n {
		out = append(out, order.Worker{ID: order.WorkerID(fmt.Sprintf("w%04d", i)), Zone: zones[i%len(zones)]})
	}
	return out
}

// nodesOf returns n nodes with the capacity for that many workers each, assigned to the zones in
// turn.
func nodesOf(prefix string, n, workers int, zones ...string) []delegate.Node {
	out := []delegate.Node{}
	for i := range n {
		out = append(out, delegate.Node{Name: fmt.Sprintf("%s%03d", prefix, i), Zone: zones[i%len(zones)], Capacity: workers, LinkID: uint64(i + 1)})
	}
	return out
}

// pollsPerNode polls each worker and returns how many polls each node executes; "" is the owner.
func pollsPerNode(r *delegate.Router, workers []order.Worker, now time.Time) map[string]int {
	out := map[string]int{}
	for i := range workers {
		if !r.Add(order.Poll{Worker: workers[i].ID}, workers[i].ID, time.Second, now) {
			out[""]++
		}
	}
	for node, b := range r.Batches() {
		out[node] = len(b.Orders)
	}
	return out
}

func TestOwnerDelegatesOnlyAboveItsDirectWorkers(t *testing.T) {
	few, many := workersOf(50, "a"), workersOf(51, "a")
	nodes := nodesOf("n", 3, 50, "a")
	for name, tc := range map[string]struct {
		directWorkers int
		workers       []order.Worker
		nodes         []delegate.Node
		want          int
	}{
		"few":      {50, few, nodes, 50},
		"many":     {50, many, nodes, 0},
		"no nodes": {50, many, nil, 51},
		"no bound": {0, many, nodes, 51},
	} {
		r := delegate.NewRouter(tc.directWorkers, 1)
		r.SetWorkers(tc.workers)
		r.SetNodes(tc.nodes, begin)
		if got := pollsPerNode(r, tc.workers, begin)[""]; got != tc.want {
			t.Errorf("%s: direct workers: got: %d, want: %d", name, got, tc.want)
		}
	}
}

// With fifteen large and many small nodes in five zones, only the large ones must become delegates,
// each for workers of its own zone.
func TestLargeNodesServeWorkersOfTheirZone(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	workers := workersOf(1100, zones...)
	r := delegate.NewRouter(200, 1)
	r.SetWorkers(workers)
	r.SetNodes(append(nodesOf("strong", 15, 200, zones...), nodesOf("weak", 130, 48, zones...)...), begin)
	for i := range workers {
		r.Add(order.Poll{Worker: workers[i].ID}, workers[i].ID, time.Second, begin)
	}
	batches := r.Batches()
	if len(batches) != 15 {
		t.Errorf("delegates: got: %d, want: 15", len(batches))
	}
	zoneOf := map[order.WorkerID]string{}
	for i := range workers {
		zoneOf[workers[i].ID] = workers[i].Zone
	}
	for i, n := range nodesOf("strong", 15, 200, zones...) {
		b := batches[n.Name]
		if b == nil || len(b.Orders) < 45 || len(b.Orders) > 105 {
			t.Fatalf("orders of delegate %d: got: %+v, want: about 73", i, b)
		}
		for _, o := range b.Orders {
			if zoneOf[o.Poll.Worker] != n.Zone {
				t.Errorf("%s: got: %s of zone %s, want: zone %s", n.Name, o.Poll.Worker, zoneOf[o.Poll.Worker], n.Zone)
			}
		}
	}
}

func TestSmallNodesServeWhenLargeOnesLackCapacity(t *testing.T) {
	workers := workersOf(400, "a")
	r := delegate.NewRouter(100, 1)
	r.SetWorkers(workers)
	r.SetNodes(append(nodesOf("strong", 1, 100, "a"), nodesOf("weak", 10, 15, "a")...), begin)
	if got := len(pollsPerNode(r, workers, begin)); got != 11 {
		t.Errorf("delegates: got: %d, want: 11", got)
	}
}

// When one delegate is lost, the workers of the others must keep theirs.
func TestRemovingADelegateReassignsOnlyItsWorkers(t *testing.T) {
	workers, nodes := workersOf(300, "a"), nodesOf("n", 6, 100, "a")
	r := delegate.NewRouter(50, 1)
	r.SetWorkers(workers)
	r.SetNodes(nodes, begin)
	before := pollsPerNode(r, workers, begin)
	failed := r.SetNodes(nodes[1:], begin)
	if len(failed) != before["n000"] {
		t.Errorf("failed orders: got: %d, want: %d", len(failed), before["n000"])
	}
	after := pollsPerNode(r, workers, begin)
	total := 0
	for _, n := range nodes[1:] {
		if after[n.Name] < before[n.Name] {
			t.Errorf("%s: got: %d workers, want: at least %d as before", n.Name, after[n.Name], before[n.Name])
		}
		total += after[n.Name]
	}
	if total != 300 {
		t.Errorf("workers with a delegate: got: %d, want: 300", total)
	}
}

// newDelegatingRouter returns a router with two workers, one more than its owner talks to itself,
// so that the nodes act as delegates for both.
func newDelegatingRouter(t *testing.T, nodes ...delegate.Node) *delegate.Router {
	t.Helper()
	r := delegate.NewRouter(1, 7)
	r.SetWorkers(workersOf(2, "a"))
	r.SetNodes(nodes, begin)
	r.Expire(begin)
	return r
}

func TestOutcomeIsResolvedOnce(t *testing.T) {
	r := newDelegatingRouter(t, nodesOf("n", 1, 10, "a")...)
	start := order.Start{Worker: "w0000", Task: work.TaskID{Job: "j"}, Run: 1, Payload: "p"}
	r.Add(start, start.Worker, time.Second, begin)
	b := r.Batches()["n000"]
	if b == nil || b.Fence != 7 || len(b.Orders) != 1 {
		t.Fatalf("got: %+v, want: one order with the fence 7", b)
	}
	out := []delegate.Outcome{{ID: b.Orders[0].ID, Start: order.StartSucceeded}, {ID: b.Orders[0].ID + 1, Start: order.StartSucceeded}}
	got := r.Resolve(out, begin.Add(3*ms))
	if len(got) != 1 || got[0].Action != start || got[0].Duration != 3*ms {
		t.Errorf("got: %+v, want: the order to start, after 3 ms", got)
	}
	if got := r.Resolve(out, begin); len(got) != 0 {
		t.Errorf("the same outcomes again: got: %+v, want: none", got)
	}
}

// expirePeriodically calls Expire every 100 ms, as an owner that is not stalled does, and returns
// all failed orders.
func expirePeriodically(r *delegate.Router, from, until time.Duration) []delegate.FailedOrder {
	out := []delegate.FailedOrder{}
	for d := from; d <= until; d += 100 * ms {
		out = append(out, r.Expire(begin.Add(d))...)
	}
	return out
}

func TestUnresponsiveDelegateIsEjected(t *testing.T) {
	nodes := nodesOf("n", 1, 10, "a")
	r := newDelegatingRouter(t, nodes...)
	r.Add(order.Poll{Worker: "w0000"}, "w0000", 500*ms, begin)
	if got := expirePeriodically(r, 0, 600*ms); len(got) != 0 {
		t.Errorf("before the outcome is due: got: %v, want: none", got)
	}
	if got := expirePeriodically(r, 700*ms, 700*ms); len(got) != 1 {
		t.Errorf("overdue: got: %v, want: the listing", got)
	}
	if r.Add(order.Poll{Worker: "w0000"}, "w0000", 500*ms, begin.Add(700*ms)) {
		t.Error("after the ejection: got: delegated, want: executed by the owner")
	}
	r.SetNodes(nodes, begin.Add(800*ms))
	if got := r.DelegateCount(); got != 0 {
		t.Errorf("delegates 0.1 s later: got: %d, want: 0", got)
	}
	r.SetNodes(nodes, begin.Add(1800*ms))
	if got := r.DelegateCount(); got != 1 {
		t.Errorf("delegates 1.1 s later: got: %d, want: 1", got)
	}
}

// After a stall of its own, an owner has outcomes that arrived but were not processed. It must not
// eject the delegates that sent them.
func TestStalledOwnerExpiresNothingAtOnce(t *testing.T) {
	r := newDelegatingRouter(t, nodesOf("n", 1, 10, "a")...)
	r.Add(order.Poll{Worker: "w0000"}, "w0000", 500*ms, begin)
	if got := r.Expire(begin.Add(5 * time.Second)); len(got) != 0 {
		t.Errorf("first call of Expire after 5 s: got: %v, want: none", got)
	}
	if got := r.Expire(begin.Add(5100 * ms)); len(got) != 1 {
		t.Errorf("next call: got: %v, want: the listing", got)
	}
}

func TestDelegateThatReachesNoWorkerIsEjected(t *testing.T) {
	nodes := nodesOf("n", 1, 10, "a")
	r := newDelegatingRouter(t, nodes...)
	for range 6 {
		r.Add(order.Poll{Worker: "w0000"}, "w0000", 500*ms, begin)
		r.Resolve([]delegate.Outcome{{ID: r.Batches()["n000"].Orders[0].ID, Poll: order.PollUnanswered}}, begin)
	}
	r.SetNodes(nodes, begin.Add(100*ms))
	if got := r.DelegateCount(); got != 0 {
		t.Errorf("delegates: got: %d, want: 0", got)
	}
}

// When most delegates are late at once, the cause is the owner's own link or processor. Ejecting
// one after the other would leave all workers to the last ones.
func TestDelegatesThatAreLateTogetherAreNotEjectedAtOnce(t *testing.T) {
	workers, nodes := workersOf(60, "a"), nodesOf("n", 6, 20, "a")
	r := delegate.NewRouter(10, 1)
	r.SetWorkers(workers)
	r.SetNodes(nodes, begin)
	r.Expire(begin)
	pollsPerNode(r, workers, begin)
	if got := expirePeriodically(r, 0, 1200*ms); len(got) != 0 {
		t.Errorf("failed orders: got: %d, want: none yet", len(got))
	}
	if got := r.DelegateCount(); got != 6 {
		t.Errorf("delegates: got: %d, want: 6", got)
	}
	if got := expirePeriodically(r, 1300*ms, 5*time.Second); len(got) != 60 {
		t.Errorf("failed orders after the grace: got: %d, want: 60", len(got))
	}
}

// A payload must cross a link only once, and again over a new link, whose node has none cached.
func TestPayloadIsSentOncePerLink(t *testing.T) {
	nodes := nodesOf("n", 1, 10, "a")
	r := newDelegatingRouter(t, nodes...)
	send := func() *delegate.Batch {
		for i := range 3 {
			r.Add(order.Start{Worker: "w0000", Task: work.TaskID{Job: "j", Index: i}, Payload: "p"}, "w0000", time.Second, begin)
		}
		return r.Batches()["n000"]
	}
	for round, want := range []int{1, 0} {
		b := send()
		if len(b.Payloads) != want {
			t.Errorf("payloads in batch %d: got: %q, want: %d", round, b.Payloads, want)
		}
		for _, o := range b.Orders {
			if o.Start.Payload != "" || o.PayloadKey == 0 {
				t.Errorf("an order of batch %d: got: %+v, want: only the key of its payload", round, o.Start)
			}
		}
	}
	nodes[0].LinkID = 99
	r.SetNodes(nodes, begin)
	if b := send(); len(b.Payloads) != 1 {
		t.Errorf("payloads over a new link: got: %q, want: 1", b.Payloads)
	}
}

// Delegates that cannot talk to all workers must get at most twice as many as their capacity, and
// the owner the rest.
func TestInsufficientDelegatesAreNotOverloaded(t *testing.T) {
	workers := workersOf(1000, "a")
	r := delegate.NewRouter(100, 1)
	r.SetWorkers(workers)
	r.SetNodes([]delegate.Node{{Name: "strong", Zone: "a", Capacity: 100}, {Name: "weak", Zone: "a", Capacity: 25}}, begin)
	if !r.LacksDelegates() {
		t.Error("lacks delegates: got: false, want: true")
	}
	got := pollsPerNode(r, workers, begin)
	if got["strong"] < 160 || got["strong"] > 240 || got["weak"] < 30 || got["weak"] > 70 {
		t.Errorf("got: %v, want: about 200, 50 and the rest by the owner", got)
	}
}

// A worker that restarts under its name keeps its address, so the node that has connections to it
// must stay its delegate.
func TestRestartedWorkerKeepsItsDelegate(t *testing.T) {
	r := delegate.NewRouter(1, 7)
	startedAt := begin
	workerID := func(i int) order.WorkerID { return order.NewWorkerID(fmt.Sprintf("w%d", i), startedAt) }
	list := func() []order.Worker {
		out := []order.Worker{}
		for i := range 20 {
			out = append(out, order.Worker{ID: workerID(i), Zone: "a"})
		}
		return out
	}
	r.SetWorkers(list())
	r.SetNodes(nodesOf("n", 4, 20, "a"), begin)
	delegatesByWorker := func() map[string]string {
		out := map[string]string{}
		for i := range 20 {
			r.Add(order.Stop{Worker: workerID(i)}, workerID(i), time.Second, begin)
			for node := range r.Batches() {
				out[workerID(i).Name()] = node
			}
		}
		return out
	}
	before := delegatesByWorker()
	startedAt = startedAt.Add(time.Minute)
	r.SetWorkers(list())
	if after := delegatesByWorker(); !maps.Equal(before, after) {
		t.Errorf("delegates after all workers have restarted: got: %v, want: %v", after, before)
	}
}
