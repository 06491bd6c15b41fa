// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

func newReadyWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	return newReadyWorldOf(t, worldOptions{nodes: 3, racks: 3, workers: 2, seed: seed})
}

func TestQuotaIsNeverExceeded(t *testing.T) {
	w := newReadyWorld(t, 1)
	body := []byte("office: head\nquota: {milli_cpu: 1500, memory_mib: 100000, accelerators: 0, slots: 100}\n")
	if err := w.append(state.Record{Publish: &state.Publish{Doc: "team/small", Body: body}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		s := batchSpec(fmt.Sprint("job", i), 6, 2*time.Second)
		s.Team = "small"
		w.mustSubmit(t, s)
	}
	most := 0
	for range 600 {
		w.run(step)
		most = max(most, w.runningNow())
		if len(w.nodes) == 3 && most > 3 {
			break
		}
	}
	if most != 3 {
		t.Errorf("got: at most %d tasks at once, want: 3, which the quota allows", most)
	}
	for i := range 3 {
		if got := w.job(fmt.Sprint("job", i)).FinalCounts[leverdyke.TaskDone]; got != 6 {
			t.Errorf("got: %d done, want: 6", got)
		}
	}
}

func gangSpec(id string, tasks int, runTime time.Duration) leverdyke.JobSpec {
	s := batchSpec(id, tasks, runTime)
	s.Kind = leverdyke.KindGang
	return s
}

// Two large all-at-once jobs of two homes and a stream of small tasks: each
// large one starts whole or not at all, and none waits for ever.
func TestLargeJobsStartWholeAndAreNotStarved(t *testing.T) {
	w := newReadyWorld(t, 2)
	teams := []string{"filings", otherTeam("filings"), otherTeam("filings", otherTeam("filings"))}
	for _, team := range teams[1:] {
		body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 0, slots: 100}\n")
		if err := w.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
			t.Fatal(err)
		}
	}
	for i, team := range teams[:2] {
		s := gangSpec(fmt.Sprint("gang", i), 20, 5*time.Second)
		s.Team = team
		w.mustSubmit(t, s)
	}
	partly := map[string]int{}
	for i := range 1200 {
		if i%10 == 0 && i < 1000 {
			s := batchSpec(fmt.Sprint("small", i), 2, 3*time.Second)
			s.Team = teams[2]
			w.mustSubmit(t, s)
		}
		w.run(step)
		for _, id := range []string{"gang0", "gang1"} {
			j := w.job(id)
			if n := w.running(id); n > 0 && n < 20 && j.FinalCounts[leverdyke.TaskDone] == 0 {
				partly[id]++
			}
		}
	}
	for _, id := range []string{"gang0", "gang1"} {
		if got := w.job(id).FinalCounts[leverdyke.TaskDone]; got != 20 {
			t.Errorf("%s: got: %d done after a minute, want: 20", id, got)
		}
		if partly[id] > 30 {
			t.Errorf("%s: got: %d steps with a part of it running, want: only while it starts and ends", id, partly[id])
		}
	}
	w.check(t)
}

// otherTeam returns a team whose home is none of the others'.
func otherTeam(others ...string) string {
	for i := 0; ; i++ {
		team := fmt.Sprint("team-", i)
		isOther := true
		for _, o := range others {
			isOther = isOther && ownership.JobShard(region, team) != ownership.JobShard(region, o)
		}
		if isOther {
			return team
		}
	}
}

func TestBrokenAllAtOnceJobStartsTogetherAgain(t *testing.T) {
	w := newReadyWorld(t, 3)
	w.mustSubmit(t, gangSpec("gang", 8, 20*time.Second))
	w.run(3 * time.Second)
	for _, name := range w.names {
		if w.workers[name].Running("gang") > 0 {
			w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
			break
		}
	}
	w.run(70 * time.Second)
	if got := w.job("gang").FinalCounts[leverdyke.TaskDone]; got != 8 {
		t.Errorf("got: %d done, want: 8", got)
	}
	w.check(t)
}

func TestUrgentWorkStartsInAFullCell(t *testing.T) {
	w := newReadyWorld(t, 4)
	full := batchSpec("full", 100, time.Hour)
	full.Class = leverdyke.ClassBatch
	w.mustSubmit(t, full)
	w.run(3 * time.Second)
	urgent := batchSpec("urgent", 4, time.Second)
	urgent.Class = leverdyke.ClassUrgent
	w.mustSubmit(t, urgent)
	w.run(3400*time.Millisecond + time.Second)
	if got := w.job("urgent").FinalCounts[leverdyke.TaskDone] + w.running("urgent"); got != 4 {
		t.Errorf("got: %d of 4 tasks started within 3.4 s, want: 4", got)
	}
	w.check(t)
}

func TestFailingJobIsGivenUpAndDoesNotBlameWorkers(t *testing.T) {
	w := newReadyWorld(t, 5)
	bad := batchSpec("always-fails", 3, time.Second)
	bad.MaxFailures = 5
	w.mustSubmit(t, bad)
	w.mustSubmit(t, batchSpec("good", 6, time.Second))
	w.run(2 * time.Minute)
	j := w.job("always-fails")
	if !j.IsEnded || j.FinalCounts[leverdyke.TaskFailed] != 3 || !strings.Contains(j.Reason, "budget") {
		t.Errorf("got: %v %q, want: 3 failed by the budget", j.FinalCounts, j.Reason)
	}
	if got := w.job("good").FinalCounts[leverdyke.TaskDone]; got != 6 {
		t.Errorf("the other job: got: %d done, want: 6", got)
	}
}

