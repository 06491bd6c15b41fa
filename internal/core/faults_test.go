// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// newBusyWorld returns a cell of 3 nodes, 3 racks and 6 workers in which a
// service of 6 tasks runs.
func newBusyWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 3, workers: 2, seed: seed})
	w.mustSubmit(t, serviceSpec("service", 6))
	w.run(3 * time.Second)
	if got := w.runningNow(); got != 6 {
		t.Fatalf("got: %d running, want: 6", got)
	}
	return w
}

// expect fails unless all tasks of the service run and at most lapses leases
// have run out.
func (w *world) expect(t *testing.T, running, lapses int) {
	t.Helper()
	if got := w.runningNow(); got != running {
		t.Errorf("got: %d running, want: %d", got, running)
	}
	if got := w.oracle.Report().LeaseExpirations; got > lapses {
		t.Errorf("got: %d lapsed leases, want: at most %d", got, lapses)
	}
	w.check(t)
}

// killInTurn kills each of the nodes and starts it again, leaving time for the
// others to take over in between.
func (w *world) killInTurn(nodes []*fakeNode) {
	for _, n := range nodes {
		n.kill()
		w.run(8 * time.Second)
		n.start()
		w.run(8 * time.Second)
	}
}

func TestKilledOwnersHarmNoTask(t *testing.T) {
	w := newBusyWorld(t, 1)
	w.killInTurn(w.nodes[:2])
	w.expect(t, 6, 0)
}

func TestAllNodesKilledAtOnceHarmNoTask(t *testing.T) {
	w := newBusyWorld(t, 2)
	for _, n := range w.nodes {
		n.kill()
	}
	w.run(time.Second)
	for _, n := range w.nodes {
		n.start()
	}
	w.run(20 * time.Second)
	w.expect(t, 6, 0)
}

func TestDrainingAllNodesInTurnHarmsNoTask(t *testing.T) {
	w := newBusyWorld(t, 3)
	for _, n := range w.nodes {
		n.core.Drain()
		for range 400 {
			if n.core.IsHandedOver() {
				break
			}
			w.run(step)
		}
		if !n.core.IsHandedOver() {
			t.Fatalf("%s: got: not handed over in 20 s, want: handed over", n.name())
		}
		n.kill()
		w.run(time.Second)
		n.start()
		w.run(5 * time.Second)
	}
	w.expect(t, 6, 0)
}

func TestPausedOwnerIsHarmlessWhenItWakes(t *testing.T) {
	w := newBusyWorld(t, 4)
	for _, n := range w.nodes {
		n.isPaused = true
		w.run(3 * worldLease)
		n.isPaused = false
		w.run(5 * time.Second)
	}
	w.expect(t, 6, 0)
}

func TestDeadWorkersTasksStartElsewhere(t *testing.T) {
	w := newBusyWorld(t, 5)
	dead := w.names[0]
	w.workers[dead].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
	w.run(worldLease + 5*time.Second)
	w.expect(t, 6, 0)
}

func TestCutWorkersTasksStartElsewhereOnlyAfterTheirLease(t *testing.T) {
	w := newBusyWorld(t, 6)
	w.workers[w.names[0]].SetFaults(native.WorkerFaults{Mode: native.ModePartitioned})
	w.run(3 * worldLease)
	w.workers[w.names[0]].SetFaults(native.WorkerFaults{Mode: native.ModeUp})
	w.run(5 * time.Second)
	w.expect(t, 6, 6)
}

// An owner that is cut off from all but one worker of a rack must not take
// the leases of the others for lapsed: a later owner keeps them alive.
func TestIsolatedOwnerDeclaresNothingLost(t *testing.T) {
	w := newBusyWorld(t, 7)
	n := w.ownerOf("rack/r1/k0")
	for _, o := range w.nodes {
		if o != n {
			w.cut(n.name(), o.name())
			w.cut(o.name(), n.name())
		}
	}
	w.cut(n.name(), "log")
	w.cut(n.name(), "k0-w0")
	w.run(5 * worldLease)
	w.check(t)
	w.heal()
	w.run(10 * time.Second)
	w.expect(t, 6, 6)
}

// isolate cuts a node from the log and from all other nodes.
func (w *world) isolate(n *fakeNode) {
	w.cut(n.name(), "log")
	for _, o := range w.nodes {
		w.cut(n.name(), o.name())
		w.cut(o.name(), n.name())
	}
}

