// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package delegate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that can act as a delegate.
type Node struct {
	Name string
	Zone string
	// LinkID distinguishes successive links to the same node. A node with a new link has no
	// payloads cached.
	LinkID uint64
	// Capacity is the number of workers that the node can talk to in addition to its other work.
	Capacity int
}

// overcommitFactor is the factor by which the number of workers of the larger nodes may exceed
// their capacity before smaller nodes are used too. A few large nodes that are busy answer sooner
// than many small ones, which would receive their orders one by one instead of in batches.
const overcommitFactor = 2

// similarCapacityRatio is the fraction of the capacity of a group's largest node from which a node
// belongs to the same group. newPlan takes a group as a whole.
const similarCapacityRatio = 0.8

// plan says which nodes are delegates. The zero value has none.
type plan struct {
	nodes  []Node
	byZone map[string][]Node
	// coversZone holds the zones whose own delegates can talk to all workers of the zone, at up to
	// overcommitFactor times their capacity.
	coversZone map[string]bool
	// coveredShare is the share of the workers that the delegates can talk to, at up to
	// overcommitFactor times their capacity; 1 or more means all. The owner talks to the remaining
	// workers itself.
	coveredShare float64
}

// newPlan selects the delegates for the workers, whose number in each zone is workersPerZone. It
// takes nodes by descending capacity until there is enough. A group of nodes of similar capacity is
// taken as a whole and not only as far as needed, so that fewer workers depend on each of them when
// one fails.
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

// delegateOf returns the delegate of a worker, or "" when the owner talks to the worker itself. It
// uses rendezvous hashing: when a node joins or leaves, only the workers of that node change their
// delegate. If the delegates of the worker's zone can talk to all its workers, one of them is
// chosen, because traffic between zones is charged.
func (p *plan) delegateOf(worker, zone string) string {
	if p.coveredShare < 1 && hashFraction(worker) >= p.coveredShare {
		return ""
	}
	return chooseNode(p.candidates(zone), worker)
}

// candidates returns the delegates that may talk to the workers of a zone.
func (p *plan) candidates(zone string) []Node {
	if p.coversZone[zone] {
		return p.byZone[zone]
	}
	return p.nodes
}

// chooseNode returns the node for a worker by weighted rendezvous hashing: a node with twice the
// capacity gets twice as many workers. It returns "" when there are no nodes.
func chooseNode(nodes []Node, worker string) string {
	best, bestScore := "", 0.0
	for i := range nodes {
		score := -float64(nodes[i].Capacity) / math.Log(hashFraction(nodes[i].Name+"|"+worker))
		if best == "" || score > bestScore {
			best, bestScore = nodes[i].Name, score
		}
	}
	return best
}

// hashFraction maps a text to a number between 0 and 1, both excluded, with a uniform distribution.
func hashFraction(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}
