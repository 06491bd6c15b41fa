// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package compare_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/placement"
)

const (
	shardCount  = 14
	rackCount   = 46
	tickCount   = 4000
	tickSeconds = 0.05
	rackSlots   = 64
)

// jobShard is a job shard that chooses racks by summaries of their free capacity that are some ticks old.
type jobShard struct {
	// views has the summaries by rack, pending the slots that the shard requested from each rack since
	// its summary.
	views   []placement.RackView
	pending []int64
	// excludedUntil has, by rack, the tick until which the rack is excluded after a refusal.
	excludedUntil []int
	// waitingSince has the arrival ticks of the jobs that wait.
	waitingSince []int
	// offset rotates the order in which racks are tried.
	offset int
}

// TestCompareStaleSummaries prints the cost of stale summaries in a region that is nearly full: the share of
// requests to racks that are refused, and the waiting times. It varies the age of the summaries, the number
// of racks compared, whether a rack is excluded for some ticks after a refusal, and whether the order of racks
// rotates on each request or only after a refusal. It asserts nothing.
func TestCompareStaleSummaries(t *testing.T) {
	t.Log("\n| summaries' age (s) | racks compared | exclusion after a refusal | order rotates on each request | requests refused (%) | wait p50 / p99 (s) |\n|---|---|---|---|---|---|")
	for _, age := range []int{20, 60} {
		for _, comparedRacks := range []int{1, 8, 0} {
			for _, c := range []struct{ hasExclusion, isRotating bool }{{false, true}, {true, true}, {true, false}} {
				refused, waits := simulateStaleSummaries(age, comparedRacks, c.hasExclusion, c.isRotating)
				t.Logf("\n| %.1f | %s | %v | %v | %.1f | %.2f / %.2f |", float64(age)*tickSeconds, comparedRacksName(comparedRacks), c.hasExclusion, c.isRotating, 100*refused, quantile(waits, 0.5), quantile(waits, 0.99))
			}
		}
	}
}

// comparedRacksName returns the number for the table; 0 means that all racks are compared.
func comparedRacksName(comparedRacks int) string {
	if comparedRacks == 0 {
		return "all"
	}
	return fmt.Sprint(comparedRacks)
}

// simulateStaleSummaries returns the share of refused requests and the seconds that each job waited. age is
// in ticks; the shards refresh their summaries at different ticks.
func simulateStaleSummaries(age, comparedRacks int, hasExclusion, isRotating bool) (refused float64, waits []float64) {
	r := rand.New(rand.NewSource(5))
	free := make([]int64, rackCount)
	for i := range free {
		free[i] = rackSlots
	}
	shards := make([]jobShard, shardCount)
	for i := range shards {
		shards[i] = jobShard{views: make([]placement.RackView, rackCount), pending: make([]int64, rackCount), excludedUntil: make([]int, rackCount), offset: i * 7}
	}
	capacity := leverdyke.Resources{MilliCPU: rackSlots, Slots: rackSlots}
	need := leverdyke.Resources{MilliCPU: 1, Slots: 1}
	completions := make([][]int, tickCount+4000)
	requests, refusals := 0, 0
	// The offered load is 97 % of the region's slots, with tasks that run for 20 s on average.
	startsPerTick := 0.97 * rackCount * rackSlots * tickSeconds / 20
	for now := range tickCount {
		for _, rack := range completions[now] {
			free[rack]++
		}
		for h := range shards {
			shard := &shards[h]
			for x := r.Float64() * 2 * startsPerTick / shardCount; x > 0; x-- {
				if x >= 1 || r.Float64() < x {
					shard.waitingSince = append(shard.waitingSince, now)
				}
			}
			if age == 0 || (now+h)%max(age, 1) == 0 {
				for i := range free {
					freeCapacity := leverdyke.Resources{MilliCPU: free[i], Slots: free[i]}
					shard.views[i] = placement.RackView{Free: freeCapacity, Largest: freeCapacity, Capacity: capacity}
					shard.pending[i] = 0
				}
			}
			stillWaiting := []int{}
			for _, since := range shard.waitingSince {
				views := make([]placement.RackView, rackCount)
				for i := range views {
					views[i] = shard.views[i]
					views[i].Free.Slots -= shard.pending[i]
					views[i].IsUnavailable = now < shard.excludedUntil[i]
				}
				if isRotating {
					shard.offset++
				}
				rack := placement.BestRack(placement.BestFit, need, views, shard.offset, comparedRacks)
				if rack < 0 {
					stillWaiting = append(stillWaiting, since)
					continue
				}
				requests++
				shard.pending[rack]++
				if free[rack] == 0 {
					refusals++
					stillWaiting = append(stillWaiting, since)
					if !isRotating {
						shard.offset = rack + 1
					}
					if hasExclusion {
						shard.excludedUntil[rack] = now + 6
					}
					continue
				}
				free[rack]--
				waits = append(waits, float64(now-since)*tickSeconds)
				end := now + 1 + int(r.ExpFloat64()*20/tickSeconds)
				if end < len(completions) {
					completions[end] = append(completions[end], rack)
				}
			}
			shard.waitingSince = stillWaiting
		}
	}
	return float64(refusals) / float64(max(requests, 1)), waits
}