// newLoneWorld returns a cell in which one node owns the home of a team and a
// rack, with a batch of that team.
func newLoneWorld(t *testing.T, seed uint64, tasks int, runTime time.Duration) (*world, *fakeNode) {
	t.Helper()
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 3, workers: 2, seed: seed})
	n := w.ownerOf("rack/r1/k0")
	team := ""
	for i := range 64 {
		team = fmt.Sprintf("team-%d", i)
		if w.ownerOf(string(ownership.HomeShard(region, team))) == n {
			break
		}
	}
	body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 10, slots: 100}\n")
	if err := w.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
		t.Fatal(err)
	}
	spec := batchSpec("batch", tasks, runTime)
	spec.Team = team
	w.mustSubmit(t, spec)
	w.run(2 * time.Second)
	return w, n
}

// A home and owner that is cut off from the log and its peers, but reaches all
// workers, starts nothing that the later home starts too.
func TestIsolatedHomeStartsNothingTwice(t *testing.T) {
	w, n := newLoneWorld(t, 20, 60, 30*time.Second)
	w.isolate(n)
	w.run(3 * time.Minute)
	w.check(t)
	w.heal()
	w.run(time.Minute)
	if got := w.job("batch").Final[leverdyke.TaskDone]; got != 60 {
		t.Errorf("got: %d done, want: 60", got)
	}
	w.check(t)
}

// The isolated owner does not reach one worker of its rack, which the later
// owner keeps alive, and alone reaches the other.
func TestIsolatedOwnerTakesNoLeaseForLapsed(t *testing.T) {
	w, n := newLoneWorld(t, 21, 12, 10*time.Minute)
	w.isolate(n)
	w.cut(n.name(), "k0-w0")
	for _, o := range w.nodes {
		if o != n {
			w.cut(o.name(), "k0-w1")
		}
	}
	w.run(3 * time.Minute)
	w.check(t)
}

// The earlier owner, cut off, alone reaches a worker and keeps its tasks alive:
// the later owner must not take their leases for lapsed.
func TestLaterOwnerWaitsForTheEarlierOne(t *testing.T) {
	w := newBusyWorld(t, 22)
	n := w.ownerOf("rack/r1/k0")
	w.isolate(n)
	for _, o := range w.nodes {
		if o != n {
			w.cut(o.name(), "k0-w0")
		}
	}
	w.run(5 * worldLease)
	w.check(t)
	w.heal()
	w.run(4 * worldLease)
	w.expect(t, 6, 6)
}

func TestOneWayCutTakesNothingFromAnOwner(t *testing.T) {
	w := newBusyWorld(t, 8)
	// Until the balance among the nodes has settled.
	w.run(40 * time.Second)
	n := w.ownerOf("rack/r1/k0")
	before := w.epoch("rack/r1/k0")
	for _, o := range w.nodes {
		if o != n {
			w.cut(n.name(), o.name())
			break
		}
	}
	w.run(20 * time.Second)
	if got := w.epoch("rack/r1/k0"); got != before {
		t.Errorf("got: epoch %d, want: %d", got, before)
	}
	w.expect(t, 6, 0)
}

func (w *world) epoch(shard state.ShardID) uint64 { return w.nodes[0].core.State().Shards[shard].Epoch }

func TestOnceTaskOnADeadWorkerIsOfUnknownFate(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 23})
	once := batchSpec("once", 4, time.Minute)
	once.IsOnce = true
	w.mustSubmit(t, once)
	w.run(3 * time.Second)
	dead := 0
	for _, name := range w.names[:2] {
		dead += w.workers[name].Running("once")
		w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
	}
	w.run(90 * time.Second)
	if got := w.job("once").Final; dead == 0 || got[leverdyke.TaskUnknown] != dead || got[leverdyke.TaskDone] != 4-dead {
		t.Errorf("got: %v, want: %d of unknown fate and the others done", got, dead)
	}
	w.check(t)
}

func TestDeputiesKeepTasksAliveWhileTheLogIsOut(t *testing.T) {
	w := newBusyWorld(t, 9)
	w.isLogOut = true
	w.run(8 * time.Second)
	w.ownerOf("rack/r1/k0").kill()
	w.run(4 * worldLease)
	w.expect(t, 6, 0)
	w.isLogOut = false
	w.run(20 * time.Second)
	w.expect(t, 6, 0)
	if got := w.owned(); got != w.shards() {
		t.Errorf("after the log is back: got: %d shards with an owner, want: %d", got, w.shards())
	}
}

