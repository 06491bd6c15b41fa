// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

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

// HandleCall handles a call from another node and returns the reply.
func (n *Node) HandleCall(ctx context.Context, from *link.Conn, kind link.Kind, body []byte) (any, error) {
	switch kind {
	case kindHello:
		return n.handleHello(from, body)
	case kindClaim:
		c := claimRequest{}
		if err := codec.Unmarshal(body, &c); err != nil {
			return nil, err
		}
		return n.handleClaim(ctx, c)
	case kindProbe:
		return n.handleProbe(from)
	case kindFitness:
		return n.reportFitness(), nil
	case kindConsent:
		return n.handleConsentRequest(body)
	case kindConfig:
		return n.activeConfig(), nil
	case kindPermission:
		return n.handlePermissionQuery(ctx, body)
	case kindStore:
		return n.handleStore(ctx, body)
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if o == nil || !n.awaitLoaded(ctx, o) {
		return replyFor(&owner.ChangeError{Failure: leverdyke.NotRun("this node is not the owner of the jobs", retryAfterSeconds)}), nil
	}
	return handleRequest(ctx, o, kind, body)
}

// awaitLoaded waits until the owner has read the jobs. It reports false when that takes longer than
// the request timeout, or when the owner or ctx ends first.
func (n *Node) awaitLoaded(ctx context.Context, o *owner.Owner) bool {
	if o.IsLoaded() {
		return true
	}
	select {
	case <-o.Loaded():
		return true
	case <-o.Done():
	case <-ctx.Done():
	case <-n.options.Clock.After(n.options.RequestTimeout):
	}
	return false
}

// handleRequest handles a caller's request that another node forwarded to this owner.
func handleRequest(ctx context.Context, o *owner.Owner, kind link.Kind, body []byte) (any, error) {
	if kind == kindSubmit {
		spec := &work.Spec{}
		if err := codec.Unmarshal(body, spec); err != nil {
			return nil, err
		}
		return replyFor(o.Submit(ctx, spec)), nil
	}
	q := jobQuery{}
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	switch kind {
	case kindState:
		state, ok, err := o.State(ctx, q.Job, q.By)
		a := replyFor(err)
		a.State, a.IsKnown = state, ok
		return a, nil
	case kindCancel:
		ok, err := o.Cancel(ctx, q.Job, q.By)
		a := replyFor(err)
		a.IsKnown = ok
		return a, nil
	case kindPending:
		count, err := o.Pending(ctx, q.Queue)
		a := replyFor(err)
		a.Count = count
		return a, nil
	}
	return nil, fmt.Errorf("cluster: unknown kind of message %q", kind)
}

// activeConfig returns the active configuration of this node, without data before the first.
func (n *Node) activeConfig() configMessage {
	n.mu.Lock()
	version, compressed := n.configVersion, n.configCompressed
	n.mu.Unlock()
	if compressed == nil {
		return configMessage{}
	}
	return configMessage{version, compressed()}
}

// handleHello handles the first call on a link. If this node is the owner, the other node becomes
// its follower.
func (n *Node) handleHello(from *link.Conn, body []byte) (any, error) {
	h := hello{}
	if err := codec.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	w := &welcome{Incarnation: n.options.Incarnation}
	if o != nil {
		w.IsOwner, w.Epoch = true, o.Epoch()
		n.peers.add(h, from)
		n.checkReplaced(o, &h)
	}
	return w, nil
}

// handleClaim handles the request of an owner that has stopped to become its successor. The
// request names the epoch of that owner. The election goroutine claims the shard if that owner is
// still the one that this node follows; handleClaim returns once this node is the owner, or with an
// error after claimTimeout. A newer request replaces one that the election goroutine has not received
// yet. The call of the replaced request waits on, and succeeds too if this node becomes the owner in
// time.
func (n *Node) handleClaim(ctx context.Context, c claimRequest) (any, error) {
	if c.IsUnfit {
		// The previous owner handed over because it was too slow or weak. This node records the
		// time, so that as the owner it does not hand over again for the same reason within
		// minHandoverInterval.
		n.mu.Lock()
		n.fitness.succeed(n.options.Clock.Now())
		n.mu.Unlock()
	}
	select {
	case <-n.claimRequests:
		// Discards an earlier request that the election goroutine has not received.
	default:
	}
	select {
	case n.claimRequests <- c.Epoch:
	default:
	}
	ticks, stop := n.options.Clock.Subscribe(5 * time.Millisecond)
	defer stop()
	timedOut := n.options.Clock.After(claimTimeout)
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
		case <-timedOut:
			return nil, errors.New("cluster: this node did not become the owner of the shard in time")
		case <-ticks:
		}
	}
}

