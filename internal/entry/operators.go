// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

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
	maxJobID      = 64
	retryLogOut   = 5
	maxCancelWave = 50000
)

// ask runs f in the core's goroutine and returns its result; the zero value
// when the node closes.
func ask[T any](n *Node, f func(c *core.Core) T) T {
	reply := make(chan T, 1)
	n.put(func(c *core.Core) { reply <- f(c) })
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
	n.put(func(c *core.Core) {
		if !c.IsJoined() {
			for i := range records {
				results <- result{i, state.ErrNotTaken}
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

// notTaken turns a record's error into one with a verdict.
func notTaken(err error) error {
	if err == nil || errors.Is(err, state.ErrConflict) {
		return err
	}
	if errors.Is(err, state.ErrUnseen) {
		return leverdyke.MayHaveRun("the change is in the log, but this node did not see what became of it: look, or send it again", err)
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
	if err := ask(n, func(c *core.Core) error { return c.CheckSubmit(r.File, spec) }); err != nil {
		return nil, err
	}
	errs, err := n.append(ctx, []state.Record{{Submit: &state.Submit{Spec: *spec}}})
	if err != nil {
		return nil, err
	}
	if errs[0] != nil {
		return nil, notTaken(errs[0])
	}
	offset := ask(n, func(c *core.Core) int64 {
		if j := c.State().Jobs[r.ID]; j != nil {
			return j.Offset
		}
		return -1
	})
	return &operator.SubmitReply{ID: r.ID, Offset: offset}, nil
}

func (n *Node) template(name string) *policy.Template {
	return ask(n, func(c *core.Core) *policy.Template { return c.Policies().Template(name) })
}

// Cancel cancels jobs. Those that do not exist are left out of the count.
func (n *Node) Cancel(ctx context.Context, ids []string) (int, error) {
	if len(ids) > maxCancelWave {
		return 0, &document.FieldError{File: "ids", Problem: fmt.Sprintf("%d are too many", len(ids)), Allowed: fmt.Sprint(maxCancelWave)}
	}
	// Which jobs there are is for the log to say: this node may not have read all of
	// it yet.
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
		case errors.Is(err, state.ErrUnknown):
		case err != nil:
			return cancelled, notTaken(err)
		default:
			cancelled++
		}
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
	return ask(n, func(c *core.Core) []operator.Doc {
		list := []operator.Doc{}
		for _, name := range slices.Sorted(maps.Keys(c.State().Docs)) {
			d := docOf(name, c.State().Docs[name])
			d.Body, d.History = "", nil
			list = append(list, *d)
		}
		return list
	})
}

// Doc returns a document in force here, or nil.
func (n *Node) Doc(name string) *operator.Doc {
	return ask(n, func(c *core.Core) *operator.Doc {
		d := c.State().Docs[name]
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
	list := ask(n, func(c *core.Core) []operator.Job {
		list := []operator.Job{}
		for _, j := range c.State().Jobs {
			list = append(list, *jobOf(j))
		}
		return list
	})
	slices.SortFunc(list, func(a, b operator.Job) int { return int(a.Offset - b.Offset) })
	return list
}

func jobOf(j *state.Job) *operator.Job {
	final := map[leverdyke.TaskState]int{}
	for s, count := range j.Final {
		final[s] = count
	}
	return &operator.Job{
		Spec: j.Spec, Offset: j.Offset, At: time.UnixMilli(j.Millis).UTC(), IsEnded: j.IsEnded, IsCancelled: j.IsCancelled,
		Final: final, Failures: j.Failures, Reason: j.Reason, JobShard: string(ownership.HomeShard(j.Spec.Region, j.Spec.Team)),
	}
}

// Job returns a job and the operators' address of its home's owner; nil if
// there is no such job.
func (n *Node) Job(id string) (*operator.Job, string) {
	type found struct {
		job   *operator.Job
		owner string
	}
	f := ask(n, func(c *core.Core) found {
		j := c.State().Jobs[id]
		if j == nil {
			return found{}
		}
		shard := ownership.HomeShard(j.Spec.Region, j.Spec.Team)
		out := jobOf(j)
		if h := c.Home(shard); h != nil {
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

// Status returns what the node says of itself.
func (n *Node) Status() operator.Status {
	return ask(n, func(c *core.Core) operator.Status {
		v := c.View()
		s := operator.Status{
			Node: string(n.owner.Node), Region: n.settings.Region, Zone: n.settings.Zone, Incarnation: n.owner.Incarnation,
			Applied: c.State().Applied, IsReady: c.IsReady(), IsLogUnavailable: c.IsLogOut(), IsJoined: c.IsJoined(),
			Operators: n.settings.OperatorsAddr.String(), Racks: v.Racks, JobShards: v.Homes, Running: v.Running, Waiting: v.Waiting,
			Suspects: v.Suspects,
		}
		_, s.Requests, _ = n.router.Load()
		return s
	})
}

// Workers lists the workers of the racks that this node owns.
func (n *Node) Workers() []operator.Worker {
	return ask(n, func(c *core.Core) []operator.Worker { return c.Workers() })
}

// Retire records that a node's process has ended, on an operator's word. A node
// that is heard is not retired: its word goes before the operator's.
func (n *Node) Retire(ctx context.Context, id string) error {
	type found struct {
		leave *state.Leave
		err   error
	}
	f := ask(n, func(c *core.Core) found {
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
	return notTaken(errs[0])
}

// MemberAddresses lists the operators' addresses of all members.
func (n *Node) MemberAddresses() []string {
	return ask(n, func(c *core.Core) []string {
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

// OwnAddress returns the node's own operators' address.
func (n *Node) OwnAddress() string { return n.settings.OperatorsAddr.String() }

// IsReady reports whether the balancer should send requests here.
func (n *Node) IsReady() bool { return ask(n, func(c *core.Core) bool { return c.IsReady() }) }

// Drain makes the node not ready, gives all that it owns to others and leaves
// the cell. It returns when that is done, or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.put(func(c *core.Core) { c.Drain() })
	ticks, stop := n.clock.Subscribe(tickPeriod)
	defer stop()
	for !ask(n, func(c *core.Core) bool { return c.IsHandedOver() }) {
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
	n.put(func(c *core.Core) {
		c.Append(state.Record{Leave: &state.Leave{Node: n.owner.Node, Incarnation: n.owner.Incarnation}}, func(error) { close(left) })
	})
	select {
	case <-left:
	case <-ctx.Done():
	case <-n.done:
	}
}
