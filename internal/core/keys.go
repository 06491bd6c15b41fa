// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"errors"

	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/state"
)

// KeyResult is the result of claiming an idempotency key: whether this claim is
// the first one in the log, and, if it is not, which process made the first one.
type KeyResult struct {
	Fate  idempotency.ClaimOutcome
	Owner state.Process
}

// ClaimKey appends a claim of an idempotency key to the log, which decides which
// process may run the key's request. It calls done with the result, which is
// never ClaimUnknown.
func (c *Core) ClaimKey(key idempotency.Key, done func(KeyResult)) {
	if owner, ok := c.state.IdempotencyKeys[key]; ok {
		done(KeyResult{idempotency.ClaimLost, owner})
		return
	}
	if !c.IsJoined() || c.isLogUnavailable(c.now()) || len(c.state.IdempotencyKeys) >= state.MaxIdempotencyKeys {
		done(KeyResult{Fate: idempotency.ClaimNotRecorded})
		return
	}
	c.Append(state.Record{IdempotencyKey: &state.IdempotencyKey{Key: key}}, func(err error) {
		switch {
		case err == nil:
			done(KeyResult{Fate: idempotency.ClaimWon})
		case errors.Is(err, state.ErrNotFirst):
			done(KeyResult{idempotency.ClaimLost, c.state.IdempotencyKeys[key]})
		default:
			// The claim was not appended, or its batch was rejected or skipped. In
			// none of these cases may this process run the request.
			done(KeyResult{Fate: idempotency.ClaimNotRecorded})
		}
	})
}
