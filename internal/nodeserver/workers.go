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
	workerOrders   = 256
	commandTimeout = 2 * time.Second
	syncSlack      = 3 * time.Second
	syncPause      = 300 * time.Millisecond
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
	// boot and asOf are the last report's; forgets what the worker is still to
	// forget.
	boot    string
	asOf    int64
	seen    uint64
	forgets []worker.Key
}

// workerOrder is either a start or a deed.
type workerOrder struct {
	start *rack.StartOrder
	deed  worker.Action
	keys  []worker.Key
}

func newWorkerLink(n *Node, rack state.ShardID, epoch worker.Epoch, id worker.ID, addr netip.AddrPort) *workerLink {
	ctx, cancel := context.WithCancel(n.ctx)
	l := &workerLink{
		node: n, rack: rack, epoch: epoch, id: id, orders: boundedqueue.NewQueue[workerOrder](workerOrders), ctx: ctx, cancel: cancel,
		client: worker.NewClient(addr, n.transport),
	}
	n.wg.Add(2)
	go l.loop()
	go l.loopOrders()
	return l
}

// Stop ends both duties; what was ordered and not sent is not sent any more.
func (l *workerLink) Stop() { l.cancel() }

// Start queues a start; it reports false when there is no room.
func (l *workerLink) Start(o *rack.StartOrder) bool { return l.orders.TryPut(workerOrder{start: o}) }

// Act queues a deed; one that finds no room is ordered again by the rack.
func (l *workerLink) Act(deed worker.Action, keys []worker.Key) {
	l.orders.TryPut(workerOrder{deed: deed, keys: keys})
}

// Forget lets the worker forget ended attempts, with the next sync.
func (l *workerLink) Forget(keys []worker.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgets = append(l.forgets, keys...)
}

// loop renews all of the worker's leases with each sync.
func (l *workerLink) loop() {
	defer l.node.wg.Done()
	for l.ctx.Err() == nil {
		if l.sync() {
			continue
		}
		select {
		case <-l.ctx.Done():
		case <-l.node.clock.After(syncPause):
		}
	}
}

func (l *workerLink) sync() bool {
	l.mu.Lock()
	s := &worker.Sync{
		Epoch: l.epoch, Incarnation: l.boot, AsOf: l.asOf, TTL: l.node.settings.Lease, SinceRevision: l.seen,
		Wait: l.node.settings.Sync, Forget: l.forgets,
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, s.Wait+syncSlack)
	rep, err := l.client.Sync(ctx, s)
	cancel()
	if l.ctx.Err() != nil {
		return false
	}
	if err != nil {
		l.failed(err)
		return false
	}
	l.mu.Lock()
	l.forgets = l.forgets[len(s.Forget):]
	isNewBoot := l.boot != rep.Incarnation && l.boot != ""
	l.boot, l.asOf, l.seen = rep.Incarnation, rep.Now, rep.Revision
	if isNewBoot && !rep.IsFullList {
		l.seen = 0
	}
	l.mu.Unlock()
	l.node.put(func(c *core.Core) { c.OnReport(l.rack, l.epoch, l.id, rep) })
	return true
}

func (l *workerLink) failed(err error) {
	f := &worker.FencedError{}
	if errors.As(err, &f) {
		l.node.put(func(c *core.Core) { c.OnFenced(l.rack, l.epoch, f.Seen) })
		return
	}
	l.node.put(func(c *core.Core) { c.OnSilent(l.rack, l.epoch, l.id) })
}

// loopOrders gives the worker its orders, one after the other.
func (l *workerLink) loopOrders() {
	defer l.node.wg.Done()
	for {
		select {
		case <-l.ctx.Done():
			return
		case o := <-l.orders.Items():
			l.give(o)
		}
	}
}

func (l *workerLink) give(o workerOrder) {
	ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
	defer cancel()
	if o.deed != "" {
		if err := l.client.Act(ctx, &worker.Act{Epoch: l.epoch, Action: o.deed, Keys: o.keys}); err != nil && l.ctx.Err() == nil {
			l.failed(err)
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
		l.node.put(func(c *core.Core) { c.OnStartFailed(l.rack, l.epoch, l.id, o.start.Tasks) })
		l.failed(err)
		return
	}
	l.node.put(func(c *core.Core) { c.OnStartResults(l.rack, l.epoch, l.id, results) })
}
