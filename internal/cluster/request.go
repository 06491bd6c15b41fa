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
	// retryAfter is when a refused caller should come back, in seconds.
	retryAfter = 1
	// defaultPatience is how long a request waits for the next owner, which has to take over
	// and to read the jobs.
	defaultPatience = 500 * time.Millisecond
	// lostLately is how many times that after its owner was lost a node expects
	// another one. After that it refuses at once.
	lostLately = 2
)

// request is a caller's request. It may be carried out twice: a job's ID makes
// the same job of a second submission, a second cancelling changes nothing.
type request struct {
	kind link.Kind
	// body is what goes over the link to the owner.
	body any
	// do asks the owner when that is this node.
	do func(ctx context.Context, o *owner.Owner) (*answer, error)
}

// target is who answers a caller's request.
type target struct {
	owner *owner.Owner
	link  *link.Conn
}

// target returns the owner, or an error that nothing ran, and a channel that is
// closed when there may be another one.
func (n *Node) target() (target, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.owner != nil && n.owner.IsLoaded():
		return target{owner: n.owner}, n.changed, nil
	case n.owner != nil:
		return target{}, n.owner.Loaded(), errNoOwner()
	case n.ownerLink != nil && !n.watch.isSilent(n.options.Clock.Now()):
		return target{link: n.ownerLink}, n.changed, nil
	}
	return target{}, n.changed, errNoOwner()
}

func errNoOwner() error {
	return &owner.ChangeError{Failure: leverdyke.NotRun("the owner of the jobs is not known", retryAfter)}
}

// isAway reports whether the next owner can answer a request that failed so.
func isAway(err error) bool {
	e := &owner.ChangeError{}
	return errors.As(err, &e)
}

// isOpen reports whether a request that failed so may have been carried out.
func isOpen(err error) bool {
	e := &leverdyke.Error{}
	return !errors.As(err, &e) || e.Verdict != leverdyke.VerdictNotRun
}

// serve asks the owner, and the next one when that ends meanwhile.
func (n *Node) serve(ctx context.Context, r *request) (*answer, error) {
	tooLate := n.options.Clock.After(n.options.Patience)
	var open error
	for {
		t, changed, err := n.target()
		var a *answer
		if err == nil {
			a, err = t.ask(ctx, r)
		}
		if err == nil || !isAway(err) && open == nil {
			return a, err
		}
		if open == nil && isOpen(err) {
			open = err
		}
		if !isAway(err) || !n.expectsOwner() || !await(ctx, changed, tooLate) {
			return nil, errors.Join(open, err)
		}
	}
}

// await waits for a change and reports false when it does not come in time.
func await(ctx context.Context, changed <-chan struct{}, tooLate <-chan time.Time) bool {
	select {
	case <-changed:
		return true
	case <-tooLate:
	case <-ctx.Done():
	}
	return false
}

// ask asks the owner.
func (t target) ask(ctx context.Context, r *request) (*answer, error) {
	if t.owner != nil {
		return r.do(ctx, t.owner)
	}
	a := &answer{}
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

// expectsOwner reports whether there is likely to be another owner soon.
func (n *Node) expectsOwner() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner != nil || n.ownerLink != nil || n.options.Clock.Now().Sub(n.lostAt) < lostLately*n.options.Patience
}

// Submit hands in a job. It returns nil once the job is kept.
func (n *Node) Submit(ctx context.Context, spec *work.Spec) error {
	_, err := n.serve(ctx, &request{kindSubmit, spec, func(ctx context.Context, o *owner.Owner) (*answer, error) {
		return nil, o.Submit(ctx, spec)
	}})
	return err
}

// Cancel cancels a job. It returns false when there is no such job of the caller's.
func (n *Node) Cancel(ctx context.Context, id work.JobID, by work.Caller) (bool, error) {
	a, err := n.serve(ctx, &request{kindCancel, question{Job: id, By: by}, func(ctx context.Context, o *owner.Owner) (*answer, error) {
		ok, err := o.Cancel(ctx, id, by)
		return &answer{IsKnown: ok}, err
	}})
	return err == nil && a.IsKnown, err
}

// State returns what a caller is told of a job; false when there is none of the caller's.
func (n *Node) State(ctx context.Context, id work.JobID, by work.Caller) (work.JobState, bool, error) {
	a, err := n.serve(ctx, &request{kindState, question{Job: id, By: by}, func(ctx context.Context, o *owner.Owner) (*answer, error) {
		state, ok, err := o.State(ctx, id, by)
		return &answer{State: state, IsKnown: ok}, err
	}})
	if err != nil {
		return "", false, err
	}
	return a.State, a.IsKnown, nil
}

// Pending returns how many jobs of a queue have not begun.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	a, err := n.serve(ctx, &request{kindPending, question{Queue: queue}, func(ctx context.Context, o *owner.Owner) (*answer, error) {
		count, err := o.Pending(ctx, queue)
		return &answer{Count: count}, err
	}})
	if err != nil {
		return 0, err
	}
	return a.Count, nil
}
