// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/cluster"
	"github.com/leverdyke/leverdyke/internal/link"
)

// Guards against leases that an owner without followers counts from their renewal: any node may claim the shard, and the
// successor counts them from its claim.
func TestOwnerWithoutFollowersIsNotFollowedByItself(t *testing.T) {
	for name, lost := range map[string]int{"it never had any": 0, "it lost them long before the store's last word": 4} {
		c := clock.NewFake()
		peers := cluster.NewPeers(c)
		if lost > 0 {
			var conns []*link.Conn
			peers, conns = newLinkedPeers(t, c)
			for _, conn := range conns {
				peers.Remove(conn)
			}
			c.Advance(10 * time.Second)
		}
		confirmedAt := c.Now()
		c.Advance(2 * time.Second)
		if got := peers.MajorityAnsweredAt(confirmedAt, 1); got.After(confirmedAt) {
			t.Errorf("%s: got: followed %v after the store's last word, want: no later than that", name, got.Sub(confirmedAt))
		}
	}
}

func BenchmarkMajorityAnsweredAt(b *testing.B) {
	for _, nodes := range []int{7, 147, 584} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			c := clock.NewFake()
			peers := cluster.NewPeers(c)
			for i := range nodes - 1 {
				near, far := net.Pipe()
				b.Cleanup(func() { _ = far.Close() })
				peers.Add(fmt.Sprintf("n%d", i), link.NewConn(near, nil))
			}
			b.ReportAllocs()
			for b.Loop() {
				peers.MajorityAnsweredAt(c.Now(), 0)
			}
		})
	}
}
