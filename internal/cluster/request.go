// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// retryAfterSeconds is the delay after which a refused caller should retry, in seconds.
	retryAfterSeconds = 1
	// defaultRequestTimeout is how long a request waits by default for the next owner, which has to
	// claim the shard and to read the jobs first.
	defaultRequestTimeout = 500 * time.Millisecond
	// ownerExpectationFactor, times the request timeout, is how long after the loss of its owner a
	// node expects a new one. After that, it refuses requests at once.
	ownerExpectationFactor = 2
)

// request is a caller's request. It may be sent again, and carried out twice, because all requests
// are idempotent: a second submission has the same job ID, and a second cancel changes nothing.
type request struct {
	kind link.Kind
	// body is the message to the owner when that is another node.
	body any
	// callLocal calls the owner when that is this node.
	callLocal func(ctx context.Context, o *owner.Owner) (*ownerReply, error)
}

// target is the owner that a request is sent to; only owner or only link is set.
type target struct {
	owner *owner.Owner
	link  *link.Conn
}

// target returns the owner, or an error that says that nothing ran. The channel is closed when
// there may be another owner, or when a new owner has read the jobs.
func (n *Node) target() (target, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.owner != nil && n.owner.IsLoaded():
		return target{owner: n.owner}, n.ownerChanged, nil
	case n.owner != nil:
		return target{}, n.owner.Loaded(), errNoOwner()
	case n.ownerLink != nil && !n.detector.isSilent(n.options.Clock.Now()):
		return target{link: n.ownerLink}, n.ownerChanged, nil
	}
	return target{}, n.ownerChanged, errNoOwner()
}

func errNoOwner() error {
	return &owner.ChangeError{Failure: leverdyke.NotRun("the owner of the jobs is not known", retryAfterSeconds)}
}

// isOwnerChange reports whether a request failed because the owner changes, so that the next owner
// can answer it.
func isOwnerChange(err error) bool {
	e := &owner.ChangeError{}
	return errors.As(err, &e)
}

// mayHaveRun reports whether a request that failed with err may have been carried out.
func mayHaveRun(err error) bool {
	e := &leverdyke.Error{}
	return !errors.As(err, &e) || e.Verdict != leverdyke.VerdictNotRun
}

// requestFromOwner sends a request to the owner. If the owner or the link to it changes meanwhile,
// it waits for the next one, up to the request timeout after each attempt, and sends the request
// again. If an earlier attempt may have been carried out, the final error says so even when later
// attempts were refused.
func (n *Node) requestFromOwner(ctx context.Context, r *request) (*ownerReply, error) {
	var timedOut <-chan time.Time
	var uncertain error
	for {
		t, ownerChanged, err := n.target()
		var a *ownerReply
		if err == nil {
			a, err = t.send(ctx, r)
			// The time in which the owner had the request is not spent on waiting for the next one.
			timedOut = nil
		}
		if err == nil || !isOwnerChange(err) && uncertain == nil {
			return a, err
		}
		if uncertain == nil && mayHaveRun(err) {
			uncertain = err
		}
		if timedOut == nil {
			timedOut = n.options.Clock.After(n.options.RequestTimeout)
		}
		if !isOwnerChange(err) || !n.isOwnerExpected() || !waitForChange(ctx, ownerChanged, timedOut) {
			return nil, errors.Join(uncertain, err)
		}
	}
}

// waitForChange waits until ownerChanged is closed. It reports false when the request timed out or
// ctx ended first.
func waitForChange(ctx context.Context, ownerChanged <-chan struct{}, timedOut <-chan time.Time) bool {
	select {
	case <-ownerChanged:
		return ctx.Err() == nil
	default:
	}
	select {
	case <-ownerChanged:
		return true
	case <-timedOut:
	case <-ctx.Done():
	}
	return false
}

// send sends one request to the owner.
func (t target) send(ctx context.Context, r *request) (*ownerReply, error) {
	if t.owner != nil {
		return r.callLocal(ctx, t.owner)
	}
	a := &ownerReply{}
	err := t.link.Call(ctx, r.kind, r.body, a)
	if err == nil {
		return a, a.failure()
	}
	failure := leverdyke.MayHaveRun("the owner of the jobs did not answer", err)
	if errors.Is(err, link.ErrClosed) {
		return nil, &owner.ChangeError{Failure: failure}
	}
	return nil, failure
}

// isOwnerExpected reports whether there is an owner or is likely to be one soon.
func (n *Node) isOwnerExpected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner != nil || n.ownerLink != nil || n.options.Clock.Now().Sub(n.ownerLostAt) < ownerExpectationFactor*n.options.RequestTimeout
}

// Submit submits a job. It returns nil once the job is persisted.
func (n *Node) Submit(ctx context.Context, spec *work.Spec) error {
	_, err := n.requestFromOwner(ctx, &request{kindSubmit, spec, func(ctx context.Context, o *owner.Owner) (*ownerReply, error) {
		return nil, o.Submit(ctx, spec)
	}})
	return err
}

// Cancel cancels a job. It returns false when the caller has no such job.
func (n *Node) Cancel(ctx context.Context, id work.JobID, by work.Caller) (bool, error) {
	a, err := n.requestFromOwner(ctx, &request{kindCancel, jobQuery{Job: id, By: by}, func(ctx context.Context, o *owner.Owner) (*ownerReply, error) {
		ok, err := o.Cancel(ctx, id, by)
		return &ownerReply{IsKnown: ok}, err
	}})
	return err == nil && a.IsKnown, err
}

// State returns the state of a job; false when the caller has no such job.
func (n *Node) State(ctx context.Context, id work.JobID, by work.Caller) (work.JobState, bool, error) {
	a, err := n.requestFromOwner(ctx, &request{kindState, jobQuery{Job: id, By: by}, func(ctx context.Context, o *owner.Owner) (*ownerReply, error) {
		state, ok, err := o.State(ctx, id, by)
		return &ownerReply{State: state, IsKnown: ok}, err
	}})
	if err != nil {
		return "", false, err
	}
	return a.State, a.IsKnown, nil
}

// Pending returns how many jobs of a queue have not started yet.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	a, err := n.requestFromOwner(ctx, &request{kindPending, jobQuery{Queue: queue}, func(ctx context.Context, o *owner.Owner) (*ownerReply, error) {
		count, err := o.Pending(ctx, queue)
		return &ownerReply{Count: count}, err
	}})
	if err != nil {
		return 0, err
	}
	return a.Count, nil
}
