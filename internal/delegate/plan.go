// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that can talk to workers for the owner.
type Node struct {
	Name string
	Zone string
	// LinkID tells the links to one node apart: a new one is to a node that knows nothing.
	LinkID uint64
	// Capacity is how many it can talk to beside its other work.
	Capacity int
}

// overcommitFactor is how many times as many workers as a node has room for beside its other work
// it carries before weaker nodes do: a few strong nodes that are busy answer sooner than many
// slow ones, which get their orders one by one.
const overcommitFactor = 2

// similarCapacityRatio is the part of the most that a node can carry from which it counts as
// one of the strong nodes.
const similarCapacityRatio = 0.8

// plan is which nodes carry for the owner. The zero value has none.
type plan struct {
	nodes  []Node
	byZone map[string][]Node
	// coversZone has the zones whose nodes can carry for all workers of it.
	coversZone map[string]bool
	// coveredShare is the part of the workers that the nodes can carry for; the owner talks to the
	// others.
	coveredShare float64
}

// newPlan chooses carriers for workers, of which zones has the number in each zone:
// the strong nodes, and weaker ones as far as those are too few. All nodes that are
// alike are taken, not only as many as it needs: what one of them fails to carry is the
// less.
func newPlan(nodes []Node, workersPerZone map[string]int) *plan {
	workers := 0
	for _, n := range workersPerZone {
		workers += n
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	p := &plan{byZone: map[string][]Node{}, coversZone: map[string]bool{}}
	capacity, groupCapacity := 0, 0
	for _, n := range sorted {
		isSimilar := float64(n.Capacity) >= similarCapacityRatio*float64(groupCapacity)
		if n.Capacity <= 0 || overcommitFactor*capacity >= workers && !isSimilar {
			break
		}
		if !isSimilar || groupCapacity == 0 {
			groupCapacity = n.Capacity
		}
		capacity += n.Capacity
		p.nodes = append(p.nodes, n)
		p.byZone[n.Zone] = append(p.byZone[n.Zone], n)
	}
	p.coveredShare = float64(overcommitFactor*capacity) / float64(max(workers, 1))
	for zone, zoneNodes := range p.byZone {
		capacity := 0
		for _, n := range zoneNodes {
			capacity += n.Capacity
		}
		p.coversZone[zone] = overcommitFactor*capacity >= workersPerZone[zone]
	}
	return p
}

// delegateOf returns the node that carries for a worker, by rendezvous hashing: when a
// node comes or goes only the workers of that node get another one. A node of the
// worker's zone is taken where those have room: bytes between zones have a price.
func (p *plan) delegateOf(worker, zone string) string {
	if p.coveredShare < 1 && hashFraction(worker) >= p.coveredShare {
		return ""
	}
	nodes := p.nodes
	if p.coversZone[zone] {
		nodes = p.byZone[zone]
	}
	best, bestScore := "", 0.0
	for i := range nodes {
		// A node that can carry twice as many gets twice as many.
		score := -float64(nodes[i].Capacity) / math.Log(hashFraction(nodes[i].Name+"|"+worker))
		if best == "" || score > bestScore {
			best, bestScore = nodes[i].Name, score
		}
	}
	return best
}

// hashFraction maps a text to a number above 0 and below 1, evenly.
func hashFraction(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}