func TestJobThatCanNeverRunSaysSoAndBlocksNobody(t *testing.T) {
	w := newReadyWorld(t, 6)
	never := batchSpec("never", 1, time.Second)
	never.Each.MemoryMiB = 1 << 30
	w.mustSubmit(t, never)
	w.mustSubmit(t, batchSpec("good", 6, time.Second))
	w.run(10 * time.Second)
	n := w.ownerOf(string(ownership.JobShard(region, "filings")))
	if got := n.core.Home(ownership.JobShard(region, "filings")).Status("never").Why; !strings.Contains(got, "memory") {
		t.Errorf("got: %q, want: the reason", got)
	}
	if got := w.job("good").FinalCounts[leverdyke.TaskDone]; got != 6 {
		t.Errorf("the other job: got: %d done, want: 6", got)
	}
	spec := never
	spec.ID = "refused"
	if err := n.core.CheckSubmit("f", &spec); err == nil {
		t.Error("a second one: got: accepted, want: refused at submit")
	}
}

func TestDeadlineMissedFailsTheJob(t *testing.T) {
	w := newReadyWorld(t, 7)
	full := batchSpec("full", 24, time.Hour)
	w.mustSubmit(t, full)
	w.run(3 * time.Second)
	late := batchSpec("late", 1, time.Second)
	late.Deadline = 5 * time.Second
	w.mustSubmit(t, late)
	w.run(15 * time.Second)
	if j := w.job("late"); !j.IsEnded || !strings.Contains(j.Reason, "deadline") {
		t.Errorf("got: %v %q, want: failed by its deadline", j.FinalCounts, j.Reason)
	}
}

func TestHerdAfterARackComesBack(t *testing.T) {
	w := newReadyWorld(t, 8)
	w.mustSubmit(t, serviceSpec("service", 12))
	w.run(5 * time.Second)
	for _, name := range w.names[:2] {
		w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
	}
	w.run(4 * worldLease)
	for _, name := range w.names[:2] {
		w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeUp})
	}
	w.mustSubmit(t, batchSpec("batch", 60, 2*time.Second))
	w.run(60 * time.Second)
	if got := w.job("batch").FinalCounts[leverdyke.TaskDone]; got != 60 || w.running("service") != 12 {
		t.Errorf("got: %d done and %d of the service, want: 60 and 12", got, w.running("service"))
	}
	w.check(t)
}

// An all-at-once job that needs most of the cell waits, beside a stream of
// small tasks of another home that fills it, at most until racks keep room for
// it, then for what runs there to end, and for the tries in between.
func TestLargeJobWaitsNoLongerThanItsBound(t *testing.T) {
	const (
		untilEarmarked = 10 * time.Second
		tries          = 6 * time.Second
	)
	for _, run := range []time.Duration{time.Second, 4 * time.Second, 15 * time.Second} {
		w := newReadyWorld(t, 50)
		team := otherTeam("filings")
		body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 0, slots: 100}\n")
		if err := w.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
			t.Fatal(err)
		}
		small := batchSpec("small", 3000, run)
		small.Team = team
		w.mustSubmit(t, small)
		w.run(5 * time.Second)
		if got := w.running("small"); got != 24 {
			t.Fatalf("got: %d small tasks running, want: 24, a full cell", got)
		}
		w.mustSubmit(t, gangSpec("large", 16, time.Minute))
		waited := time.Duration(0)
		for w.running("large") < 16 && waited < 2*time.Minute {
			w.run(step)
			waited += step
		}
		if most := untilEarmarked + run + tries; waited > most {
			t.Errorf("small tasks of %v: got: %v until all of it ran, want: at most %v", run, waited, most)
		}
		t.Logf("small tasks of %v: %v until all of it ran", run, waited)
		w.check(t)
	}
}

// One task that needs a whole VM, beside a stream of small tasks of another
// home that fills the cell.
func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	w := newReadyWorld(t, 51)
	team := otherTeam("filings")
	body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 0, slots: 100}\n")
	if err := w.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
		t.Fatal(err)
	}
	// Tasks of many lengths, so that no VM empties by itself.
	for i := range 600 {
		small := batchSpec(fmt.Sprintf("small-%03d", i), 3, time.Duration(2000+i*377%4000)*time.Millisecond)
		small.Team = team
		w.nodes[0].core.Append(state.Record{Submit: &state.Submit{Spec: small}}, nil)
	}
	w.run(20 * time.Second)
	large := batchSpec("large", 1, time.Second)
	large.Each = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 256, Slots: 1}
	w.mustSubmit(t, large)
	waited := time.Duration(0)
	for w.running("large") == 0 && waited < 5*time.Minute {
		w.run(step)
		waited += step
	}
	if most := 25 * time.Second; waited > most {
		t.Errorf("got: %v until it ran, want: at most %v", waited, most)
	}
	t.Logf("%v until it ran", waited)
	w.check(t)
}

// A home that has just moved knows the rooms of all racks: its new owner keeps
// what it heard before.
func TestMovedHomeSpreadsAServiceAtOnce(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 4, workers: 2, seed: 52})
	shard := string(ownership.JobShard(region, "filings"))
	w.run(20 * time.Second)
	w.ownerOf(shard).kill()
	for range 200 {
		if w.ownerOf(shard) != nil {
			break
		}
		w.run(step)
	}
	w.mustSubmit(t, serviceSpec("service", 4))
	w.run(4 * time.Second)
	zones := map[string]int{}
	for _, vm := range w.vms {
		zones[vm.Zone] += w.workers[worker.ID(vm.Name)].Running("service")
	}
	if zones["z0"] != 2 || zones["z1"] != 2 {
		t.Errorf("got: %v, want: two in each zone", zones)
	}
}
