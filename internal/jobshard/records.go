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

// maxUnrecordedEnds is how many ends may wait for the log before no further task
// that ends is started: each is kept here, at its rack's owner and on its
// worker. 18 minutes without the log at 20 starts a second took a node to 31 MB.
const maxUnrecordedEnds = 1000

// hasTooManyUnrecordedEnds reports whether too many ends wait for the log.
func (h *Shard) hasTooManyUnrecordedEnds() bool {
	count := 0
	for _, b := range h.finals {
		count += len(b.tasks)
	}
	for _, r := range h.recordsInFlight {
		if r.final != nil {
			count += len(r.final.tasks)
		}
	}
	return count >= maxUnrecordedEnds
}

// finalKey joins ends that go into one record.
type finalKey struct {
	number uint64
	state  leverdyke.TaskState
	reason string
}

type finalBatch struct {
	tasks     []int
	failures  int
	endsToAck map[state.ShardID][]worker.Key
}

// inFlightRecord is a record that has been handed to the log's writer.
type inFlightRecord struct {
	final  *finalBatch
	key    finalKey
	intent *intent
}

type intent struct {
	job   string
	tasks []int
}

// queueFinal notes the queueFinal state of a task; the rack may forget the attempt with
// key only when the log has it.
func (h *Shard) queueFinal(j *job, i int, s leverdyke.TaskState, key *worker.Key, failures int, reason string) {
	j.tasks[i].finalState = s
	b := h.finalBatchFor(finalKey{j.number, s, reason})
	b.tasks = append(b.tasks, i)
	b.failures += failures
	if key != nil {
		rack := j.tasks[i].rack
		b.endsToAck[rack] = append(b.endsToAck[rack], *key)
	}
}

// flushFinals hands the ends to the log's writer; while the log is out they
// wait here.
func (h *Shard) flushFinals(now time.Time) {
	if now.Before(h.finalsNotBefore) || len(h.finalOrder) == 0 {
		return
	}
	h.finalsNotBefore = now.Add(finalsFlushPeriod)
	for _, key := range h.finalOrder {
		b := h.finals[key]
		h.writeRecord(inFlightRecord{final: b, key: key}, state.Record{Finals: &state.Finals{
			Number: key.number, Tasks: b.tasks, State: key.state, Failures: b.failures, Reason: key.reason,
		}})
	}
	clear(h.finals)
	h.finalOrder = h.finalOrder[:0]
}

// requeueFinals takes ends back that were not recorded.
func (h *Shard) requeueFinals(now time.Time, r inFlightRecord) {
	h.finalsNotBefore = now.Add(finalsRetry)
	b := h.finalBatchFor(r.key)
	b.tasks = append(b.tasks, r.final.tasks...)
	b.failures += r.final.failures
	for rack, keys := range r.final.endsToAck {
		b.endsToAck[rack] = append(b.endsToAck[rack], keys...)
	}
}

func (h *Shard) finalBatchFor(key finalKey) *finalBatch {
	b := h.finals[key]
	if b == nil {
		b = &finalBatch{endsToAck: map[state.ShardID][]worker.Key{}}
		h.finals[key] = b
		h.finalOrder = append(h.finalOrder, key)
	}
	return b
}

func (h *Shard) writeRecord(r inFlightRecord, rec state.Record) {
	h.lastRecordToken++
	h.recordsInFlight[h.lastRecordToken] = r
	h.output.Records = append(h.output.Records, PendingRecord{h.lastRecordToken, rec})
}

// isEndUnrecorded reports whether the end of an attempt is about to be recorded.
func (h *Shard) isEndUnrecorded(k worker.Key) bool {
	contains := func(b *finalBatch) bool {
		for _, keys := range b.endsToAck {
			if slices.Contains(keys, k) {
				return true
			}
		}
		return false
	}
	for _, b := range h.finals {
		if contains(b) {
			return true
		}
	}
	for _, r := range h.recordsInFlight {
		if r.final != nil && contains(r.final) {
			return true
		}
	}
	return false
}

// recordIntent writes that a task that may not be repeated is about to start.
func (h *Shard) recordIntent(j *job, i int) {
	h.setPhase(j, i, phaseIntending)
	j.waitReason = reasonIntentUnrecorded
	h.writeRecord(inFlightRecord{intent: &intent{j.id, []int{i}}}, state.Record{Intent: &state.Intent{Job: j.id, Tasks: []int{i}}})
}

// OnRecordResult takes the fate of a record. A nil error means that it took
// effect; an error of the fold that it never will; state.ErrNotTaken that it was not
// appended and will not be.
func (h *Shard) OnRecordResult(now time.Time, token uint64, err error) {
	r, ok := h.recordsInFlight[token]
	if !ok {
		return
	}
	delete(h.recordsInFlight, token)
	if r.intent != nil {
		h.onIntentResult(now, r.intent, err)
		return
	}
	if errors.Is(err, state.ErrNotTaken) {
		// The end has to be recorded all the same.
		h.requeueFinals(now, r)
		return
	}
	for _, rack := range h.rackOrder {
		h.ackAttempts(rack, r.final.endsToAck[rack])
	}
}

func (h *Shard) onIntentResult(now time.Time, in *intent, err error) {
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
			t.notBefore = now.Add(initialBackoff)
			h.setPhase(j, i, phaseWaiting)
		default:
			// Another home intended it first, whose it is to start; or the record
			// came with a peer's state, and nobody can tell whether it did.
			h.setPhase(j, i, phaseFinal)
			h.emitEvent(EventUnknownOutcome, j.id, fmt.Sprintf("task %d", i))
			h.queueFinal(j, i, leverdyke.TaskUnknown, nil, 0, "")
		}
	}
	h.updateQueue(j)
}
