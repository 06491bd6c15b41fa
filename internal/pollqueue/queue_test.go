// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package pollqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/pollqueue"
)

const ms = time.Millisecond

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func poll(i int, wait time.Duration) order.Poll {
	return order.Poll{Worker: order.NewWorkerID(fmt.Sprintf("w%04d", i), time.Time{}), Wait: wait, Confirmed: 7}
}

// All delegates of an owner of 6,000 workers fail at once: it opened a connection to each worker,
// up to 7,867 files on one node. With few connections the workers have to take turns, those with
// tasks first, and all must be polled well before their leases (6 s) expire.
func TestPollsOfAllWorkersTakeTurns(t *testing.T) {
	const (
		workers = 6000
		// answerTime is how long a worker takes to answer.
		answerTime = 10 * ms
	)
	for name, tc := range map[string]struct {
		limit int
		// idleWait and busyWait are the waits of long polls to workers without and with tasks.
		idleWait, busyWait time.Duration
		// allWithin is when the last poll is sent, busyWithin the last to a worker with tasks.
		allWithin, busyWithin time.Duration
	}{
		"at 1,024 files":                       {204, 2 * time.Second, 500 * ms, 400 * ms, 200 * ms},
		"at 4,100 files":                       {820, 2 * time.Second, 500 * ms, 100 * ms, 50 * ms},
		"without a limit":                      {0, 2 * time.Second, 500 * ms, 0, 0},
		"a new owner that knows no worker yet": {204, 0, 0, 400 * ms, 400 * ms},
	} {
		q := pollqueue.NewQueue(tc.limit)
		for i := range workers {
			wait := tc.idleWait
			if i%2 == 1 {
				wait = tc.busyWait
			}
			q.Add(poll(i, wait), begin)
		}
		lastBusy, last, sent := time.Duration(0), time.Duration(0), 0
		for now := time.Duration(0); q.Waiting() > 0 && now < time.Minute; now += answerTime {
			inFlight := 0
			for p, ok := q.Next(begin.Add(now)); ok; p, ok = q.Next(begin.Add(now)) {
				inFlight++
				last = now
				if p.Worker.Name()[4]%2 == 1 {
					lastBusy = now
				}
			}
			if tc.limit > 0 && inFlight > tc.limit {
				t.Fatalf("%s: polls in flight: got: %d, want: at most %d", name, inFlight, tc.limit)
			}
			for range inFlight {
				q.Done()
			}
			sent += inFlight
		}
		if sent != workers || last > tc.allWithin || lastBusy > tc.busyWithin {
			t.Errorf("%s: got: %d workers, the last with tasks after %v, the last after %v, want: %d, %v, %v", name, sent, lastBusy, last, workers, tc.busyWithin, tc.allWithin)
		}
	}
}

func TestPollThatWaited(t *testing.T) {
	for name, tc := range map[string]struct {
		waited    time.Duration
		others    int
		wait      time.Duration
		confirmed uint64
	}{
		"sent at once":      {0, 0, 500 * ms, 7},
		"after a while":     {80 * ms, 0, 420 * ms, 7},
		"too old for ends":  {200 * ms, 0, 300 * ms, 0},
		"longer than wait":  {time.Second, 0, 0, 0},
		"others are behind": {0, 1, 0, 7},
	} {
		q := pollqueue.NewQueue(1)
		for i := range 1 + tc.others {
			q.Add(poll(i, 500*ms), begin)
		}
		got, ok := q.Next(begin.Add(tc.waited))
		if !ok || got.Wait != tc.wait || got.Confirmed != tc.confirmed {
			t.Errorf("%s: got: %v, wait %v, confirmed %d, want: true, %v, %d", name, ok, got.Wait, got.Confirmed, tc.wait, tc.confirmed)
		}
		if _, ok := q.Next(begin.Add(tc.waited)); ok {
			t.Errorf("%s: a second one: got: sent, want: waiting", name)
		}
	}
}

// A steady flow of immediate polls must not keep long polls back, as these renew the leases.
func TestLongPollsAreNotStarved(t *testing.T) {
	q := pollqueue.NewQueue(1)
	q.Add(poll(0, 500*ms), begin)
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		q.Add(poll(1, 0), begin.Add(now))
		p, _ := q.Next(begin.Add(now))
		q.Done()
		if p.Worker.Name() == "w0000" {
			return
		}
	}
	t.Error("the long poll: got: still waiting after 1 s, want: sent")
}
