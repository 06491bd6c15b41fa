// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"slices"
	"time"
)

const (
	// latenessInterval is the time over which the answers of a delegate are judged together.
	latenessInterval = 500 * time.Millisecond
	// minLatenessSamples is how many answers a delegate has to give before it is judged. With fewer,
	// the median may be that of a single message.
	minLatenessSamples = 6
	// maxLatenessSamples bounds the answers that are kept until the next judgement.
	maxLatenessSamples = 512
	// maxReferenceAge is how long the median of a delegate serves to judge the others. With few orders
	// a late delegate's answers come when the others have long given theirs.
	maxReferenceAge = 2 * latenessInterval
	// A delegate is late from lateThreshold on, and in time again below inTimeThreshold. An order to
	// start that is not answered within 0.2 s counts as unacknowledged; half of that is left to the
	// worker and the owner.
	lateThreshold   = 100 * time.Millisecond
	inTimeThreshold = 50 * time.Millisecond
	// lateJudgements is how often in a row a delegate has to be late before workers move: one that
	// was kept from running for a moment is in time again before they would have moved.
	lateJudgements = 2
	// minReturnDelay is how long a delegate has to be in time before it gets workers back. The delay
	// doubles, up to maxReturnDelay, when the delegate is late again within relapseWindow.
	minReturnDelay = 2 * time.Second
	maxReturnDelay = 16 * time.Second
	relapseWindow  = 30 * time.Second
)

// Judgement says what to do about the workers of a delegate.
type Judgement string

// The judgements.
const (
	// JudgedLate means that workers are to move off the delegate.
	JudgedLate Judgement = "late"
	// JudgedInTime means that workers that were moved off the delegate may return.
	JudgedInTime Judgement = "in time"
	// JudgedUnclear means that nothing is to change.
	JudgedUnclear Judgement = "unclear"
)

// Verdict is the judgement of one delegate.
type Verdict struct {
	Node      string
	Judgement Judgement
	// Lateness is how much later than the others the delegate answers; 0 when it is not known.
	Lateness time.Duration
	// MayReceive means that workers may move to the delegate: it was in time when it was last
	// judged, a short time ago.
	MayReceive bool
}

// Lateness judges which delegates answer late. A delegate is compared with the others at the same
// time, so that what delays all of them, such as the owner's own link, makes none of them late. The
// zero value is ready to use.
type Lateness struct {
	nodes    map[string]*answerTimes
	judgedAt time.Time
}

// answerTimes is what is known of one delegate.
type answerTimes struct {
	// samples are the answer times since medianAt, and median is the median of those before.
	samples  []time.Duration
	median   time.Duration
	medianAt time.Time
	isLate   bool
	// wasInTime means that the delegate was in time at the last judgement that was clear.
	wasInTime bool
	// lateInARow counts the last judgements in a row by which the delegate was late.
	lateInARow int
	// inTimeSince is since when the delegate has been in time; zero when it was not at the last
	// judgement.
	inTimeSince time.Time
	// clearedAt is when the delegate was last judged to be in time after it was late.
	clearedAt   time.Time
	returnDelay time.Duration
}

// Observe adds the time from an order until its outcome.
func (l *Lateness) Observe(node string, took time.Duration) {
	if l.nodes == nil {
		l.nodes = map[string]*answerTimes{}
	}
	t := l.nodes[node]
	if t == nil {
		t = &answerTimes{}
		l.nodes[node] = t
	}
	if len(t.samples) < maxLatenessSamples {
		t.samples = append(t.samples, took)
	}
}

// Judge judges the named delegates and forgets all others. It returns nil until latenessInterval
// has passed since the last judgement.
func (l *Lateness) Judge(names []string, now time.Time) []Verdict {
	if now.Sub(l.judgedAt) < latenessInterval {
		return nil
	}
	l.judgedAt = now
	for node := range l.nodes {
		if !slices.Contains(names, node) {
			delete(l.nodes, node)
		}
	}
	for _, t := range l.nodes {
		t.updateMedian(now)
	}
	verdicts := make([]Verdict, 0, len(names))
	for _, node := range names {
		verdicts = append(verdicts, l.judge(node, now))
	}
	return verdicts
}

// updateMedian computes the median of the samples if there are enough.
func (t *answerTimes) updateMedian(now time.Time) {
	if len(t.samples) >= minLatenessSamples {
		t.median, t.medianAt = lowerMedian(t.samples), now
		t.samples = t.samples[:0]
	}
}

// lowerMedian returns the lower median of samples, which it sorts.
func lowerMedian(samples []time.Duration) time.Duration {
	slices.Sort(samples)
	return samples[(len(samples)-1)/2]
}

func (l *Lateness) judge(node string, now time.Time) Verdict {
	v := Verdict{Node: node, Judgement: JudgedUnclear}
	t := l.nodes[node]
	if t == nil || !t.isRecent(now) {
		return v
	}
	others := []time.Duration{}
	for name, other := range l.nodes {
		if name != node && other.isRecent(now) {
			others = append(others, other.median)
		}
	}
	if t.medianAt.Equal(now) && len(others) > 0 {
		lateness := t.median - lowerMedian(others)
		v.Judgement, v.Lateness = t.update(lateness, now), max(lateness, 0)
		t.wasInTime = v.Judgement == JudgedInTime
	}
	v.MayReceive = t.wasInTime
	return v
}

// isRecent reports whether the median may be used.
func (t *answerTimes) isRecent(now time.Time) bool {
	return !t.medianAt.IsZero() && now.Sub(t.medianAt) < maxReferenceAge
}

func (t *answerTimes) update(lateness time.Duration, now time.Time) Judgement {
	if lateness < lateThreshold {
		t.lateInARow = 0
	}
	switch {
	case lateness >= lateThreshold:
		t.inTimeSince = time.Time{}
		return t.updateLate(now)
	case lateness >= inTimeThreshold:
		t.inTimeSince = time.Time{}
		return JudgedUnclear
	}
	if t.inTimeSince.IsZero() {
		t.inTimeSince = now
	}
	if t.isLate && now.Sub(t.inTimeSince) < t.returnDelay {
		return JudgedUnclear
	}
	if t.isLate {
		t.isLate, t.clearedAt = false, now
	}
	return JudgedInTime
}

// updateLate handles a judgement by which the delegate is late.
func (t *answerTimes) updateLate(now time.Time) Judgement {
	t.lateInARow++
	if !t.isLate && t.lateInARow < lateJudgements {
		return JudgedUnclear
	}
	if !t.isLate {
		t.becomeLate(now)
	}
	return JudgedLate
}

func (t *answerTimes) becomeLate(now time.Time) {
	isRelapse := !t.clearedAt.IsZero() && now.Sub(t.clearedAt) < relapseWindow
	if !isRelapse {
		t.returnDelay = 0
	}
	t.isLate = true
	t.returnDelay = min(max(2*t.returnDelay, minReturnDelay), maxReturnDelay)
}
