// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
	"github.com/leverdyke/leverdyke/internal/work"
)

// policy is an entry of a configuration.
type policy[P any] interface {
	Equal(other P) bool
}

// storedPolicies are the policies that the store has beside the jobs, by name, so that an accepted job
// keeps the last one of its queue or customer when that leaves the configuration and the owner changes.
// The zero value has none.
type storedPolicies[P policy[P]] struct {
	// byName are those that the store has or that a batch for it contains.
	byName ordered.Map[string, P]
	// hasNew means that a policy on which active jobs depend may have to be written.
	hasNew bool
}

// configured puts the stored policies in force of which the engine knows no other, and reports whether
// one has changed, so that a batch is needed.
func (s *storedPolicies[P]) configured(known map[string]P) (hasChanged bool) {
	s.hasNew = true
	for name, stored := range s.byName.All() {
		current, isKnown := known[name]
		if !isKnown {
			known[name] = stored
		}
		hasChanged = hasChanged || isKnown && !current.Equal(stored)
	}
	return hasChanged
}

// takeChanged returns the known policies with one of the names that differ from the stored ones. They are
// written with the batch.
func (s *storedPolicies[P]) takeChanged(names []string, known map[string]P) []P {
	changed := []P{}
	for _, name := range names {
		p, isKnown := known[name]
		if stored, isStored := s.byName.Find(name); !isKnown || isStored && stored.Equal(p) {
			continue
		}
		s.byName.Set(name, p)
		changed = append(changed, p)
	}
	return changed
}

// forget records that a policy is not in the store.
func (s *storedPolicies[P]) forget(name string) {
	s.byName.Delete(name)
	s.hasNew = true
}

// RestoreQueues takes over the policies of queues that the store has beside the jobs. They come into
// force with the next configuration, for the queues that it lacks.
func (e *Engine) RestoreQueues(queues []order.Queue) {
	for _, q := range queues {
		e.storedQueues.byName.Set(q.Name, q)
	}
}

// RestoreCustomers takes over the customers that the store has beside the jobs. Their limits come into
// force with the next configuration, for the customers that it lacks.
func (e *Engine) RestoreCustomers(customers []order.Customer) {
	for _, c := range customers {
		e.storedCustomers.byName.Set(string(c.Name), c)
	}
}

// addPolicies adds to a batch the policies of its new jobs and of all active ones where the store has
// another one.
func (e *Engine) addPolicies(b *Batch) {
	b.Queues = e.storedQueues.takeChanged(e.policyNames(b, &e.storedQueues.hasNew, queueOf), e.queues)
	b.Customers = e.storedCustomers.takeChanged(e.policyNames(b, &e.storedCustomers.hasNew, customerOf), e.knownCustomers)
}

func queueOf(spec *work.Spec) string { return spec.Queue }

func customerOf(spec *work.Spec) string { return string(spec.Customer) }

// policyNames returns the names by which the batch's new jobs depend on policies, and all active jobs if
// hasNew, which it resets.
func (e *Engine) policyNames(b *Batch, hasNew *bool, nameOf func(*work.Spec) string) []string {
	names := []string{}
	for _, spec := range b.NewJobs {
		names = append(names, nameOf(spec))
	}
	if *hasNew {
		*hasNew = false
		for _, j := range e.activeJobs {
			names = append(names, nameOf(j.spec))
		}
	}
	return names
}

// forgetPolicies records that the policies of a batch are not in the store.
func (e *Engine) forgetPolicies(b *Batch) {
	for _, q := range b.Queues {
		e.storedQueues.forget(q.Name)
	}
	for _, c := range b.Customers {
		e.storedCustomers.forget(string(c.Name))
	}
}
