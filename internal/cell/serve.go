// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

// HandleCall answers another node.
func (n *Node) HandleCall(ctx context.Context, from *link.Conn, kind link.Kind, body []byte) (any, error) {
	switch kind {
	case kindHello:
		return n.takeHello(from, body)
	case kindClaim:
		c := claimCall{}
		if err := codec.Unmarshal(body, &c); err != nil {
			return nil, err
		}
		return n.takeClaim(ctx, c)
	case kindConfig:
		return n.configInForce(), nil
	case kindAdvise:
		return n.takeAdvise(ctx, body)
	case kindStore:
		return n.takeStore(ctx, body)
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o == nil || !n.awaitLoaded(ctx, o) {
		return answerOf(&owner.ChangeError{Failure: leverdyke.NotRun("this node is not the owner of the jobs", retryAfter)}), nil
	}
	return takeRequest(ctx, o, kind, body)
}

// awaitLoaded waits until the owner knows the jobs, and reports false when that
// takes too long.
func (n *Node) awaitLoaded(ctx context.Context, o *owner.Owner) bool {
	if o.IsLoaded() {
		return true
	}
	select {
	case <-o.Loaded():
		return true
	case <-o.Done():
	case <-ctx.Done():
	case <-n.options.Clock.After(n.options.Patience):
	}
	return false
}

// takeRequest answers a caller's request that another node passed on.
func takeRequest(ctx context.Context, o *owner.Owner, kind link.Kind, body []byte) (any, error) {
	if kind == kindSubmit {
		spec := &work.Spec{}
		if err := codec.Unmarshal(body, spec); err != nil {
			return nil, err
		}
		return answerOf(o.Submit(ctx, spec)), nil
	}
	q := question{}
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	switch kind {
	case kindState:
		state, ok, err := o.State(ctx, q.Job, q.By)
		a := answerOf(err)
		a.State, a.IsKnown = state, ok
		return a, nil
	case kindCancel:
		ok, err := o.Cancel(ctx, q.Job, q.By)
		a := answerOf(err)
		a.IsKnown = ok
		return a, nil
	case kindPending:
		count, err := o.Pending(ctx, q.Queue)
		a := answerOf(err)
		a.Count = count
		return a, nil
	}
	return nil, fmt.Errorf("cell: unknown kind of message %q", kind)
}

// configInForce returns the configuration in force here, without data before the
// first.
func (n *Node) configInForce() configMessage {
	n.mu.Lock()
	version, packed := n.configVersion, n.configPacked
	n.mu.Unlock()
	if packed == nil {
		return configMessage{}
	}
	return configMessage{version, packed()}
}

func (n *Node) takeHello(from *link.Conn, body []byte) (any, error) {
	h := hello{}
	if err := codec.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	w := &welcome{Life: n.options.Life}
	if o != nil {
		w.IsOwner, w.Epoch = true, o.Epoch()
		n.peers.add(h, from)
	}
	return w, nil
}

// takeClaim makes the seeker claim the shard after the owner of that epoch, and
// answers once this node owns it.
func (n *Node) takeClaim(ctx context.Context, c claimCall) (any, error) {
	if c.IsUnfit {
		n.mu.Lock()
		n.fitness.yieldedAt = n.options.Clock.Now()
		n.mu.Unlock()
	}
	select {
	case <-n.takeOver:
		// An earlier call that nobody took up.
	default:
	}
	select {
	case n.takeOver <- c.Epoch:
	default:
	}
	ticks, stop := n.options.Clock.Subscribe(5 * time.Millisecond)
	defer stop()
	tooLate := n.options.Clock.After(claimTime)
	for {
		n.mu.Lock()
		isOwner := n.owner != nil
		n.mu.Unlock()
		if isOwner {
			return empty{}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tooLate:
			return nil, errors.New("cell: the shard was not won in time")
		case <-ticks:
		}
	}
}

func (n *Node) takeAdvise(ctx context.Context, body []byte) (any, error) {
	c := adviseCall{}
	if err := codec.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	good, valid, err := n.options.Adviser.Ask(ctx, c.Step, c.Workers)
	return adviseReply{good, valid}, err
}

func (n *Node) takeStore(ctx context.Context, body []byte) (any, error) {
	r := &fallback.Request{}
	if err := codec.Unmarshal(body, r); err != nil {
		return nil, err
	}
	response, err := n.options.Direct.Do(ctx, r)
	if err != nil {
		unsent := &fallback.UnsentError{}
		return storeReply{IsUnsent: errors.As(err, &unsent), Failure: err.Error()}, nil
	}
	return storeReply{Response: response}, nil
}

// HandleNotice takes a notification of another node.
func (n *Node) HandleNotice(from *link.Conn, kind link.Kind, body []byte) {
	switch kind {
	case kindBeat:
		b := beat{}
		if codec.Unmarshal(body, &b) == nil {
			n.takeBeat(from, b)
		}
	case kindAlive:
		a := alive{}
		if codec.Unmarshal(body, &a) == nil {
			n.peers.heard(from, a)
			n.mu.Lock()
			n.notePeerVersion(from, a.ConfigVersion)
			n.mu.Unlock()
		}
	case kindCarry:
		n.takeCarry(from, body)
	case kindCarried:
		n.takeCarried(body)
	default:
		n.options.Log(events.BadFrame, "kind", kind)
	}
}

func (n *Node) takeBeat(from *link.Conn, b beat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from != n.ownerLink {
		return
	}
	n.watch.hear(n.options.Clock.Now(), b)
	n.unloggedEpoch = 0
	if b.IsUnlogged {
		n.unloggedEpoch = b.Epoch
	}
	n.notePeerVersion(from, b.ConfigVersion)
}

// lanes are the ways to the service that permits workers: this node and its
// followers.
type lanes struct{ n *Node }

// Names returns the lanes that can be used now.
func (l *lanes) Names() []string {
	out := []string{l.n.options.Name}
	for _, p := range l.n.peers.usable() {
		out = append(out, p.hello.Name)
	}
	return out
}

// Ask asks through a lane.
func (l *lanes) Ask(ctx context.Context, lane string, step work.StepID, workers []order.WorkerID) ([]order.Ticket, time.Duration, error) {
	if lane == l.n.options.Name {
		return l.n.options.Adviser.Ask(ctx, step, workers)
	}
	conn := l.n.peers.find(lane)
	if conn == nil {
		return nil, 0, errNoPeer
	}
	reply := &adviseReply{}
	if err := conn.Call(ctx, kindAdvise, adviseCall{step, workers}, reply); err != nil {
		return nil, 0, err
	}
	return reply.Good, reply.Valid, nil
}
