// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package cluster connects the nodes of a cluster, any of which can become the owner of the shard.
// One node at a time is the owner: it schedules all jobs. The other nodes find out which one it is,
// follow it over a link and forward callers' requests to it. When there is no owner, the nodes try
// to claim the shard with a conditional append to the store, which only one of them can win.
package cluster

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

// The kinds of messages between nodes, with the types of the body and, for calls, of the reply.
const (
	// kindHello is the first call on a link. Body: hello, reply: welcome.
	kindHello link.Kind = "hello"
	// kindOwnerHeartbeat is the owner's heartbeat, a notification. Body: ownerHeartbeat.
	kindOwnerHeartbeat link.Kind = "beat"
	// kindFollowerHeartbeat is a follower's heartbeat, a notification. Body: followerHeartbeat.
	kindFollowerHeartbeat link.Kind = "alive"
	// kindProbe asks a follower whether it still follows this owner. Body: empty, reply: ownerReply. A
	// follower of an earlier version replies that it is not the owner, which also shows that it uses the link.
	kindProbe link.Kind = "probe"
	// kindTestimony is a follower's notification to its new owner. Body: testimony. A node that sends none, like those of
	// earlier versions, is no witness.
	kindTestimony link.Kind = "testimony"
	// kindConsent asks a follower, as a witness, to consent to write-behind. Body: consentRequest, reply: consentReply.
	kindConsent link.Kind = "consent"
	// kindWithdraw tells a witness that its consent is not needed any more, a notification. Body: consentRequest.
	kindWithdraw link.Kind = "withdraw"
	// kindConfig fetches the active configuration. Body: empty, reply: configMessage.
	kindConfig link.Kind = "config"
	// kindClaim asks a follower to become the owner. Body: claimRequest, reply: empty, once it is.
	kindClaim link.Kind = "claim"
	// kindFitness asks a follower, before a handover because the owner is unfit, how fit it is. Body: empty, reply:
	// fitnessReply. A follower of an earlier version replies that it is not the owner.
	kindFitness link.Kind = "fitness"
	// kindSubmit submits a job to the owner. Body: work.Spec, reply: ownerReply.
	kindSubmit link.Kind = "submit"
	// kindState, kindCancel and kindPending ask the owner for the state of a job, to cancel a job,
	// and for the number of pending jobs of a queue. Body: jobQuery, reply: ownerReply.
	kindState   link.Kind = "state"
	kindCancel  link.Kind = "cancel"
	kindPending link.Kind = "pending"
	// kindPermission asks a follower to query the permission service, which decides which workers
	// may run a step. Body: permissionQuery, reply: permissionReply.
	kindPermission link.Kind = "advise"
	// kindStore asks a follower to send an HTTP request to the store. Body: the request, reply:
	// storeReply.
	kindStore link.Kind = "store"
	// kindDelegatedOrders is the owner's notification to a delegate with orders to workers. Body: a
	// batch of orders.
	kindDelegatedOrders link.Kind = "carry"
	// kindOutcomes is the delegate's notification to the owner with the outcomes of such orders.
	// Body: a list of outcomes.
	kindOutcomes link.Kind = "carried"
)

type empty struct{}

// hello describes the node that made a link.
type hello struct {
	Name string
	Zone string
	Addr netip.AddrPort
	// Incarnation distinguishes the processes of one node.
	Incarnation string
	// Age is how long the process has run.
	Age time.Duration
	// Strength is the number of processors of the node.
	Strength float64
	// Workers is how many workers the node can talk to as a delegate of the owner; 0 means that it
	// is no delegate.
	Workers int
}

// testimony is what the sender says as a witness. It consents to no owner before that of Epoch any more, and has consented to
// none after that of ConsentedEpoch.
type testimony struct{ Epoch, ConsentedEpoch uint64 }

// consentRequest names the owner that needs the consent of a witness, and the round of its request.
type consentRequest struct {
	Epoch, Round uint64
}

// consentReply says whether the witness consents.
type consentReply struct{ IsGiven bool }

// welcome is the reply to hello. Epoch is only set by the owner.
type welcome struct {
	Incarnation string
	IsOwner     bool
	Epoch       uint64
}

