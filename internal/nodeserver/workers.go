// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package nodeserver

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	orderQueueSize   = 256
	commandTimeout   = 2 * time.Second
	syncTimeoutSlack = 3 * time.Second
	syncRetryDelay   = 300 * time.Millisecond
)

// workerLink has the two duties of one owned worker: one renews leases and
// reads reports, the other gives orders.
type workerLink struct {
	node   *Node
	rack   state.ShardID
	epoch  worker.Epoch
	id     worker.ID
	client *worker.Client
	orders *boundedqueue.Queue[workerOrder]
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// incarnation and asOf are the last report's; forgets what the worker is still to
	// forget.
	incarnation string
	asOf        int64
	revision    uint64
	toForget    []worker.Key
}

// workerOrder is either a start or a deed.
type workerOrder struct {
	start  *rack.StartOrder
	action worker.Action
	keys   []worker.Key
}

func newWorkerLink(n *Node, rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) *workerLink {
	ctx, cancel := context.WithCancel(n.ctx)
	l := &workerLink{
		node: n, rack: rack, epoch: epoch, id: id, orders: boundedqueue.NewQueue[workerOrder](orderQueueSize), ctx: ctx, cancel: cancel,
		client: worker.NewClient(addr, n.transport),
	}
	n.wg.Add(2)
	go l.syncLoop()
	go l.orderLoop()
	return l
}

// Stop ends both duties; what was ordered and not sent is not sent any more.
func (l *workerLink) Stop() { l.cancel() }

// Start queues a start; it reports false when there is no room.
func (l *workerLink) Start(o *rack.StartOrder) bool { return l.orders.TryPut(workerOrder{start: o}) }

// Act queues a deed; one that finds no room is ordered again by the rack.
func (l *workerLink) Act(action worker.Action, keys []worker.Key) {
	l.orders.TryPut(workerOrder{action: action, keys: keys})
}

// Forget lets the worker forget ended attempts, with the next sync.
func (l *workerLink) Forget(keys []worker.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toForget = append(l.toForget, keys...)
}

// syncLoop renews all of the worker's leases with each sync.
func (l *workerLink) syncLoop() {
	defer l.node.wg.Done()
	for l.ctx.Err() == nil {
		if l.sync() {
			continue
		}
		select {
		case <-l.ctx.Done():
		case <-l.node.clock.After(syncRetryDelay):
		}
	}
}

func (l *workerLink) sync() bool {
	l.mu.Lock()
	s := &worker.Sync{
		Epoch: l.epoch, Incarnation: l.incarnation, AsOf: l.asOf, TTL: l.node.settings.Lease, SinceRevision: l.revision,
		Wait: l.node.settings.Sync, Forget: l.toForget,
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, s.Wait+syncTimeoutSlack)
	rep, err := l.client.Sync(ctx, s)
	cancel()
	if l.ctx.Err() != nil {
		return false
	}
	if err != nil {
		l.reportFailure(err)
		return false
	}
	l.mu.Lock()
	l.toForget = l.toForget[len(s.Forget):]
	isNewIncarnation := l.incarnation != rep.Incarnation && l.incarnation != ""
	l.incarnation, l.asOf, l.revision = rep.Incarnation, rep.Now, rep.Revision
	if isNewIncarnation && !rep.IsFullList {
		l.revision = 0
	}
	l.mu.Unlock()
	l.node.enqueue(func(c *core.Core) { c.OnReport(l.rack, l.epoch, l.id, rep) })
	return true
}

func (l *workerLink) reportFailure(err error) {
	f := &worker.FencedError{}
	if errors.As(err, &f) {
		l.node.enqueue(func(c *core.Core) { c.OnFenced(l.rack, l.epoch, f.Seen) })
		return
	}
	l.node.enqueue(func(c *core.Core) { c.OnSilent(l.rack, l.epoch, l.id) })
}

// orderLoop gives the worker its orders, one after the other.
func (l *workerLink) orderLoop() {
	defer l.node.wg.Done()
	for {
		select {
		case <-l.ctx.Done():
			return
		case o := <-l.orders.Items():
			l.sendOrder(o)
		}
	}
}

func (l *workerLink) sendOrder(o workerOrder) {
	ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
	defer cancel()
	if o.action != "" {
		if err := l.client.Act(ctx, &worker.Act{Epoch: l.epoch, Action: o.action, Keys: o.keys}); err != nil && l.ctx.Err() == nil {
			l.reportFailure(err)
		}
		return
	}
	s := &worker.Start{Epoch: l.epoch, Incarnation: o.start.Boot, AsOf: o.start.AsOf, TTL: l.node.settings.Lease, Tasks: o.start.Tasks}
	results, err := l.client.Start(ctx, s)
	if l.ctx.Err() != nil {
		return
	}
	if err != nil {
		// Whether they started is not known: the rack asks again, and leases
		// bound how long it can matter.
		l.node.enqueue(func(c *core.Core) { c.OnStartFailed(l.rack, l.epoch, l.id, o.start.Tasks) })
		l.reportFailure(err)
		return
	}
	l.node.enqueue(func(c *core.Core) { c.OnStartResults(l.rack, l.epoch, l.id, results) })
}
