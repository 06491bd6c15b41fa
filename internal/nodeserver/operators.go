// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package nodeserver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/ownership"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	maxJobID = 64
	// retryAfterSeconds is the retry time in the answer to a change that was not accepted.
	retryAfterSeconds = 5
	// maxCancelJobs bounds the jobs of one call of Cancel.
	maxCancelJobs = 50000
)

// query runs f in the core's goroutine and returns its result, or the zero value if the
// node closes first.
func query[T any](n *Node, f func(c *core.Core) T) T {
	reply := make(chan T, 1)
	n.enqueue(func(c *core.Core) { reply <- f(c) })
	select {
	case v := <-reply:
		return v
	case <-n.done:
		var zero T
		return zero
	}
}

// append appends records to the log and waits until this node has applied them. The
// slice has an error for each record that had no effect, and nil for the others. The
// second result is not nil if the effects are unknown, because ctx ended or the node is
// closing.
func (n *Node) append(ctx context.Context, records []state.Record) ([]error, error) {
	type result struct {
		i   int
		err error
	}
	results := make(chan result, len(records))
	n.enqueue(func(c *core.Core) {
		if !c.IsJoined() {
			for i := range records {
				results <- result{i, state.ErrNotAppended}
			}
			return
		}
		for i := range records {
			c.Append(records[i], func(err error) { results <- result{i, err} })
		}
	})
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

// appendError converts a record's error for the caller. Errors other than nil and
// ErrConflict get a verdict, which says whether the change may have taken effect.
func appendError(err error) error {
	if err == nil || errors.Is(err, state.ErrConflict) {
		return err
	}
	if errors.Is(err, state.ErrOutcomeUnknown) {
		return leverdyke.MayHaveRun("the change is in the log, but this node did not see what became of it: look, or send it again", err)
	}
	e := leverdyke.NotRun("the change was not accepted", retryAfterSeconds)
	e.Err = err
	return e
}

// Submit accepts a job. When it returns without an error, the job is in the log.
func (n *Node) Submit(ctx context.Context, r *operator.SubmitRequest) (*operator.SubmitReply, error) {
	if r.ID == "" || len(r.ID) > maxJobID || strings.ContainsAny(r.ID, "/ \n\t") {
		return nil, &document.FieldError{File: r.File, Key: "id", Problem: fmt.Sprintf("%q is not a valid job ID", r.ID), Allowed: "1 to 64 characters other than '/' and white space"}
	}
	spec, err := policy.ParseJob(r.File, []byte(r.Body), r.ID, n.settings.Region, n.template)
	if err != nil {
		return nil, err
	}
	if err := query(n, func(c *core.Core) error { return c.CheckSubmit(r.File, spec) }); err != nil {
		return nil, err
	}
	errs, err := n.append(ctx, []state.Record{{Submit: &state.Submit{Spec: *spec}}})
	if err != nil {
		return nil, err
	}
	if errs[0] != nil {
		return nil, appendError(errs[0])
	}
	offset := query(n, func(c *core.Core) int64 {
		if j := c.State().Jobs[r.ID]; j != nil {
			return j.Offset
		}
		return -1
	})
	return &operator.SubmitReply{ID: r.ID, Offset: offset}, nil
}

// template returns a job template of the policies in force at this node, or nil.
func (n *Node) template(name string) *policy.Template {
	return query(n, func(c *core.Core) *policy.Template { return c.Policies().Template(name) })
}

// Cancel cancels jobs and returns how many it has cancelled. Jobs that do not exist are not
// counted.
func (n *Node) Cancel(ctx context.Context, ids []string) (int, error) {
	if len(ids) > maxCancelJobs {
		return 0, &document.FieldError{File: "ids", Problem: fmt.Sprintf("%d job IDs are too many", len(ids)), Allowed: fmt.Sprint(maxCancelJobs)}
	}
	// Whether a job exists is decided when the record is applied, not here: this node may
	// not have read all of the log yet.
	records := make([]state.Record, 0, len(ids))
	for _, id := range ids {
		records = append(records, state.Record{Cancel: &state.Cancel{Job: id}})
	}
	errs, err := n.append(ctx, records)
	if err != nil {
		return 0, err
	}
	cancelled := 0
	for _, err := range errs {
		switch {
		case errors.Is(err, state.ErrUnknownJob):
		case err != nil:
			return cancelled, appendError(err)
		default:
			cancelled++
		}
	}
	return cancelled, nil
}

// Publish replaces a document. When it returns without an error, the new version is in
// force at this node.
func (n *Node) Publish(ctx context.Context, doc string, r *operator.PublishRequest) (*operator.Doc, error) {
	errs, err := n.append(ctx, []state.Record{{Publish: &state.Publish{Doc: doc, Base: r.Base, Body: []byte(r.Body), Author: r.Author}}})
	if err != nil {
		return nil, err
	}
	if errs[0] != nil {
		return nil, appendError(errs[0])
	}
	return n.Doc(doc), nil
}

// Docs lists the documents in force at this node, without their bodies and histories.
func (n *Node) Docs() []operator.Doc {
	return query(n, func(c *core.Core) []operator.Doc {
		list := []operator.Doc{}
		for _, name := range slices.Sorted(maps.Keys(c.State().Docs)) {
			d := docOf(name, c.State().Docs[name])
			d.Body, d.History = "", nil
			list = append(list, *d)
		}
		return list
	})
}

// Doc returns a document in force at this node, or nil.
func (n *Node) Doc(name string) *operator.Doc {
	return query(n, func(c *core.Core) *operator.Doc {
		d := c.State().Docs[name]
		if d == nil {
			return nil
		}
		return docOf(name, d)
	})
}

// docOf converts a document to the form that operators get.
func docOf(name string, d *state.Doc) *operator.Doc {
	out := &operator.Doc{Name: name, Version: d.Version, Offset: d.Offset, Author: d.Author, At: time.UnixMilli(d.Millis).UTC(), Body: string(d.Body)}
	for _, v := range d.History {
		out.History = append(out.History, operator.Version{Version: v.Version, Offset: v.Offset, Author: v.Author, At: time.UnixMilli(v.Millis).UTC()})
	}
	return out
}

// Jobs lists the jobs that this node has read from the log, in the order of their records
// there, without their tasks.
func (n *Node) Jobs() []operator.Job {
	list := query(n, func(c *core.Core) []operator.Job {
		list := []operator.Job{}
		for _, j := range c.State().Jobs {
			list = append(list, *jobOf(j))
		}
		return list
	})
	slices.SortFunc(list, func(a, b operator.Job) int { return int(a.Offset - b.Offset) })
	return list
}

// jobOf converts a job to the form that operators get.
func jobOf(j *state.Job) *operator.Job {
	final := map[leverdyke.TaskState]int{}
	for s, count := range j.FinalCounts {
		final[s] = count
	}
	return &operator.Job{
		Spec: j.Spec, Offset: j.Offset, At: time.UnixMilli(j.Millis).UTC(), IsEnded: j.IsEnded, IsCancelled: j.IsCancelled,
		Final: final, Failures: j.Failures, Reason: j.Reason, JobShard: string(ownership.JobShard(j.Spec.Region, j.Spec.Team)),
	}
}

// Job returns a job and the address for operators of the node that owns its job shard, or
// nil if there is no such job. The state of the job's tasks is included only if this node
// is the owner.
func (n *Node) Job(id string) (*operator.Job, string) {
	type found struct {
		job   *operator.Job
		owner string
	}
	f := query(n, func(c *core.Core) found {
		j := c.State().Jobs[id]
		if j == nil {
			return found{}
		}
		shard := ownership.JobShard(j.Spec.Region, j.Spec.Team)
		out := jobOf(j)
		if h := c.JobShard(shard); h != nil {
			out.Live = h.Status(id)
		}
		owner, _ := c.OwnerOf(shard)
		if m := c.State().Members[owner]; m != nil {
			return found{out, m.Operators.String()}
		}
		return found{out, ""}
	})
	return f.job, f.owner
}

// Status returns the node's own status.
func (n *Node) Status() operator.Status {
	return query(n, func(c *core.Core) operator.Status {
		v := c.View()
		s := operator.Status{
			Node: string(n.owner.Node), Region: n.settings.Region, Zone: n.settings.Zone, Incarnation: n.owner.Incarnation,
			Applied: c.State().Applied, IsReady: c.IsReady(), IsLogUnavailable: c.IsLogUnavailable(), IsJoined: c.IsJoined(),
			Operators: n.settings.OperatorsAddr.String(), Racks: v.Racks, JobShards: v.JobShards, Running: v.Running, Waiting: v.Waiting,
			Suspects: v.Suspects,
		}
		_, s.Requests, _ = n.router.Load()
		return s
	})
}

// Workers lists the workers of the racks that this node owns.
func (n *Node) Workers() []operator.Worker {
	return query(n, func(c *core.Core) []operator.Worker { return c.Workers() })
}

// Retire records, at an operator's request, that another node's process has ended. It
// refuses if that node still sends heartbeats, even if the operator claims that it has ended.
func (n *Node) Retire(ctx context.Context, id string) error {
	type found struct {
		leave *state.Leave
		err   error
	}
	f := query(n, func(c *core.Core) found {
		leave, err := c.CheckRetire(state.NodeID(id))
		return found{leave, err}
	})
	if f.err != nil {
		return f.err
	}
	errs, err := n.append(ctx, []state.Record{{Leave: f.leave}})
	if err != nil {
		return err
	}
	return appendError(errs[0])
}

// MemberAddresses lists the addresses for operators of all nodes that have not left.
func (n *Node) MemberAddresses() []string {
	return query(n, func(c *core.Core) []string {
		list := []string{}
		for _, m := range c.State().Members {
			if !m.HasLeft {
				list = append(list, m.Operators.String())
			}
		}
		slices.Sort(list)
		return list
	})
}

// OwnAddress returns this node's address for operators.
func (n *Node) OwnAddress() string { return n.settings.OperatorsAddr.String() }

// IsReady reports whether the load balancer should send requests to this node.
func (n *Node) IsReady() bool { return query(n, func(c *core.Core) bool { return c.IsReady() }) }

// Drain makes the node not ready and hands over all that it owns to other nodes. It returns
// when the hand-over is complete, when no node is left that could take over, or when ctx
// ends.
func (n *Node) Drain(ctx context.Context) {
	n.enqueue(func(c *core.Core) { c.Drain() })
	ticks, stop := n.clock.Subscribe(tickPeriod)
	defer stop()
	for !query(n, func(c *core.Core) bool { return c.IsHandedOver() }) {
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case <-ticks:
		}
	}
}

// Leave appends the record that this process ends, and waits until it has been applied or
// ctx ends.
func (n *Node) Leave(ctx context.Context) {
	recorded := make(chan struct{})
	n.enqueue(func(c *core.Core) {
		c.Append(state.Record{Leave: &state.Leave{Node: n.owner.Node, Incarnation: n.owner.Incarnation}}, func(error) { close(recorded) })
	})
	select {
	case <-recorded:
	case <-ctx.Done():
	case <-n.done:
	}
}
