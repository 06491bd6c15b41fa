// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package order_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/order"
)

// A worker rejects orders with a token lower than the highest that it has seen. So each owner's
// tokens have to be higher than those of all earlier owners, however high their generations were,
// and all tokens have to be exact as JSON numbers.
func TestTokensRiseWithEpochThenGeneration(t *testing.T) {
	const beyondLimit = 1 << 40
	tokens := []uint64{
		order.Token(1, 0), order.Token(1, 1), order.Token(1, beyondLimit), order.Token(2, 0), order.Token(2, 1), order.Token(8_000_000_000, beyondLimit),
	}
	for i := 1; i < len(tokens); i++ {
		if tokens[i] <= tokens[i-1] {
			t.Errorf("token %d: got: %d after %d, want: a higher one", i, tokens[i], tokens[i-1])
		}
	}
	const exactInJSON = 1 << 53
	if last := tokens[len(tokens)-1]; last >= exactInJSON {
		t.Errorf("got: %d, want: below %d", last, uint64(exactInJSON))
	}
}
