// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	maxJobID      = 64
	retryLogOut   = 5
	maxCancelWave = 50000
)

// ask runs f in the core's goroutine and returns its result; the zero value
// when the node closes.
func ask[T any](n *Node, f func(c *core) T) T {
	reply := make(chan T, 1)
	n.put(settled{func() { reply <- f(n.core) }})
	select {
	case v := <-reply:
		return v
	case <-n.done:
		var none T
		return none
	}
}

// append puts records into the log and waits until they are folded here. The
// error of each record that had no effect is its own; nil for the others.
func (n *Node) append(ctx context.Context, records []state.Record) ([]error, error) {
	type result struct {
		i   int
		err error
	}
	results := make(chan result, len(records))
	n.put(settled{func() {
		if !n.core.isJoined() {
			for i := range records {
				results <- result{i, state.ErrNotTaken}
			}
			return
		}
		for i := range records {
			n.writer.Put(records[i], func(err error) { results <- result{i, err} })
		}
	}})
	errs := make([]error, len(records))
	for range records {
		select {
		case r := <-results:
			errs[r.i] = r.err
		case <-ctx.Done():
			return nil, leverdyke.MayHaveRun("the log has not answered in time: the change may yet take effect; send it again", ctx.Err())
		case <-n.done:
			return nil, leverdyke.MayHaveRun("the node is stopping", nil)
		}
	}
	return errs, nil
}

// notTaken turns a record's error into one with a verdict.
func notTaken(err error) error {
	if err == nil || errors.Is(err, state.ErrConflict) {
		return err
	}
	e := leverdyke.NotRun("the change was not accepted", retryLogOut)
	e.Err = err
	return e
}

// Submit accepts a job: it is in the log before this returns.
func (n *Node) Submit(ctx context.Context, r *operator.SubmitRequest) (*operator.SubmitReply, error) {
	if r.ID == "" || len(r.ID) > maxJobID || strings.ContainsAny(r.ID, "/ \n\t") {
		return nil, &document.FieldError{File: r.File, Key: "id", Problem: fmt.Sprintf("%q is no job's name", r.ID), Allowed: "1 to 64 characters without '/' and white space"}
	}
	spec, err := policy.ParseJob(r.File, []byte(r.Body), r.ID, n.settings.Region, n.template)
	if err != nil {
		return nil, err
	}
	if err := ask(n, func(c *core) error { return c.checkSubmit(r.File, spec) }); err != nil {
		return nil, err
	}
	errs, err := n.append(ctx, []state.Record{{Submit: &state.Submit{Spec: *spec}}})
	if err != nil {
		return nil, err
	}
	if errs[0] != nil {
		return nil, notTaken(errs[0])
	}
	offset := ask(n, func(c *core) int64 {
		if j := c.state.Jobs[r.ID]; j != nil {
			return j.Offset
		}
		return -1
	})
	return &operator.SubmitReply{ID: r.ID, Offset: offset}, nil
}

func (n *Node) template(name string) *policy.Template {
	return ask(n, func(c *core) *policy.Template { return c.policies.Template(name) })
}

