// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package quota_test

import (
	"fmt"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/quota"
	"github.com/leverdyke/leverdyke/internal/work"
)

// BenchmarkLimits measures what the limits cost per scheduling pass in two ways: adding up the
// usage of all attempts anew, and a ledger that is charged and released as six attempts start or end
// between two passes.
func BenchmarkLimits(b *testing.B) {
	type attempt struct {
		customer work.CustomerName
		need     leverdyke.Resources
	}
	for _, size := range []struct{ workers, customers int }{{350, 20}, {1100, 130}} {
		policy := []order.Customer{}
		for i := range size.customers {
			policy = append(policy, order.Customer{Name: work.CustomerName(fmt.Sprintf("c%d", i)), Limit: each.Times(1000)})
		}
		attempts := make([]*attempt, 6*size.workers)
		for i := range attempts {
			attempts[i] = &attempt{policy[i%size.customers].Name, each}
		}
		b.Run(fmt.Sprintf("recount, %d workers, %d customers", size.workers, size.customers), func(b *testing.B) {
			for range b.N {
				used := map[work.CustomerName]leverdyke.Resources{}
				for _, a := range attempts {
					used[a.customer] = used[a.customer].Add(a.need)
				}
			}
		})
		b.Run(fmt.Sprintf("ledger, %d workers, %d customers", size.workers, size.customers), func(b *testing.B) {
			l := quota.Ledger{}
			l.SetLimits(policy)
			for i := range b.N {
				for k := range 3 {
					a := attempts[(i+k)%len(attempts)]
					l.Charge(a.customer, a.need, false)
					l.Release(a.customer, a.need, false)
				}
				l.ClearUncertain()
				for c := range policy {
					l.Admissible(policy[c].Name, each, 20)
				}
			}
		})
	}
}
