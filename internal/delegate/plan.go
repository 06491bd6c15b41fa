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
	// Link tells the links to one node apart: a new one is to a node that knows nothing.
	Link uint64
	// Workers is how many it can talk to beside its other work.
	Workers int
}

// stretch is how many times as many workers as a node has room for beside its other work
// it carries before weaker nodes do: a few strong nodes that are busy answer sooner than many
// slow ones, which get their orders one by one.
const stretch = 2

// alikeShare is the part of the most that a node can carry from which it counts as
// one of the strong nodes.
const alikeShare = 0.8

// plan is which nodes carry for the owner. The zero value has none.
type plan struct {
	nodes  []Node
	byZone map[string][]Node
	// isLocal has the zones whose nodes can carry for all workers of it.
	isLocal map[string]bool
	// share is the part of the workers that the nodes can carry for; the owner talks to the
	// others.
	share float64
}

// newPlan chooses carriers for workers, of which zones has the number in each zone:
// the strong nodes, and weaker ones as far as those are too few. All nodes that are
// alike are taken, not only as many as it needs: what one of them fails to carry is the
// less.
func newPlan(nodes []Node, zones map[string]int) *plan {
	workers := 0
	for _, n := range zones {
		workers += n
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Name, b.Name))
	})
	p := &plan{byZone: map[string][]Node{}, isLocal: map[string]bool{}}
	room, weakest := 0, 0
	for _, n := range sorted {
		isAlike := float64(n.Workers) >= alikeShare*float64(weakest)
		if n.Workers <= 0 || stretch*room >= workers && !isAlike {
			break
		}
		if !isAlike || weakest == 0 {
			weakest = n.Workers
		}
		room += n.Workers
		p.nodes = append(p.nodes, n)
		p.byZone[n.Zone] = append(p.byZone[n.Zone], n)
	}
	p.share = float64(stretch*room) / float64(max(workers, 1))
	for zone, local := range p.byZone {
		room := 0
		for _, n := range local {
			room += n.Workers
		}
		p.isLocal[zone] = stretch*room >= zones[zone]
	}
	return p
}

// carrierOf returns the node that carries for a worker, by rendezvous hashing: when a
// node comes or goes only the workers of that node get another one. A node of the
// worker's zone is taken where those have room: bytes between zones have a price.
func (p *plan) carrierOf(worker, zone string) string {
	if p.share < 1 && fraction(worker) >= p.share {
		return ""
	}
	nodes := p.nodes
	if p.isLocal[zone] {
		nodes = p.byZone[zone]
	}
	best, bestScore := "", 0.0
	for i := range nodes {
		// A node that can carry twice as many gets twice as many.
		score := -float64(nodes[i].Workers) / math.Log(fraction(nodes[i].Name+"|"+worker))
		if best == "" || score > bestScore {
			best, bestScore = nodes[i].Name, score
		}
	}
	return best
}

// fraction maps a text to a number above 0 and below 1, evenly.
func fraction(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>11) + 0.5) / (1 << 53)
}
