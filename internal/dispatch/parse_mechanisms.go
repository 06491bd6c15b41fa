// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"slices"
	"strings"
)

// mechanisms has all mechanisms.
var mechanisms = []Mechanism{
	MechanismReservations, MechanismPreemption, MechanismEarlyPermission, MechanismClaims, MechanismUrgency,
	MechanismShares, MechanismSpeculativeCopies, MechanismHealth, MechanismSpeed,
	MechanismThroughput, MechanismDiscard, MechanismEvacuation, MechanismWriteBehind, MechanismStateWait,
	MechanismLateDelegates, MechanismLearned, MechanismPermissionPlan,
}

// ParseMechanisms parses a list of mechanisms that are separated by commas. An empty text has none.
func ParseMechanisms(text string) ([]Mechanism, error) {
	if text == "" {
		return nil, nil
	}
	parsed := []Mechanism{}
	for name := range strings.SplitSeq(text, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(mechanisms, m) {
			return nil, fmt.Errorf("dispatch: unknown mechanism %q: want some of %s", name, allMechanisms())
		}
		parsed = append(parsed, m)
	}
	return parsed, nil
}

// allMechanisms returns the quoted names of all mechanisms, sorted.
func allMechanisms() string {
	names := []string{}
	for _, m := range mechanisms {
		names = append(names, fmt.Sprintf("%q", string(m)))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
