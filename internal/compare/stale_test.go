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
	staleHomes = 14
	staleRacks = 46
	staleTicks = 4000
	tickTime   = 0.05
	rackSlots  = 64
)

// asker is a home with summaries that are some ticks old.
type asker struct {
	views   []placement.RackView
	pending []int64
	shut    []int
	waiting []int
	offset  int
}

// TestCompareStaleSummaries prints what old summaries cost the homes of a full
// region: asks that are refused, and waits; and what comparing more racks does.
func TestCompareStaleSummaries(t *testing.T) {
	t.Log("\n| summaries' age (s) | racks compared | correction after a refusal | order turns with each ask | asks refused (%) | wait p50 / p99 (s) |\n|---|---|---|---|---|---|")
	for _, age := range []int{20, 60} {
		for _, tries := range []int{1, 8, 0} {
			for _, c := range []struct{ hasCorrection, isTurning bool }{{false, true}, {true, true}, {true, false}} {
				refused, waits := playStale(age, tries, c.hasCorrection, c.isTurning)
				t.Logf("\n| %.1f | %s | %v | %v | %.1f | %.2f / %.2f |", float64(age)*tickTime, triesName(tries), c.hasCorrection, c.isTurning, 100*refused, quantile(waits, 0.5), quantile(waits, 0.99))
			}
		}
	}
}

func triesName(tries int) string {
	if tries == 0 {
		return "all"
	}
	return fmt.Sprint(tries)
}

func playStale(age, tries int, hasCorrection, isTurning bool) (refused float64, waits []float64) {
	r := rand.New(rand.NewSource(5))
	free := make([]int64, staleRacks)
	for i := range free {
		free[i] = rackSlots
	}
	homes := make([]asker, staleHomes)
	for i := range homes {
		homes[i] = asker{views: make([]placement.RackView, staleRacks), pending: make([]int64, staleRacks), shut: make([]int, staleRacks), offset: i * 7}
	}
	capacity := leverdyke.Resources{MilliCPU: rackSlots, Slots: rackSlots}
	need := leverdyke.Resources{MilliCPU: 1, Slots: 1}
	ends := make([][]int, staleTicks+4000)
	asks, refusals := 0, 0
	// Offered: 97 % of the region's slots, with runs of 20 s on average.
	perTick := 0.97 * staleRacks * rackSlots * tickTime / 20
	for now := range staleTicks {
		for _, rack := range ends[now] {
			free[rack]++
		}
		for h := range homes {
			a := &homes[h]
			for x := r.Float64() * 2 * perTick / staleHomes; x > 0; x-- {
				if x >= 1 || r.Float64() < x {
					a.waiting = append(a.waiting, now)
				}
			}
			if age == 0 || (now+h)%max(age, 1) == 0 {
				for i := range free {
					room := leverdyke.Resources{MilliCPU: free[i], Slots: free[i]}
					a.views[i] = placement.RackView{Free: room, Largest: room, Capacity: capacity}
					a.pending[i] = 0
				}
			}
			left := []int{}
			for _, since := range a.waiting {
				views := make([]placement.RackView, staleRacks)
				for i := range views {
					views[i] = a.views[i]
					views[i].Free.Slots -= a.pending[i]
					views[i].IsUnavailable = now < a.shut[i]
				}
				if isTurning {
					a.offset++
				}
				rack := placement.BestRack(placement.BestFit, need, views, a.offset, tries)
				if rack < 0 {
					left = append(left, since)
					continue
				}
				asks++
				a.pending[rack]++
				if free[rack] == 0 {
					refusals++
					left = append(left, since)
					if !isTurning {
						a.offset = rack + 1
					}
					if hasCorrection {
						a.shut[rack] = now + 6
					}
					continue
				}
				free[rack]--
				waits = append(waits, float64(now-since)*tickTime)
				end := now + 1 + int(r.ExpFloat64()*20/tickTime)
				if end < len(ends) {
					ends[end] = append(ends[end], rack)
				}
			}
			a.waiting = left
		}
	}
	return float64(refusals) / float64(max(asks, 1)), waits
}
