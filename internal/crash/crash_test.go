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

const soon = 10 * time.Millisecond

// known is a crash of a worker on machine n, that long after the start of the task.
func known(n int, ran time.Duration) work.Crash {
	return work.Crash{Worker: fmt.Sprintf("w%d", n), Machine: fmt.Sprintf("m%d", n), Run: uint64(n), RunTime: ran, IsConfirmed: true}
}

// with is a crash of as many other workers besides.
func with(others int, c work.Crash) work.Crash {
	c.OthersSilent = others
	return c
}

// explained is a crash soon after another suspect was started there.
func explained(n int) work.Crash {
	c := known(n, 400*time.Millisecond)
	c.IsExplained = true
	return c
}

// inherited is a crash under a task that an earlier owner had started.
func inherited(n int) work.Crash {
	return work.Crash{Worker: fmt.Sprintf("w%d", n), Run: uint64(n), IsInherited: true}
}

func possible(n int, ran time.Duration) work.Crash {
	c := known(n, ran)
	c.IsConfirmed = false
	return c
}

// three are as many proofs as it takes.
var three = []work.Crash{known(1, soon), known(2, soon), known(3, soon)}

// crowd is n crashes, each of eight workers at once.
func crowd(n int) []work.Crash {
	crashes := []work.Crash{}
	for i := range n {
		crashes = append(crashes, with(7, known(100+i, soon)))
	}
	return crashes
}

func on(suspects ...crash.Suspect) []crash.Suspect { return suspects }

func suspect(job work.JobID, crashes ...work.Crash) crash.Suspect {
	return crash.Suspect{Unit: work.TaskID{Job: job}, Crashes: crashes}
}

func TestWhichTasksAreGuiltyOfACrash(t *testing.T) {
	for name, c := range map[string]struct {
		on   []crash.Suspect
		want []int
	}{
		"one crash proves nothing":               {on(suspect("a", known(1, soon))), nil},
		"two crashes prove nothing":              {on(suspect("a", known(1, soon), known(2, soon))), nil},
		"three, each alone":                      {on(suspect("a", three...)), []int{0}},
		"two of them on one machine":             {on(suspect("a", known(1, soon), known(1, soon), known(2, soon))), nil},
		"beside one that is less so":             {on(suspect("a", known(3, soon)), suspect("b", three...)), []int{1}},
		"two that were on all":                   {on(suspect("a", three...), suspect("b", three...)), nil},
		"two of a gang that were":                {on(suspect("a", three...), suspect("a", three...)), []int{0, 1}},
		"had run for long on the last":           {on(suspect("a", known(1, soon), known(2, soon), known(3, 3*time.Second))), nil},
		"had run for long on the first":          {on(suspect("a", known(1, 3*time.Second), known(2, soon), known(3, soon))), nil},
		"the last may only be cut off":           {on(suspect("a", known(1, soon), known(2, soon), possible(3, soon))), nil},
		"another crashed with the last":          {on(suspect("a", known(1, soon), known(2, soon), with(1, known(3, soon)))), nil},
		"beside one that had run there":          {on(suspect("a", three...), suspect("b", known(1, soon), known(2, soon), known(3, 2*time.Second))), []int{0}},
		"four soon, of any kind":                 {on(suspect("a", possible(1, time.Second/2), with(1, known(2, soon)), possible(3, soon), possible(4, soon))), []int{0}},
		"three of many at once":                  {on(suspect("a", crowd(3)...)), nil},
		"four of many at once":                   {on(suspect("a", crowd(4)...)), []int{0}},
		"one of many, then alone":                {on(suspect("a", append(crowd(1), known(2, soon), known(3, soon))...)), nil},
		"one of many, then all alone":            {on(suspect("a", append(crowd(1), known(2, soon), known(3, soon), known(4, soon))...)), []int{0}},
		"another one's crash thrice":             {on(suspect("a", known(1, soon), explained(2), explained(3), explained(4), explained(5))), nil},
		"three that were inherited":              {on(suspect("a", inherited(1), inherited(2), inherited(3))), nil},
		"four that were inherited":               {on(suspect("a", inherited(1), inherited(2), inherited(3), inherited(4))), []int{0}},
		"two, and perhaps more":                  {on(crash.Suspect{Crashes: three[:2], MayHaveMore: true}), []int{0}},
		"three that tell less, and perhaps more": {on(crash.Suspect{Crashes: []work.Crash{inherited(1), known(2, soon), inherited(3)}, MayHaveMore: true}), nil},
		"two, then one that was inherited":       {on(crash.Suspect{Crashes: []work.Crash{known(1, soon), known(2, soon), inherited(3)}, MayHaveMore: true}), nil},
		"one, and perhaps more":                  {on(crash.Suspect{Crashes: three[:1], MayHaveMore: true}), nil},
		"four alone, alike":                      {on(suspect("a", known(1, 5*time.Second), known(2, 5200*time.Millisecond), known(3, 5*time.Second), known(4, 4900*time.Millisecond))), []int{0}},
		"four alone, not alike":                  {on(suspect("a", known(1, 4*time.Second), known(2, 6*time.Second), known(3, 5*time.Second), known(4, 7*time.Second))), nil},
		"four with others, alike":                {on(suspect("a", known(1, 5*time.Second), with(1, known(2, 5*time.Second)), known(3, 5*time.Second), known(4, 5*time.Second))), nil},
	} {
		got := crash.Guilty(c.on)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got: %v, want: %v", name, got, c.want)
		}
	}
}

func TestACrashIsNotedOnce(t *testing.T) {
	crashes := crash.Note(nil, known(1, soon), false)
	crashes = crash.Note(crashes, known(1, soon), false)
	if len(crashes) != 1 {
		t.Errorf("crashes: got: %d, want: 1", len(crashes))
	}
}

func TestOnlySoonCrashesCountForALastingTask(t *testing.T) {
	if got := crash.Note(crash.Note(nil, known(1, soon), true), known(2, time.Minute), true); len(got) != 0 {
		t.Errorf("a minute after the start of a lasting task: got: %d, want: 0", len(got))
	}
	if got := crash.Note(nil, known(1, time.Second), true); len(got) != 1 {
		t.Errorf("a second after the start of a lasting task: got: %d, want: 1", len(got))
	}
}

func TestALongerRunRefutesCrashes(t *testing.T) {
	early, late := known(1, 500*time.Millisecond), known(2, 2*time.Second)
	for name, c := range map[string]struct {
		ran  time.Duration
		want int
	}{
		"not much longer than any":      {2900 * time.Millisecond, 3},
		"longer than the early ones":    {3 * time.Second, 1},
		"longer than the late one, too": {8 * time.Second, 0},
		"long enough for any":           {11 * time.Second, 0},
	} {
		if got := len(crash.Outlived([]work.Crash{early, late, inherited(3)}, c.ran)); got != c.want {
			t.Errorf("%s: got: %d that tell against it, want: %d", name, got, c.want)
		}
	}
}
