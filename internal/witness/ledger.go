// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package witness

// Ledger is what a process has said as a witness. The zero value has said nothing.
type Ledger struct {
	// superseded is the lowest epoch to which the process may still consent.
	superseded uint64
	// consented is the highest epoch to which it has consented without a withdrawal, 0 if there is none, and round the
	// round of that consent.
	consented, round uint64
	// withdrawnEpoch and withdrawnRound are those of the last withdrawal: a request that arrives after it is refused.
	withdrawnEpoch, withdrawnRound uint64
}

// GiveConsent handles the request of the owner of an epoch, and reports whether the process consents.
func (l *Ledger) GiveConsent(epoch, round uint64) bool {
	if epoch < l.superseded || epoch < l.consented || epoch == l.withdrawnEpoch && round <= l.withdrawnRound {
		return false
	}
	if epoch > l.consented {
		// The rounds of two owners do not compare.
		l.round = 0
	}
	l.consented, l.round = epoch, max(round, l.round)
	return true
}

// WithdrawConsent handles the word of the owner of an epoch that it needs the consent no longer.
func (l *Ledger) WithdrawConsent(epoch, round uint64) {
	if epoch < l.withdrawnEpoch || epoch == l.withdrawnEpoch && round <= l.withdrawnRound {
		return
	}
	l.withdrawnEpoch, l.withdrawnRound = epoch, round
	if l.consented == epoch && l.round <= round {
		l.consented, l.round = 0, 0
	}
}

// Testify makes the process refuse its consent to all owners before an epoch, and returns the highest epoch to which it has
// consented, 0 if there is none.
func (l *Ledger) Testify(epoch uint64) uint64 {
	l.superseded = max(l.superseded, epoch)
	return l.consented
}
