// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// maxCallsPerPass limits the calls that a scheduling pass prepares, the most urgent steps first.
	// Each examines many workers, and an owner with too little processor time would do nothing else.
	maxCallsPerPass = 8
	// maxDeferralsPerPass limits the steps whose call a scheduling pass defers without counting them
	// against maxCallsPerPass. A deferred step makes no call in this pass.
	maxDeferralsPerPass = 16
	// unservedCallsPerPass is how many further calls a pass prepares for unserved steps. Steps that cannot be
	// placed, however urgent, do not keep those from being asked about for which there is capacity.
	unservedCallsPerPass = 4
	// keptUseTime is how long kept channels count as in use after an unserved step has taken one: longer than
	// most calls, so that a more urgent step that waits gets the next channel that is free.
	keptUseTime = time.Second
)

// Options are what can be switched off in a Planner.
type Options struct {
	// IsFixed makes the planner use neither shares learned from answers nor the measured demand.
	IsFixed bool
	// IgnoresClaims makes it choose workers without regard to the calls in flight.
	IgnoresClaims bool
}

// Planner decides which calls are made to the permission service, through which channel, and which
// workers they name.
type Planner struct {
	options   Options
	channels  Channels
	claims    Claims
	shares    Shares
	usages    usages
	occupancy Occupancy
	// callsLeft is how many calls this pass may still prepare, unservedCallsLeft how many of unserved steps
	// after that, and deferralsLeft how many further steps it may defer.
	callsLeft, unservedCallsLeft, deferralsLeft int
	// keptUsedAt is when an unserved step last took a kept channel, keptUsedBy the priority of the least urgent
	// queue of such a step since none did for keptUseTime.
	keptUsedAt time.Time
	keptUsedBy int
}

// Request is what a step would ask the permission service.
type Request struct {
	ID       work.StepID
	Customer work.CustomerName
	Queue    string
	Priority int
	Policy   *order.PermissionPolicy
	// Missing is how many tasks need workers; AtOnce is how many must start together: 1, or all of a
	// gang. Need is that of each.
	Missing, AtOnce int
	Need            leverdyke.Resources
	// IsAhead means that the step may not start yet, but is expected to while the permits are valid.
	IsAhead bool
	// IsUnserved means that the step's job, or one of its long-running tasks, has had nothing running for long
	// although there is capacity. Its call may use a channel that is kept for fast calls, which wait for a part of its time then.
	IsUnserved bool
}

// Call is a call to the permission service.
type Call struct {
	Channel string
	Workers []order.WorkerID
	// Timeout is how long the call may take.
	Timeout time.Duration
}

// NewPlanner returns a planner without channels.
func NewPlanner(options Options) *Planner {
	return &Planner{options: options, channels: Channels{FollowsDemand: !options.IsFixed}}
}

// Channels returns the channels through which calls are made.
func (p *Planner) Channels() *Channels { return &p.channels }

// Shares returns the shares of permitted workers that were learned.
func (p *Planner) Shares() *Shares { return &p.shares }

// Occupancy returns how much of the channels' time the customers take.
func (p *Planner) Occupancy() *Occupancy { return &p.occupancy }

// Claimed returns the capacity of a worker that is likely to be used by the steps of the priority, or of
// more urgent ones, whose calls are in flight.
func (p *Planner) Claimed(id order.WorkerID, priority int) leverdyke.Resources {
	return p.claims.OnWorker(id, priority)
}

// BeginPass allows as many calls as a scheduling pass may prepare.
func (p *Planner) BeginPass() {
	p.callsLeft, p.unservedCallsLeft, p.deferralsLeft = maxCallsPerPass, unservedCallsPerPass, maxDeferralsPerPass
}

// Plan returns the call to be made for a step now, if one is useful and a channel is free, and records
// it as made. find returns the workers that could be named; it is called at most once.
func (p *Planner) Plan(s *Step, r *Request, now time.Time, find func() []Candidate) (Call, bool) {
	call, outcome := p.plan(s, r, now, find)
	if outcome != Paused || s.outcome == "" {
		s.outcome = outcome
	}
	return call, outcome == Called
}

