// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// updateWitnesses finds out which processes to name as witnesses now.
func (o *Owner) updateWitnesses() {
	if o.options.Witnesses != nil {
		o.candidates = o.options.Witnesses.Candidates()
	}
}

// awaitsWitnesses reports whether most other nodes may still link to this new owner. A flag without witnesses, or with the
// few that linked first, could make the next owner wait for all workers.
func (o *Owner) awaitsWitnesses() bool {
	if o.options.Witnesses == nil || o.now.Sub(o.claimedAt) >= witnessLinkTime {
		return false
	}
	// All nodes that the previous owner knew, but that one and this one.
	expected := max(o.options.Claim.Record.KnownNodes-2, 1)
	return len(o.candidates) < witness.CountOf(expected)
}

// nextWitnesses returns the processes to name as witnesses, nil if the last ones stay.
func (o *Owner) nextWitnesses() []string {
	if o.awaitsWitnesses() {
		return nil
	}
	return o.candidates
}

// sendConsentRequests asks processes to consent to write-behind.
func (o *Owner) sendConsentRequests(processes []string, round uint64) {
	if len(processes) == 0 || o.options.Witnesses == nil {
		return
	}
	o.options.Log(events.ConsentRequested, "epoch", o.Epoch(), "round", round, "witnesses", len(processes))
	o.options.Witnesses.SendConsentRequests(processes, o.Epoch(), round, func(process string) { o.inbox.TryPut(consentGivenEvent{process, round}) })
}

// withdrawUnneededConsent tells the witnesses that their consent is not needed, once it is not. It is called when no task may be
// started ahead of the store any more.
func (o *Owner) withdrawUnneededConsent(hasUnpersisted bool) {
	if o.options.Witnesses == nil || o.isWriteBehind {
		return
	}
	o.mu.Lock()
	round, isWithdrawn := o.writeBehind.endConsentRequest(o.now, hasUnpersisted)
	o.mu.Unlock()
	if isWithdrawn {
		o.options.Witnesses.SendConsentWithdrawal(o.Epoch(), round)
	}
}

// repeatConsentWithdrawal tells the witnesses again that their consent is not needed: the first message may have been lost with a
// link.
func (o *Owner) repeatConsentWithdrawal() {
	o.mu.Lock()
	round, isRequested := o.writeBehind.consents.Round(), o.writeBehind.consents.IsRequested()
	o.mu.Unlock()
	if !isRequested && o.options.Witnesses != nil {
		o.options.Witnesses.SendConsentWithdrawal(o.Epoch(), round)
	}
}

// consentGivenEvent reports that a witness consents to write-behind.
type consentGivenEvent struct {
	process string
	round   uint64
}

func (ev consentGivenEvent) apply(o *Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeBehind.consents.RecordGiven(ev.process, ev.round)
}

// Testimony is what a process says as a witness once it knows of the owner of an epoch.
type Testimony struct {
	Process string
	// Epoch is that of the owner. The process consents to no earlier one any more.
	Epoch uint64
	// ConsentedEpoch is the highest epoch to which it has consented, 0 if there is none.
	ConsentedEpoch uint64
}

// WitnessTestified records what a process says that follows this owner, or the owner's own process.
func (o *Owner) WitnessTestified(t Testimony) { o.inbox.TryPut(testimonyEvent(t)) }

type testimonyEvent Testimony

func (ev testimonyEvent) apply(o *Owner) {
	if ev.Epoch < o.Epoch() {
		// Sent for an earlier owner on this node: the process may have consented to another one since.
		return
	}
	if ev.ConsentedEpoch == o.Epoch() {
		o.repeatConsentWithdrawal()
	}
	o.updateWitnesses()
	o.laterJobsTestified(ev)
	if o.survey == nil {
		return
	}
	o.survey.Testified(ev.Process, ev.ConsentedEpoch)
	if o.survey.IsRuledOut() {
		o.survey = nil
		o.engine.ConfirmPlacements()
	}
}

// laterJobsTestified records what a process says as a witness for the jobs that the previous owner accepted during its own doubt.
func (o *Owner) laterJobsTestified(ev testimonyEvent) {
	if o.laterSurvey == nil {
		return
	}
	o.laterSurvey.Testified(ev.Process, ev.ConsentedEpoch)
	if o.laterSurvey.IsRuledOut() {
		o.laterSurvey, o.laterSince = nil, o.options.Claim.Previous.LaterJobs.Since
		o.engine.ConfirmPlacementsSince(o.laterSince)
	}
}