// The owner comes back while its deputy keeps the rack alive: the workers obey
// the deputy, and no task has two owners.
func TestOwnerYieldsToItsDeputy(t *testing.T) {
	w := newBusyWorld(t, 10)
	w.isLogOut = true
	w.run(8 * time.Second)
	n := w.ownerOf("rack/r1/k0")
	n.isPaused = true
	w.run(2 * worldLease)
	n.isPaused = false
	w.run(2 * worldLease)
	w.expect(t, 6, 0)
	w.isLogOut = false
	w.run(20 * time.Second)
	w.expect(t, 6, 0)
}

func TestLogOutRefusesWhatMustBeRecorded(t *testing.T) {
	w := newBusyWorld(t, 11)
	w.isLogOut = true
	w.run(5 * time.Second)
	err := w.append(state.Record{Submit: &state.Submit{Spec: batchSpec("late", 1, time.Second)}})
	if !errors.Is(err, state.ErrNotTaken) {
		t.Errorf("got: %v, want: %v", err, state.ErrNotTaken)
	}
	w.isLogOut = false
	w.run(10 * time.Second)
	if got := w.job("late"); got != nil {
		t.Errorf("a refused job: got: %v, want: none", got.Spec.ID)
	}
	w.expect(t, 6, 0)
}

func TestRepeatableWorkGoesOnWhileTheLogIsOut(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 12})
	w.mustSubmit(t, batchSpec("batch", 40, 3*time.Second))
	w.isLogOut = true
	w.run(15 * time.Second)
	if got := w.oracle.Report().Starts; got < 40 {
		t.Errorf("got: %d starts, want: all 40 while the log is out", got)
	}
	w.isLogOut = false
	w.run(20 * time.Second)
	if got := w.job("batch").Final[leverdyke.TaskDone]; got != 40 {
		t.Errorf("got: %d done, want: 40", got)
	}
	if got := w.oracle.Report().Starts; got != 40 {
		t.Errorf("got: %d starts, want: 40, each once", got)
	}
	w.check(t)
}

func TestLostRepliesHaveNoSecondEffect(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 13})
	for i := range 5 {
		w.loseReplies = 3
		err := w.append(state.Record{Publish: &state.Publish{Doc: "office/head", Base: uint64(i + 1), Body: []byte("waiting: 1\n")}})
		if err != nil {
			t.Errorf("publish %d: got: %v, want: nil", i, err)
		}
	}
	w.run(2 * time.Second)
	for _, n := range w.nodes {
		if got := n.core.State().Docs["office/head"].Version; got != 6 {
			t.Errorf("%s: got: version %d, want: 6", n.name(), got)
		}
	}
}

func TestOfTwoRacingChangesOneWins(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 1, workers: 1, seed: 14})
	results := []error{}
	for i, n := range w.nodes[:2] {
		body := []byte(fmt.Sprintf("waiting: 0.%d\n", i+1))
		n.Append(state.Record{Publish: &state.Publish{Doc: "office/head", Base: 1, Body: body}}, func(err error) { results = append(results, err) })
	}
	w.run(time.Second)
	conflicts := 0
	for _, err := range results {
		if errors.Is(err, state.ErrConflict) {
			conflicts++
		}
	}
	if len(results) != 2 || conflicts != 1 {
		t.Errorf("got: %v, want: one nil and one conflict", results)
	}
}

func TestSnapshotOutlivesRetention(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 15, snapshotEvery: 20})
	w.mustSubmit(t, serviceSpec("service", 3))
	for i := range 30 {
		if err := w.append(state.Record{Publish: &state.Publish{Doc: "office/head", Base: uint64(i + 1), Body: []byte("waiting: 1\n")}}); err != nil {
			t.Fatalf("publish: got: %v, want: nil", err)
		}
	}
	w.run(2 * time.Second)
	page, _, _ := w.log.Page(0)
	w.log.TrimBefore(page.Next - 30)
	for _, n := range w.nodes {
		n.kill()
		n.start()
	}
	w.run(15 * time.Second)
	for _, n := range w.nodes {
		if got := n.core.State().Docs["office/head"]; got == nil || got.Version != 31 {
			t.Errorf("%s: got: %v, want: version 31", n.name(), got)
		}
	}
	w.expect(t, 3, 0)
}

