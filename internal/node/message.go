// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package node is the adapter for the other nodes: the typed messages that
// nodes exchange and the links that carry them as msgpack frames over TCP.
package node

import (
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// ProtocolVersion is what both ends of a link must name in their greeting.
const ProtocolVersion = 1

// Message is what one frame carries. Exactly one field is set. Messages may be
// lost when a link breaks and are never delivered twice by a link.
type Message struct {
	Hello     *Hello     `msgpack:"he,omitempty"`
	Heartbeat *Heartbeat `msgpack:"hb,omitempty"`

	StartRequest       *StartRequest       `msgpack:"ak,omitempty"`
	StartReply         *StartReply         `msgpack:"an,omitempty"`
	AttemptOrder       *AttemptOrder       `msgpack:"de,omitempty"`
	JobShardSync       *JobShardSync       `msgpack:"hs,omitempty"`
	AttemptReport      *AttemptReport      `msgpack:"nw,omitempty"`
	AttemptReportAck   *AttemptReportAck   `msgpack:"na,omitempty"`
	ReserveRequest     *ReserveRequest     `msgpack:"ho,omitempty"`
	ReserveReply       *ReserveReply       `msgpack:"hr,omitempty"`
	ReservationRelease *ReservationRelease `msgpack:"re,omitempty"`

	GrantRequest *GrantRequest `msgpack:"ga,omitempty"`
	Grant        *Grant        `msgpack:"gr,omitempty"`
	GrantReturn  *GrantReturn  `msgpack:"gd,omitempty"`
	GrantRecall  *GrantRecall  `msgpack:"gc,omitempty"`
	GrantCheck   *GrantCheck   `msgpack:"gk,omitempty"`

	LogRequest   *LogRequest   `msgpack:"ta,omitempty"`
	LogReply     *LogReply     `msgpack:"tl,omitempty"`
	StateRequest *StateRequest `msgpack:"sa,omitempty"`
	StateReply   *StateReply   `msgpack:"st,omitempty"`

	SavedAnswerRequest     *SavedAnswerRequest     `msgpack:"oa,omitempty"`
	SavedAnswerReply       *SavedAnswerReply       `msgpack:"or,omitempty"`
	SavedAnswerTransfer    *SavedAnswerTransfer    `msgpack:"ok,omitempty"`
	SavedAnswerTransferAck *SavedAnswerTransferAck `msgpack:"ot,omitempty"`
}

// Hello opens a link in both directions.
type Hello struct {
	Version     int          `msgpack:"v"`
	Node        state.NodeID `msgpack:"n"`
	Incarnation uint64       `msgpack:"i"`
	Zone        string       `msgpack:"z"`
	Region      string       `msgpack:"r"`
}

// Heartbeat says that its sender lives and what it knows.
type Heartbeat struct {
	// Applied is the last offset that the sender folded and acts on.
	Applied int64 `msgpack:"a"`
	// IsLogOut says that the sender does not reach the log.
	IsLogOut bool `msgpack:"o,omitempty"`
	// IsDraining says that the sender is about to leave.
	IsDraining bool           `msgpack:"x,omitempty"`
	Suspects   []state.NodeID `msgpack:"s,omitempty"`
	// Summaries has the summaries of the sender's racks that have changed.
	Summaries []RackSummary `msgpack:"r,omitempty"`
	// DeputyRacks lists the racks that the sender keeps alive as a deputy.
	DeputyRacks []DeputyRack `msgpack:"d,omitempty"`
}

// DeputyRack is a rack under a deputy.
type DeputyRack struct {
	Rack  state.ShardID `msgpack:"r"`
	Epoch worker.Epoch  `msgpack:"e"`
}

// RackSummary is a rack's summary: enough to choose a rack, never to promise a place.
type RackSummary struct {
	Rack  state.ShardID `msgpack:"k"`
	Epoch worker.Epoch  `msgpack:"e"`
	Zone  string        `msgpack:"z"`
	// Free is the sum over the rack's usable workers, Largest the most that one
	// of them has free in each dimension, Capacity the largest VM.
	Free     leverdyke.Resources `msgpack:"f"`
	Largest  leverdyke.Resources `msgpack:"l"`
	Capacity leverdyke.Resources `msgpack:"c"`
	// Preemptible is what preemption for urgent work could free on one worker.
	Preemptible leverdyke.Resources `msgpack:"y"`
	Workers     int                 `msgpack:"w"`
	Services    []ServiceCapacity   `msgpack:"s,omitempty"`
}

// ServiceCapacity says how many requests of a service a rack could still take.
type ServiceCapacity struct {
	Service  string `msgpack:"s"`
	Replicas int    `msgpack:"n"`
	Slots    int    `msgpack:"f"`
	// PreemptibleSlots counts further ones for which batches could be pushed aside.
	PreemptibleSlots int `msgpack:"y,omitempty"`
}

// StartRequest asks a rack's owner to start attempts. It is bound to the rack's epoch:
// an attempt is never asked for again under a later one before that owner has
// told the home all that runs in the rack.
type StartRequest struct {
	JobShard      state.ShardID `msgpack:"h"`
	JobShardEpoch uint64        `msgpack:"e"`
	Rack          state.ShardID `msgpack:"r"`
	RackEpoch     worker.Epoch  `msgpack:"k"`
	// MinAttempt is the lowest attempt that the home still waits for at this rack;
	// it never goes down in a home's epoch. A late copy of an ask for an earlier
	// attempt must have no effect.
	MinAttempt uint64      `msgpack:"f"`
	Items      []StartItem `msgpack:"i"`
}

// StartItem is one attempt that is asked for.
type StartItem struct {
	Task worker.Task `msgpack:"t"`
	// Share is the part of its quota that the team uses, from 0 up; it settles
	// who goes first between teams of the same class.
	Share float64 `msgpack:"s"`
	// Age is how long the task has waited.
	Age           time.Duration `msgpack:"a"`
	WaitingWeight float64       `msgpack:"w"`
	PackingWeight float64       `msgpack:"p"`
	// ReservationID is set when the attempt takes a place that was held before.
	ReservationID uint64 `msgpack:"h,omitempty"`
	// IsStarved means that the job has long found no room anywhere: if there is
	// none here either, a VM is kept for it.
	IsStarved bool `msgpack:"v,omitempty"`
}

// StartReply is the rack owner's word on asked attempts.
type StartReply struct {
	JobShard  state.ShardID `msgpack:"h"`
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"k"`
	Results   []StartResult `msgpack:"i"`
	Summary   *RackSummary  `msgpack:"m,omitempty"`
}

// StartResult says that an attempt runs, or that it was not started and will
// not be started by this ask.
type StartResult struct {
	Key worker.Key `msgpack:"k"`
	// Worker is where it runs; empty when it was refused.
	Worker        worker.ID `msgpack:"w,omitempty"`
	RefusalReason string    `msgpack:"x,omitempty"`
	// ExpectedUsage is set when the task was refused because others of its job use
	// more than they declare: what it will most likely take.
	ExpectedUsage *leverdyke.Resources `msgpack:"e,omitempty"`
}

// AttemptOrder tells a rack's owner to do something to a home's attempts.
type AttemptOrder struct {
	JobShard      state.ShardID `msgpack:"h"`
	JobShardEpoch uint64        `msgpack:"e"`
	Rack          state.ShardID `msgpack:"r"`
	Effect        worker.Deed   `msgpack:"d"`
	Keys          []worker.Key  `msgpack:"k"`
}

// JobShardSync makes the sender the home's only owner at the rack and asks for all
// attempts of the home there.
type JobShardSync struct {
	JobShard      state.ShardID `msgpack:"h"`
	JobShardEpoch uint64        `msgpack:"e"`
	Rack          state.ShardID `msgpack:"r"`
}

// AttemptReport tells a home of its attempts in a rack.
type AttemptReport struct {
	JobShard  state.ShardID `msgpack:"h"`
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"k"`
	// IsFullReport says that Items has every attempt of the home in the rack that
	// the owner knows of.
	IsFullReport bool `msgpack:"w,omitempty"`
	// IsInventoryComplete says that no worker of the rack may run an attempt that the
	// owner does not know of.
	IsInventoryComplete bool            `msgpack:"c,omitempty"`
	Items               []AttemptStatus `msgpack:"i"`
}

// AttemptStatus is the state of one attempt.
type AttemptStatus struct {
	Key    worker.Key       `msgpack:"k"`
	State  worker.TaskState `msgpack:"s"`
	Worker worker.ID        `msgpack:"w"`
	// IsLost says that the attempt is gone with its worker or its lease.
	IsLost bool `msgpack:"l,omitempty"`
	// IsWorkerAtFault says that the worker, not the job, is thought to be at fault.
	IsWorkerAtFault bool `msgpack:"b,omitempty"`
}

// AttemptReportAck lets the rack's owner forget attempts that have ended.
type AttemptReportAck struct {
	JobShard state.ShardID `msgpack:"h"`
	Rack     state.ShardID `msgpack:"r"`
	Keys     []worker.Key  `msgpack:"k"`
}

// ReserveRequest reserves room for several tasks of one all-at-once job until Expiry has
// passed or the places are asked for.
type ReserveRequest struct {
	JobShard      state.ShardID       `msgpack:"h"`
	JobShardEpoch uint64              `msgpack:"e"`
	Rack          state.ShardID       `msgpack:"r"`
	RackEpoch     worker.Epoch        `msgpack:"k"`
	ID            uint64              `msgpack:"i"`
	Each          leverdyke.Resources `msgpack:"n"`
	Count         int                 `msgpack:"c"`
	Class         leverdyke.Class     `msgpack:"l"`
	Age           time.Duration       `msgpack:"a"`
	Expiry        time.Duration       `msgpack:"x"`
}

// ReserveReply says how many places are held.
type ReserveReply struct {
	JobShard state.ShardID `msgpack:"h"`
	Rack     state.ShardID `msgpack:"r"`
	ID       uint64        `msgpack:"i"`
	Count    int           `msgpack:"c"`
	Summary  *RackSummary  `msgpack:"m,omitempty"`
}

// ReservationRelease gives held places back.
type ReservationRelease struct {
	JobShard state.ShardID `msgpack:"h"`
	Rack     state.ShardID `msgpack:"r"`
	ID       uint64        `msgpack:"i"`
}

// GrantRequest asks a rack's owner for slots of a service's workers.
type GrantRequest struct {
	Rack    state.ShardID   `msgpack:"r"`
	Service string          `msgpack:"s"`
	Slots   int             `msgpack:"n"`
	Class   leverdyke.Class `msgpack:"c"`
}

// Grant gives slots of one worker, until the worker refuses their use.
type Grant struct {
	Rack      state.ShardID  `msgpack:"r"`
	RackEpoch worker.Epoch   `msgpack:"e"`
	Key       worker.Key     `msgpack:"k"`
	Service   string         `msgpack:"s"`
	Worker    worker.ID      `msgpack:"w"`
	Addr      netip.AddrPort `msgpack:"a"`
	Zone      string         `msgpack:"z"`
	Slots     int            `msgpack:"n"`
	IsOnce    bool           `msgpack:"o,omitempty"`
	// RefusalReason is set when there is no slot to give.
	RefusalReason string `msgpack:"x,omitempty"`
}

// GrantReturn returns a grant of which no request is in progress.
type GrantReturn struct {
	Rack state.ShardID `msgpack:"r"`
	Key  worker.Key    `msgpack:"k"`
}

// GrantRecall asks for a grant back as soon as its requests have ended.
type GrantRecall struct {
	Key worker.Key `msgpack:"k"`
}

// GrantCheck asks the holder of grants which of them it has: those that it
// lacks it returns. A grant, or its return, may have been lost on the way.
type GrantCheck struct {
	Rack state.ShardID `msgpack:"r"`
	Keys []worker.Key  `msgpack:"k"`
}

// LogRequest asks a peer for the log's batches after an offset.
type LogRequest struct {
	After int64 `msgpack:"a"`
}

// LogReply has batches in order, without gaps, after the offset asked for; it is
// empty when the peer no longer has them.
type LogReply struct {
	After   int64      `msgpack:"a"`
	Entries []LogBatch `msgpack:"e"`
}

// LogBatch is one batch as it stands in the log.
type LogBatch struct {
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// StateRequest asks a peer for its whole state.
type StateRequest struct{}

// StateReply is a peer's whole state.
type StateReply struct {
	Data []byte `msgpack:"d"`
}

// SavedAnswerRequest asks the node that was first to run a key for its answer.
type SavedAnswerRequest struct {
	ID  uint64   `msgpack:"i"`
	Key [16]byte `msgpack:"k"`
}

// SavedAnswerReply is the first answer, or says that it is not known.
type SavedAnswerReply struct {
	ID      uint64      `msgpack:"i"`
	IsKnown bool        `msgpack:"y,omitempty"`
	Answer  SavedAnswer `msgpack:"a"`
}

// SavedAnswerTransfer gives answers of a node that stops to a peer, for callers' retries.
type SavedAnswerTransfer struct {
	Answers []KeyedAnswer `msgpack:"a"`
}

// KeyedAnswer is the answer to a request that may not be repeated.
type KeyedAnswer struct {
	Key    [16]byte    `msgpack:"k"`
	Answer SavedAnswer `msgpack:"a"`
}

// SavedAnswerTransferAck says that the answers of one OnceKept are kept.
type SavedAnswerTransferAck struct{}

// SavedAnswer is an answer that is kept for a caller's retry.
type SavedAnswer struct {
	Status  int               `msgpack:"s"`
	Header  []HeaderLine      `msgpack:"h"`
	Body    []byte            `msgpack:"b"`
	Verdict leverdyke.Verdict `msgpack:"v"`
	// Digest is of the request that was answered; a retry must be the same.
	Digest uint64 `msgpack:"g"`
}

// HeaderLine is one line of an answer's header.
type HeaderLine struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}
