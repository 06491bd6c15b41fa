// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package crash tells tasks that crash their workers from those that were only beside
// them. It is pure.
//
// A worker that crashes names no culprit, and most crashes have none: the power goes, a
// rack is lost. What is known is which tasks were on it and for how long, and which other
// workers fell silent in the same moment. A task that crashes workers is there each time,
// as long after its start, and takes one worker at a time. So a task under which a worker
// has crashed is tried where nothing else starts, and is given up when that tells three
// times against it. Each start more costs a worker for some seconds, and all that runs there.
package crash

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// StrongWindow is the longest that a task may have been on its worker for one crash more to
	// prove it guilty, as far as the worker's answers tell: long enough for a task that crashes
	// its worker at its start, short enough that few others are under suspicion.
	StrongWindow = 300 * time.Millisecond
	// WeakWindow is the longest for a crash to count where several must agree, and the time from
	// one trial to the next on a worker: tasks tried right after each other would be given up
	// for the next one's crash.
	WeakWindow = time.Second
	// IsolationTime is for how long nothing else starts beside a task that may crash its worker.
	IsolationTime = StrongWindow
	// proofs is how many workers of different machines must have crashed alone, right after a
	// task's start, for it to be given up: fewer are met by chance where workers crash by
	// themselves.
	strongNeeded = 3
	// many is how many crashes are enough that each tell less. Callers are promised fewer than
	// three starts after the third; one is left for what a new owner does not know.
	weakNeeded = 4
	// soloAfter is the number of workers that must have crashed alone under tasks for these to be
	// tried one after the other, so that their workers do not crash in the same moment.
	soleTrialAfter = 2
	// likeTime is how far apart the times from a task's start to the crash may be for the
	// crashes to be alike: a worker's listing, by which they are known, comes every 0.5 s.
	similarWithin = 600 * time.Millisecond
	// maxNotes bounds the crashes that are kept of a task.
	maxKept = 8
	// maxOthers is how many other workers may fall silent in the same moment: more have
	// another cause than a task.
	maxOthers = 2
	// longestLasting is the longest that a lasting task may have been on its worker for the
	// crash to count. One that ran for longer does not crash its workers, and starts anew:
	// tasks that run for days see many crashes of others' doing.
	longRunningLimit = 10 * time.Second
	// outlivedRatio and outlivedLeast are how much longer than until a crash a run must last to refute
	// it: slow workers take several times as long.
	refuteRatio = 4
	refuteMin   = 3 * time.Second
)

// Suspect is a task that was on a worker when that crashed.
type Suspect struct {
	// Unit is the task, or the first one of its gang: members of a gang are not told apart
	// from each other, as they start together.
	Unit work.TaskID
	// Crashes are those under the task; the last one is this worker's.
	Crashes []work.Crash
	// MayHaveUnknown means that an earlier owner may have seen crashes that nobody knows of: it
	// had started tasks while the store was out. That counts as one proof more where the last crash
	// is one, but not beside crashes that tell less: after a loss of all nodes most of these are
	// workers that left.
	MayHaveUnknown bool
}

// Add adds a crash to those under a task, once, and returns those that count.
func Add(crashes []work.Crash, c work.Crash, isLongRunning bool) []work.Crash {
	if isLongRunning && IsCleared(c.Ran) {
		return nil
	}
	isKnown := func(o work.Crash) bool { return o.Worker == c.Worker && o.Run == c.Run }
	if slices.ContainsFunc(crashes, isKnown) {
		return crashes
	}
	crashes = append(crashes, c)
	return crashes[max(len(crashes)-maxKept, 0):]
}

// IsCleared reports whether a task that lasts has been on its worker for so long that it is none
// that crashes workers.
func IsCleared(ran time.Duration) bool { return ran > longRunningLimit }

