// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

// fakeLog is a store in memory that fails as it is told.
type fakeLog struct {
	mu      sync.Mutex
	topics  map[string][]store.Record
	epoch   uint64
	answers map[uint64]uint64
	// fail is asked before an append to the jobs; isDone says whether the append
	// is done all the same.
	fail    func(a *store.Append) (err error, isDone bool)
	appends int
	// isDown makes the store refuse everything.
	isDown bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{topics: map[string][]store.Record{}, answers: map[uint64]uint64{}}
}

func (l *fakeLog) Append(_ context.Context, a *store.Append) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return 0, &store.Error{Failure: store.NotDone}
	}
	if a.Topic == owner.TopicJobs && len(a.Records) > 0 {
		l.appends++
		if l.fail != nil {
			if err, isDone := l.fail(a); err != nil {
				if isDone {
					_, _ = l.append(a)
				}
				return 0, err
			}
		}
	}
	return l.append(a)
}

func (l *fakeLog) append(a *store.Append) (uint64, error) {
	end := uint64(len(l.topics[a.Topic]))
	if a.At != nil && *a.At != end {
		return 0, &store.Error{Failure: store.Moved, End: end}
	}
	if w := a.Writer; w != nil {
		if w.Epoch < l.epoch {
			return 0, &store.Error{Failure: store.Fenced}
		}
		l.epoch = w.Epoch
		if first, ok := l.answers[w.Sequence]; ok && len(a.Records) > 0 {
			return first, nil
		}
		l.answers[w.Sequence] = end
	}
	for _, r := range a.Records {
		r.Offset = uint64(len(l.topics[a.Topic]))
		l.topics[a.Topic] = append(l.topics[a.Topic], r)
	}
	return end, nil
}

func (l *fakeLog) ReadNewest(_ context.Context, topic string) (*store.Newest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]store.Record{}
	for _, r := range l.topics[topic] {
		newest[r.Key] = r
	}
	out := &store.Newest{End: uint64(len(l.topics[topic]))}
	for _, r := range newest {
		if len(r.Value) > 0 {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

func (l *fakeLog) Wait(context.Context, string, uint64, time.Duration) ([]store.Record, error) {
	return nil, errors.New("not used here")
}

// fakeWorkers start everything and end it at once.
type fakeWorkers struct {
	mu     sync.Mutex
	starts []order.Start
	ends   []order.End
	began  time.Time
	told   chan struct{}
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{began: time.Now(), told: make(chan struct{}, 1)}
}

func (w *fakeWorkers) at() order.WorkerTime { return order.WorkerTime(time.Since(w.began)) }

func (w *fakeWorkers) Start(_ context.Context, _ uint64, s *order.Start) (order.StartOutcome, order.WorkerTime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, *s)
	w.ends = append(w.ends, order.End{Number: uint64(len(w.ends) + 1), Task: s.Task, Run: s.Run, Kind: order.EndDone})
	select {
	case w.told <- struct{}{}:
	default:
	}
	return order.StartDone, w.at()
}

func (w *fakeWorkers) Stop(context.Context, uint64, *order.Stop) (order.WorkerTime, bool) {
	return w.at(), true
}

func (w *fakeWorkers) Pace(context.Context, uint64, *order.Pace) error { return nil }

func (w *fakeWorkers) Hold(ctx context.Context, _ uint64, h *order.Hold) (*order.Listing, owner.HoldOutcome) {
	for {
		w.mu.Lock()
		l := &order.Listing{At: w.at()}
		for _, e := range w.ends {
			if e.Number > h.Confirmed {
				l.Finished = append(l.Finished, e)
			}
		}
		w.mu.Unlock()
		if h.Wait == 0 || len(l.Finished) > 0 {
			return l, owner.HoldListed
		}
		select {
		case <-w.told:
		case <-ctx.Done():
			return nil, owner.HoldSilent
		}
	}
}

type oneWorker struct{}

func (oneWorker) Workers(context.Context) ([]order.Worker, error) {
	return []order.Worker{{ID: "w", Service: "pool"}}, nil
}

type noLanes struct{}

func (noLanes) Names() []string { return nil }

func (noLanes) Ask(context.Context, string, work.StepID, []order.WorkerID) ([]order.Ticket, time.Duration, error) {
	return nil, 0, errors.New("not used here")
}

type noFigures struct{}

func (noFigures) OrderAnswered(string, string, time.Duration) {}

func (noFigures) Appended(string, time.Duration) {}