// handlePermissionQuery queries the permission service on behalf of the owner.
func (n *Node) handlePermissionQuery(ctx context.Context, body []byte) (any, error) {
	c := permissionQuery{}
	if err := codec.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	permits, validFor, err := n.options.PermissionService.Query(ctx, c.Step, c.Workers)
	return permissionReply{permits, validFor}, err
}

// handleStore sends a peer's request to the store, directly from this node.
func (n *Node) handleStore(ctx context.Context, body []byte) (any, error) {
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

// HandleNotification handles a notification from another node.
func (n *Node) HandleNotification(from *link.Conn, kind link.Kind, body []byte) {
	switch kind {
	case kindOwnerHeartbeat:
		b := ownerHeartbeat{}
		if codec.Unmarshal(body, &b) == nil {
			n.handleOwnerHeartbeat(from, b)
		}
	case kindFollowerHeartbeat:
		a := followerHeartbeat{}
		if codec.Unmarshal(body, &a) == nil {
			n.peers.recordHeartbeat(from, a)
			n.mu.Lock()
			n.handlePeerVersion(from, a.ConfigVersion)
			n.mu.Unlock()
		}
	case kindTestimony:
		n.handleTestimony(from, body)
	case kindWithdraw:
		n.handleConsentWithdrawal(body)
	case kindDelegatedOrders:
		n.handleDelegatedOrders(from, body)
	case kindOutcomes:
		n.handleOutcomes(body)
	default:
		n.options.Log(events.BadFrame, "kind", kind)
	}
}

// handleOwnerHeartbeat handles a heartbeat of the owner. A heartbeat over any link but the current
// one to the owner is ignored.
func (n *Node) handleOwnerHeartbeat(from *link.Conn, b ownerHeartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from != n.ownerLink {
		return
	}
	now := n.options.Clock.Now()
	wasSilent := n.detector.isSilent(now)
	n.detector.recordHeartbeat(now, b)
	if wasSilent {
		// Requests that arrived meanwhile wait for an owner.
		n.notifyOwnerChange()
	}
	n.unpersistedEpoch = 0
	if b.MayHaveUnpersisted {
		n.unpersistedEpoch = b.Epoch
	}
	n.handlePeerVersion(from, b.ConfigVersion)
}

// permissionChannels are the nodes through which the owner can query the permission service: this
// node and its followers.
type permissionChannels struct{ n *Node }

// Names returns the names of the channels that can be used now.
func (l *permissionChannels) Names() []string {
	out := []string{l.n.options.Name}
	for _, p := range l.n.peers.usable() {
		out = append(out, p.hello.Name)
	}
	return out
}

// Query sends a query to the permission service through a channel.
func (l *permissionChannels) Query(ctx context.Context, channel string, step work.StepID, workers []order.WorkerID) ([]order.Permit, time.Duration, error) {
	if channel == l.n.options.Name {
		return l.n.options.PermissionService.Query(ctx, step, workers)
	}
	conn := l.n.peers.linkTo(channel)
	if conn == nil {
		return nil, 0, errPeerNotLinked
	}
	reply := &permissionReply{}
	if err := conn.Call(ctx, kindPermission, permissionQuery{step, workers}, reply); err != nil {
		return nil, 0, err
	}
	return reply.Permits, reply.ValidFor, nil
}
