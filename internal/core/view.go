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

// queueFullRetrySeconds is when a client should retry whose job was refused
// because too many jobs wait.
const queueFullRetrySeconds = 5

// CheckRetire returns the record which says that a node has ended, or an error
// if it must not be appended: the node must be a suspected member.
func (c *Core) CheckRetire(id state.NodeID) (*state.Leave, error) {
	m := c.state.Members[id]
	switch {
	case m == nil || m.HasLeft:
		return nil, &document.FieldError{File: "node", Key: string(id), Problem: "is not a member of the cluster", Allowed: "a node of `leverdyke node list`"}
	case id == c.options.Self.Node || !c.members.IsSuspect(c.now(), id):
		return nil, &document.FieldError{File: "node", Key: string(id), Problem: "still sends heartbeats: its process has not ended", Allowed: "a node that sends no heartbeats; stop it first"}
	}
	return &state.Leave{Node: id, Incarnation: m.Incarnation}, nil
}

// View lists the shards that a node owns and the peers that it suspects.
type View struct {
	Racks, JobShards, Suspects []string
	// Running is the number of attempts in the owned racks, Waiting the number
	// of jobs with waiting tasks in the owned job shards.
	Running, Waiting int
}

// View returns the shards that this node owns and the peers that it suspects.
func (c *Core) View() View {
	v := View{}
	now := c.now()
	for id, o := range c.racks {
		v.Racks = append(v.Racks, string(id))
		_, _, running := o.rack.Counts(now)
		v.Running += running
	}
	for id, h := range c.jobShards {
		v.JobShards = append(v.JobShards, string(id))
		v.Waiting += h.WaitingJobs()
	}
	for _, p := range c.members.Suspects(now) {
		v.Suspects = append(v.Suspects, string(p))
	}
	slices.Sort(v.Racks)
	slices.Sort(v.JobShards)
	return v
}

// State returns the replicated state. The caller must not modify it, and may
// read it only in the goroutine that the core runs in.
func (c *Core) State() *state.State { return c.state }

// Policies returns the configuration in force.
func (c *Core) Policies() *policy.Set { return c.policies }

// JobShard returns a job shard if this node owns it, or nil.
func (c *Core) JobShard(id state.ShardID) *jobshard.Shard { return c.jobShards[id] }

// IsLogUnavailable reports whether this node cannot read the log or append to
// it.
func (c *Core) IsLogUnavailable() bool { return c.isLogUnavailable(c.now()) }

// Workers lists the workers of the owned racks.
func (c *Core) Workers() []rack.WorkerStatus {
	list := []rack.WorkerStatus{}
	for _, id := range c.View().Racks {
		list = append(list, c.racks[state.ShardID(id)].rack.Status(c.now())...)
	}
	return list
}

// Used returns the resources that are in use in the owned racks, and their total
// capacity.
func (c *Core) Used() (used, capacity leverdyke.Resources) {
	for _, o := range c.racks {
		u, total := o.rack.Used()
		used, capacity = used.Add(u), capacity.Add(total)
	}
	return used, capacity
}

// IsReady reports whether the load balancer should send requests to this node:
// it has read the log to its end recently, or no node can read the log.
func (c *Core) IsReady() bool {
	now := c.now()
	if c.isDraining || c.state.Applied < 0 {
		return false
	}
	if now.Sub(c.caughtUpAt) < readyMaxAge {
		return c.IsJoined()
	}
	return c.isLogUnavailable(now) && c.members.IsLogUnavailableForAll(now)
}

// CheckSubmit returns an error if a job can never run as far as this node knows,
// or if too many jobs wait in its job shard.
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
	if h := c.jobShards[ownership.JobShard(spec.Region, spec.Team)]; h != nil && h.IsQueueFull() {
		return leverdyke.NotRun("too many jobs wait", queueFullRetrySeconds)
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

// capacities returns the capacity of the largest VM of each rack of the region,
// or nil if it is not known for one of them.
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