func (p *Planner) plan(s *Step, r *Request, now time.Time, find func() []Candidate) (Call, Outcome) {
	switch {
	case s.IsQuerying():
		return Call{}, InFlight
	case !s.MayQuery(now):
		return Call{}, Paused
	}
	budget := p.budgetFor(r)
	if *budget <= 0 {
		return Call{}, NoBudget
	}
	channel := p.channelFor(r, now)
	if channel == "" {
		p.occupancy.RecordNoChannel(now)
		return Call{}, NoChannel
	}
	*budget--
	found, isStartable := p.useful(s, r, now, find())
	workers := p.choose(found, r)
	if len(workers) == 0 {
		s.RecordNoCandidates(now)
		if r.Missing <= 0 {
			return Call{}, Sufficient
		}
		return Call{}, NoCandidates
	}
	if !isStartable && !p.mayPrepare(r, now) {
		p.postpone(s, r, budget, now)
		return Call{}, Deferred
	}
	// The workers that are named are sorted to the front.
	p.record(s, r, found[:len(workers)], workers, now)
	timeout := p.channels.BeginCall(channel, r.ID, r.Policy, len(workers), now)
	if !isStartable {
		p.channels.MarkPreparing(channel)
	}
	return Call{channel, workers, timeout}, Called
}

// budgetFor returns the number of calls that this pass may still prepare from which the call is taken.
func (p *Planner) budgetFor(r *Request) *int {
	if r.IsUnserved && p.callsLeft <= 0 {
		return &p.unservedCallsLeft
	}
	return &p.callsLeft
}

// channelFor returns a channel through which the call may be made now, or "". A kept channel may be used by
// unserved steps, and while they do, by steps of more urgent queues: these would find no channel that is not
// kept any more.
func (p *Planner) channelFor(r *Request, now time.Time) string {
	if name := p.channels.FreeChannel(r.Policy, now); name != "" {
		return name
	}
	isKeptInUse := now.Sub(p.keptUsedAt) < keptUseTime && !p.keptUsedAt.IsZero()
	if !r.IsUnserved && !(isKeptInUse && r.Priority < p.keptUsedBy) {
		return ""
	}
	name := p.channels.AnyFreeChannel()
	if r.IsUnserved && name != "" {
		if !isKeptInUse || r.Priority > p.keptUsedBy {
			p.keptUsedBy = r.Priority
		}
		p.keptUsedAt = now
	}
	return name
}

// startShare returns the share of workers to expect when it is decided whether a step could start.
func (p *Planner) startShare(queue string) float64 {
	if p.options.IsFixed {
		return 1
	}
	return p.shares.Of(queue)
}

// useful returns the candidates that a call may name now, and whether the step could start if it named
// them. It reduces the missing tasks of the request by those that are expected to start with permits that
// the step holds.
func (p *Planner) useful(s *Step, r *Request, now time.Time, found []Candidate) (rest []Candidate, isStartable bool) {
	isStartable = canStart(found, r.AtOnce, p.startShare(r.Queue), !s.MayDefer())
	rest, held := withoutPermits(found, r.AtOnce)
	if r.Missing -= held; r.Missing <= 0 {
		return nil, false
	}
	if isStartable && r.AtOnce == 1 && p.areScarce(now) {
		rest = slices.DeleteFunc(rest, func(c Candidate) bool { return c.Fits == 0 })
	}
	return rest, isStartable
}

// withoutPermits returns the candidates of which the step holds no permit, and how many tasks are expected
// to start with the permits that it holds, if atOnce must start together. It reorders its argument.
func withoutPermits(found []Candidate, atOnce int) (rest []Candidate, held int) {
	tasks := 0.0
	rest = slices.DeleteFunc(found, func(c Candidate) bool {
		switch {
		case !c.HasPermit:
			return false
		case c.Fits == 0 && atOnce == 1:
			tasks += freedTasks
		default:
			tasks += c.free()
		}
		return true
	})
	return rest, int(tasks)
}

