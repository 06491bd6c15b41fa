// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

func newReader(buf []byte) io.Reader { return bytes.NewReader(buf) }

// fakeLink is an owner's link to a worker without sockets. Orders may be in
// flight while the sender is paused, and answers may be lost.
type fakeLink struct {
	node      *fakeNode
	rack      state.ShardID
	epoch     worker.Epoch
	id        worker.ID
	isStopped bool
	boot      string
	asOf      int64
	seen      uint64
	syncedAt  time.Time
	starts    []*rack.StartOrder
	acts      []worker.Act
	forgets   []worker.Key
}

func (l *fakeLink) Start(o *rack.StartOrder) bool {
	l.starts = append(l.starts, o)
	return true
}

func (l *fakeLink) Act(action worker.Action, keys []worker.Key) {
	l.acts = append(l.acts, worker.Act{Epoch: l.epoch, Action: action, Keys: keys})
}

func (l *fakeLink) Forget(keys []worker.Key) {
	if !l.node.cluster.areForgetsLost {
		l.forgets = append(l.forgets, keys...)
	}
}

func (l *fakeLink) Stop() { l.isStopped = true }

func (l *fakeLink) step() {
	if l.isStopped {
		return
	}
	cl := l.node.cluster
	target := cl.workers[l.id]
	now := cl.clock.Now()
	isReached := target.Mode() == native.ModeUp && !cl.isBlocked(l.node.name(), string(l.id))
	isAnswered := isReached && !cl.isBlocked(string(l.id), l.node.name())
	l.sendOrders(target, isReached, isAnswered)
	_, rev := target.Changed()
	if l.isStopped || (now.Sub(l.syncedAt) < testSyncPeriod && rev == l.seen) {
		return
	}
	l.syncedAt = now
	if !isReached {
		l.node.core.OnSilent(l.rack, l.epoch, l.id)
		return
	}
	rep, err := target.Sync(&worker.Sync{
		Epoch: l.epoch, Incarnation: l.boot, AsOf: l.asOf, TTL: testLease, SinceRevision: l.seen, Forget: l.forgets,
	})
	if !isAnswered {
		l.node.core.OnSilent(l.rack, l.epoch, l.id)
		return
	}
	if l.handleError(err) {
		return
	}
	l.forgets = nil
	isNewBoot := l.boot != "" && l.boot != rep.Incarnation
	l.boot, l.asOf, l.seen = rep.Incarnation, rep.Now, rep.Revision
	if isNewBoot && !rep.IsFullList {
		l.seen = 0
	}
	l.node.core.OnReport(l.rack, l.epoch, l.id, rep)
}

func (l *fakeLink) sendOrders(target *native.Worker, isReached, isAnswered bool) {
	starts, acts := l.starts, l.acts
	l.starts, l.acts = nil, nil
	for _, o := range starts {
		if !isReached {
			l.node.core.OnStartFailed(l.rack, l.epoch, l.id, o.Tasks)
			continue
		}
		results, err := target.Start(&worker.Start{Epoch: l.epoch, Incarnation: o.Boot, AsOf: o.AsOf, TTL: testLease, Tasks: o.Tasks})
		if !isAnswered {
			l.node.core.OnStartFailed(l.rack, l.epoch, l.id, o.Tasks)
			continue
		}
		if l.handleError(err) {
			return
		}
		l.node.core.OnStartResults(l.rack, l.epoch, l.id, results)
	}
	if !isReached {
		return
	}
	for i := range acts {
		if err := target.Act(&acts[i]); isAnswered && l.handleError(err) {
			return
		}
	}
}

// handleError notifies the core if an error says that the worker has accepted a
// later epoch, and reports whether there was an error.
func (l *fakeLink) handleError(err error) bool {
	f := &worker.FencedError{}
	if errors.As(err, &f) {
		l.node.core.OnFenced(l.rack, l.epoch, f.Seen)
	}
	return err != nil
}
