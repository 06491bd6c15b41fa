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
	return work.Crash{Worker: fmt.Sprintf("w%d", n), Machine: fmt.Sprintf("m%d", n), Run: uint64(n), Ran: ran, IsKnown: true}
}

func possible(n int, ran time.Duration) work.Crash {
	c := known(n, ran)
	c.IsKnown = false
	return c
}

func suspect(job work.JobID, crashes ...work.Crash) crash.Suspect {
	return crash.Suspect{Unit: work.TaskID{Job: job}, Crashes: crashes}
}

func TestWhichTasksAreGuiltyOfACrash(t *testing.T) {
	for name, c := range map[string]struct {
		on   []crash.Suspect
		want []int
	}{
		"one crash proves nothing":                 {[]crash.Suspect{suspect("a", known(1, soon))}, nil},
		"alone on two that crash":                  {[]crash.Suspect{suspect("a", known(1, soon), known(2, soon))}, []int{0}},
		"twice on one machine":                     {[]crash.Suspect{suspect("a", known(1, soon), known(1, soon))}, nil},
		"beside one that was on another":           {[]crash.Suspect{suspect("a", known(2, soon)), suspect("b", known(1, soon), known(2, soon))}, []int{1}},
		"two that were on both":                    {[]crash.Suspect{suspect("a", known(1, soon), known(2, soon)), suspect("b", known(1, soon), known(2, soon))}, nil},
		"two of a gang that were on both":          {[]crash.Suspect{suspect("a", known(1, soon), known(2, soon)), suspect("a", known(1, soon), known(2, soon))}, []int{0, 1}},
		"had run for long on the second":           {[]crash.Suspect{suspect("a", known(1, soon), known(2, 3*time.Second))}, nil},
		"had run for long on the first":            {[]crash.Suspect{suspect("a", known(1, 3*time.Second), known(2, soon))}, nil},
		"the second may only be cut off":           {[]crash.Suspect{suspect("a", known(1, soon), possible(2, soon))}, nil},
		"the first may only have been cut off":     {[]crash.Suspect{suspect("a", possible(1, soon), known(2, soon))}, nil},
		"four, whatever they were":                 {[]crash.Suspect{suspect("a", possible(1, time.Minute), known(2, soon), possible(3, soon), possible(4, soon))}, []int{0}},
		"beside one that had run there for longer": {[]crash.Suspect{suspect("a", known(1, soon), known(2, soon)), suspect("b", known(1, soon), known(2, 2*time.Second))}, []int{0}},
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
	if got := crash.Note(nil, known(1, time.Minute), true); len(got) != 0 {
		t.Errorf("a minute after the start of a lasting task: got: %d, want: 0", len(got))
	}
	if got := crash.Note(nil, known(1, time.Second), true); len(got) != 1 {
		t.Errorf("a second after the start of a lasting task: got: %d, want: 1", len(got))
	}
}