// checkSubmit refuses a job of which it is known that it can never run.
func (c *core) checkSubmit(file string, spec *leverdyke.JobSpec) error {
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
	if h := c.homes[ownership.HomeShard(spec.Region, spec.Team)]; h != nil && h.IsFull() {
		return leverdyke.NotRun("too many jobs wait", retryLogOut)
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
func (c *core) capacities(region string) []leverdyke.Resources {
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

// Cancel cancels jobs. Those that do not exist are left out of the count.
func (n *Node) Cancel(ctx context.Context, ids []string) (int, error) {
	if len(ids) > maxCancelWave {
		return 0, &document.FieldError{File: "ids", Problem: fmt.Sprintf("%d are too many", len(ids)), Allowed: fmt.Sprint(maxCancelWave)}
	}
	known := ask(n, func(c *core) []state.Record {
		records := []state.Record{}
		for _, id := range ids {
			if c.state.Jobs[id] != nil {
				records = append(records, state.Record{Cancel: &state.Cancel{Job: id}})
			}
		}
		return records
	})
	errs, err := n.append(ctx, known)
	if err != nil {
		return 0, err
	}
	cancelled := 0
	for _, err := range errs {
		if err != nil {
			return cancelled, notTaken(err)
		}
		cancelled++
	}
	return cancelled, nil
}

// Publish replaces a document: it is in force here before this returns.
func (n *Node) Publish(ctx context.Context, doc string, r *operator.PublishRequest) (*operator.Doc, error) {
	errs, err := n.append(ctx, []state.Record{{Publish: &state.Publish{Doc: doc, Base: r.Base, Body: []byte(r.Body), Author: r.Author}}})
	if err != nil {
		return nil, err
	}
	if errs[0] != nil {
		return nil, notTaken(errs[0])
	}
	return n.Doc(doc), nil
}

// Docs lists the documents in force here, without their bodies.
func (n *Node) Docs() []operator.Doc {
	return ask(n, func(c *core) []operator.Doc {
		list := []operator.Doc{}
		for _, name := range sortedNames(c.state.Docs) {
			d := docOf(name, c.state.Docs[name])
			d.Body, d.History = "", nil
			list = append(list, *d)
		}
		return list
	})
}

// Doc returns a document in force here, or nil.
func (n *Node) Doc(name string) *operator.Doc {
	return ask(n, func(c *core) *operator.Doc {
		d := c.state.Docs[name]
		if d == nil {
			return nil
		}
		return docOf(name, d)
	})
}

func docOf(name string, d *state.Doc) *operator.Doc {
	out := &operator.Doc{Name: name, Version: d.Version, Offset: d.Offset, Author: d.Author, At: time.UnixMilli(d.Millis).UTC(), Body: string(d.Body)}
	for _, v := range d.History {
		out.History = append(out.History, operator.Version{Version: v.Version, Offset: v.Offset, Author: v.Author, At: time.UnixMilli(v.Millis).UTC()})
	}
	return out
}

// Jobs lists the jobs that the log knows, without their tasks.
func (n *Node) Jobs() []operator.Job {
	list := ask(n, func(c *core) []operator.Job {
		list := []operator.Job{}
		for _, j := range c.state.Jobs {
			list = append(list, *c.jobOf(j))
		}
		return list
	})
	slices.SortFunc(list, func(a, b operator.Job) int { return int(a.Offset - b.Offset) })
	return list
}

func (c *core) jobOf(j *state.Job) *operator.Job {
	final := map[leverdyke.TaskState]int{}
	for s, count := range j.Final {
		final[s] = count
	}
	return &operator.Job{
		Spec: j.Spec, Offset: j.Offset, At: time.UnixMilli(j.Millis).UTC(), IsEnded: j.IsEnded, IsCancelled: j.IsCancelled,
		Final: final, Failures: j.Failures, Reason: j.Reason, Home: string(ownership.HomeShard(j.Spec.Region, j.Spec.Team)),
	}
}

// Job returns a job and the operators' address of its home's owner; nil if
// there is no such job.
func (n *Node) Job(id string) (*operator.Job, string) {
	type found struct {
		job   *operator.Job
		owner string
	}
	f := ask(n, func(c *core) found {
		j := c.state.Jobs[id]
		if j == nil {
			return found{}
		}
		shard := ownership.HomeShard(j.Spec.Region, j.Spec.Team)
		out := c.jobOf(j)
		if h := c.homes[shard]; h != nil {
			out.Live = h.Status(id)
		}
		owner, _ := c.ownerOf(shard)
		if m := c.state.Members[owner]; m != nil {
			return found{out, m.Operators.String()}
		}
		return found{out, ""}
	})
	return f.job, f.owner
}

// Status returns what the node says of itself.
func (n *Node) Status() operator.Status {
	return ask(n, func(c *core) operator.Status {
		now := c.now()
		s := operator.Status{
			Node: string(n.owner.Node), Region: n.settings.Region, Zone: n.settings.Zone, Incarnation: n.owner.Incarnation,
			Applied: c.state.Applied, IsReady: c.isReady(now), IsLogOut: c.isLogOut(now), IsJoined: c.isJoined(),
			Operators: n.settings.OperatorsAddr.String(),
		}
		for id, o := range c.racks {
			s.Racks = append(s.Racks, string(id))
			_, _, running := o.rack.Counts(now)
			s.Running += running
		}
		for id, h := range c.homes {
			s.Homes = append(s.Homes, string(id))
			s.Waiting += h.Waiting()
		}
		for _, p := range c.members.Suspects(now) {
			s.Suspects = append(s.Suspects, string(p))
		}
		slices.Sort(s.Racks)
		slices.Sort(s.Homes)
		_, s.Requests, _ = n.router.Load()
		return s
	})
}

// Workers lists the workers of the racks that this node owns.
func (n *Node) Workers() []operator.Worker {
	return ask(n, func(c *core) []operator.Worker {
		list := []operator.Worker{}
		ids := make([]string, 0, len(c.racks))
		for id := range c.racks {
			ids = append(ids, string(id))
		}
		slices.Sort(ids)
		for _, id := range ids {
			list = append(list, c.racks[state.ShardID(id)].rack.Status(c.now())...)
		}
		return list
	})
}

// Peers lists the operators' addresses of all members.
func (n *Node) Peers() []string {
	return ask(n, func(c *core) []string {
		list := []string{}
		for _, m := range c.state.Members {
			if !m.HasLeft {
				list = append(list, m.Operators.String())
			}
		}
		slices.Sort(list)
		return list
	})
}

// Self returns the node's own operators' address.
func (n *Node) Self() string { return n.settings.OperatorsAddr.String() }

// isReady reports whether the balancer should send requests here: the node
// knows the log's end, or that the log is out for all.
func (c *core) isReady(now time.Time) bool {
	if c.isDraining || c.state.Applied < 0 {
		return false
	}
	if now.Sub(c.caughtUpAt) < readyWithin {
		return c.isJoined()
	}
	return c.isLogOut(now) && c.members.IsLogOutForAll(now)
}

// IsReady reports whether the balancer should send requests here.
func (n *Node) IsReady() bool { return ask(n, func(c *core) bool { return c.isReady(c.now()) }) }

// Drain makes the node not ready, gives all that it owns to others and leaves
// the cell. It returns when that is done, or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.put(settled{func() { n.core.drain() }})
	ticks, stop := n.clock.Subscribe(tickPeriod)
	defer stop()
	for !ask(n, func(c *core) bool { return len(c.racks)+len(c.homes) == 0 || !c.hasHeirs() }) {
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case <-ticks:
		}
	}
}

// Leave tells the log that this process ends.
func (n *Node) Leave(ctx context.Context) {
	left := make(chan struct{})
	n.put(settled{func() {
		n.writer.Put(state.Record{Leave: &state.Leave{Node: n.owner.Node, Incarnation: n.owner.Incarnation}}, func(error) { close(left) })
	}})
	select {
	case <-left:
	case <-ctx.Done():
	case <-n.done:
	}
}