// ownerHeartbeat is sent by the owner to each follower.
type ownerHeartbeat struct {
	Epoch uint64
	// Record is the number of the owner's newest record in the store, RecordAge how long ago the
	// record was persisted.
	Record    uint64
	RecordAge time.Duration
	// UnflaggedSeq and UnflaggedAge are 0. Messages encode structs as arrays, and earlier versions have
	// fields of other meanings here.
	UnflaggedSeq uint64
	UnflaggedAge time.Duration
	// ConfigVersion is the version of the owner's active configuration.
	ConfigVersion uint64
	// MayHaveUnpersisted means that tasks may run on placements that are not in the store.
	MayHaveUnpersisted bool
}

// followerHeartbeat is sent by each follower to the owner.
type followerHeartbeat struct {
	// ConfigVersion is the version of the follower's active configuration.
	ConfigVersion uint64
	// IsLeaving means that the process is about to end.
	IsLeaving bool
	// IsStoreUnavailable means that the follower's last direct read from the store failed.
	IsStoreUnavailable bool
}

// claimRequest names the epoch of the owner that has stopped, so that a request that arrives late
// does not replace a later owner.
type claimRequest struct {
	Epoch uint64
	// IsUnfit means that the owner, which sent this request, stopped because it was unfit: its
	// process got too little processor time, or a follower's node is much stronger. Otherwise it
	// stopped because its process is about to end.
	IsUnfit bool
}

// fitnessReply says how fit a node is to own the shard.
type fitnessReply struct {
	// Lag is the share of the recent time for which the node was kept from running.
	Lag float64
	// UnfitLag is the lag with which it last handed over because it was too slow; 0 if it did not lately.
	UnfitLag float64
	// Unhelpful is how many handovers in a row did not help, as far as it knows.
	Unhelpful int
}

// configMessage is the active configuration of a node.
type configMessage struct {
	Version uint64
	// Compressed is the compressed configuration; it is empty when the node has none yet.
	Compressed []byte
}

// jobQuery is the body of kindState and kindCancel, which use Job and By, and of kindPending, which
// uses Queue.
type jobQuery struct {
	Job work.JobID
	// By is the caller on whose behalf the query is made.
	By    work.Caller
	Queue string
}

// ownerReply is the owner's reply to a caller's request.
type ownerReply struct {
	State   work.JobState
	IsKnown bool
	Count   int
	// Verdict is set when the request failed; the fields after it describe the failure.
	Verdict    leverdyke.Verdict
	Reason     string
	RetryAfter int
	Refusal    leverdyke.Refusal
	// IsOwnerChange means that the request failed because the owner changes, and that the next
	// owner can answer it.
	IsOwnerChange bool
}

// failure returns the error that the reply describes, or nil.
func (a *ownerReply) failure() error {
	if a.Verdict == "" {
		return nil
	}
	e := &leverdyke.Error{Verdict: a.Verdict, Reason: a.Reason, RetryAfterSeconds: a.RetryAfter, Refusal: a.Refusal}
	if a.IsOwnerChange {
		return &owner.ChangeError{Failure: e}
	}
	return e
}

// replyFor returns a reply that describes err, which may be nil.
func replyFor(err error) *ownerReply {
	if err == nil {
		return &ownerReply{}
	}
	if e := (&leverdyke.Error{}); errors.As(err, &e) {
		return &ownerReply{Verdict: e.Verdict, Reason: e.Reason, RetryAfter: e.RetryAfterSeconds, Refusal: e.Refusal, IsOwnerChange: isOwnerChange(err)}
	}
	return &ownerReply{Verdict: leverdyke.VerdictMayHaveRun, Reason: err.Error()}
}

// permissionQuery asks which of the workers may run the step.
type permissionQuery struct {
	Step    work.StepID
	Workers []order.WorkerID
}

// permissionReply is the permission service's answer: the permits, and how long they are valid.
type permissionReply struct {
	Permits  []order.Permit
	ValidFor time.Duration
}

// storeReply is the store's response, or the reason why there is none. IsUnsent means that the
// request was certainly not sent, so that the store did nothing.
type storeReply struct {
	Response *fallback.Response
	IsUnsent bool
	Failure  string
}
