// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// linkedNodes are the nodes that have linked to an owner.
type linkedNodes struct {
	mu    sync.Mutex
	names []string
}

func (n *linkedNodes) Candidates() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{}, n.names[:witness.CountOf(len(n.names))]...)
}

func (*linkedNodes) SendConsentRequests([]string, uint64, uint64, func(string)) {}

func (*linkedNodes) SendConsentWithdrawal(uint64, uint64) {}

// link links nodes to an owner until there are count.
func (n *linkedNodes) link(o *owner.Owner, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.names) < count {
		name := fmt.Sprintf("n%d", len(n.names))
		n.names = append(n.names, name)
		o.WitnessTestified(owner.Testimony{Process: name, Epoch: o.Epoch()})
	}
}

// Guards against new owners that name no witnesses of their own for a second, or few of those that they could name: the
// number of witnesses is odd, and that of the nodes may be even.
func TestNewOwnerNamesWitnessesOnceTheOtherNodesHaveLinked(t *testing.T) {
	const linkTime = time.Second
	for nodes, want := range map[int]int{
		// Without the previous owner nobody may be left to link.
		1: 0, 2: 0,
		3: 1, 4: 1, 5: 3, 6: 3, 7: 5, 8: 5, 9: 7, 10: 7, 11: 9, 12: 9, 20: 9,
	} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			log, linked := fakestore.NewLog(), &linkedNodes{}
			o := startOwnerInPartition(t, log, newWorkerPool(1), "w00", func(o *owner.Options) {
				o.Claim.Record.KnownNodes, o.Witnesses = nodes, linked
			})
			named := func() int {
				r, _, err := owner.ReadRecord(t.Context(), log)
				if err != nil {
					t.Fatal(err)
				}
				return len(r.Witnesses.Witnesses)
			}
			linked.link(o.Owner, max(want-1, 0))
			for range linkTime / tick / 2 {
				o.clock.Advance(tick)
				if _, err := o.Pending(t.Context(), "q"); err != nil {
					t.Fatal(err)
				}
			}
			if got := named(); got != 0 {
				t.Fatalf("witnesses while others may link: got: %d, want: 0", got)
			}
			linked.link(o.Owner, max(nodes-2, 1))
			want := max(want, 1)
			await.True(t, "it names witnesses before the time to link is over", func() bool { return named() > 0 })
			if got := named(); got != want {
				t.Errorf("witnesses: got: %d, want: %d", got, want)
			}
		})
	}
}

// Guards against an owner that goes without witnesses because it waits for nodes that do not link.
func TestNewOwnerNamesThoseThatHaveLinkedAfterASecond(t *testing.T) {
	log, linked := fakestore.NewLog(), &linkedNodes{}
	o := startOwnerInPartition(t, log, newWorkerPool(1), "w00", func(o *owner.Options) {
		o.Claim.Record.KnownNodes, o.Witnesses = 10, linked
	})
	linked.link(o.Owner, 4)
	await.True(t, "it names witnesses", func() bool {
		o.clock.Advance(tick)
		r, _, err := owner.ReadRecord(t.Context(), log)
		return err == nil && len(r.Witnesses.Witnesses) == 3
	})
}
