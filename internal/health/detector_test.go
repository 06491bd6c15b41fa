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

// fail makes a worker fail the given number of tasks, each of another job, and returns the last finding.
func fail(j *health.Detector, now time.Time, id worker.ID, times int) health.Finding {
	f := health.Finding{}
	for i := range times {
		f = j.Ended(now, id, key(fmt.Sprint(id, i)), worker.StateFailed, workers)
	}
	return f
}

// A success resets the count of failures, and an ejection ends by itself.
func TestThreeFailuresInARowEjectAWorker(t *testing.T) {
	j := health.NewDetector()
	if f := fail(j, begin, "w", 2); f != (health.Finding{}) || j.IsEjected(begin, "w") {
		t.Errorf("two: got: %+v, want: nothing yet", f)
	}
	j.Ended(begin, "w", key("good"), worker.StateSucceeded, workers)
	if f := fail(j, begin, "w", 2); f.EjectedFor != 0 {
		t.Errorf("two after a success: got: %+v, want: nothing yet", f)
	}
	f := fail(j, begin, "w", 1)
	if !f.IsWorkerAtFault || f.EjectedFor != 20*time.Second || !j.IsEjected(begin, "w") {
		t.Errorf("three: got: %+v, want: at fault and ejected for 20 s", f)
	}
	if j.IsEjected(begin.Add(20*time.Second), "w") {
		t.Error("after its ejection: got: still ejected, want: one task allowed")
	}
}

// After its ejection a worker gets one task, and no other until that has ended.
func TestOneProbeAtATime(t *testing.T) {
	for name, c := range map[string]struct {
		end       worker.TaskState
		isEjected bool
		want      health.Finding
	}{
		"it succeeds":        {worker.StateSucceeded, false, health.Finding{IsReadmitted: true}},
		"it fails":           {worker.StateFailed, true, health.Finding{IsWorkerAtFault: true, EjectedFor: 40 * time.Second}},
		"it is stopped":      {worker.StateStopped, false, health.Finding{}},
		"it is checkpointed": {worker.StateCheckpointed, false, health.Finding{}},
	} {
		j := health.NewDetector()
		fail(j, begin, "w", 3)
		later := begin.Add(time.Minute)
		if !j.Placed(later, "w", key("probe")) || !j.IsEjected(later, "w") {
			t.Fatalf("%s: got: more tasks allowed, want: one task at a time", name)
		}
		j.Ended(later, "w", key("other"), worker.StateStopped, workers)
		if !j.IsEjected(later, "w") {
			t.Errorf("%s: got: allowed after the end of another task, want: only after that of the probe", name)
		}
		if got := j.Ended(later, "w", key("probe"), c.end, workers); got != c.want {
			t.Errorf("%s: got: %+v, want: %+v", name, got, c.want)
		}
		if got := j.IsEjected(later, "w"); got != c.isEjected {
			t.Errorf("%s: ejected: got: %v, want: %v", name, got, c.isEjected)
		}
	}
}

// The task of a service does not end. A worker whose probe was such a task got no other task for as
// long as the service ran.
func TestProbeThatKeepsRunningReadmitsItsWorker(t *testing.T) {
	j := health.NewDetector()
	fail(j, begin, "w", 3)
	probed := begin.Add(time.Minute)
	j.Placed(probed, "w", key("service"))
	if got := j.ReadmitProbed(probed.Add(9 * time.Second)); len(got) > 0 || !j.IsEjected(probed, "w") {
		t.Errorf("after 9 s: readmitted: got: %v, want: none", got)
	}
	if got := j.ReadmitProbed(probed.Add(10 * time.Second)); !slices.Equal(got, []worker.ID{"w"}) || j.IsEjected(probed, "w") {
		t.Errorf("after 10 s: readmitted: got: %v, want: w, not ejected", got)
	}
	if got := j.ReadmitProbed(probed.Add(time.Hour)); len(got) > 0 {
		t.Errorf("later: readmitted: got: %v, want: none", got)
	}
}

// A job that fails on several workers is at fault itself: its failures must not eject them.
func TestJobThatFailsOnTwoWorkersEjectsNone(t *testing.T) {
	j := health.NewDetector()
	for i := range 9 {
		id := worker.ID(fmt.Sprint("w", i%2))
		if f := j.Ended(begin, id, key("bad"), worker.StateFailed, workers); f.IsWorkerAtFault {
			t.Errorf("failure %d: at fault: got: %s, want: the job", i, id)
		}
	}
}

// If all workers fail, ejecting them all would leave none to run anything.
func TestAtMostHalfOfTheWorkersAreEjected(t *testing.T) {
	j := health.NewDetector()
	ejected := 0
	for i := range workers {
		id := worker.ID(fmt.Sprint("w", i))
		fail(j, begin, id, 5)
		if j.IsEjected(begin, id) {
			ejected++
		}
	}
	if ejected != workers/2 {
		t.Errorf("got: %d of %d ejected, want: %d", ejected, workers, workers/2)
	}
}
