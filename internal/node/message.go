// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package node connects the nodes of a cluster: it defines the typed messages
// that they exchange and the links that carry these as msgpack frames over TCP.
package node

import (
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// ProtocolVersion is sent in the Hello of a link; a receiver of another version
// closes the link.
const ProtocolVersion = 1

// Message is the content of one frame. Exactly one field is set. Messages may be
// lost when a link breaks; a link never delivers a message twice.
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

// Hello is the first message on a connection and identifies the node that
// dialed it. A connection carries messages from the dialing node only.
type Hello struct {
	Version int          `msgpack:"v"`
	Node    state.NodeID `msgpack:"n"`
	// Incarnation is higher for each later process that runs as this node.
	Incarnation uint64 `msgpack:"i"`
	Zone        string `msgpack:"z"`
	Region      string `msgpack:"r"`
}

// Heartbeat is sent periodically: it shows that the sender is alive and carries
// its view of the log, of its peers and of its racks.
type Heartbeat struct {
	// Applied is the offset of the last log record that the sender has applied to
	// its state.
	Applied int64 `msgpack:"a"`
	// IsLogUnavailable means that the sender cannot reach the log.
	IsLogUnavailable bool `msgpack:"o,omitempty"`
	// IsDraining means that the sender hands over its shards and will leave.
	IsDraining bool `msgpack:"x,omitempty"`
	// Suspects lists the peers that the sender suspects of having failed.
	Suspects []state.NodeID `msgpack:"s,omitempty"`
	// Summaries has the summaries of those racks of the sender that have changed.
	Summaries []RackSummary `msgpack:"r,omitempty"`
	// DeputyRacks lists the racks whose leases the sender renews as a deputy: their
	// owner has failed, and while the log is unavailable no successor can claim them.
	DeputyRacks []DeputyRack `msgpack:"d,omitempty"`
}

// DeputyRack is a rack whose leases a deputy renews, with the epoch that it uses.
type DeputyRack struct {
	Rack  state.ShardID `msgpack:"r"`
	Epoch worker.Epoch  `msgpack:"e"`
}

// RackSummary is a rack's free capacity in short. It is used to choose a rack; it
// may be out of date, so only the rack's owner can say whether a task fits.
type RackSummary struct {
	Rack  state.ShardID `msgpack:"k"`
	Epoch worker.Epoch  `msgpack:"e"`
	Zone  string        `msgpack:"z"`
	// Free is the free capacity of all usable workers of the rack together;
	// Largest is, in each dimension, the most that any one of them has free;
	// Capacity is that of the largest VM.
	Free     leverdyke.Resources `msgpack:"f"`
	Largest  leverdyke.Resources `msgpack:"l"`
	Capacity leverdyke.Resources `msgpack:"c"`
	// Preemptible is how much capacity preemption for urgent work could free on
	// one worker.
	Preemptible leverdyke.Resources `msgpack:"y"`
	Workers     int                 `msgpack:"w"`
	Services    []ServiceCapacity   `msgpack:"s,omitempty"`
}

// ServiceCapacity is how many more requests of a service a rack could accept.
type ServiceCapacity struct {
	Service  string `msgpack:"s"`
	Replicas int    `msgpack:"n"`
	Slots    int    `msgpack:"f"`
	// PreemptibleSlots is how many more slots preemption of batch work could free.
	PreemptibleSlots int `msgpack:"y,omitempty"`
}

// StartRequest asks a rack's owner to start attempts. It is valid in one epoch of
// the rack only: the job shard does not request an attempt again in a later epoch
// until the new owner has reported every attempt that runs in the rack, because
// the earlier request may have been carried out.
type StartRequest struct {
	JobShard      state.ShardID `msgpack:"h"`
	JobShardEpoch uint64        `msgpack:"e"`
	Rack          state.ShardID `msgpack:"r"`
	RackEpoch     worker.Epoch  `msgpack:"k"`
	// MinAttempt is the lowest attempt number for which the job shard still waits
	// for this rack's reply; it never decreases within an epoch of the job shard.
	// The rack's owner starts no lower attempt: a request for one is a late
	// duplicate.
	MinAttempt uint64      `msgpack:"f"`
	Items      []StartItem `msgpack:"i"`
}

// StartItem is one attempt to start.
type StartItem struct {
	Task worker.Task `msgpack:"t"`
	// Share is the fraction of its quota that the team uses, 0 or more. Among
	// teams of the same class the one with the smaller share goes first.
	Share float64 `msgpack:"s"`
	// Age is how long the task has waited.
	Age time.Duration `msgpack:"a"`
	// WaitingWeight and PackingWeight are the weights of the placement policy:
	// the former prefers VMs with capacity left over, the latter VMs that the
	// task fills up.
	WaitingWeight float64 `msgpack:"w"`
	PackingWeight float64 `msgpack:"p"`
	// ReservationID is set if the attempt uses capacity reserved by a
	// ReserveRequest of this ID.
	ReservationID uint64 `msgpack:"h,omitempty"`
	// IsStarved means that the job has found no free capacity anywhere for a long
	// time. If there is none in this rack either, the rack keeps a VM free for it.
	IsStarved bool `msgpack:"v,omitempty"`
}

// StartReply is the rack owner's reply to the attempts of a StartRequest.
type StartReply struct {
	JobShard  state.ShardID `msgpack:"h"`
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"k"`
	Results   []StartResult `msgpack:"i"`
	Summary   *RackSummary  `msgpack:"m,omitempty"`
}

// StartResult says that an attempt runs, or that it was not started and that the
// request for it will not start it later.
type StartResult struct {
	Key worker.Key `msgpack:"k"`
	// Worker is where the attempt runs; empty if it was refused.
	Worker        worker.ID `msgpack:"w,omitempty"`
	RefusalReason string    `msgpack:"x,omitempty"`
	// ExpectedUsage is set if the task was refused because other tasks of its job
	// use more than they declare. It is the usage to expect of this one.
	ExpectedUsage *leverdyke.Resources `msgpack:"e,omitempty"`
}

// AttemptOrder orders a rack's owner to act on attempts of a job shard, such as
// to stop them. Attempts that the rack does not have are skipped.
type AttemptOrder struct {
	JobShard      state.ShardID `msgpack:"h"`
	JobShardEpoch uint64        `msgpack:"e"`
	Rack          state.ShardID `msgpack:"r"`
	Action        worker.Action `msgpack:"d"`
	Keys          []worker.Key  `msgpack:"k"`
}

// JobShardSync asks a rack's owner for all attempts of a job shard there. Once the
// rack's owner has received it, it rejects requests of earlier epochs of the job
// shard, so that a previous owner can no longer act there.
type JobShardSync struct {
	JobShard      state.ShardID `msgpack:"h"`
	JobShardEpoch uint64        `msgpack:"e"`
	Rack          state.ShardID `msgpack:"r"`
}

// AttemptReport reports the states of a job shard's attempts in a rack.
type AttemptReport struct {
	JobShard  state.ShardID `msgpack:"h"`
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"k"`
	// IsFullReport means that Items has every attempt of the job shard that the
	// rack's owner knows of.
	IsFullReport bool `msgpack:"w,omitempty"`
	// IsInventoryComplete means that the rack's owner knows every attempt that a
	// worker of the rack may run.
	IsInventoryComplete bool            `msgpack:"c,omitempty"`
	Items               []AttemptStatus `msgpack:"i"`
}

// AttemptStatus is the state of one attempt.
type AttemptStatus struct {
	Key    worker.Key       `msgpack:"k"`
	State  worker.TaskState `msgpack:"s"`
	Worker worker.ID        `msgpack:"w"`
	// IsLost means that the attempt was lost with its worker, or that its lease
	// expired.
	IsLost bool `msgpack:"l,omitempty"`
	// IsWorkerAtFault means that the failure is attributed to the worker, so that
	// it does not count against the job.
	IsWorkerAtFault bool `msgpack:"b,omitempty"`
}

// AttemptReportAck acknowledges ended attempts, so that the rack's owner may
// forget them.
type AttemptReportAck struct {
	JobShard state.ShardID `msgpack:"h"`
	Rack     state.ShardID `msgpack:"r"`
	Keys     []worker.Key  `msgpack:"k"`
}

// ReserveRequest reserves capacity for up to Count tasks of one all-at-once job. The
// reservation ends after Expiry, or when the tasks are started in it.
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

// ReserveReply says for how many tasks capacity is reserved.
type ReserveReply struct {
	JobShard state.ShardID `msgpack:"h"`
	Rack     state.ShardID `msgpack:"r"`
	ID       uint64        `msgpack:"i"`
	Count    int           `msgpack:"c"`
	Summary  *RackSummary  `msgpack:"m,omitempty"`
}

// ReservationRelease ends a reservation and frees its capacity.
type ReservationRelease struct {
	JobShard state.ShardID `msgpack:"h"`
	Rack     state.ShardID `msgpack:"r"`
	ID       uint64        `msgpack:"i"`
}

// GrantRequest asks a rack's owner for a grant: the right to send requests to
// slots of a worker that runs the service.
type GrantRequest struct {
	Rack    state.ShardID   `msgpack:"r"`
	Service string          `msgpack:"s"`
	Slots   int             `msgpack:"n"`
	Class   leverdyke.Class `msgpack:"c"`
}

// Grant gives its holder slots of one worker. It is valid until the holder returns
// it or the worker refuses a request under it.
type Grant struct {
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"e"`
	// Key identifies the grant when it is checked, recalled or returned.
	Key     worker.Key     `msgpack:"k"`
	Service string         `msgpack:"s"`
	Worker  worker.ID      `msgpack:"w"`
	Addr    netip.AddrPort `msgpack:"a"`
	Zone    string         `msgpack:"z"`
	Slots   int            `msgpack:"n"`
	// IsOnce means that requests that change something may not be repeated.
	IsOnce bool `msgpack:"o,omitempty"`
	// RefusalReason is set if no slot was granted.
	RefusalReason string `msgpack:"x,omitempty"`
}

// GrantReturn returns a grant under which no request is in progress.
type GrantReturn struct {
	Rack state.ShardID `msgpack:"r"`
	Key  worker.Key    `msgpack:"k"`
}

// GrantRecall asks the holder to return a grant as soon as the requests under it
// have ended.
type GrantRecall struct {
	Key worker.Key `msgpack:"k"`
}

// GrantCheck lists grants to their holder, which returns those that it does not
// have: the message with the grant, or with its return, may have been lost.
type GrantCheck struct {
	Rack state.ShardID `msgpack:"r"`
	Keys []worker.Key  `msgpack:"k"`
}

// LogRequest asks a peer for the batches of the log after an offset.
type LogRequest struct {
	After int64 `msgpack:"a"`
}

// LogReply has the batches after the requested offset, in order and without gaps.
// It is empty if the peer no longer has them.
type LogReply struct {
	After   int64      `msgpack:"a"`
	Batches []LogBatch `msgpack:"e"`
}

// LogBatch is one batch, encoded as in the log.
type LogBatch struct {
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// StateRequest asks a peer for its complete state. A node sends it if it has no
// state yet, or if the peer no longer has the batches that the node lacks.
type StateRequest struct{}

// StateReply is the complete state of a peer, encoded.
type StateReply struct {
	Data []byte `msgpack:"d"`
}

// SavedAnswerRequest asks the node that first ran the request with an idempotency
// key for the answer that it saved.
type SavedAnswerRequest struct {
	ID  uint64   `msgpack:"i"`
	Key [16]byte `msgpack:"k"`
}

// SavedAnswerReply has the answer to the first request with the key; IsKnown is
// false if the node has none.
type SavedAnswerReply struct {
	ID      uint64      `msgpack:"i"`
	IsKnown bool        `msgpack:"y,omitempty"`
	Answer  SavedAnswer `msgpack:"a"`
}

// SavedAnswerTransfer passes the saved answers of a node that stops to a peer,
// which then answers the callers' retries.
type SavedAnswerTransfer struct {
	Answers []KeyedAnswer `msgpack:"a"`
}

// KeyedAnswer is a saved answer with the idempotency key of its request.
type KeyedAnswer struct {
	Key    [16]byte    `msgpack:"k"`
	Answer SavedAnswer `msgpack:"a"`
}

// SavedAnswerTransferAck confirms that the peer has saved the answers of one
// SavedAnswerTransfer.
type SavedAnswerTransferAck struct{}

// SavedAnswer is the answer to a request that may not be repeated. It is saved so
// that a retry gets the same answer.
type SavedAnswer struct {
	Status  int               `msgpack:"s"`
	Header  []HeaderLine      `msgpack:"h"`
	Body    []byte            `msgpack:"b"`
	Verdict leverdyke.Verdict `msgpack:"v"`
	// Digest is the hash of the answered request. A retry with another digest is
	// a different request under the same key and is refused.
	Digest uint64 `msgpack:"g"`
}

// HeaderLine is one line of an answer's header.
type HeaderLine struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}
