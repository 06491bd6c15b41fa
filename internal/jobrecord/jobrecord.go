// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package jobrecord splits the progress of a large job into records of the store, each of which is below the store's bound. A
// change of few tasks then rewrites few records. It does no I/O.
package jobrecord

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/leverdyke/leverdyke/internal/work"
)

// blockTasks is how many tasks of a step a segment has; a multiple of 8, as each byte of StepProgress.Done has 8 tasks.
const blockTasks = 128

// Key identifies a segment of a job's progress: a block of consecutive tasks of a step in one round.
type Key struct {
	Job                work.JobID
	Round, Step, Block int
}

// String returns the key as text, which ParseKey reads.
func (k Key) String() string { return fmt.Sprintf("%d.%d.%d/%s", k.Round, k.Step, k.Block, k.Job) }

// ParseKey parses the text of a key.
func ParseKey(text string) (Key, error) {
	numbers, job, ok := strings.Cut(text, "/")
	fields := strings.Split(numbers, ".")
	if !ok || len(fields) != 3 {
		return Key{}, fmt.Errorf("jobrecord: %q is no key of a segment", text)
	}
	k := Key{Job: work.JobID(job)}
	for i, n := range []*int{&k.Round, &k.Step, &k.Block} {
		v, err := strconv.Atoi(fields[i])
		if err != nil || v < 0 {
			return Key{}, fmt.Errorf("jobrecord: %q is no key of a segment", text)
		}
		*n = v
	}
	return k, nil
}

// Segment is a part of a job's progress. Its StepProgress has only the tasks of its block: the bits of Done are counted from its
// first task, all indexes from the first task of the step. Run is not used.
type Segment struct {
	Key      Key
	Progress work.StepProgress
}

// Split returns the progress of a job without that of single tasks, and the segments that have these, ordered by key. A block about
// whose tasks nothing is known has no segment.
func Split(id work.JobID, p *work.Progress) (*work.Progress, []Segment) {
	head := &work.Progress{State: p.State, Customer: p.Customer, RoundsDone: p.RoundsDone, IsSegmented: true, Runs: map[int][]uint64{}}
	segments := []Segment{}
	for _, k := range slices.Sorted(maps.Keys(p.Rounds)) {
		runs := make([]uint64, len(p.Rounds[k]))
		for i := range p.Rounds[k] {
			s := &p.Rounds[k][i]
			runs[i] = s.Run
			segments = append(segments, splitStep(Key{Job: id, Round: k, Step: i}, s)...)
		}
		head.Runs[k] = runs
	}
	return head, segments
}

// splitStep returns the segments of a step, ordered by block.
func splitStep(first Key, p *work.StepProgress) []Segment {
	blocks := map[int]*work.StepProgress{}
	of := func(index int) *work.StepProgress {
		b := index / blockTasks
		if blocks[b] == nil {
			blocks[b] = &work.StepProgress{}
		}
		return blocks[b]
	}
	for i, bits := range p.Done {
		if bits != 0 {
			b := of(i * 8)
			at := i % (blockTasks / 8)
			for len(b.Done) <= at {
				b.Done = append(b.Done, 0)
			}
			b.Done[at] = bits
		}
	}
	for _, x := range p.Failures {
		b := of(x.Index)
		b.Failures = append(b.Failures, x)
	}
	for _, x := range p.Crashes {
		b := of(x.Index)
		b.Crashes = append(b.Crashes, x)
	}
	for _, x := range p.Placements {
		b := of(x.Index)
		b.Placements = append(b.Placements, x)
	}
	for i, checkpoint := range p.Checkpoints {
		b := of(i)
		if b.Checkpoints == nil {
			b.Checkpoints = map[int]string{}
		}
		b.Checkpoints[i] = checkpoint
	}
	segments := make([]Segment, 0, len(blocks))
	for _, b := range slices.Sorted(maps.Keys(blocks)) {
		key := first
		key.Block = b
		segments = append(segments, Segment{key, *blocks[b]})
	}
	return segments
}

// Join adds the segments of a job to its progress, which Split has returned. Segments of rounds that are not in it are left out:
// they were to be removed.
func Join(head *work.Progress, segments []Segment) {
	head.Rounds = map[int][]work.StepProgress{}
	for k, runs := range head.Runs {
		steps := make([]work.StepProgress, len(runs))
		for i := range runs {
			steps[i].Run = runs[i]
		}
		head.Rounds[k] = steps
	}
	segments = slices.SortedFunc(slices.Values(segments), func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.Key.Round, b.Key.Round), cmp.Compare(a.Key.Step, b.Key.Step), cmp.Compare(a.Key.Block, b.Key.Block))
	})
	for i := range segments {
		s := &segments[i]
		if steps := head.Rounds[s.Key.Round]; s.Key.Step < len(steps) {
			joinStep(&steps[s.Key.Step], s)
		}
	}
	head.IsSegmented, head.Runs = false, nil
}

func joinStep(p *work.StepProgress, s *Segment) {
	for i, bits := range s.Progress.Done {
		at := s.Key.Block*blockTasks/8 + i
		for len(p.Done) <= at {
			p.Done = append(p.Done, 0)
		}
		p.Done[at] = bits
	}
	p.Failures = append(p.Failures, s.Progress.Failures...)
	p.Crashes = append(p.Crashes, s.Progress.Crashes...)
	p.Placements = append(p.Placements, s.Progress.Placements...)
	if len(s.Progress.Checkpoints) > 0 && p.Checkpoints == nil {
		p.Checkpoints = map[int]string{}
	}
	maps.Copy(p.Checkpoints, s.Progress.Checkpoints)
}

// Shorten drops what a segment can do without, the longest checkpoints first and then the oldest failures and crashes, until about
// excess bytes less are left. It reports whether it has dropped anything. Without its checkpoint a task is started anew if the
// worker that saved it is lost together with the owner.
func Shorten(p *work.StepProgress, excess int) bool {
	if len(p.Checkpoints) > 0 {
		byLength := slices.SortedFunc(maps.Keys(p.Checkpoints), func(a, b int) int {
			return cmp.Or(cmp.Compare(len(p.Checkpoints[b]), len(p.Checkpoints[a])), cmp.Compare(a, b))
		})
		p.Checkpoints = maps.Clone(p.Checkpoints)
		for _, i := range byLength {
			if excess <= 0 {
				break
			}
			excess -= len(p.Checkpoints[i])
			delete(p.Checkpoints, i)
		}
		return true
	}
	if len(p.Failures) == 0 && len(p.Crashes) == 0 {
		return false
	}
	p.Failures, p.Crashes = p.Failures[(len(p.Failures)+1)/2:], p.Crashes[(len(p.Crashes)+1)/2:]
	return true
}
