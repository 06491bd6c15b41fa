// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/cluster"
	"github.com/leverdyke/leverdyke/internal/link"
)

// BenchmarkMajorityAnsweredAt measures what each cycle of an owner pays twice.
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
