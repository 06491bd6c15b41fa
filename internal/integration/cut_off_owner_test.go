// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"

	"github.com/leverdyke/leverdyke/internal/standin/relay"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// An owner that was cut off from the store and from all other nodes took itself for the majority once it
// had forgotten them, and started tasks of a job whose cancellation its successor had acknowledged.
func TestSiteOwnerThatIsCutOffForLongStartsNothing(t *testing.T) {
	const (
		// confirmationTime is longer than an owner answers without a word of the store.
		confirmationTime = 4 * time.Second
		// forgettingTime is longer than a node remembers peers that it has no link to.
		forgettingTime = 11 * time.Second
	)
	s := &soak{proxies: map[string]*toxiproxy.Proxy{}, relays: map[string]*relay.Relay{}, restarting: map[*site.Node]bool{}, version: 1}
	s.siteCluster = newSiteCluster(t, 3, site.Options{Workers: 2, MilliCPU: soakWorkerMilliCPU, MemoryMiB: soakWorkerMemoryMiB, Via: s.proxyFor})
	old := s.owner()
	second := smallStep(2, 1500)
	second.DependsOn = []int{0}
	id := s.mustSubmit(smallStep(1, 3000), second)
	s.await("the first step runs", func() bool { return s.HasStarted(id) })
	cutAt := time.Now()
	workers := s.cutOff(old)
	s.cancelAtOthers(id, old)
	// The successor is stopped and the workers are reached again, so that only the old owner reaches them.
	for _, n := range s.nodes {
		if n != old {
			s.signal(n, syscall.SIGSTOP)
			defer func() { _ = n.Signal(syscall.SIGCONT) }()
		}
	}
	for _, w := range workers {
		if err := w.Start(); err != nil {
			t.Fatal(err)
		}
	}
	starts := s.Starts()
	s.await("the other nodes are forgotten", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		askedAfter := time.Since(cutAt)
		if state := s.stateAt(ctx, old, id); state != "" && askedAfter > confirmationTime {
			t.Errorf("state at the old owner %v after the cut: got: %q, want: a refusal", askedAfter, state)
			return true
		}
		return askedAfter > forgettingTime
	})
	if got := s.Starts() - starts; got != 0 {
		t.Errorf("tasks that the old owner starts: got: %d, want: 0", got)
	}
}

// cutOff cuts a node off from the store and the other nodes, and all nodes from the workers, whose
// proxies it returns.
func (s *soak) cutOff(n *site.Node) []*toxiproxy.Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	workers := []*toxiproxy.Proxy{}
	for name, p := range s.proxies {
		switch {
		case strings.HasPrefix(name, n.Name):
			p.Stop()
		case strings.HasPrefix(name, "i-"):
			p.Stop()
			workers = append(workers, p)
		}
	}
	return workers
}

// cancelAtOthers cancels a job at nodes other than one, until that is acknowledged.
func (s *soak) cancelAtOthers(id string, except *site.Node) {
	s.await("job "+id+" is cancelled", func() bool {
		for _, n := range s.nodes {
			if n == except {
				continue
			}
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			status, _, err := n.Do(ctx, http.MethodDelete, site.QueuePrefix+id, nil)
			cancel()
			if err == nil && (status == http.StatusOK || status == http.StatusGone) {
				s.RecordCancel(id)
				return true
			}
		}
		return false
	})
}