func TestNewNodeStartsFromPeersWhileTheLogIsOut(t *testing.T) {
	w := newBusyWorld(t, 16)
	want := w.nodes[0].core.State().Docs["team/filings"].Version
	w.isLogOut = true
	w.run(3 * time.Second)
	w.nodes[2].kill()
	w.nodes[2].start()
	w.run(8 * time.Second)
	got := w.nodes[2].core.State().Docs["team/filings"]
	if got == nil || got.Version != want {
		t.Errorf("got: %v, want: version %d", got, want)
	}
	w.check(t)
}

func TestOnceTaskIsNeverRunAgain(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 17})
	once := batchSpec("once", 4, time.Minute)
	once.IsOnce = true
	w.mustSubmit(t, once)
	w.run(3 * time.Second)
	for _, name := range w.names[:2] {
		w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
	}
	for _, n := range w.nodes {
		n.kill()
	}
	w.run(time.Second)
	for _, n := range w.nodes {
		n.start()
	}
	w.run(90 * time.Second)
	j := w.job("once")
	if got := j.Final[leverdyke.TaskDone] + j.Final[leverdyke.TaskUnknown]; got != 4 {
		t.Errorf("got: %v, want: 4 done or of unknown fate", j.Final)
	}
	if got := w.oracle.Report().Starts; got != 4 {
		t.Errorf("got: %d starts, want: 4", got)
	}
	w.check(t)
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 18})
	w.mustSubmit(t, batchSpec("batch", 200, time.Second))
	w.run(2 * time.Second)
	// Its own word counts at once, though the list never says so.
	w.workers[w.names[0]].AnnounceLeaving()
	// The list's word counts, though the worker never says so.
	w.vms[1].Status = vmlist.StatusLeaving
	w.run(4 * time.Second)
	before := startsOn(w, w.names[0]) + startsOn(w, w.names[1])
	w.run(10 * time.Second)
	if got := startsOn(w, w.names[0]) + startsOn(w, w.names[1]); got != before {
		t.Errorf("got: %d starts on leaving workers, want: %d", got, before)
	}
	w.check(t)
}

func TestDrainedWorkerGetsNothingNewUntilUndrained(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 1, workers: 2, seed: 19})
	drain := func(base uint64, body string) {
		t.Helper()
		if err := w.append(state.Record{Publish: &state.Publish{Doc: "drain/k0-w0", Base: base, Body: []byte(body)}}); err != nil {
			t.Fatalf("got: %v, want: nil", err)
		}
	}
	drain(0, "drained: true\n")
	w.mustSubmit(t, batchSpec("batch", 60, time.Second))
	w.run(6 * time.Second)
	if got := startsOn(w, "k0-w0"); got != 0 {
		t.Errorf("drained: got: %d starts, want: 0", got)
	}
	drain(1, "drained: false\n")
	w.run(5 * time.Second)
	if got := startsOn(w, "k0-w0"); got == 0 {
		t.Error("undrained: got: 0 starts, want: some")
	}
	w.check(t)
}

// startsOn is how far the worker's list has moved, which every start does.
func startsOn(w *world, id worker.ID) int {
	return w.workers[id].Starts()
}

// A node that died for good keeps the tasks of a worker that nobody reaches
// from starting again, until an operator says that it has ended.
func TestRetiredNodeLetsLeasesLapse(t *testing.T) {
	w := newBusyWorld(t, 24)
	n := w.ownerOf("rack/r1/k0")
	n.kill()
	w.workers["k0-w0"].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
	w.run(4 * worldLease)
	if got := w.runningNow(); got == 6 {
		t.Fatalf("got: all 6 running, want: some to wait for the dead owner's end to be known")
	}
	other := w.nodes[(n.index+1)%3]
	if _, err := other.core.CheckRetire(w.nodes[(n.index+2)%3].id()); err == nil {
		t.Error("a node that is heard: got: retired, want: refused")
	}
	leave, err := other.core.CheckRetire(n.id())
	if err != nil {
		t.Fatal(err)
	}
	if err := w.append(state.Record{Leave: leave}); err != nil {
		t.Fatal(err)
	}
	w.run(3 * worldLease)
	w.expect(t, 6, 0)
}
