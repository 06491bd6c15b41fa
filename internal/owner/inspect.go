// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/inspect"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Inspect returns what the scheduler does now.
func (o *Owner) Inspect(ctx context.Context) (*inspect.Report, error) {
	ch := make(chan inspectAnswer, 1)
	a, err := call(ctx, o, inspectEvent{ch}, ch)
	if err != nil {
		return nil, err
	}
	return a.report, a.err
}

type inspectAnswer struct {
	report *inspect.Report
	err    error
}

type inspectEvent struct{ reply chan inspectAnswer }

func (ev inspectEvent) apply(o *Owner) {
	if !o.mayActAsOwner() {
		ev.reply <- inspectAnswer{err: &inspect.NotOwnerError{}}
		return
	}
	ev.reply <- inspectAnswer{report: &inspect.Report{
		Node: o.options.Claim.Record.Node, Epoch: o.Epoch(), At: o.options.Clock.TimeOfDay(),
		Waiting: o.engine.Waiting(), Served: o.engine.Served(), Refusals: o.refusals.Latest(), Workers: o.workerSpeeds(),
	}}
}

// workerSpeeds returns how fast the workers are, as far as that is known.
func (o *Owner) workerSpeeds() []inspect.Worker {
	speeds := o.engine.WorkerSpeeds()
	workers := make([]inspect.Worker, 0, len(speeds))
	for i := range speeds {
		s := &speeds[i]
		workers = append(workers, inspect.Worker{ID: s.Worker, Class: string(s.Class()), Ratio: s.Ratio, Observations: s.Weight})
	}
	return workers
}

// recordRefusal keeps a refusal for operators. retryAfter is 0 if the caller was not asked to come
// back.
func (o *Owner) recordRefusal(spec *work.Spec, reason string, retryAfter time.Duration) {
	now := o.options.Clock.TimeOfDay()
	refusal := inspect.Refusal{At: now, Job: spec.ID, Queue: spec.Queue, Customer: spec.Customer, Reason: reason}
	if retryAfter > 0 {
		refusal.RetryAt = now.Add(retryAfter)
	}
	o.refusals.Add(refusal)
}
