// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/witness"
)

const (
	// maxLeaseWitnesses bounds the workers that a record names. With an even number a successor needs half of them, its
	// predecessor one more than half.
	maxLeaseWitnesses = 16
	// witnessPollPeriod is the time between two immediate polls of these workers while the store is late.
	witnessPollPeriod = 300 * time.Millisecond
)

// leaseWitnesses are the workers without most of which an owner that the store does not confirm neither acts nor counts
// leases anew. Workers do nothing for a lower fencing token than the highest that they have seen, so a successor whose polls
// half of them have answered knows that its predecessor counts no later leases, however few nodes it can reach. Guarded by
// Owner.mu.
type leaseWitnesses struct {
	// next are those that the next record names: those of the previous owner as long as it may act.
	next witness.Quorum
	// maybeNewest are those of all records that are, or may become, the newest one.
	maybeNewest []witness.Quorum
	answers     witness.Answers
	// nextPoll is when they are polled again.
	nextPoll time.Time
}

func newLeaseWitnesses(r *Record) leaseWitnesses {
	return leaseWitnesses{next: r.LeaseWitnesses, maybeNewest: []witness.Quorum{r.LeaseWitnesses}}
}

// quorums returns the quorums that have to answer. One without witnesses stands for a record whose successor does not ask
// workers.
func (l *leaseWitnesses) quorums() []witness.Quorum {
	all := append([]witness.Quorum{l.next}, l.maybeNewest...)
	return slices.DeleteFunc(all, func(q witness.Quorum) bool { return q.IsEmpty() })
}

// setNext sets what the next record names.
func (l *leaseWitnesses) setNext(q witness.Quorum) {
	l.next = q
	l.answers.Retain(l.quorums())
}

// written returns what a record names that is sent now.
func (l *leaseWitnesses) written() witness.Quorum {
	if !slices.ContainsFunc(l.maybeNewest, func(q witness.Quorum) bool { return q.Equal(&l.next) }) {
		l.maybeNewest = append(l.maybeNewest, l.next)
	}
	return l.next
}

// persisted records that the newest record in the store names q, and that no other one is in flight.
func (l *leaseWitnesses) persisted(q witness.Quorum) { l.maybeNewest = []witness.Quorum{q} }

// recordAnswer records that a worker has answered a poll that was sent at a time.
func (l *leaseWitnesses) recordAnswer(id order.WorkerID, sentAt time.Time) {
	if l.names(id) {
		l.answers.Record(string(id), sentAt)
	}
}

// names reports whether one of the quorums has a worker. It is called with each answer of any worker.
func (l *leaseWitnesses) names(id order.WorkerID) bool {
	has := func(q witness.Quorum) bool { return slices.Contains(q.Witnesses, string(id)) }
	return has(l.next) || slices.ContainsFunc(l.maybeNewest, has)
}

// answeredAt returns the latest time since which most workers of each quorum have answered; false if none is needed.
func (l *leaseWitnesses) answeredAt() (time.Time, bool) {
	earliest, isNeeded := time.Time{}, false
	for _, q := range l.quorums() {
		if at := l.answers.MostSince(&q); !isNeeded || at.Before(earliest) {
			earliest, isNeeded = at, true
		}
	}
	return earliest, isNeeded
}

// due returns the workers to poll now.
func (l *leaseWitnesses) due(now time.Time) []order.WorkerID {
	if now.Before(l.nextPoll) {
		return nil
	}
	l.nextPoll = now.Add(witnessPollPeriod)
	names := []string{}
	for _, q := range l.quorums() {
		names = append(names, q.Witnesses...)
	}
	slices.Sort(names)
	return workerIDs(slices.Compact(names))
}

// updateLeaseWitnesses decides which workers the next record names, and polls those that are named while the store is late
// to confirm this owner.
func (o *Owner) updateLeaseWitnesses() {
	if o.needsProbes.Load() {
		o.mu.Lock()
		due := o.leaseWitnesses.due(o.now)
		o.mu.Unlock()
		o.engine.PollImmediately(due)
		return
	}
	if o.mayPreviousAct.Load() {
		return
	}
	o.mu.Lock()
	named := o.leaseWitnesses.next
	o.mu.Unlock()
	responsive := o.engine.ResponsiveWorkers(workerIDs(named.Witnesses), maxLeaseWitnesses)
	q := witness.Quorum{Epoch: o.Epoch(), Witnesses: workerNames(responsive)}
	if q.IsEmpty() || q.Equal(&named) {
		return
	}
	o.mu.Lock()
	o.leaseWitnesses.setNext(q)
	o.mu.Unlock()
}

func workerIDs(names []string) []order.WorkerID {
	ids := make([]order.WorkerID, 0, len(names))
	for _, name := range names {
		ids = append(ids, order.WorkerID(name))
	}
	return ids
}

func workerNames(ids []order.WorkerID) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return names
}

// pollAnswered records an answer of a worker to a poll of this owner, or that its incarnation has ended.
func (o *Owner) pollAnswered(ev *pollEvent) {
	if ev.outcome == order.PollUnanswered {
		return
	}
	hasEnded := ev.outcome == order.PollIncarnationEnded || ev.listing.OtherIncarnation != ""
	if !hasEnded {
		o.mu.Lock()
		o.leaseWitnesses.recordAnswer(ev.poll.Worker, ev.poll.AskedAt)
		o.mu.Unlock()
	}
	if o.leaseSurvey == nil {
		return
	}
	o.leaseSurvey.Testified(string(ev.poll.Worker), 0)
	if o.leaseSurvey.IsRuledOut() {
		o.leaseSurvey = nil
		o.previousRuledOut()
	}
}

// areLeaseWitnessesAnswering reports whether most of the workers on which this owner depends without the store have
// answered it within ConfirmationTimeout.
func (o *Owner) areLeaseWitnessesAnswering() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, isNeeded := o.leaseWitnesses.answeredAt()
	return !isNeeded || o.now.Sub(at) < ConfirmationTimeout
}
