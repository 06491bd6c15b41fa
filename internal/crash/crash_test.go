// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/work"
)

const shortRun = 10 * time.Millisecond

// knownCrash is a known crash of a worker on machine n, that long after the start of the task.
func knownCrash(n int, ran time.Duration) work.Crash {
	return work.Crash{Worker: fmt.Sprintf("w%d", n), Machine: fmt.Sprintf("m%d", n), Run: uint64(n), RunTime: ran, IsConfirmed: true}
}

// withOthers is the crash with as many other workers that became silent at the same moment.
func withOthers(others int, c work.Crash) work.Crash {
	c.OthersSilent = others
	return c
}

// explainedCrash is a crash that another suspect explains, which was started on the worker right
// before it.
func explainedCrash(n int) work.Crash {
	c := knownCrash(n, 400*time.Millisecond)
	c.IsExplained = true
	return c
}

// inheritedCrash is a crash under a task that a previous owner had started.
func inheritedCrash(n int) work.Crash {
	return work.Crash{Worker: fmt.Sprintf("w%d", n), Run: uint64(n), IsInherited: true}
}

// outlastedCrash is a crash under a run that a previous owner handed on.
func outlastedCrash(n int) work.Crash {
	c := inheritedCrash(n)
	c.RunTime = crash.WeakWindow
	return c
}

// possibleCrash is a crash of a worker that may only have been partitioned.
func possibleCrash(n int, ran time.Duration) work.Crash {
	c := knownCrash(n, ran)
	c.IsConfirmed = false
	return c
}

// threeStrong is as much strong evidence as is needed.
var threeStrong = []work.Crash{knownCrash(1, shortRun), knownCrash(2, shortRun), knownCrash(3, shortRun)}

// ofMany returns n crashes, each of eight workers at once.
func ofMany(n int) []work.Crash {
	crashes := []work.Crash{}
	for i := range n {
		crashes = append(crashes, withOthers(7, knownCrash(100+i, shortRun)))
	}
	return crashes
}

// on returns the suspects that were on a worker which crashed.
func on(suspects ...crash.Suspect) []crash.Suspect { return suspects }

func suspect(job work.JobID, crashes ...work.Crash) crash.Suspect {
	return crash.Suspect{Unit: work.TaskID{Job: job}, Crashes: crashes}
}

