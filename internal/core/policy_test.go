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

func newReadyCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	return newReadyClusterOf(t, clusterOptions{nodes: 3, racks: 3, workers: 2, seed: seed})
}

// Several jobs of a team, whose tasks start at the same time on several racks,
// must not use more than the team's quota together.
func TestQuotaIsNeverExceeded(t *testing.T) {
	cl := newReadyCluster(t, 1)
	body := []byte("office: head\nquota: {milli_cpu: 1500, memory_mib: 100000, accelerators: 0, slots: 100}\n")
	if err := cl.append(state.Record{Publish: &state.Publish{Doc: "team/small", Body: body}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		s := batchSpec(fmt.Sprint("job", i), 6, 2*time.Second)
		s.Team = "small"
		cl.mustSubmit(t, s)
	}
	most := 0
	for range 600 {
		cl.run(step)
		most = max(most, cl.runningCount())
		if len(cl.nodes) == 3 && most > 3 {
			break
		}
	}
	if most != 3 {
		t.Errorf("got: at most %d tasks at once, want: 3, which the quota allows", most)
	}
	for i := range 3 {
		if got := cl.job(fmt.Sprint("job", i)).FinalCounts[leverdyke.TaskDone]; got != 6 {
			t.Errorf("got: %d done, want: 6", got)
		}
	}
}

func gangSpec(id string, tasks int, runTime time.Duration) leverdyke.JobSpec {
	s := batchSpec(id, tasks, runTime)
	s.Kind = leverdyke.KindGang
	return s
}

// Two large all-at-once jobs of two job shards compete with a stream of small
// tasks. Each must start as a whole or not at all: if each got a part of the
// capacity, both would wait forever. Nor may the small tasks starve them.
func TestAllAtOnceJobsStartWholeAndAreNotStarved(t *testing.T) {
	cl := newReadyCluster(t, 2)
	teams := []string{"filings", otherTeam("filings"), otherTeam("filings", otherTeam("filings"))}
	for _, team := range teams[1:] {
		body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 0, slots: 100}\n")
		if err := cl.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
			t.Fatal(err)
		}
	}
	for i, team := range teams[:2] {
		s := gangSpec(fmt.Sprint("gang", i), 20, 5*time.Second)
		s.Team = team
		cl.mustSubmit(t, s)
	}
	partialSteps := map[string]int{}
	for i := range 1200 {
		if i%10 == 0 && i < 1000 {
			s := batchSpec(fmt.Sprint("small", i), 2, 3*time.Second)
			s.Team = teams[2]
			cl.mustSubmit(t, s)
		}
		cl.run(step)
		for _, id := range []string{"gang0", "gang1"} {
			j := cl.job(id)
			if n := cl.running(id); n > 0 && n < 20 && j.FinalCounts[leverdyke.TaskDone] == 0 {
				partialSteps[id]++
			}
		}
	}
	for _, id := range []string{"gang0", "gang1"} {
		if got := cl.job(id).FinalCounts[leverdyke.TaskDone]; got != 20 {
			t.Errorf("%s: got: %d done after a minute, want: 20", id, got)
		}
		if partialSteps[id] > 30 {
			t.Errorf("%s: got: %d steps with a part of it running, want: only while it starts and ends", id, partialSteps[id])
		}
	}
	cl.checkInvariants(t)
}

// otherTeam returns a team whose job shard is none of the other teams'.
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

// When a worker of a running all-at-once job fails, the whole job must start
// again, not only the lost tasks.
func TestBrokenAllAtOnceJobRestartsAsAWhole(t *testing.T) {
	cl := newReadyCluster(t, 3)
	cl.mustSubmit(t, gangSpec("gang", 8, 20*time.Second))
	cl.run(3 * time.Second)
	for _, name := range cl.names {
		if cl.workers[name].Running("gang") > 0 {
			cl.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
			break
		}
	}
	cl.run(70 * time.Second)
	if got := cl.job("gang").FinalCounts[leverdyke.TaskDone]; got != 8 {
		t.Errorf("got: %d done, want: 8", got)
	}
	cl.checkInvariants(t)
}

