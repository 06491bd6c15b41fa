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

// newLinkedPeers returns four peers that have answered a probe, and their links.
func newLinkedPeers(t *testing.T, c clock.Service) (*cluster.Peers, []*link.Conn) {
	t.Helper()
	peers, conns := cluster.NewPeers(c), make([]*link.Conn, 4)
	for i := range conns {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		conns[i] = link.NewConn(near, nil)
		peers.Add(fmt.Sprintf("n%d", i), conns[i])
	}
	return peers, conns
}

// A node that is cut off from all others was the majority of the nodes that it still remembered after
// 8 s, and acted as the owner beside its successor.
func TestNodeThatIsCutOffIsNoMajority(t *testing.T) {
	for name, tc := range map[string]struct {
		// lost of the four peers lose their links a second after the store's last word, and now is the
		// time since then.
		lost     int
		now      time.Duration
		asOf     time.Duration
		minNodes int
		want     bool
	}{
		"all are linked":                            {0, time.Second, 0, 0, true},
		"most are linked":                           {2, time.Minute, 0, 0, true},
		"most are lost":                             {3, 2 * time.Second, 0, 0, false},
		"most were lost long ago":                   {3, time.Minute, 0, 0, false},
		"the store has named this node after that":  {3, time.Minute, 50 * time.Second, 0, true},
		"it has, but there were more nodes than it": {3, time.Minute, 50 * time.Second, 5, false},
		"not all have linked to a new owner":        {0, time.Second, 0, 10, false},
	} {
		c := clock.NewFake()
		begin := c.Now()
		peers, conns := newLinkedPeers(t, c)
		c.Advance(time.Second)
		for _, conn := range conns[:tc.lost] {
			peers.Remove(conn)
		}
		c.Advance(tc.now - time.Second)
		// The heartbeats of those that are left.
		for i, conn := range conns[tc.lost:] {
			peers.Add(fmt.Sprintf("n%d", tc.lost+i), conn)
		}
		if got := peers.IsMajority(begin.Add(tc.asOf), tc.minNodes); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