// A task that crashes its workers must be found after few crashes, as each costs a worker and
// all that runs there. A task that only ran on the same workers as such a task must not count as
// at fault, or its job fails without a fault of its own.
func TestOnlyTasksThatCrashWorkersAreCulprits(t *testing.T) {
	for name, c := range map[string]struct {
		on   []crash.Suspect
		want []int
	}{
		"one crash proves nothing":             {on(suspect("a", knownCrash(1, shortRun))), nil},
		"two crashes prove nothing":            {on(suspect("a", knownCrash(1, shortRun), knownCrash(2, shortRun))), nil},
		"three, each alone":                    {on(suspect("a", threeStrong...)), []int{0}},
		"two of them on one machine":           {on(suspect("a", knownCrash(1, shortRun), knownCrash(1, shortRun), knownCrash(2, shortRun))), nil},
		"beside one with less evidence":        {on(suspect("a", knownCrash(3, shortRun)), suspect("b", threeStrong...)), []int{1}},
		"two that were on all workers":         {on(suspect("a", threeStrong...), suspect("b", threeStrong...)), nil},
		"two of a gang on all workers":         {on(suspect("a", threeStrong...), suspect("a", threeStrong...)), []int{0, 1}},
		"had run for long on the last":         {on(suspect("a", knownCrash(1, shortRun), knownCrash(2, shortRun), knownCrash(3, 3*time.Second))), nil},
		"had run for long on the first":        {on(suspect("a", knownCrash(1, 3*time.Second), knownCrash(2, shortRun), knownCrash(3, shortRun))), nil},
		"the last may only be cut off":         {on(suspect("a", knownCrash(1, shortRun), knownCrash(2, shortRun), possibleCrash(3, shortRun))), nil},
		"another crashed with the last":        {on(suspect("a", knownCrash(1, shortRun), knownCrash(2, shortRun), withOthers(1, knownCrash(3, shortRun)))), nil},
		"beside one that had run for long":     {on(suspect("a", threeStrong...), suspect("b", knownCrash(1, shortRun), knownCrash(2, shortRun), knownCrash(3, 2*time.Second))), []int{0}},
		"four after short runs, of any kind":   {on(suspect("a", possibleCrash(1, time.Second/2), withOthers(1, knownCrash(2, shortRun)), possibleCrash(3, shortRun), possibleCrash(4, shortRun))), []int{0}},
		"three of many at once":                {on(suspect("a", ofMany(3)...)), nil},
		"four of many at once":                 {on(suspect("a", ofMany(4)...)), []int{0}},
		"one of many, then alone":              {on(suspect("a", append(ofMany(1), knownCrash(2, shortRun), knownCrash(3, shortRun))...)), nil},
		"one of many, then all alone":          {on(suspect("a", append(ofMany(1), knownCrash(2, shortRun), knownCrash(3, shortRun), knownCrash(4, shortRun))...)), []int{0}},
		"explained by another suspect":         {on(suspect("a", knownCrash(1, shortRun), explainedCrash(2), explainedCrash(3), explainedCrash(4), explainedCrash(5))), nil},
		"three that were inherited":            {on(suspect("a", inheritedCrash(1), inheritedCrash(2), inheritedCrash(3))), nil},
		"four that were inherited":             {on(suspect("a", inheritedCrash(1), inheritedCrash(2), inheritedCrash(3), inheritedCrash(4))), []int{0}},
		"two, and perhaps more":                {on(crash.Suspect{Crashes: threeStrong[:2], MayHaveUnknown: true}), []int{0}},
		"four under runs that were handed on":  {on(suspect("a", outlastedCrash(1), outlastedCrash(2), outlastedCrash(3), outlastedCrash(4))), nil},
		"three of weak evidence, perhaps more": {on(crash.Suspect{Crashes: []work.Crash{inheritedCrash(1), knownCrash(2, shortRun), inheritedCrash(3)}, MayHaveUnknown: true}), nil},
		"two, then one that was inherited":     {on(crash.Suspect{Crashes: []work.Crash{knownCrash(1, shortRun), knownCrash(2, shortRun), inheritedCrash(3)}, MayHaveUnknown: true}), nil},
		"one, and perhaps more":                {on(crash.Suspect{Crashes: threeStrong[:1], MayHaveUnknown: true}), nil},
		"four alone, similar run times":        {on(suspect("a", knownCrash(1, 5*time.Second), knownCrash(2, 5200*time.Millisecond), knownCrash(3, 5*time.Second), knownCrash(4, 4900*time.Millisecond))), []int{0}},
		"four alone, different run times":      {on(suspect("a", knownCrash(1, 4*time.Second), knownCrash(2, 6*time.Second), knownCrash(3, 5*time.Second), knownCrash(4, 7*time.Second))), nil},
		"four with others, similar run times":  {on(suspect("a", knownCrash(1, 5*time.Second), withOthers(1, knownCrash(2, 5*time.Second)), knownCrash(3, 5*time.Second), knownCrash(4, 5*time.Second))), nil},
	} {
		got := crash.Culprits(c.on)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got: %v, want: %v", name, got, c.want)
		}
	}
}

// The same crash may be noted more than once. It is evidence only once.
func TestCrashIsAddedOnce(t *testing.T) {
	crashes := crash.Add(nil, knownCrash(1, shortRun), false)
	crashes = crash.Add(crashes, knownCrash(1, shortRun), false)
	if len(crashes) != 1 {
		t.Errorf("crashes: got: %d, want: 1", len(crashes))
	}
}

// A long-running task sees many crashes in days, which others cause. Those after a long run must
// not add up against it.
func TestLateCrashClearsALongRunningTask(t *testing.T) {
	if got := crash.Add(crash.Add(nil, knownCrash(1, shortRun), true), knownCrash(2, time.Minute), true); len(got) != 0 {
		t.Errorf("a minute after the start of a long-running task: got: %d, want: 0", len(got))
	}
	if got := crash.Add(nil, knownCrash(1, time.Second), true); len(got) != 1 {
		t.Errorf("a second after the start of a long-running task: got: %d, want: 1", len(got))
	}
}

// A long-running task has no successful end that would clear it. Unless a longer run does,
// crashes that it did not cause add up until its job fails.
func TestLongerRunRefutesCrashes(t *testing.T) {
	early, late := knownCrash(1, 500*time.Millisecond), knownCrash(2, 2*time.Second)
	for name, c := range map[string]struct {
		ran  time.Duration
		want int
	}{
		"not much longer than any":      {2900 * time.Millisecond, 3},
		"longer than the early ones":    {3 * time.Second, 1},
		"longer than the late one, too": {8 * time.Second, 0},
		"long enough for any":           {11 * time.Second, 0},
	} {
		if got := len(crash.Unrefuted([]work.Crash{early, late, inheritedCrash(3)}, c.ran)); got != c.want {
			t.Errorf("%s: got: %d that are evidence, want: %d", name, got, c.want)
		}
	}
}
