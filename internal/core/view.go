// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"fmt"
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/state"
)

// retryQueueFull is after how many seconds to come back when too many jobs wait.
const retryQueueFull = 5

// CheckRetire returns the record that a silent node has ended, or why it must
// not be written.
func (c *Core) CheckRetire(id state.NodeID) (*state.Leave, error) {
	m := c.state.Members[id]
	switch {
	case m == nil || m.HasLeft:
		return nil, &document.FieldError{File: "node", Key: string(id), Problem: "is no member of the cell", Allowed: "a node of `leverdyke node list`"}
	case id == c.options.Self.Node || !c.members.IsSuspect(c.now(), id):
		return nil, &document.FieldError{File: "node", Key: string(id), Problem: "is heard: its process has not ended", Allowed: "a node that is silent; stop it first"}
	}
	return &state.Leave{Node: id, Incarnation: m.Incarnation}, nil
}

// View is what a node says of what it owns and hears.
type View struct {
	Racks, Homes, Suspects []string
	// Running counts the attempts in the owned racks, Waiting the jobs with
	// tasks that wait in the owned homes.
	Running, Waiting int
}

// View returns what the node owns and hears.
func (c *Core) View() View {
	v := View{}
	now := c.now()
	for id, o := range c.racks {
		v.Racks = append(v.Racks, string(id))
		_, _, running := o.rack.Counts(now)
		v.Running += running
	}
	for id, h := range c.homes {
		v.Homes = append(v.Homes, string(id))
		v.Waiting += h.WaitingJobs()
	}
	for _, p := range c.members.Suspects(now) {
		v.Suspects = append(v.Suspects, string(p))
	}
	slices.Sort(v.Racks)
	slices.Sort(v.Homes)
	return v
}

// State returns the fold; it is for reading, in the core's goroutine.
func (c *Core) State() *state.State { return c.state }

// Policies returns the configuration in force.
func (c *Core) Policies() *policy.Set { return c.policies }

// Home returns an owned home, or nil.
func (c *Core) Home(id state.ShardID) *jobshard.Shard { return c.homes[id] }

// IsLogOut reports whether this node does not reach the log.
func (c *Core) IsLogOut() bool { return c.isLogOut(c.now()) }

// Workers lists the workers of the owned racks.
func (c *Core) Workers() []rack.WorkerStatus {
	list := []rack.WorkerStatus{}
	for _, id := range c.View().Racks {
		list = append(list, c.racks[state.ShardID(id)].rack.Status(c.now())...)
	}
	return list
}

// Used returns what runs in the owned racks takes, and what there is in all.
func (c *Core) Used() (used, capacity leverdyke.Resources) {
	for _, o := range c.racks {
		u, t := o.rack.Used()
		used, capacity = used.Add(u), capacity.Add(t)
	}
	return used, capacity
}

// IsReady reports whether the balancer should send requests here: the node
// knows the log's end, or that the log is out for all.
func (c *Core) IsReady() bool {
	now := c.now()
	if c.isDraining || c.state.Applied < 0 {
		return false
	}
	if now.Sub(c.caughtUpAt) < readyWithin {
		return c.IsJoined()
	}
	return c.isLogOut(now) && c.members.IsLogOutForAll(now)
}

// CheckSubmit refuses a job of which it is known that it can never run.
func (c *Core) CheckSubmit(file string, spec *leverdyke.JobSpec) error {
	team := c.policies.Team(spec.Team)
	if team == nil {
		return &document.FieldError{File: file, Key: "team", Problem: fmt.Sprintf("there is no document team/%s", spec.Team), Allowed: "a team that has been published"}
	}
	together := spec.Each
	if spec.Kind == leverdyke.KindGang {
		together = spec.Each.Times(int64(spec.Tasks))
	}
	if lacks := together.Lacks(team.Quota); lacks != "" {
		return &document.FieldError{File: file, Key: "each", Problem: "it can never run: it needs more " + lacks + " than its team's quota", Allowed: team.Quota.String()}
	}
	if h := c.homes[ownership.HomeShard(spec.Region, spec.Team)]; h != nil && h.IsQueueFull() {
		return leverdyke.NotRun("too many jobs wait", retryQueueFull)
	}
	capacities := c.capacities(spec.Region)
	if len(capacities) == 0 {
		return nil
	}
	if lacks, ok := placement.CanEverFit(spec.Each, capacities); !ok {
		return &document.FieldError{File: file, Key: "each", Problem: "it can never run: no worker of region " + spec.Region + " has enough " + lacks, Allowed: largest(capacities).String()}
	}
	return nil
}

// capacities lists the largest VM of each of the region's racks, if all are
// known.
func (c *Core) capacities(region string) []leverdyke.Resources {
	list := []leverdyke.Resources{}
	for id := range c.state.Shards {
		if !ownership.IsRack(id) || ownership.Region(id) != region {
			continue
		}
		capacity, ok := c.rackCapacity[id]
		if !ok {
			return nil
		}
		list = append(list, capacity)
	}
	return list
}

func largest(list []leverdyke.Resources) leverdyke.Resources {
	most := leverdyke.Resources{}
	for _, r := range list {
		most = most.Max(r)
	}
	return most
}
