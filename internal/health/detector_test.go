// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package health_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/health"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const workers = 4

var begin = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func key(job string) worker.Key { return worker.Key{Task: leverdyke.TaskID{Job: job}, Attempt: 1} }

// fail lets a worker fail so many tasks, each of another job.
func fail(j *health.Judge, now time.Time, id worker.ID, times int) health.Finding {
	f := health.Finding{}
	for i := range times {
		f = j.Ended(now, id, key(fmt.Sprint(id, i)), worker.StateFailed, workers)
	}
	return f
}

func TestThreeFailuresInARowSetAWorkerAside(t *testing.T) {
	j := health.NewJudge()
	if f := fail(j, begin, "w", 2); f != (health.Finding{}) || j.IsSetAside(begin, "w") {
		t.Errorf("two: got: %+v, want: nothing yet", f)
	}
	j.Ended(begin, "w", key("good"), worker.StateDone, workers)
	if f := fail(j, begin, "w", 2); f.AsideFor != 0 {
		t.Errorf("two after a success: got: %+v, want: nothing yet", f)
	}
	f := fail(j, begin, "w", 1)
	if !f.IsBlamed || f.AsideFor != 20*time.Second || !j.IsSetAside(begin, "w") {
		t.Errorf("three: got: %+v, want: blamed and set aside for 20 s", f)
	}
	if j.IsSetAside(begin.Add(20*time.Second), "w") {
		t.Error("after its time: got: set aside, want: open for one task")
	}
}

func TestOneTaskTriesAWorkerAgain(t *testing.T) {
	for name, c := range map[string]struct {
		end     worker.TaskState
		isAside bool
		want    health.Finding
	}{
		"it succeeds":    {worker.StateDone, false, health.Finding{IsBack: true}},
		"it fails":       {worker.StateFailed, true, health.Finding{IsBlamed: true, AsideFor: 40 * time.Second}},
		"it is stopped":  {worker.StateStopped, false, health.Finding{}},
		"it is moved on": {worker.StateCheckpointed, false, health.Finding{}},
	} {
		j := health.NewJudge()
		fail(j, begin, "w", 3)
		later := begin.Add(time.Minute)
		if !j.Placed(later, "w", key("probe")) || !j.IsSetAside(later, "w") {
			t.Fatalf("%s: got: open for more, want: one task at a time", name)
		}
		j.Ended(later, "w", key("other"), worker.StateStopped, workers)
		if !j.IsSetAside(later, "w") {
			t.Errorf("%s: got: open after another task's end, want: only after its own", name)
		}
		if got := j.Ended(later, "w", key("probe"), c.end, workers); got != c.want {
			t.Errorf("%s: got: %+v, want: %+v", name, got, c.want)
		}
		if got := j.IsSetAside(later, "w"); got != c.isAside {
			t.Errorf("%s: got: set aside %v, want: %v", name, got, c.isAside)
		}
	}
}

// A worker whose probe was a service got nothing else for as long as that ran.
func TestAProbeThatRunsOnBringsItsWorkerBack(t *testing.T) {
	j := health.NewJudge()
	fail(j, begin, "w", 3)
	probed := begin.Add(time.Minute)
	j.Placed(probed, "w", key("service"))
	if got := j.Proven(probed.Add(9 * time.Second)); len(got) > 0 || !j.IsSetAside(probed, "w") {
		t.Errorf("after 9 s: got: %v back, want: none", got)
	}
	if got := j.Proven(probed.Add(10 * time.Second)); !slices.Equal(got, []worker.ID{"w"}) || j.IsSetAside(probed, "w") {
		t.Errorf("after 10 s: got: %v back, want: w, in use", got)
	}
	if got := j.Proven(probed.Add(time.Hour)); len(got) > 0 {
		t.Errorf("later: got: %v back, want: none", got)
	}
}

func TestJobThatFailsOnTwoWorkersBlamesNone(t *testing.T) {
	j := health.NewJudge()
	for i := range 9 {
		id := worker.ID(fmt.Sprint("w", i%2))
		if f := j.Ended(begin, id, key("bad"), worker.StateFailed, workers); f.IsBlamed {
			t.Errorf("failure %d: got: %s blamed, want: the job", i, id)
		}
	}
}

func TestAtMostHalfOfTheWorkersAreSetAside(t *testing.T) {
	j := health.NewJudge()
	aside := 0
	for i := range workers {
		id := worker.ID(fmt.Sprint("w", i))
		fail(j, begin, id, 5)
		if j.IsSetAside(begin, id) {
			aside++
		}
	}
	if aside != workers/2 {
		t.Errorf("got: %d of %d set aside, want: %d", aside, workers, workers/2)
	}
}
