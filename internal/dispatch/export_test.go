// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// AnswerTimes lets tests drive an answerTimes.
type AnswerTimes struct{ t answerTimes }

// Learn takes the time of an answer.
func (a *AnswerTimes) Learn(took time.Duration) { a.t.learn(took) }

// Patience returns how long an order may stay without an answer.
func (a *AnswerTimes) Patience() time.Duration { return a.t.patience() }
