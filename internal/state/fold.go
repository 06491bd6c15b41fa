// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/leverdyke/leverdyke"
)

// The reasons why a record had no effect.
var (
	ErrConflict  = errors.New("state: the document has changed since the version that the change was based on")
	ErrDuplicate = errors.New("state: the batch was folded before")
	ErrStale     = errors.New("state: the writer's incarnation has ended")
	ErrLost      = errors.New("state: another record came first")
	ErrUnknown   = errors.New("state: there is no such job")
	ErrTasks     = errors.New("state: a job has at least 1 and at most 1,048,576 tasks")
	// ErrNotTaken means that a record is not in the log and will not be.
	ErrNotTaken = errors.New("state: the record was not appended")
	// ErrUnseen means that a record is in the log, but that this process went on
	// from a later state: whether it took effect is not known.
	ErrUnseen = errors.New("state: the record is in the log, and its effect was not seen")
)

// Outcome is what became of a batch.
type Outcome struct {
	// Err is set when the whole batch had no effect.
	Err error
	// Results has one entry a record; nil means that it took effect.
	Results []error
}

// Apply folds the batch at offset. Offsets must grow; an offset at or before
// Applied is refused with ErrDuplicate and changes nothing.
func (s *State) Apply(offset int64, b *Batch) Outcome {
	if offset <= s.Applied {
		return Outcome{Err: ErrDuplicate}
	}
	s.Applied = offset
	if err := s.admit(offset, b); err != nil {
		return Outcome{Err: err}
	}
	s.Millis = max(s.Millis, b.Millis)
	out := Outcome{Results: make([]error, len(b.Records))}
	for i := range b.Records {
		out.Results[i] = s.applyRecord(offset, b, &b.Records[i])
	}
	s.ageKeys()
	return out
}

// Skip moves past an offset whose bytes were no batch.
func (s *State) Skip(offset int64) { s.Applied = max(s.Applied, offset) }

// admit drops second copies and batches of ended incarnations. A first batch
// of an incarnation must begin with its Join.
func (s *State) admit(offset int64, b *Batch) error {
	m := s.Members[b.Node]
	if m == nil || m.Incarnation < b.Incarnation {
		if len(b.Records) == 0 || b.Records[0].Join == nil {
			return ErrStale
		}
		return nil
	}
	if m.Incarnation > b.Incarnation || m.HasLeft {
		return ErrStale
	}
	if b.Seq <= m.Seq {
		return ErrDuplicate
	}
	m.Seq, m.Offset = b.Seq, offset
	return nil
}

func (s *State) applyRecord(offset int64, b *Batch, r *Record) error {
	switch {
	case r.Join != nil:
		return s.applyJoin(offset, b, r.Join)
	case r.Leave != nil:
		return s.applyLeave(r.Leave)
	case r.Claim != nil:
		return s.applyClaim(offset, r.Claim)
	case r.Submit != nil:
		return s.applySubmit(offset, b.Millis, r.Submit)
	case r.Cancel != nil:
		return s.applyCancel(r.Cancel)
	case r.Publish != nil:
		return s.applyPublish(offset, b.Millis, r.Publish)
	case r.Intent != nil:
		return s.applyIntent(r.Intent)
	case r.Finals != nil:
		return s.applyFinals(r.Finals)
	case r.Once != nil:
		return s.applyOnce(b, r.Once)
	}
	return nil
}

func (s *State) applyJoin(offset int64, b *Batch, j *Join) error {
	if j.Node != b.Node || j.Incarnation != b.Incarnation {
		return ErrStale
	}
	s.forgetMembers()
	s.Members[j.Node] = &Member{
		Incarnation: j.Incarnation, Link: j.Link, Operators: j.Operators, Zone: j.Zone, Region: j.Region, Seq: b.Seq, Offset: offset,
	}
	return nil
}

// forgetMembers drops those who have left and whom no shard names any more:
// VMs are replaced every day, under new addresses.
func (s *State) forgetMembers() {
	if len(s.Members) < manyMembers {
		return
	}
	named := map[NodeID]bool{}
	for _, h := range s.Shards {
		named[h.Owner.Node] = true
		for _, p := range h.Past {
			named[p.Node] = true
		}
	}
	for id, m := range s.Members {
		if m.HasLeft && !named[id] {
			delete(s.Members, id)
		}
	}
}

func (s *State) applyLeave(l *Leave) error {
	m := s.Members[l.Node]
	if m == nil || m.Incarnation != l.Incarnation {
		return ErrLost
	}
	m.HasLeft = true
	return nil
}

func (s *State) applyClaim(offset int64, c *Claim) error {
	cur := s.Shards[c.Shard]
	epoch := uint64(0)
	past := []Owner{}
	if cur != nil {
		epoch = cur.Epoch
		past = append(append(past, cur.Past...), cur.Owner)
	}
	if c.Epoch != epoch+1 {
		return ErrLost
	}
	owner := Owner{c.Owner, c.Incarnation}
	if !s.IsLive(owner) {
		return ErrStale
	}
	past = slices.DeleteFunc(past, func(o Owner) bool { return o == owner || s.IsEnded(o) })
	slices.SortFunc(past, compareOwners)
	past = slices.Compact(past)
	s.Shards[c.Shard] = &Shard{Epoch: c.Epoch, Owner: owner, Deputies: c.Deputies, Past: past, Offset: offset}
	return nil
}

