// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// firstCancelSeed is the first seed in which callers cancel jobs: one in cancelOdds of them. From
	// it on, open connections also fall silent in one direction only.
	firstCancelSeed = 2200
	cancelOdds      = 3
	// cancelTimeout limits one attempt to cancel a job.
	cancelTimeout = 500 * time.Millisecond
)

// soakCancels are callers who cancel their jobs soon after these were accepted, and repeat that at
// any node until it is acknowledged. It is safe for concurrent use.
type soakCancels struct {
	rng *rand.Rand

	mu sync.Mutex
	// dueAt has the jobs to cancel. acknowledged are those whose cancellation was acknowledged.
	dueAt        map[string]time.Time
	acknowledged []string
}

func newSoakCancels(seed uint64) *soakCancels {
	return &soakCancels{rng: rand.New(rand.NewPCG(seed, 4)), dueAt: map[string]time.Time{}}
}

// add makes a caller cancel a job.
func (c *soakCancels) add(id string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dueAt[id] = time.Now().Add(after)
}

// due returns the jobs to cancel now.
func (c *soakCancels) due() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []string{}
	for id, at := range c.dueAt {
		if time.Now().After(at) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (c *soakCancels) acknowledge(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.dueAt, id)
	c.acknowledged = append(c.acknowledged, id)
}

// results returns how many cancellations are not acknowledged yet, and the jobs of those that are.
func (c *soakCancels) results() (left int, acknowledged []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dueAt), slices.Clone(c.acknowledged)
}

// startCancelling makes callers cancel jobs until the test ends.
func (s *soak) startCancelling(seed uint64) {
	s.cancels = newSoakCancels(seed)
	done := make(chan struct{})
	go s.cancelJobs(s.t.Context(), done)
	s.t.Cleanup(func() { <-done })
}

func (s *soak) cancelJobs(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	repeatUntilDone(ctx, func() {
		for _, id := range s.cancels.due() {
			s.cancelJob(ctx, s.nodes[s.cancels.rng.IntN(len(s.nodes))], id)
		}
	})
}

// cancelJob cancels a job at a node, and reports to the oracle when that is acknowledged.
func (s *soak) cancelJob(ctx context.Context, n *site.Node, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	status, _, err := n.DoWithKey(ctx, s.keyFor(id), http.MethodDelete, site.QueuePrefix+id, nil)
	if err == nil && (status == http.StatusOK || status == http.StatusGone) {
		s.RecordCancel(id)
		s.cancels.acknowledge(id)
	}
}

// submitJobToCancel submits a job that its caller cancels soon after it was accepted. The job is not
// among those that awaitAll expects to succeed.
func (s *soak) submitJobToCancel() {
	after := s.randomDuration(0, 700*time.Millisecond)
	s.submitRandomJob("", func(id string) {
		s.accepted = slices.DeleteFunc(s.accepted, func(other string) bool { return other == id })
		s.cancels.add(id, after)
	})
}

// awaitCancelled waits until all cancellations are acknowledged and all nodes show these jobs as
// ended.
func (s *soak) awaitCancelled() {
	if s.cancels == nil {
		return
	}
	s.await("all cancellations are acknowledged", func() bool {
		left, _ := s.cancels.results()
		return left == 0
	})
	_, acknowledged := s.cancels.results()
	for _, id := range acknowledged {
		for _, n := range s.nodes {
			s.await("job "+id+" is shown as ended by "+n.Name, func() bool {
				ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
				defer cancel()
				return isFinal(s.stateAt(ctx, n, id))
			})
		}
	}
}
