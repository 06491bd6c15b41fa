// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/delegate"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

// BenchmarkDelegatedPoll measures what a listing of eight tasks costs an owner that delegates the
// poll, in batches of four: encoding the order, decoding the outcome, and the router. docs/LARGE.md
// has the figures.
func BenchmarkDelegatedPoll(b *testing.B) {
	workers := workersOf(1100, "a", "b", "c", "d", "e")
	r := delegate.NewRouter(200, 1)
	r.SetWorkers(workers)
	r.SetNodes(nodesOf("strong", 15, 200, "a", "b", "c", "d", "e"), begin)
	listing := &order.Listing{At: 7}
	for i := range 8 {
		listing.Running = append(listing.Running, order.Running{
			Task: work.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: i}, Run: 2, Checkpoint: "00000bb87a21d94b", Percent: 41,
		})
	}
	const batch = 4
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		w := &workers[n%len(workers)]
		r.Add(order.Poll{Worker: w.ID, Addr: w.Addr, Wait: time.Second, Timeout: time.Second}, w.ID, time.Second, begin)
		if n++; n%batch != 0 {
			continue
		}
		for _, sent := range r.Batches() {
			if _, err := codec.MarshalCompact(sent); err != nil {
				b.Fatal(err)
			}
			outcomes := []delegate.Outcome{}
			for i := range sent.Orders {
				outcomes = append(outcomes, delegate.Outcome{ID: sent.Orders[i].ID, Poll: order.PollAnswered, Listing: listing})
			}
			b.StopTimer()
			data, err := codec.MarshalCompact(outcomes)
			b.StartTimer()
			if err != nil {
				b.Fatal(fmt.Errorf("encode: %w", err))
			}
			back := []delegate.Outcome{}
			if err := codec.Unmarshal(data, &back); err != nil {
				b.Fatal(err)
			}
			r.Resolve(back, begin)
		}
	}
}
