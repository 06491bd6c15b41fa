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
	// customerSeeds is the first seed in which jobs are customers', customerShare the share of
	// changes of these among its faults: one in so many.
	customerSeeds = 1900
	customerShare = 4
	// lowLimit and highLimit are limits, in milli-processors: the largest job needs 3,000 at once.
	lowLimit  = 3000
	highLimit = 9000
)

// soakCustomers are three customers; the third has no limit. Each has its newest key and the
// one before in force.
type soakCustomers struct {
	mu sync.Mutex
	// keys counts the keys that each has had, limits has what each may have.
	keys   [3]int
	limits [3]int64
}

// of returns the customer of a job, and its newest key.
func (c *soakCustomers) of(id string) (customer, key string) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return "", ""
	}
	i := n % uint64(len(c.keys))
	c.mu.Lock()
	defer c.mu.Unlock()
	return customerName(int(i)), customerKey(int(i), c.keys[i])
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

func customerKey(i, number int) string { return fmt.Sprintf("key-%d-%d", i, number) }

// list returns the customers as they are configured.
func (c *soakCustomers) list() []site.Customer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []site.Customer{}
	for i, number := range c.keys {
		keys := []string{customerKey(i, number)}
		if number > 0 {
			keys = append(keys, customerKey(i, number-1))
		}
		out = append(out, site.Customer{Name: customerName(i), Keys: keys, MilliCPU: c.limits[i]})
	}
	return out
}

// startCustomers makes the queue one that wants keys.
func (s *soak) startCustomers() {
	s.customers = &soakCustomers{limits: [3]int64{lowLimit, highLimit, 0}}
	s.configureCustomers()
	s.keyOf = s.customers.of
	s.awaitKeys()
}

// awaitKeys waits until no node takes calls without a key any more.
func (c *siteCell) awaitKeys() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.await(n.Name+" wants keys", func() bool {
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

// changeCustomers gives a customer another limit, or a new key.
func (s *soak) changeCustomers() {
	i := s.rng.IntN(2)
	s.customers.mu.Lock()
	if s.rng.IntN(2) == 0 {
		s.customers.limits[i] = []int64{lowLimit, highLimit, 0}[s.rng.IntN(3)]
	} else {
		s.customers.keys[i]++
	}
	s.note("customers have limits %v and keys %v", s.customers.limits, s.customers.keys)
	s.customers.mu.Unlock()
	s.configureCustomers()
}

// A key that is dropped is in force on no node any more, and stays so while nodes start again;
// so does one that is added.
func TestSiteKeysComeAndGo(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{})
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
		c.await(n.Name+" takes the first key", func() bool { return status(n, "first") == http.StatusOK && status(n, "") == http.StatusUnauthorized })
	}
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"second"}})
	c.Configure(3)
	for _, n := range c.nodes {
		c.await(n.Name+" takes the second key", func() bool { return status(n, "second") == http.StatusOK })
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
				t.Errorf("%s, after %s has started again: a dropped key: got: %d, want: 401", other.Name, n.Name, got)
			}
		}
		if got := status(n, "second"); got != http.StatusOK {
			t.Errorf("%s, after it has started again: the key in force: got: %d, want: 200", n.Name, got)
		}
	}
}

// A customer sees, cancels and repeats no job of another one, through any node and after the
// owner has ended; its own it does.
func TestSiteJobsBelongToTheirCustomers(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{})
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"ka"}}, site.Customer{Name: "bob", Keys: []string{"kb"}})
	c.Configure(2)
	c.awaitKeys()
	c.keyOf = func(string) (string, string) { return "ann", "ka" }
	long, short := c.mustSubmit(small(1, 60_000)), c.mustSubmit(small(1, 100))
	c.awaitState(short, "succeeded")
	check := func(when string) {
		t.Helper()
		for _, n := range c.nodes {
			for _, id := range []string{long, short} {
				for method, want := range map[string]int{http.MethodGet: http.StatusGone, http.MethodDelete: http.StatusGone, http.MethodPost: http.StatusConflict} {
					body := []byte(`{"steps":[{"count":1,"cpu":1,"memMb":1}]}`)
					if got, _, err := n.DoWithKey(t.Context(), "kb", method, site.QueuePrefix+id, body); err != nil || got != want {
						t.Errorf("%s, %s of another's job at %s: got: %d, %v, want: %d", when, method, n.Name, got, err, want)
					}
				}
			}
		}
		c.awaitState(long, "running")
		c.awaitState(short, "succeeded")
	}
	check("at first")
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitReady(c.nodes...)
	check("after all nodes have lost their memory")
	status, _, err := c.nodes[0].DoWithKey(t.Context(), "ka", http.MethodDelete, site.QueuePrefix+long, nil)
	if err != nil || status != http.StatusOK {
		t.Errorf("cancel of the own job: got: %d, %v, want: 200", status, err)
	}
	c.awaitState(long, "cancelled")
}

// A customer's limit holds while owners end, and what can never fit under it is refused for good.
func TestSiteALimitHoldsAcrossOwners(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 4})
	const limit = 3000
	c.SetCustomers(site.Customer{Name: "ann", Keys: []string{"ka"}, MilliCPU: limit})
	c.Configure(2)
	c.awaitKeys()
	c.keyOf = func(string) (string, string) { return "ann", "ka" }
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
		t.Errorf("most in use at once: got: %d, want: %d, all that it may and no more", got, limit)
	}
	if _, status := c.submit(c.nodes[0], "", jobStep{Count: 1, CPU: limit + 1, MemMb: 100, EstimatedMs: 400}); status != http.StatusUnprocessableEntity {
		t.Errorf("a task that is larger than the limit: got: %d, want: 422", status)
	}
}
