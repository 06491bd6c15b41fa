// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package witness

// Survey is what a new owner has heard from the witnesses of an earlier one.
type Survey struct {
	quorum  Quorum
	refused map[string]bool
}

// NewSurvey returns a survey of the witnesses that the record of an earlier owner names.
func NewSurvey(q Quorum) *Survey { return &Survey{quorum: q, refused: map[string]bool{}} }

// Testified records what Ledger.Testify returned at a process.
func (s *Survey) Testified(process string, consentedEpoch uint64) {
	if consentedEpoch < s.quorum.Epoch {
		s.refused[process] = true
	}
}

// IsRuledOut reports whether the earlier owner never had, and never gets, the consent of most of its witnesses.
func (s *Survey) IsRuledOut() bool {
	return !s.quorum.IsEmpty() && s.quorum.countIn(s.refused) >= s.quorum.minRefusals()
}
