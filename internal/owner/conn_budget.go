// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"sync/atomic"

	"github.com/leverdyke/leverdyke/internal/connbudget"
	"github.com/leverdyke/leverdyke/internal/events"
)

// connBudget is how many connections to each worker this owner and its delegates keep open. Only the
// loop changes it; it may be read by any goroutine.
type connBudget struct {
	left atomic.Int64
}

func (k *connBudget) setLeft(l connbudget.Left) { k.left.Store(int64(l)) }

// get returns how many connections lost nodes have left open, and how many may be kept therefore.
func (k *connBudget) get() (left connbudget.Left, kept int) {
	left = connbudget.Left(k.left.Load())
	return left, left.Kept()
}

// FollowerLost reports that a follower fell silent, so that its connections to workers may stay open
// there.
func (o *Owner) FollowerLost(name string) { o.enqueue(followerLostEvent{name}) }

type followerLostEvent struct{ name string }

func (ev followerLostEvent) apply(o *Owner) {
	if !o.router.TakeUsed(ev.name) {
		return
	}
	left, kept := o.connBudget.get()
	o.connBudget.setLeft(left.AfterLoss(kept))
	left, kept = o.connBudget.get()
	o.options.Workers.SetKeptConns(kept)
	o.options.Log(events.DelegateLost, "epoch", o.Epoch(), "node", ev.name, "left", int(left), "kept", kept)
}