// Urgent tasks must preempt batch tasks that fill the cluster, within 3.4 s.
func TestUrgentWorkStartsInAFullCluster(t *testing.T) {
	cl := newReadyCluster(t, 4)
	full := batchSpec("full", 100, time.Hour)
	full.Class = leverdyke.ClassBatch
	cl.mustSubmit(t, full)
	cl.run(3 * time.Second)
	urgent := batchSpec("urgent", 4, time.Second)
	urgent.Class = leverdyke.ClassUrgent
	cl.mustSubmit(t, urgent)
	cl.run(3400*time.Millisecond + time.Second)
	if got := cl.job("urgent").FinalCounts[leverdyke.TaskDone] + cl.running("urgent"); got != 4 {
		t.Errorf("got: %d of 4 tasks started within 3.4 s, want: 4", got)
	}
	cl.checkInvariants(t)
}

// A job whose tasks always fail must end when its failure budget is used up. Its
// failures must not eject the workers, on which other jobs succeed.
func TestAlwaysFailingJobEndsAndEjectsNoWorker(t *testing.T) {
	cl := newReadyCluster(t, 5)
	bad := batchSpec("always-fails", 3, time.Second)
	bad.MaxFailures = 5
	cl.mustSubmit(t, bad)
	cl.mustSubmit(t, batchSpec("good", 6, time.Second))
	cl.run(2 * time.Minute)
	j := cl.job("always-fails")
	if !j.IsEnded || j.FinalCounts[leverdyke.TaskFailed] != 3 || !strings.Contains(j.Reason, "budget") {
		t.Errorf("got: %v %q, want: 3 failed by the budget", j.FinalCounts, j.Reason)
	}
	if got := cl.job("good").FinalCounts[leverdyke.TaskDone]; got != 6 {
		t.Errorf("the other job: got: %d done, want: 6", got)
	}
}

// A job that needs more memory than any worker has must say so and not hold back
// other jobs. When the capacities are known such a job is refused at submission.
func TestUnplaceableJobReportsItsReasonAndBlocksNoOtherJob(t *testing.T) {
	cl := newReadyCluster(t, 6)
	never := batchSpec("never", 1, time.Second)
	never.Each.MemoryMiB = 1 << 30
	cl.mustSubmit(t, never)
	cl.mustSubmit(t, batchSpec("good", 6, time.Second))
	cl.run(10 * time.Second)
	n := cl.ownerOf(string(ownership.JobShard(region, "filings")))
	if got := n.core.JobShard(ownership.JobShard(region, "filings")).Status("never").Why; !strings.Contains(got, "memory") {
		t.Errorf("got: %q, want: the reason", got)
	}
	if got := cl.job("good").FinalCounts[leverdyke.TaskDone]; got != 6 {
		t.Errorf("the other job: got: %d done, want: 6", got)
	}
	spec := never
	spec.ID = "refused"
	if err := n.core.CheckSubmit("f", &spec); err == nil {
		t.Error("a second one: got: accepted, want: refused at submit")
	}
}

// A job that waits for capacity beyond its deadline must fail, not wait on.
func TestMissedDeadlineFailsTheJob(t *testing.T) {
	cl := newReadyCluster(t, 7)
	full := batchSpec("full", 24, time.Hour)
	cl.mustSubmit(t, full)
	cl.run(3 * time.Second)
	late := batchSpec("late", 1, time.Second)
	late.Deadline = 5 * time.Second
	cl.mustSubmit(t, late)
	cl.run(15 * time.Second)
	if j := cl.job("late"); !j.IsEnded || !strings.Contains(j.Reason, "deadline") {
		t.Errorf("got: %v %q, want: failed by its deadline", j.FinalCounts, j.Reason)
	}
}

// When a failed rack returns with empty workers, many waiting tasks are placed on
// it at once. This must not overcommit it or disturb the service.
func TestAllTasksRunAfterARackReturns(t *testing.T) {
	cl := newReadyCluster(t, 8)
	cl.mustSubmit(t, serviceSpec("service", 12))
	cl.run(5 * time.Second)
	for _, name := range cl.names[:2] {
		cl.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeDead})
	}
	cl.run(4 * testLease)
	for _, name := range cl.names[:2] {
		cl.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeUp})
	}
	cl.mustSubmit(t, batchSpec("batch", 60, 2*time.Second))
	cl.run(60 * time.Second)
	if got := cl.job("batch").FinalCounts[leverdyke.TaskDone]; got != 60 || cl.running("service") != 12 {
		t.Errorf("got: %d done and %d of the service, want: 60 and 12", got, cl.running("service"))
	}
	cl.checkInvariants(t)
}

