// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// firstCustomerSeed is the first seed in which jobs belong to customers. One in
	// customerChangeOdds of its faults changes a customer's limit or key.
	firstCustomerSeed  = 1900
	customerChangeOdds = 4
	// The largest job needs 3,000 milli-CPU at once, so that the low limit lets it run alone.
	lowLimitMilliCPU  = 3000
	highLimitMilliCPU = 9000
)

// soakCustomers are three customers; the third has no limit. The newest key of each customer and the
// previous one are valid.
type soakCustomers struct {
	mu sync.Mutex
	// keyCounts holds the number of each customer's newest key, which grows with each new key;
	// limitsMilliCPU holds the limits, 0 for none.
	keyCounts      [3]int
	limitsMilliCPU [3]int64
}

// customerOf returns the customer to whom a job belongs, by the job's ID, and the customer's newest
// key.
func (c *soakCustomers) customerOf(id string) (customer, key string) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return "", ""
	}
	i := n % uint64(len(c.keyCounts))
	c.mu.Lock()
	defer c.mu.Unlock()
	return customerName(int(i)), customerKey(int(i), c.keyCounts[i])
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

func customerKey(i, number int) string { return fmt.Sprintf("key-%d-%d", i, number) }

// list returns the customers with their valid keys and limits, as the configuration has them.
func (c *soakCustomers) list() []site.Customer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []site.Customer{}
	for i, number := range c.keyCounts {
		keys := []string{customerKey(i, number)}
		if number > 0 {
			keys = append(keys, customerKey(i, number-1))
		}
		out = append(out, site.Customer{Name: customerName(i), Keys: keys, MilliCPU: c.limitsMilliCPU[i]})
	}
	return out
}

// startCustomers configures customers, so that the queue requires keys from then on.
func (s *soak) startCustomers() {
	s.customers = &soakCustomers{limitsMilliCPU: [3]int64{lowLimitMilliCPU, highLimitMilliCPU, 0}}
	s.configureCustomers()
	s.callerOf = s.customers.customerOf
	s.awaitKeysRequired()
}

// awaitKeysRequired waits until all nodes refuse calls without a key.
func (c *siteCluster) awaitKeysRequired() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.await(n.Name+" requires keys", func() bool {
			status, _, err := n.Do(c.t.Context(), http.MethodGet, site.QueuePrefix, nil)
			return err == nil && status == http.StatusUnauthorized
		})
	}
}

func (s *soak) configureCustomers() {
	s.version += 1 + s.rng.IntN(3)
	s.SetCustomers(s.customers.list()...)
	s.Configure(s.version)
}

// changeCustomers gives one of the customers with a limit another limit or a new key.
func (s *soak) changeCustomers() {
	i := s.rng.IntN(2)
	s.customers.mu.Lock()
	if s.rng.IntN(2) == 0 {
		s.customers.limitsMilliCPU[i] = []int64{lowLimitMilliCPU, highLimitMilliCPU, 0}[s.rng.IntN(3)]
	} else {
		s.customers.keyCounts[i]++
	}
	s.logAction("customers have limits %v and keys %v", s.customers.limitsMilliCPU, s.customers.keyCounts)
	s.customers.mu.Unlock()
	s.configureCustomers()
}

