// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// updateWitnesses finds out which processes can be witnesses now.
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
	return len(o.candidates) < min(expected, witness.MaxWitnesses)
}

// nextWitnesses returns the processes to name as witnesses, nil if the last ones stay.
func (o *Owner) nextWitnesses() []string {
	if o.awaitsWitnesses() {
		return nil
	}
	return o.candidates
}

// requestConsent asks processes to consent to write-behind.
func (o *Owner) requestConsent(processes []string, round uint64) {
	if len(processes) == 0 || o.options.Witnesses == nil {
		return
	}
	o.options.Log(events.ConsentRequested, "epoch", o.Epoch(), "round", round, "witnesses", len(processes))
	o.options.Witnesses.Request(processes, o.Epoch(), round, func(process string) { o.enqueue(consentEvent{process, round}) })
}

// withdrawConsent tells the witnesses that their consent is not needed, once it is not. It is called when no task may be
// started ahead of the store any more.
func (o *Owner) withdrawConsent(hasUnpersisted bool) {
	if o.options.Witnesses == nil || o.isWriteBehind {
		return
	}
	o.mu.Lock()
	processes, round := o.writeBehind.withdrawConsent(o.now, hasUnpersisted)
	o.mu.Unlock()
	if len(processes) > 0 {
		o.options.Witnesses.Withdraw(processes, o.Epoch(), round)
	}
}

// repeatWithdrawal tells a witness again that its consent is not needed: the first message may have been lost with its link.
func (o *Owner) repeatWithdrawal(process string) {
	o.mu.Lock()
	round, isRequested := o.writeBehind.consent.Round(), o.writeBehind.consent.IsRequested()
	o.mu.Unlock()
	if !isRequested && o.options.Witnesses != nil {
		o.options.Witnesses.Withdraw([]string{process}, o.Epoch(), round)
	}
}

// consentEvent reports that a witness consents to write-behind.
type consentEvent struct {
	process string
	round   uint64
}

func (ev consentEvent) apply(o *Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeBehind.consent.Given(ev.process, ev.round)
}

// WitnessTestified records what a process, which follows this owner or is its own, says as a witness: it consents to no
// earlier owner any more, and has not consented to one after consentedEpoch.
func (o *Owner) WitnessTestified(process string, consentedEpoch uint64) {
	o.inbox.TryPut(testimonyEvent{process, consentedEpoch})
}

type testimonyEvent struct {
	process        string
	consentedEpoch uint64
}

func (ev testimonyEvent) apply(o *Owner) {
	if ev.consentedEpoch == o.Epoch() {
		o.repeatWithdrawal(ev.process)
	}
	o.updateWitnesses()
	if o.survey == nil {
		return
	}
	o.survey.Testified(ev.process, ev.consentedEpoch)
	if o.survey.IsRuledOut() {
		o.survey = nil
		o.engine.ConfirmPlacements()
	}
}