// An all-at-once job that needs most of the cluster competes with a stream of
// small tasks of another job shard that fills it. It may wait at most until racks
// reserve capacity for it, then until the tasks that run there have ended, and
// for the retries in between.
func TestAllAtOnceJobWaitsNoLongerThanItsBound(t *testing.T) {
	const (
		untilReserved = 10 * time.Second
		retryTime     = 6 * time.Second
	)
	for _, run := range []time.Duration{time.Second, 4 * time.Second, 15 * time.Second} {
		cl := newReadyCluster(t, 50)
		team := otherTeam("filings")
		body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 0, slots: 100}\n")
		if err := cl.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
			t.Fatal(err)
		}
		small := batchSpec("small", 3000, run)
		small.Team = team
		cl.mustSubmit(t, small)
		cl.run(5 * time.Second)
		if got := cl.running("small"); got != 24 {
			t.Fatalf("got: %d small tasks running, want: 24, a full cluster", got)
		}
		cl.mustSubmit(t, gangSpec("large", 16, time.Minute))
		waited := time.Duration(0)
		for cl.running("large") < 16 && waited < 2*time.Minute {
			cl.run(step)
			waited += step
		}
		if most := untilReserved + run + retryTime; waited > most {
			t.Errorf("small tasks of %v: got: %v until all of it ran, want: at most %v", run, waited, most)
		}
		t.Logf("small tasks of %v: %v until all of it ran", run, waited)
		cl.checkInvariants(t)
	}
}

// One task that needs a whole VM must not be starved by a stream of small tasks
// of another job shard that fills the cluster, in which no VM ever becomes empty
// by itself.
func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	cl := newReadyCluster(t, 51)
	team := otherTeam("filings")
	body := []byte("office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 0, slots: 100}\n")
	if err := cl.append(state.Record{Publish: &state.Publish{Doc: "team/" + team, Body: body}}); err != nil {
		t.Fatal(err)
	}
	// The tasks have many run times, so that those of a VM do not end together.
	for i := range 600 {
		small := batchSpec(fmt.Sprintf("small-%03d", i), 3, time.Duration(2000+i*377%4000)*time.Millisecond)
		small.Team = team
		cl.nodes[0].core.Append(state.Record{Submit: &state.Submit{Spec: small}}, nil)
	}
	cl.run(20 * time.Second)
	large := batchSpec("large", 1, time.Second)
	large.Each = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 256, Slots: 1}
	cl.mustSubmit(t, large)
	waited := time.Duration(0)
	for cl.running("large") == 0 && waited < 5*time.Minute {
		cl.run(step)
		waited += step
	}
	if most := 25 * time.Second; waited > most {
		t.Errorf("got: %v until it ran, want: at most %v", waited, most)
	}
	t.Logf("%v until it ran", waited)
	cl.checkInvariants(t)
}

// A job shard that has just moved must know the summaries of all racks: its new
// owner has stored those that it received before. Otherwise it would place a
// service's tasks on the few racks whose summaries it has received since.
func TestMovedJobShardSpreadsAServiceOverZones(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 3, racks: 4, workers: 2, seed: 52})
	shard := string(ownership.JobShard(region, "filings"))
	cl.run(20 * time.Second)
	cl.ownerOf(shard).kill()
	for range 200 {
		if cl.ownerOf(shard) != nil {
			break
		}
		cl.run(step)
	}
	cl.mustSubmit(t, serviceSpec("service", 4))
	cl.run(4 * time.Second)
	zones := map[string]int{}
	for _, vm := range cl.vms {
		zones[vm.Zone] += cl.workers[worker.ID(vm.Name)].Running("service")
	}
	if zones["z0"] != 2 || zones["z1"] != 2 {
		t.Errorf("got: %v, want: two in each zone", zones)
	}
}