// Unrefuted returns the crashes under a task that lasts which still tell against it when it has been on
// a worker for so long. A task that crashes workers does so as long after each start: by then it would
// have, also on a slow one.
func Unrefuted(crashes []work.Crash, ran time.Duration) []work.Crash {
	if IsCleared(ran) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c work.Crash) bool { return ran >= max(refuteRatio*c.Ran, refuteMin) })
}

// IsSuspect reports whether a task may be one that crashes workers. One crash that tells
// little does not make it so: hundreds of tasks would have to be tried apart.
func IsSuspect(crashes []work.Crash) bool {
	return countStrong(crashes) > 0 || countEvidence(crashes) > 1
}

// NeedsSoleTrial reports whether a task is tried while no other such one is. Crashes of many workers at once
// do not make it so: hundreds of tasks would wait for each other.
func NeedsSoleTrial(crashes []work.Crash) bool { return countStrong(crashes) >= soleTrialAfter }

// HasEvidence reports whether anything tells against a task.
func HasEvidence(crashes []work.Crash) bool { return countEvidence(crashes) > 0 }

// Culprits returns the numbers of those, of all tasks on a worker that crashed, that are to
// be given up.
func Culprits(suspects []Suspect) []int {
	culprits := []int{}
	for i := range suspects {
		s := &suspects[i]
		unknown := 0
		if s.MayHaveUnknown && isStrong(&s.Crashes[len(s.Crashes)-1]) {
			unknown = 1
		}
		isProven := countStrong(s.Crashes)+unknown >= strongNeeded && !hasRival(s, suspects)
		if isProven || countEvidence(s.Crashes) >= weakNeeded || areSimilar(s.Crashes) {
			culprits = append(culprits, i)
		}
	}
	return culprits
}

// hasRival reports whether as much tells against another task that had just started there.
func hasRival(s *Suspect, suspects []Suspect) bool {
	return slices.ContainsFunc(suspects, func(o Suspect) bool {
		last := &o.Crashes[len(o.Crashes)-1]
		return o.Unit != s.Unit && last.Ran < StrongWindow && countStrong(o.Crashes) >= countStrong(s.Crashes)
	})
}

// signsOf counts the crashes that tell anything against the task.
func countEvidence(crashes []work.Crash) int {
	n := 0
	for i := range crashes {
		if isEvidence(&crashes[i]) {
			n++
		}
	}
	return n
}

// isSign reports whether the worker crashed, or went silent for good, soon after the task's
// start, or may have.
func isEvidence(c *work.Crash) bool {
	switch {
	case c.IsInherited:
		return true
	case c.IsExplained:
		return false
	case c.Others > maxOthers:
		return c.Ran < StrongWindow
	}
	return c.Ran < WeakWindow
}

// proofsOf counts the machines on which a worker crashed alone under the task, right after
// its start: one that crashes whatever it runs proves nothing twice.
func countStrong(crashes []work.Crash) int {
	n := 0
	for i := range crashes {
		c := &crashes[i]
		isRepeated := func(o work.Crash) bool { return o.Machine == c.Machine && c.Machine != "" && isStrong(&o) }
		if isStrong(c) && !slices.ContainsFunc(crashes[:i], isRepeated) {
			n++
		}
	}
	return n
}

// isProof reports whether the worker crashed alone, right after the task's start.
func isStrong(c *work.Crash) bool { return isAlone(c) && c.Ran < StrongWindow }

// isAlone reports whether the worker is known to have crashed, and no other with it.
func isAlone(c *work.Crash) bool {
	return c.IsKnown && c.Others == 0 && !c.IsExplained && !c.IsInherited
}

// areAlike reports whether many workers crashed alone under the task, as long after its
// start.
func areSimilar(crashes []work.Crash) bool {
	rans := []time.Duration{}
	for i := range crashes {
		if isAlone(&crashes[i]) {
			rans = append(rans, crashes[i].Ran)
		}
	}
	slices.Sort(rans)
	for i := weakNeeded - 1; i < len(rans); i++ {
		if rans[i]-rans[i-weakNeeded+1] <= similarWithin {
			return true
		}
	}
	return false
}
