// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// fakeWorkers accept every start. A task ends at once or, if there is a gate, when the gate is
// closed.
type fakeWorkers struct {
	mu     sync.Mutex
	gate   chan struct{}
	starts []order.Start
	// running are the tasks that wait for the gate.
	running   map[work.TaskID]uint64
	ends      []order.End
	startedAt time.Time
	ended     chan struct{}
	// isClosed means that the owner has closed its connections.
	isClosed atomic.Bool
	// keptConns is how many connections may be kept open.
	keptConns atomic.Int64
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{startedAt: time.Now(), running: map[work.TaskID]uint64{}, ended: make(chan struct{}, 1)}
}

func (w *fakeWorkers) at() order.WorkerTime { return order.WorkerTime(time.Since(w.startedAt)) }

func (w *fakeWorkers) Start(_ context.Context, _ uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, *s)
	if w.gate != nil {
		w.running[s.Task] = s.Run
		go w.runGate(s)
		return order.StartSucceeded, w.at()
	}
	w.end(s)
	return order.StartSucceeded, w.at()
}

// runGate ends a task once the gate is closed.
func (w *fakeWorkers) runGate(s *order.Start) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, s.Task)
	w.end(s)
}

func (w *fakeWorkers) end(s *order.Start) {
	w.ends = append(w.ends, order.End{Number: uint64(len(w.ends) + 1), Task: s.Task, Run: s.Run, Kind: order.EndSucceeded})
	select {
	case w.ended <- struct{}{}:
	default:
	}
}

func (w *fakeWorkers) Stop(context.Context, uint64, *order.Stop) (order.WorkerTime, bool) {
	return w.at(), true
}

func (w *fakeWorkers) Close() { w.isClosed.Store(true) }

func (w *fakeWorkers) SetKeptConns(n int) { w.keptConns.Store(int64(n)) }

func (w *fakeWorkers) Pace(context.Context, uint64, *order.Pace) error { return nil }

func (w *fakeWorkers) Poll(ctx context.Context, _ uint64, h *order.Poll) (*order.Listing, order.PollOutcome) {
	for {
		w.mu.Lock()
		l := &order.Listing{At: w.at()}
		for id, run := range w.running {
			l.Running = append(l.Running, order.Running{Task: id, Run: run})
		}
		for _, e := range w.ends {
			if e.Number > h.Confirmed {
				l.Finished = append(l.Finished, e)
			}
		}
		w.mu.Unlock()
		if h.Wait == 0 || len(l.Finished) > 0 {
			return l, order.PollAnswered
		}
		select {
		case <-w.ended:
		case <-ctx.Done():
			return nil, order.PollUnanswered
		}
	}
}

type oneWorkerList struct{}

func (oneWorkerList) Workers(context.Context) ([]order.Worker, error) {
	return []order.Worker{{ID: "w", Service: "pool"}}, nil
}

func (oneWorkerList) DrainedZones(context.Context) ([]string, error) { return nil, nil }

type noChannels struct{}

func (noChannels) Names() []string { return nil }

func (noChannels) Query(context.Context, string, work.StepID, []order.WorkerID) ([]order.Permit, time.Duration, error) {
	return nil, 0, errors.New("not used here")
}

type noMetrics struct{}

func (noMetrics) OrderAnswered(string, string, time.Duration) {}

func (noMetrics) Appended(string, time.Duration) {}
