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

// The reasons why a batch or a record had no effect. Apply returns those up to
// ErrTaskCount; the others come from the writer of the log.
var (
	ErrConflict         = errors.New("state: the document has changed since the version that the change was based on")
	ErrAlreadyApplied   = errors.New("state: the batch was already applied")
	ErrStaleIncarnation = errors.New("state: the incarnation that the batch or record names has ended or has not joined")
	ErrNotFirst         = errors.New("state: another record in the log took effect first")
	ErrUnknownJob       = errors.New("state: there is no such job")
	ErrTaskCount        = errors.New("state: a job has at least 1 and at most 1,048,576 tasks")
	// ErrNotAppended means that a record is not in the log and will not be.
	ErrNotAppended = errors.New("state: the record was not appended")
	// ErrOutcomeUnknown means that a record is in the log, but that this process
	// continued from a snapshot that already includes it, so that it is not
	// known whether the record took effect.
	ErrOutcomeUnknown = errors.New("state: the record is in the log, but whether it took effect is not known")
)

// Outcome is the result of applying a batch.
type Outcome struct {
	// Err is set when the whole batch had no effect.
	Err error
	// Results has one entry for each record; nil means that it took effect.
	Results []error
}

// Apply applies the batch at offset. Offsets must grow: a batch at or before
// Applied changes nothing and gives ErrAlreadyApplied.
func (s *State) Apply(offset int64, b *Batch) Outcome {
	if offset <= s.Applied {
		return Outcome{Err: ErrAlreadyApplied}
	}
	s.Applied = offset
	if err := s.checkBatch(offset, b); err != nil {
		return Outcome{Err: err}
	}
	s.Millis = max(s.Millis, b.Millis)
	out := Outcome{Results: make([]error, len(b.Records))}
	for i := range b.Records {
		out.Results[i] = s.applyRecord(offset, b, &b.Records[i])
	}
	s.expireKeys()
	return out
}

// Skip advances Applied to an offset whose data could not be decoded as a batch.
func (s *State) Skip(offset int64) { s.Applied = max(s.Applied, offset) }

// checkBatch rejects a batch that was applied before and a batch of an ended
// incarnation. The first batch of an incarnation must begin with its Join.
func (s *State) checkBatch(offset int64, b *Batch) error {
	m := s.Members[b.Node]
	if m == nil || m.Incarnation < b.Incarnation {
		if len(b.Records) == 0 || b.Records[0].Join == nil {
			return ErrStaleIncarnation
		}
		return nil
	}
	if m.Incarnation > b.Incarnation || m.HasLeft {
		return ErrStaleIncarnation
	}
	if b.Seq <= m.Seq {
		return ErrAlreadyApplied
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
	case r.TaskResults != nil:
		return s.applyTaskResults(r.TaskResults)
	case r.IdempotencyKey != nil:
		return s.applyIdempotencyKey(b, r.IdempotencyKey)
	}
	return nil
}

func (s *State) applyJoin(offset int64, b *Batch, j *Join) error {
	if j.Node != b.Node || j.Incarnation != b.Incarnation {
		return ErrStaleIncarnation
	}
	s.removeDepartedMembers()
	s.Members[j.Node] = &Member{
		Incarnation: j.Incarnation, Link: j.Link, Operators: j.Operators, Zone: j.Zone, Region: j.Region, Seq: b.Seq, Offset: offset,
	}
	return nil
}

// removeDepartedMembers removes the members that have left and that no shard
// lists as owner or previous owner. VMs are replaced every day and get new
// addresses, so that Members would grow without limit.
func (s *State) removeDepartedMembers() {
	if len(s.Members) < memberCleanupThreshold {
		return
	}
	referenced := map[NodeID]bool{}
	for _, shard := range s.Shards {
		referenced[shard.Owner.Node] = true
		for _, p := range shard.PreviousOwners {
			referenced[p.Node] = true
		}
	}
	for id, m := range s.Members {
		if m.HasLeft && !referenced[id] {
			delete(s.Members, id)
		}
	}
}

func (s *State) applyLeave(l *Leave) error {
	m := s.Members[l.Node]
	if m == nil || m.Incarnation != l.Incarnation {
		return ErrNotFirst
	}
	m.HasLeft = true
	return nil
}

