// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"math/rand/v2"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// outagePlan is a series of outages of the store in which the workers' entries lapse, and about whose
// ends one owner after the other is lost.
type outagePlan struct {
	nodes, workers int
	outages        []outage
	// settleTime is how long jobs are submitted before each outage, and after the last one.
	settleTime time.Duration
}

// outage is one outage of the store.
type outage struct {
	mode   site.StoreMode
	length time.Duration
	// losses are in the order of their times.
	losses []ownerLoss
	// maxEntryDelay is how long after the store's return the last entry is back. One entry in
	// lateEntryOdds comes lateEntryDelay later than that; none does if it is 0.
	maxEntryDelay  time.Duration
	lateEntryOdds  int
	lateEntryDelay time.Duration
	// leaving workers have begun to drain when the outage begins. They end within maxLeaveTime, and others come.
	leaving int
}

// maxLeaveTime is the longest time that a worker drains.
const maxLeaveTime = 8 * time.Second

// lossKind is how an owner is lost.
type lossKind string

const (
	// lossKilled kills the process and starts it again after the downtime.
	lossKilled lossKind = "killed"
	// lossPaused pauses the process for the downtime.
	lossPaused lossKind = "paused"
	// lossStopped ends the process in order and starts it again after the downtime.
	lossStopped lossKind = "stopped"
)

// ownerLoss is the loss of the process that owns the shard.
type ownerLoss struct {
	// at is relative to the store's return.
	at       time.Duration
	kind     lossKind
	downtime time.Duration
}

// twoOwnersLost is a plan of review/1: the owner is killed just before the store returns, and the next one
// soon after it has taken over.
func twoOwnersLost(rng *rand.Rand) *outagePlan {
	const downtime = 500 * time.Millisecond
	return &outagePlan{nodes: 7, workers: 24, settleTime: 6 * time.Second, outages: []outage{{
		mode: site.StoreBusy, length: 4500 * time.Millisecond, maxEntryDelay: 2 * time.Second,
		losses: []ownerLoss{{-100 * time.Millisecond, lossKilled, downtime}, {time.Duration(250+rng.IntN(400)) * time.Millisecond, lossKilled, downtime}},
	}}}
}

// pausedOwner is a plan in which the owner is paused as the store returns, and wakes while some workers
// that it reaches are unknown to its successor.
func pausedOwner(*rand.Rand) *outagePlan {
	return &outagePlan{nodes: 7, workers: 24, settleTime: 13 * time.Second, outages: []outage{{
		mode: site.StoreBusy, length: 4500 * time.Millisecond, maxEntryDelay: 2 * time.Second, lateEntryOdds: 2, lateEntryDelay: 10 * time.Second,
		losses: []ownerLoss{{-600 * time.Millisecond, lossPaused, 5100 * time.Millisecond}},
	}}}
}

// drawnOutages returns a random plan.
func drawnOutages(rng *rand.Rand) *outagePlan {
	p := &outagePlan{nodes: 7, workers: 24, settleTime: 6 * time.Second}
	if rng.IntN(4) == 0 {
		p.nodes, p.workers = 9, 48
	}
	for range 3 {
		p.outages = append(p.outages, drawnOutage(rng))
	}
	return p
}

func drawnOutage(rng *rand.Rand) outage {
	between := func(a, b int) time.Duration { return time.Duration(a+rng.IntN(b-a)) * time.Millisecond }
	o := outage{mode: []site.StoreMode{site.StoreBusy, site.StoreSilent}[rng.IntN(2)], length: between(2500, 8000), maxEntryDelay: 2 * time.Second}
	if rng.IntN(2) == 0 {
		o.lateEntryOdds, o.lateEntryDelay = 2+rng.IntN(6), between(500, 12000)
	}
	if rng.IntN(2) == 0 {
		o.leaving = 1 + rng.IntN(4)
	}
	at := between(-1500, 0)
	for range 2 + rng.IntN(5) {
		kind := []lossKind{lossKilled, lossKilled, lossPaused, lossStopped}[rng.IntN(4)]
		o.losses = append(o.losses, ownerLoss{at, kind, between(300, 7000)})
		at += between(100, 1300)
	}
	return o
}
