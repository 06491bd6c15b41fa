// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package cell joins equal nodes: it finds out which of them owns the shard,
// becomes the owner when there is none, and passes callers' requests on.
package cell

import (
	"errors"
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

// The kinds of messages between nodes.
const (
	// kindHello is the first call on a link: hello, welcome.
	kindHello link.Kind = "hello"
	// kindBeat is the owner's notification that it lives: beat.
	kindBeat link.Kind = "beat"
	// kindAlive is a follower's: alive.
	kindAlive link.Kind = "alive"
	// kindConfig asks for the configuration in force: empty, configMessage.
	kindConfig link.Kind = "config"
	// kindClaim asks a follower to become the owner: claimCall, empty.
	kindClaim link.Kind = "claim"
	// kindSubmit hands in a job: work.Spec, answer.
	kindSubmit link.Kind = "submit"
	// kindState, kindCancel and kindPending ask the owner: question, answer.
	kindState   link.Kind = "state"
	kindCancel  link.Kind = "cancel"
	kindPending link.Kind = "pending"
	// kindAdvise asks which workers may run a step: adviseCall, adviseReply.
	kindAdvise link.Kind = "advise"
	// kindStore sends a request to the store: fallback.Request, storeReply.
	kindStore link.Kind = "store"
	// kindCarry is the owner's notification of orders to workers: delegate.Batch.
	kindCarry link.Kind = "carry"
	// kindCarried is the notification of what became of them: []delegate.Outcome.
	kindCarried link.Kind = "carried"
)

type empty struct{}

// hello says who a node is.
type hello struct {
	Name string
	Zone string
	Addr netip.AddrPort
	// Life tells the processes of one node apart.
	Life string
	// Age is how long the process has run.
	Age time.Duration
	// Strength is how many processors the node has.
	Strength float64
	// Workers is how many workers the node can talk to for the owner.
	Workers int
}

// welcome is the answer to hello.
type welcome struct {
	Life    string
	IsOwner bool
	Epoch   uint64
}

// beat is sent by the owner.
type beat struct {
	Epoch uint64
	// Record is the number of the owner's newest record in the store, RecordAge how
	// long ago it was kept.
	Record    uint64
	RecordAge time.Duration
	// PlainRecord is the number of the owner's last record without a mark, on its way to
	// the store or there, PlainAge how long ago it was sent; see owner.PlainAge.
	PlainRecord uint64
	PlainAge    time.Duration
	// ConfigVersion is that of the configuration in force at the owner.
	ConfigVersion uint64
	// IsUnlogged means that the owner has started tasks whose places the store does
	// not have.
	IsUnlogged bool
}

// alive is sent by followers.
type alive struct {
	ConfigVersion uint64
	// IsLeaving means that the process is about to end.
	IsLeaving bool
	// IsTurnedAway means that the store does not serve this node itself.
	IsTurnedAway bool
}

// claimCall names the epoch of the owner that has stopped: a call that comes late
// must not end a later one.
type claimCall struct {
	Epoch uint64
	// IsUnfit means that the owner stopped because it was unfit.
	IsUnfit bool
}

// configMessage is the configuration in force at a node.
type configMessage struct {
	Version uint64
	// Packed is compressed; it is empty before the first.
	Packed []byte
}

type question struct {
	Job work.JobID
	// By is who asks for the job.
	By    work.Caller
	Queue string
}

// answer is the owner's answer to a caller's request.
type answer struct {
	State   work.JobState
	IsKnown bool
	Count   int
	// Verdict is set when the request failed.
	Verdict    leverdyke.Verdict
	Reason     string
	RetryAfter int
	Refusal    leverdyke.Refusal
	// IsAway means that the next owner can answer.
	IsAway bool
}

// failure returns the error that the answer tells, or nil.
func (a *answer) failure() error {
	if a.Verdict == "" {
		return nil
	}
	e := &leverdyke.Error{Verdict: a.Verdict, Reason: a.Reason, RetryAfterSeconds: a.RetryAfter, Refusal: a.Refusal}
	if a.IsAway {
		return &owner.ChangeError{Failure: e}
	}
	return e
}

// answerOf returns an answer that tells the error, which may be nil.
func answerOf(err error) *answer {
	if err == nil {
		return &answer{}
	}
	if e := (&leverdyke.Error{}); errors.As(err, &e) {
		return &answer{Verdict: e.Verdict, Reason: e.Reason, RetryAfter: e.RetryAfterSeconds, Refusal: e.Refusal, IsAway: isAway(err)}
	}
	return &answer{Verdict: leverdyke.VerdictMayHaveRun, Reason: err.Error()}
}

type adviseCall struct {
	Step    work.StepID
	Workers []order.WorkerID
}

type adviseReply struct {
	Good  []order.Ticket
	Valid time.Duration
}

// storeReply is a service's answer, or why there is none.
type storeReply struct {
	Response *fallback.Response
	IsUnsent bool
	Failure  string
}
