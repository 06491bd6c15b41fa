// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package crash tells tasks that crash their workers from those that were only beside
// them. It is pure.
//
// A worker that crashes names no culprit. What is known is which tasks were on it and for
// how long; a task that crashes workers is there each time, shortly after its start. So a
// task under which a worker has crashed goes on apart from others of that kind, and is
// given up when a second worker, of another machine, crashes under it alone. Each further
// start would cost a worker for some seconds, and all that runs there: 0.34 of what users
// earn was left on a day with two such tasks that were started every 3.4 s.
package crash

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// FreshTime is the longest that a task may have been on its worker for the crash to tell
	// against it. Such tasks were seen to crash workers 10 ms after their start; a listing
	// tells up to 0.5 s late that a worker still lives.
	FreshTime = time.Second
	// SeparateTime is how long after its start a task under which a worker has crashed is kept
	// apart from others of that kind: many times the 10 ms, and short enough that the 170 tasks
	// which a second brings to 48 workers get their turns within a second when all crash.
	SeparateTime = 250 * time.Millisecond
	// enough is how many workers of different machines must have crashed under a task that
	// is given up. Callers are promised that one with two such crashes may be.
	enough = 2
	// tooMany is how many workers at most crash under a task, also where it is not clear
	// that it was the cause. Callers are promised fewer than three starts after the third;
	// one is left for what a new owner does not know.
	tooMany = 4
	// longestLasting is the longest that a lasting task may have been on its worker for the
	// crash to count at all: tasks that run all day see many crashes of others' doing.
	longestLasting = 10 * time.Second
)

// Suspect is a task that was on a worker when that crashed.
type Suspect struct {
	// Unit is the task, or the first one of its gang: members of a gang are not told apart
	// from each other, as they start together.
	Unit work.TaskID
	// Crashes are those under the task; the last one is this worker's.
	Crashes []work.Crash
}

// Note adds a crash to those under a task, once. It returns them unchanged when it counts
// for nothing.
func Note(crashes []work.Crash, c work.Crash, isLasting bool) []work.Crash {
	if isLasting && c.Ran > longestLasting {
		return crashes
	}
	for i := range crashes {
		if crashes[i].Worker == c.Worker && crashes[i].Run == c.Run {
			return crashes
		}
	}
	return append(crashes, c)
}

// IsSuspect reports whether a task may be one that crashes workers.
func IsSuspect(crashes []work.Crash) bool {
	return slices.ContainsFunc(crashes, func(c work.Crash) bool { return isFresh(&c) })
}

// Guilty returns the numbers of those, of all tasks on a worker that crashed, that are to
// be given up.
func Guilty(suspects []Suspect) []int {
	guilty := []int{}
	for i := range suspects {
		s := &suspects[i]
		if len(s.Crashes) >= tooMany || isProven(s) && !hasRival(s, suspects) {
			guilty = append(guilty, i)
		}
	}
	return guilty
}

// isProven reports whether enough workers have crashed under the task, this one included.
func isProven(s *Suspect) bool { return isRecent(s) && fresh(s.Crashes) >= enough }

// isRecent reports whether the task had just started on this worker.
func isRecent(s *Suspect) bool {
	last := &s.Crashes[len(s.Crashes)-1]
	return last.IsKnown && isFresh(last)
}

// hasRival reports whether another task that had just started there is as suspect.
func hasRival(s *Suspect, suspects []Suspect) bool {
	for i := range suspects {
		o := &suspects[i]
		if o.Unit != s.Unit && isRecent(o) && fresh(o.Crashes) >= fresh(s.Crashes) {
			return true
		}
	}
	return false
}

func isFresh(c *work.Crash) bool { return c.Ran < FreshTime }

// fresh counts the machines of which a worker is known to have crashed shortly after the
// start of the task: one that crashes whatever it runs proves nothing twice.
func fresh(crashes []work.Crash) int {
	n := 0
	for i := range crashes {
		c := &crashes[i]
		if c.IsKnown && isFresh(c) && !hasEarlier(crashes[:i], c) {
			n++
		}
	}
	return n
}

func hasEarlier(crashes []work.Crash, c *work.Crash) bool {
	for i := range crashes {
		o := &crashes[i]
		if o.Machine == c.Machine && c.Machine != "" && o.IsKnown && isFresh(o) {
			return true
		}
	}
	return false
}