// A key that was removed from the configuration must be refused by all nodes, also while nodes are
// killed or stopped and start again, and a key that was added must be accepted.
func TestSiteKeyChangesSurviveNodeRestarts(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	status := func(n *site.Node, key string) int {
		status, _, err := n.DoWithKey(t.Context(), key, http.MethodGet, site.QueuePrefix, nil)
		if err != nil {
			return 0
		}
		return status
	}
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"first"}})
	c.Configure(2)
	for _, n := range c.nodes {
		c.await(n.Name+" accepts the first key", func() bool { return status(n, "first") == http.StatusOK && status(n, "") == http.StatusUnauthorized })
	}
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"second"}})
	c.Configure(3)
	for _, n := range c.nodes {
		c.await(n.Name+" accepts the second key", func() bool { return status(n, "second") == http.StatusOK })
	}
	for i := range 6 {
		n := c.nodes[i%3]
		if i < 3 {
			n.Kill()
		} else {
			_ = n.Signal(syscall.SIGTERM)
			<-n.Done()
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		c.awaitReady(n)
		for _, other := range c.nodes {
			if got := status(other, "first"); got != http.StatusUnauthorized && got != 0 {
				t.Errorf("%s, after the restart of %s: a removed key: got: %d, want: 401", other.Name, n.Name, got)
			}
		}
		if got := status(n, "second"); got != http.StatusOK {
			t.Errorf("%s, after its restart: the valid key: got: %d, want: 200", n.Name, got)
		}
	}
}

// A customer must not see, cancel or submit again a job of another customer, at any node, also after
// all nodes have been killed. Its own jobs it can see and cancel.
func TestSiteJobsAreHiddenFromOtherCustomers(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"ka"}}, site.Customer{Name: "bob", Keys: []string{"kb"}})
	c.Configure(2)
	c.awaitKeysRequired()
	c.callerOf = func(string) (string, string) { return "ann", "ka" }
	long, short := c.mustSubmit(smallStep(1, 60_000)), c.mustSubmit(smallStep(1, 100))
	c.awaitState(short, "succeeded")
	check := func(when string) {
		t.Helper()
		for _, n := range c.nodes {
			for _, id := range []string{long, short} {
				for method, want := range map[string]int{http.MethodGet: http.StatusGone, http.MethodDelete: http.StatusGone, http.MethodPost: http.StatusConflict} {
					body := []byte(`{"steps":[{"count":1,"cpu":1,"memMb":1}]}`)
					if got, _, err := n.DoWithKey(t.Context(), "kb", method, site.QueuePrefix+id, body); err != nil || got != want {
						t.Errorf("%s, %s of another customer's job at %s: got: %d, %v, want: %d", when, method, n.Name, got, err, want)
					}
				}
			}
		}
		c.awaitState(long, "running")
		c.awaitState(short, "succeeded")
	}
	check("before the restart")
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitReady(c.nodes...)
	check("after all nodes were killed and restarted")
	status, _, err := c.nodes[0].DoWithKey(t.Context(), "ka", http.MethodDelete, site.QueuePrefix+long, nil)
	if err != nil || status != http.StatusOK {
		t.Errorf("cancel of the customer's own job: got: %d, %v, want: 200", status, err)
	}
	c.awaitState(long, "cancelled")
}

// A customer's limit must hold while owners are killed and other nodes take over. A job with a task
// that is larger than the limit can never run and is refused with 422.
func TestSiteCustomerLimitHoldsAcrossOwners(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{Workers: 4})
	const limit = 3000
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"ka"}, MilliCPU: limit})
	c.Configure(2)
	c.awaitKeysRequired()
	c.callerOf = func(string) (string, string) { return "ann", "ka" }
	ids := []string{}
	for i := range 6 {
		ids = append(ids, c.mustSubmit(jobStep{Count: 4, CPU: 1000, MemMb: 100, EstimatedMs: 400}))
		if n := c.nodes[i%3]; i%2 == 0 {
			n.Kill()
			if err := n.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.awaitReady(c.nodes...)
	for _, id := range ids {
		c.awaitState(id, "succeeded")
	}
	if got := c.PeakMilliCPU("ann"); got != limit {
		t.Errorf("most milli-CPU in use at once: got: %d, want: %d, the whole limit and no more", got, limit)
	}
	if _, status := c.submit(c.nodes[0], "", jobStep{Count: 1, CPU: limit + 1, MemMb: 100, EstimatedMs: 400}); status != http.StatusUnprocessableEntity {
		t.Errorf("a task that is larger than the limit: got: %d, want: 422", status)
	}
}
