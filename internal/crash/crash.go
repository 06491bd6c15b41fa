// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package crash distinguishes tasks that crash their workers (poison pills) from those that only
// ran beside them. It does no I/O and reads no clock; the caller passes the current time.
//
// A worker that crashes does not say which task was the cause, and most crashes have none: the
// power fails, or a rack is lost. What is known is which tasks were on the worker and for how
// long, and which other workers became silent at the same moment. A task that crashes its
// workers was on each of them, crashes them after a similar run time, and crashes one worker at
// a time. A task that was on a crashed worker is therefore probed: it is started where
// nothing else starts. Its job fails when three such probes are evidence against it. Each further
// start costs a worker for some seconds, and all that runs there.
package crash

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// StrongWindow is the longest that a task may have been on its worker, as far as the worker's
	// answers show, for the crash to be strong evidence against the task: long enough for a task
	// that crashes its worker at its start, short enough that few others are suspected.
	StrongWindow = 300 * time.Millisecond
	// WeakWindow is the longest that a task may have been on its worker for the crash to be weak
	// evidence, of which several pieces are needed. It is also the time between two probes on a
	// worker: if tasks were probed right after each other, one would be considered the cause of a
	// crash that the next one causes.
	WeakWindow = time.Second
	// IsolationTime is the time after the start of a task that may crash its worker during which
	// nothing else starts there.
	IsolationTime = StrongWindow
	// strongNeeded is the number of machines on which a worker must have crashed alone, right
	// after a task's start, for the task to be considered the cause. Where workers crash for other
	// reasons, a smaller number is reached by chance.
	strongNeeded = 3
	// weakNeeded is the number of crashes, each of them weak evidence, that suffice. Callers are
	// guaranteed fewer than three starts after the third crash; one of them is reserved for
	// crashes that a new owner does not know of.
	weakNeeded = 4
	// soloProbeAfter is the number of crashes, each of a single worker, from which a task is probed
	// only while no other such task is, so that their workers do not crash at the same moment.
	soloProbeAfter = 2
	// similarWithin is how far apart the times from a task's start to the crash may be for the
	// crashes to be similar: they are known from a worker's listings, which arrive every 0.5 s.
	similarWithin = 600 * time.Millisecond
	// maxCrashes bounds the crashes that are remembered of a task.
	maxCrashes = 8
	// maxOthers is how many other workers may become silent at the same moment for a crash to
	// count within WeakWindow: if more do, the cause is something else than a task.
	maxOthers = 2
	// longRunningLimit is the longest that a long-running task may have been on its worker for
	// the crash to count. A task that ran for longer does not crash its workers, and its
	// evidence is dropped: tasks that run for days see many crashes that others cause.
	longRunningLimit = 10 * time.Second
	// A run refutes a crash when it lasts refuteRatio times as long as the run until the crash,
	// and at least minRefutingRun: slow workers take several times as long.
	refuteRatio    = 4
	minRefutingRun = 3 * time.Second
)

// Suspect is a task that was on a worker when that crashed.
type Suspect struct {
	// Unit is the task, or the first task of its gang: members of a gang cannot be
	// distinguished, as they start together.
	Unit work.TaskID
	// Crashes are those under the task; the last one is this worker's.
	Crashes []work.Crash
	// MayHaveUnknown means that a previous owner may have seen crashes that are not known: it
	// started tasks while the store was unavailable. That counts as one more piece of strong
	// evidence where the last crash is strong evidence itself. It does not count beside weaker
	// evidence: after a loss of all nodes most crashes are workers that left meanwhile.
	MayHaveUnknown bool
}

// Add adds a crash to those under a task, unless it is among them, and returns those that count.
func Add(crashes []work.Crash, c work.Crash, isLongRunning bool) []work.Crash {
	if isLongRunning && IsCleared(c.RunTime) {
		return nil
	}
	isKnown := func(o work.Crash) bool { return o.Worker == c.Worker && o.Run == c.Run }
	if slices.ContainsFunc(crashes, isKnown) {
		return crashes
	}
	crashes = append(crashes, c)
	return crashes[max(len(crashes)-maxCrashes, 0):]
}

// IsCleared reports whether a long-running task has been on its worker for so long that it does
// not crash its workers.
func IsCleared(ran time.Duration) bool { return ran > longRunningLimit }

// Unrefuted returns the crashes under a long-running task that are still evidence against it
// when it has been on a worker for that long. A task that crashes its workers does so after a
// similar run time each time: by then it would have crashed this worker too, even a slow one.
func Unrefuted(crashes []work.Crash, ran time.Duration) []work.Crash {
	if IsCleared(ran) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c work.Crash) bool { return ran >= max(refuteRatio*c.RunTime, minRefutingRun) })
}

// IsSuspect reports whether a task may be one that crashes its workers. One crash that is weak
// evidence is not enough: hundreds of tasks would have to be probed in isolation.
func IsSuspect(crashes []work.Crash) bool {
	return countStrong(crashes) > 0 || countEvidence(crashes) > 1
}

// NeedsSoloProbe reports whether a task is probed only while no other such task is. Crashes of
// many workers at once do not count: hundreds of tasks would wait for each other.
func NeedsSoloProbe(crashes []work.Crash) bool { return countStrong(crashes) >= soloProbeAfter }

// HasEvidence reports whether there is any evidence against a task.
func HasEvidence(crashes []work.Crash) bool { return countEvidence(crashes) > 0 }

// Culprits returns the indexes of the suspects that crash their workers, so that their jobs have
// to fail. The suspects are all tasks on a worker that crashed.
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

// hasRival reports whether there is as much strong evidence against another task that had just
// been started on the worker.
func hasRival(s *Suspect, suspects []Suspect) bool {
	return slices.ContainsFunc(suspects, func(o Suspect) bool {
		last := &o.Crashes[len(o.Crashes)-1]
		return o.Unit != s.Unit && last.RunTime < StrongWindow && countStrong(o.Crashes) >= countStrong(s.Crashes)
	})
}

// countEvidence counts the crashes that are any evidence against the task.
func countEvidence(crashes []work.Crash) int {
	n := 0
	for i := range crashes {
		if isEvidence(&crashes[i]) {
			n++
		}
	}
	return n
}

// isEvidence reports whether the worker crashed, or became silent for good, soon after the task's
// start, or may have.
func isEvidence(c *work.Crash) bool {
	switch {
	case c.IsInherited:
		return c.RunTime < WeakWindow
	case c.IsExplained:
		return false
	case c.OthersSilent > maxOthers:
		return c.RunTime < StrongWindow
	}
	return c.RunTime < WeakWindow
}

// countStrong counts the machines on which a worker crashed alone under the task, right after
// its start. A machine counts once, as its workers may crash whatever they run.
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

// isStrong reports whether the worker crashed alone, right after the task's start.
func isStrong(c *work.Crash) bool { return isAlone(c) && c.RunTime < StrongWindow }

// isAlone reports whether the worker is known to have crashed, and no other one at the same
// moment.
func isAlone(c *work.Crash) bool {
	return c.IsConfirmed && c.OthersSilent == 0 && !c.IsExplained && !c.IsInherited
}

// areSimilar reports whether at least weakNeeded workers crashed alone under the task, each
// after a similar run time of it.
func areSimilar(crashes []work.Crash) bool {
	rans := []time.Duration{}
	for i := range crashes {
		if isAlone(&crashes[i]) {
			rans = append(rans, crashes[i].RunTime)
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
