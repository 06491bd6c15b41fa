// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"errors"

	"github.com/leverdyke/leverdyke/internal/once"
	"github.com/leverdyke/leverdyke/internal/state"
)

// KeyResult says what the log says of an idempotency key, and who has it.
type KeyResult struct {
	Fate  once.Fate
	Owner state.Process
}

// ClaimKey puts a key into the log; done is called with its fate, never
// FateOpen.
func (c *Core) ClaimKey(key once.Key, done func(KeyResult)) {
	if owner, ok := c.state.IdempotencyKeys[key]; ok {
		done(KeyResult{once.FateLost, owner})
		return
	}
	if !c.IsJoined() || c.isLogOut(c.now()) || len(c.state.IdempotencyKeys) >= state.MaxIdempotencyKeys {
		done(KeyResult{Fate: once.FateNotTaken})
		return
	}
	c.Append(state.Record{IdempotencyKey: &state.IdempotencyKey{Key: key}}, func(err error) {
		switch {
		case err == nil:
			done(KeyResult{Fate: once.FateWon})
		case errors.Is(err, state.ErrNotFirst):
			done(KeyResult{once.FateLost, c.state.IdempotencyKeys[key]})
		default:
			// Neither an append that was not made nor a batch that the fold
			// drops lets this process run the request.
			done(KeyResult{Fate: once.FateNotTaken})
		}
	})
}
