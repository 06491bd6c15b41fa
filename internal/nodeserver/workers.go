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
	orderQueueSize = 256
	commandTimeout = 2 * time.Second
	// syncTimeoutSlack is how much longer than its long poll a Sync may take.
	syncTimeoutSlack = 3 * time.Second
	syncRetryDelay   = 300 * time.Millisecond
)

// workerLink communicates with one worker of a rack that this node owns, from two
// goroutines: syncLoop renews the leases and reads reports, orderLoop sends orders.
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
	// incarnation, asOf and revision are from the worker's last report. toForget names the
	// ended attempts that the worker may remove from its list.
	incarnation string
	asOf        int64
	revision    uint64
	toForget    []worker.Key
}

// workerOrder is either an order to start attempts or an action on running ones.
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

// Stop ends both goroutines. Orders that are still queued are not sent.
func (l *workerLink) Stop() { l.cancel() }

// Start queues an order to start attempts. It reports false if the queue is full.
func (l *workerLink) Start(o *rack.StartOrder) bool { return l.orders.TryPut(workerOrder{start: o}) }

// Act queues an action. If the queue is full, it drops the action; the rack orders it again
// while it is still needed.
func (l *workerLink) Act(action worker.Action, keys []worker.Key) {
	l.orders.TryPut(workerOrder{action: action, keys: keys})
}

// Forget lets the worker remove ended attempts from its list, with the next Sync.
func (l *workerLink) Forget(keys []worker.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toForget = append(l.toForget, keys...)
}

// syncLoop sends one Sync after the other, each of which renews the leases of all of the
// worker's tasks. After a failure it pauses for syncRetryDelay.
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

// sync sends one Sync, a long poll, and passes the report to the core. It reports whether it
// succeeded. If a restarted worker reports only changes, the next Sync asks for the full
// list.
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

// reportFailure notifies the core that the worker obeys a higher epoch, or that it has not
// answered.
func (l *workerLink) reportFailure(err error) {
	f := &worker.FencedError{}
	if errors.As(err, &f) {
		l.node.enqueue(func(c *core.Core) { c.OnFenced(l.rack, l.epoch, f.Seen) })
		return
	}
	l.node.enqueue(func(c *core.Core) { c.OnSilent(l.rack, l.epoch, l.id) })
}

// orderLoop sends the worker its orders, one after the other.
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
		// It is unknown whether the attempts have started. The rack sends the order again,
		// which starts none of them twice, and an attempt of which no owner knows ends when its
		// lease expires.
		l.node.enqueue(func(c *core.Core) { c.OnStartFailed(l.rack, l.epoch, l.id, o.start.Tasks) })
		l.reportFailure(err)
		return
	}
	l.node.enqueue(func(c *core.Core) { c.OnStartResults(l.rack, l.epoch, l.id, results) })
}