// areScarce reports whether a step found no channel recently and few are free.
func (p *Planner) areScarce(now time.Time) bool {
	return p.occupancy.IsScarce(now) && !p.channels.HasSpare()
}

// mayPrepare reports whether a step may make a call although nothing could start on the answer now: through
// at most half of the channels, and if it is not a gang, while channels are not scarce.
func (p *Planner) mayPrepare(r *Request, now time.Time) bool {
	return !r.IsAhead && p.channels.MayPrepare() && (r.AtOnce > 1 || !p.areScarce(now))
}

// postpone makes a step leave the channels to others for a while. A step that asks ahead asks again
// once it may start.
func (p *Planner) postpone(s *Step, r *Request, budget *int, now time.Time) {
	if r.IsAhead {
		return
	}
	s.Defer(now)
	p.usages.of(r.Queue).Deferred++
	if p.deferralsLeft > 0 {
		p.deferralsLeft--
		*budget++
	}
}

func (p *Planner) choose(found []Candidate, r *Request) []order.WorkerID {
	if p.options.IsFixed {
		return ChooseWorkersUnlearned(found, r.Policy, r.Missing)
	}
	return ChooseWorkers(found, r.Policy, r.Missing, p.shares.Of(r.Queue))
}

// record records that a call is made.
func (p *Planner) record(s *Step, r *Request, named []Candidate, workers []order.WorkerID, now time.Time) {
	s.BeginQuery()
	s.calledAt = now
	p.occupancy.Record(r.Customer, callTime(r.Policy, len(workers)), now)
	if !p.options.IgnoresClaims {
		p.claims.Add(r.ID, r.Priority, workers, r.Missing, r.Need)
	}
	u := p.usages.of(r.Queue)
	u.Calls++
	u.Named += len(workers)
	u.Missing += r.Missing
	if r.IsAhead {
		u.Ahead++
	}
	for i := range named {
		if named[i].Fits == 0 {
			u.Full++
		}
		if named[i].IsPermitted {
			u.Known++
		}
	}
}

// RecordStart counts a start of a task of the step with the permit of a worker.
func (p *Planner) RecordStart(queue string, s *Step, id order.WorkerID) {
	if s.use(id) {
		p.usages.of(queue).Used++
	}
}

// End records that the call of a step has ended, answered or not, and returns how long it has occupied
// its channel; 0 if it was counted as lost before.
func (p *Planner) End(channel string, id work.StepID, now time.Time) time.Duration {
	took := p.channels.EndCall(channel, id, now)
	p.claims.Drop(id)
	return took
}

// Lost records that the call of a step was lost with its channel.
func (p *Planner) Lost(id work.StepID) { p.claims.Drop(id) }

// Failed counts a call for a queue that was not answered.
func (p *Planner) Failed(queue string) { p.usages.of(queue).Failed++ }

// RecordDuration counts how long an answered call about that many workers occupied its channel.
func (p *Planner) RecordDuration(queue string, policy *order.PermissionPolicy, workers int, took time.Duration) {
	if took <= 0 {
		return
	}
	u := p.usages.of(queue)
	u.Expected += callTime(policy, workers)
	u.Took += took
}

// Learn learns from an answer, before it is recorded in the step. isWanted is false if the step has no
// use for it any more.
func (p *Planner) Learn(queue string, s *Step, queried []order.WorkerID, permits []order.Permit, isWanted bool) {
	granted, asked, first := make(map[order.WorkerID]bool, len(permits)), 0, 0
	for i := range permits {
		granted[permits[i].Worker] = true
	}
	for _, id := range queried {
		if _, isKnown := s.IsAllowed(id); isKnown {
			continue
		}
		asked++
		if granted[id] {
			first++
		}
	}
	p.shares.Observe(queue, asked, first)
	u := p.usages.of(queue)
	u.Granted += len(permits)
	if !isWanted {
		u.Wasted++
	}
}

// TakeUsage returns the calls since it was last called, sorted by queue.
func (p *Planner) TakeUsage() []Usage {
	out := p.usages.take()
	for i := range out {
		out[i].Share = p.startShare(out[i].Queue)
	}
	return out
}
