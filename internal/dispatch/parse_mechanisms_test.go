// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/leverdyke/leverdyke/internal/dispatch"
)

// A mistyped name must not leave a mechanism on that an operator wants to be off.
func TestUnknownMechanismIsRefusedByName(t *testing.T) {
	for _, text := range []string{"claim", "claims,", "claims,urgent", "admission"} {
		_, err := dispatch.ParseMechanisms(text)
		if err == nil || !strings.Contains(err.Error(), `"claims"`) {
			t.Errorf("%q: got: %v, want: an error that lists the names", text, err)
		}
	}
}

func TestMechanismsAreParsed(t *testing.T) {
	for text, want := range map[string][]dispatch.Mechanism{
		"":                   nil,
		"claims":             {dispatch.MechanismClaims},
		"claims, state wait": {dispatch.MechanismClaims, dispatch.MechanismStateWait},
	} {
		if got, err := dispatch.ParseMechanisms(text); err != nil || !slices.Equal(got, want) {
			t.Errorf("%q: got: %v, %v, want: %v", text, got, err, want)
		}
	}
}
