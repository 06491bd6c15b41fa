// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// maxUnrecorded is how many ends may wait for the log before no further task
// that ends is started: each is kept here, at its rack's owner and on its
// worker. 18 minutes without the log at 20 starts a second took a node to 31 MB.
const maxUnrecorded = 1000

// isFullOfEnds reports whether too many ends wait for the log.
func (h *Home) isFullOfEnds() bool {
	count := 0
	for _, b := range h.finals {
		count += len(b.tasks)
	}
	for _, r := range h.recorded {
		if r.final != nil {
			count += len(r.final.tasks)
		}
	}
	return count >= maxUnrecorded
}

// finalKey joins ends that go into one record.
type finalKey struct {
	number uint64
	state  leverdyke.TaskState
	reason string
}

type finalBatch struct {
	tasks    []int
	failures int
	acks     map[state.ShardID][]worker.Key
}

// recording is a record that has been handed to the log's writer.
type recording struct {
	final  *finalBatch
	key    finalKey
	intent *intent
}

type intent struct {
	job   string
	tasks []int
}

// final notes the final state of a task; the rack may forget the attempt with
// key only when the log has it.
func (h *Home) final(j *job, i int, s leverdyke.TaskState, key *worker.Key, failures int, reason string) {
	j.tasks[i].final = s
	b := h.batchOf(finalKey{j.number, s, reason})
	b.tasks = append(b.tasks, i)
	b.failures += failures
	if key != nil {
		rack := j.tasks[i].rack
		b.acks[rack] = append(b.acks[rack], *key)
	}
}

// flushFinals hands the ends to the log's writer; while the log is out they
// wait here.
func (h *Home) flushFinals(now time.Time) {
	if now.Before(h.finalsNotBefore) || len(h.finalOrder) == 0 {
		return
	}
	h.finalsNotBefore = now.Add(finalsPeriod)
	for _, fk := range h.finalOrder {
		b := h.finals[fk]
		h.record(recording{final: b, key: fk}, state.Record{Finals: &state.Finals{
			Number: fk.number, Tasks: b.tasks, State: fk.state, Failures: b.failures, Reason: fk.reason,
		}})
	}
	clear(h.finals)
	h.finalOrder = h.finalOrder[:0]
}

// restore takes ends back that were not recorded.
func (h *Home) restore(now time.Time, r recording) {
	h.finalsNotBefore = now.Add(finalsRetry)
	b := h.batchOf(r.key)
	b.tasks = append(b.tasks, r.final.tasks...)
	b.failures += r.final.failures
	for rack, keys := range r.final.acks {
		b.acks[rack] = append(b.acks[rack], keys...)
	}
}

func (h *Home) batchOf(fk finalKey) *finalBatch {
	b := h.finals[fk]
	if b == nil {
		b = &finalBatch{acks: map[state.ShardID][]worker.Key{}}
		h.finals[fk] = b
		h.finalOrder = append(h.finalOrder, fk)
	}
	return b
}

func (h *Home) record(r recording, rec state.Record) {
	h.token++
	h.recorded[h.token] = r
	h.out.Records = append(h.out.Records, PendingRecord{h.token, rec})
}

// isRecording reports whether the end of an attempt is about to be recorded.
func (h *Home) isRecording(k worker.Key) bool {
	has := func(b *finalBatch) bool {
		for _, keys := range b.acks {
			if slices.Contains(keys, k) {
				return true
			}
		}
		return false
	}
	for _, b := range h.finals {
		if has(b) {
			return true
		}
	}
	for _, r := range h.recorded {
		if r.final != nil && has(r.final) {
			return true
		}
	}
	return false
}

// intend writes that a task that may not be repeated is about to start.
func (h *Home) intend(j *job, i int) {
	h.setPhase(j, i, phaseIntending)
	j.why = whyIntent
	h.record(recording{intent: &intent{j.id, []int{i}}}, state.Record{Intent: &state.Intent{Job: j.id, Tasks: []int{i}}})
}

// OnRecorded takes the fate of a record. A nil error means that it took
// effect; an error of the fold that it never will; state.ErrNotTaken that it was not
// appended and will not be.
func (h *Home) OnRecorded(now time.Time, token uint64, err error) {
	r, ok := h.recorded[token]
	if !ok {
		return
	}
	delete(h.recorded, token)
	if r.intent != nil {
		h.onIntended(now, r.intent, err)
		return
	}
	if errors.Is(err, state.ErrNotTaken) {
		// The end has to be recorded all the same.
		h.restore(now, r)
		return
	}
	for _, rack := range h.order {
		h.ack(rack, r.final.acks[rack])
	}
}

func (h *Home) onIntended(now time.Time, in *intent, err error) {
	j := h.jobs[in.job]
	if j == nil {
		return
	}
	for _, i := range in.tasks {
		t := &j.tasks[i]
		if t.phase != phaseIntending {
			continue
		}
		switch {
		case err == nil:
			t.isIntended = true
			h.setPhase(j, i, phaseWaiting)
		case errors.Is(err, state.ErrNotTaken):
			t.notBefore = now.Add(firstBackoff)
			h.setPhase(j, i, phaseWaiting)
		default:
			// Another home intended it first, whose it is to start; or the record
			// came with a peer's state, and nobody can tell whether it did.
			h.setPhase(j, i, phaseFinal)
			h.event(EventUnknownFate, j.id, fmt.Sprintf("task %d", i))
			h.final(j, i, leverdyke.TaskUnknown, nil, 0, "")
		}
	}
	h.requeue(j)
}