func compareOwners(a, b Owner) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (s *State) applySubmit(offset, millis int64, r *Submit) error {
	if s.Jobs[r.Spec.ID] != nil {
		// The same submit sent again is the same job.
		return nil
	}
	if r.Spec.Tasks < 1 || r.Spec.Tasks > maxTasks {
		return ErrTasks
	}
	s.Numbers++
	s.byNumber[s.Numbers] = r.Spec.ID
	s.Jobs[r.Spec.ID] = &Job{
		Spec: r.Spec, Number: s.Numbers, Offset: offset, Millis: millis,
		Marks: make([]Mark, r.Spec.Tasks), Final: map[leverdyke.TaskState]int{},
	}
	return nil
}

func (s *State) applyCancel(c *Cancel) error {
	j := s.Jobs[c.Job]
	if j == nil {
		return ErrUnknown
	}
	if j.IsEnded {
		return nil
	}
	j.IsCancelled = true
	left := 0
	for _, m := range j.Marks {
		if !m.IsFinal() {
			left++
		}
	}
	j.Final[leverdyke.TaskCancelled] += left
	s.end(c.Job, j)
	return nil
}

func (s *State) applyPublish(offset, millis int64, p *Publish) error {
	d := s.Docs[p.Doc]
	if d == nil {
		d = &Doc{}
	}
	if d.Version != p.Base {
		return fmt.Errorf("%w: %s is at version %d, the change was based on %d", ErrConflict, p.Doc, d.Version, p.Base)
	}
	next := &Doc{Version: p.Base + 1, Offset: offset, Author: p.Author, Millis: millis, Body: p.Body, History: d.History}
	if d.Version > 0 {
		next.History = append(next.History, Change{d.Version, d.Offset, d.Author, d.Millis})
	}
	if n := len(next.History); n > maxDocHistory {
		next.History = next.History[n-maxDocHistory:]
	}
	s.Docs[p.Doc] = next
	return nil
}

func (s *State) applyIntent(r *Intent) error {
	j := s.Jobs[r.Job]
	if j == nil || j.IsEnded {
		return ErrUnknown
	}
	for _, i := range r.Tasks {
		if i < 0 || i >= len(j.Marks) {
			continue
		}
		if j.Marks[i] != MarkNone {
			// Somebody else intended it first: it may not be started again.
			return ErrLost
		}
	}
	for _, i := range r.Tasks {
		if i >= 0 && i < len(j.Marks) {
			j.Marks[i] = MarkIntended
		}
	}
	return nil
}

func (s *State) applyFinals(f *Finals) error {
	if f.Job == "" {
		f.Job = s.byNumber[f.Number]
	}
	j := s.Jobs[f.Job]
	if j == nil || j.IsEnded {
		return ErrUnknown
	}
	j.Failures += f.Failures
	if f.Reason != "" {
		j.Reason = f.Reason
	}
	mark := MarkDone
	switch f.State {
	case leverdyke.TaskFailed:
		mark = MarkFailed
	case leverdyke.TaskUnknown:
		mark = MarkUnknown
	}
	for _, i := range f.Tasks {
		if i < 0 || i >= len(j.Marks) || j.Marks[i].IsFinal() {
			continue
		}
		j.Marks[i] = mark
		j.Final[f.State]++
	}
	total := 0
	for _, n := range j.Final {
		total += n
	}
	if total >= len(j.Marks) {
		s.end(f.Job, j)
	}
	return nil
}

func (s *State) applyOnce(b *Batch, o *Once) error {
	if _, ok := s.Keys[o.Key]; ok {
		return ErrLost
	}
	s.Keys[o.Key] = Owner{b.Node, b.Incarnation}
	s.KeyQueue = append(s.KeyQueue, KeyAge{o.Key, s.Millis})
	return nil
}

func (s *State) end(id string, j *Job) {
	j.IsEnded = true
	j.Marks = nil
	s.Ended = append(s.Ended, id)
	for len(s.Ended) > maxEndedJobs {
		delete(s.byNumber, s.Jobs[s.Ended[0]].Number)
		delete(s.Jobs, s.Ended[0])
		s.Ended = s.Ended[1:]
	}
}

// ageKeys forgets keys somewhat later than the window, so that a key that the
// fold has forgotten is refused as too old.
func (s *State) ageKeys() {
	n := 0
	for n < len(s.KeyQueue) && s.KeyQueue[n].Millis < s.Millis-OnceWindowMillis-OnceSlackMillis {
		delete(s.Keys, s.KeyQueue[n].Key)
		n++
	}
	s.KeyQueue = s.KeyQueue[n:]
}