func (s *State) applyClaim(offset int64, c *Claim) error {
	current := s.Shards[c.Shard]
	epoch := uint64(0)
	previous := []Process{}
	if current != nil {
		epoch = current.Epoch
		previous = append(append(previous, current.PreviousOwners...), current.Owner)
	}
	if c.Epoch != epoch+1 {
		return ErrNotFirst
	}
	owner := Process{c.Owner, c.Incarnation}
	if !s.IsLive(owner) {
		return ErrStaleIncarnation
	}
	previous = slices.DeleteFunc(previous, func(o Process) bool { return o == owner || s.IsEnded(o) })
	slices.SortFunc(previous, compareProcesses)
	previous = slices.Compact(previous)
	s.Shards[c.Shard] = &Shard{Epoch: c.Epoch, Owner: owner, Deputies: c.Deputies, PreviousOwners: previous, Offset: offset}
	return nil
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (s *State) applySubmit(offset, millis int64, r *Submit) error {
	if s.Jobs[r.Spec.ID] != nil {
		// A retried submission has the same ID and is the same job.
		return nil
	}
	if r.Spec.Tasks < 1 || r.Spec.Tasks > maxTasksPerJob {
		return ErrTaskCount
	}
	s.LastJobNumber++
	s.jobsByNumber[s.LastJobNumber] = r.Spec.ID
	s.Jobs[r.Spec.ID] = &Job{
		Spec: r.Spec, Number: s.LastJobNumber, Offset: offset, Millis: millis,
		TaskStates: make([]RecordedState, r.Spec.Tasks), FinalCounts: map[leverdyke.TaskState]int{},
	}
	return nil
}

func (s *State) applyCancel(c *Cancel) error {
	j := s.Jobs[c.Job]
	if j == nil {
		return ErrUnknownJob
	}
	if j.IsEnded {
		return nil
	}
	j.IsCancelled = true
	remaining := 0
	for _, m := range j.TaskStates {
		if !m.IsFinal() {
			remaining++
		}
	}
	j.FinalCounts[leverdyke.TaskCancelled] += remaining
	s.endJob(c.Job, j)
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
		next.History = append(next.History, DocVersion{d.Version, d.Offset, d.Author, d.Millis})
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
		return ErrUnknownJob
	}
	for _, i := range r.Tasks {
		if i < 0 || i >= len(j.TaskStates) {
			continue
		}
		if j.TaskStates[i] != RecordedNothing {
			// An earlier intent exists, or the task has ended: starting it
			// could run it twice.
			return ErrNotFirst
		}
	}
	for _, i := range r.Tasks {
		if i >= 0 && i < len(j.TaskStates) {
			j.TaskStates[i] = RecordedIntent
		}
	}
	return nil
}

func (s *State) applyTaskResults(f *TaskResults) error {
	if f.Job == "" {
		f.Job = s.jobsByNumber[f.Number]
	}
	j := s.Jobs[f.Job]
	if j == nil || j.IsEnded {
		return ErrUnknownJob
	}
	j.Failures += f.Failures
	if f.Reason != "" {
		j.Reason = f.Reason
	}
	recorded := RecordedSucceeded
	switch f.State {
	case leverdyke.TaskFailed:
		recorded = RecordedFailed
	case leverdyke.TaskUnknown:
		recorded = RecordedUnknown
	}
	for _, i := range f.Tasks {
		if i < 0 || i >= len(j.TaskStates) || j.TaskStates[i].IsFinal() {
			continue
		}
		j.TaskStates[i] = recorded
		j.FinalCounts[f.State]++
	}
	total := 0
	for _, n := range j.FinalCounts {
		total += n
	}
	if total >= len(j.TaskStates) {
		s.endJob(f.Job, j)
	}
	return nil
}

func (s *State) applyIdempotencyKey(b *Batch, o *IdempotencyKey) error {
	if _, ok := s.IdempotencyKeys[o.Key]; ok {
		return ErrNotFirst
	}
	s.IdempotencyKeys[o.Key] = Process{b.Node, b.Incarnation}
	s.KeyQueue = append(s.KeyQueue, SeenKey{o.Key, s.Millis})
	return nil
}

func (s *State) endJob(id string, j *Job) {
	j.IsEnded = true
	j.TaskStates = nil
	s.EndedJobs = append(s.EndedJobs, id)
	for len(s.EndedJobs) > maxEndedJobs {
		delete(s.jobsByNumber, s.Jobs[s.EndedJobs[0]].Number)
		delete(s.Jobs, s.EndedJobs[0])
		s.EndedJobs = s.EndedJobs[1:]
	}
}

// expireKeys removes keys KeyClockSkewMillis after KeyWindowMillis has passed,
// so that a request whose key was removed is always refused as too old.
func (s *State) expireKeys() {
	n := 0
	for n < len(s.KeyQueue) && s.KeyQueue[n].Millis < s.Millis-KeyWindowMillis-KeyClockSkewMillis {
		delete(s.IdempotencyKeys, s.KeyQueue[n].Key)
		n++
	}
	s.KeyQueue = s.KeyQueue[n:]
}
