// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"errors"

	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/state"
)

// KeyResult says what the log says of an idempotency key, and who has it.
type KeyResult struct {
	Fate  idempotency.ClaimOutcome
	Owner state.Owner
}

// ClaimKey puts a key into the log; done is called with its fate, never
// FateOpen.
func (c *Core) ClaimKey(key idempotency.Key, done func(KeyResult)) {
	if owner, ok := c.state.Keys[key]; ok {
		done(KeyResult{idempotency.ClaimLost, owner})
		return
	}
	if !c.IsJoined() || c.isLogOut(c.now()) || len(c.state.Keys) >= state.MaxKeys {
		done(KeyResult{Fate: idempotency.ClaimNotRecorded})
		return
	}
	c.Append(state.Record{Once: &state.Once{Key: key}}, func(err error) {
		switch {
		case err == nil:
			done(KeyResult{Fate: idempotency.ClaimWon})
		case errors.Is(err, state.ErrLost):
			done(KeyResult{idempotency.ClaimLost, c.state.Keys[key]})
		default:
			// Neither an append that was not made nor a batch that the fold
			// drops lets this process run the request.
			done(KeyResult{Fate: idempotency.ClaimNotRecorded})
		}
	})
}
