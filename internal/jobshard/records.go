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

// maxUnrecordedEnds is how many ends may wait for the log. From then on only
// services are started, because each end is kept in memory here, by the owner
// of its rack and by its worker. In 18 minutes without the log at 20 starts per
// second a node grew to 31 MB.
const maxUnrecordedEnds = 1000

// hasTooManyUnrecordedEnds reports whether maxUnrecordedEnds is reached.
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

// finalKey identifies ends that are written in one record.
type finalKey struct {
	number uint64
	state  leverdyke.TaskState
	reason string
}

// finalBatch is the ends of one record. endsToAck has the attempts, by rack,
// that may be forgotten once the record is in the log.
type finalBatch struct {
	tasks     []int
	failures  int
	endsToAck map[state.ShardID][]worker.Key
}

// inFlightRecord is a record that was handed over to be written to the log.
type inFlightRecord struct {
	final  *finalBatch
	key    finalKey
	intent *intent
}

// intent is the tasks of a job that may not be repeated and are about to start.
type intent struct {
	job   string
	tasks []int
}

// queueFinal sets the final state of a task and queues it to be written to the
// log. The rack may forget the attempt with this key only when the log has the
// record.
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

// flushFinals writes the queued ends to the log; as long as the log is not
// available they are queued again.
func (h *Shard) flushFinals(now time.Time) {
	if now.Before(h.finalsNotBefore) || len(h.finalOrder) == 0 {
		return
	}
	h.finalsNotBefore = now.Add(finalsFlushPeriod)
	for _, key := range h.finalOrder {
		b := h.finals[key]
		h.writeRecord(inFlightRecord{final: b, key: key}, state.Record{TaskResults: &state.TaskResults{
			Number: key.number, Tasks: b.tasks, State: key.state, Failures: b.failures, Reason: key.reason,
		}})
	}
	clear(h.finals)
	h.finalOrder = h.finalOrder[:0]
}

// requeueFinals queues ends again that could not be recorded.
func (h *Shard) requeueFinals(now time.Time, r inFlightRecord) {
	h.finalsNotBefore = now.Add(finalsRetry)
	b := h.finalBatchFor(r.key)
	b.tasks = append(b.tasks, r.final.tasks...)
	b.failures += r.final.failures
	for rack, keys := range r.final.endsToAck {
		b.endsToAck[rack] = append(b.endsToAck[rack], keys...)
	}
}

// finalBatchFor returns the queued batch with this key and creates it if there
// is none.
func (h *Shard) finalBatchFor(key finalKey) *finalBatch {
	b := h.finals[key]
	if b == nil {
		b = &finalBatch{endsToAck: map[state.ShardID][]worker.Key{}}
		h.finals[key] = b
		h.finalOrder = append(h.finalOrder, key)
	}
	return b
}

// writeRecord hands a record over to be written and remembers it until the
// result is known.
func (h *Shard) writeRecord(r inFlightRecord, rec state.Record) {
	h.lastRecordToken++
	h.recordsInFlight[h.lastRecordToken] = r
	h.output.Records = append(h.output.Records, PendingRecord{h.lastRecordToken, rec})
}

// isEndUnrecorded reports whether the end of an attempt is queued or being
// written to the log.
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

// recordIntent writes to the log that a task that may not be repeated is about
// to start.
func (h *Shard) recordIntent(j *job, i int) {
	h.setPhase(j, i, phaseIntending)
	j.waitReason = reasonIntentUnrecorded
	h.writeRecord(inFlightRecord{intent: &intent{j.id, []int{i}}}, state.Record{Intent: &state.Intent{Job: j.id, Tasks: []int{i}}})
}

// OnRecordResult handles the result of writing a record. A nil error means that
// the record took effect; state.ErrNotAppended that it was not appended to the log
// and will not be. Any other error means that the record was appended but took
// no effect, or that its effect is unknown.
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
	if errors.Is(err, state.ErrNotAppended) {
		// The end still has to be recorded.
		h.requeueFinals(now, r)
		return
	}
	for _, rack := range h.rackOrder {
		h.ackAttempts(rack, r.final.endsToAck[rack])
	}
}

// onIntentResult handles the result of writing an intent: if the log has it,
// the tasks may start.
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
		case errors.Is(err, state.ErrNotAppended):
			t.notBefore = now.Add(initialBackoff)
			h.setPhase(j, i, phaseWaiting)
		default:
			// Another owner of the shard recorded its intent first and may start the
			// task. Or this node received the record as part of a peer's state, which
			// does not show whether the record took effect.
			h.setPhase(j, i, phaseFinal)
			h.emitEvent(EventUnknownOutcome, j.id, fmt.Sprintf("task %d", i))
			h.queueFinal(j, i, leverdyke.TaskUnknown, nil, 0, "")
		}
	}
	h.updateQueue(j)
}
