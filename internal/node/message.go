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

	Ask       *Ask       `msgpack:"ak,omitempty"`
	Answer    *Answer    `msgpack:"an,omitempty"`
	Deed      *Deed      `msgpack:"de,omitempty"`
	HomeSync  *HomeSync  `msgpack:"hs,omitempty"`
	News      *News      `msgpack:"nw,omitempty"`
	NewsAck   *NewsAck   `msgpack:"na,omitempty"`
	Hold      *Hold      `msgpack:"ho,omitempty"`
	HoldReply *HoldReply `msgpack:"hr,omitempty"`
	Release   *Release   `msgpack:"re,omitempty"`

	GrantAsk    *GrantAsk    `msgpack:"ga,omitempty"`
	Grant       *Grant       `msgpack:"gr,omitempty"`
	GrantDone   *GrantDone   `msgpack:"gd,omitempty"`
	GrantRecall *GrantRecall `msgpack:"gc,omitempty"`
	GrantCheck  *GrantCheck  `msgpack:"gk,omitempty"`

	TailAsk  *TailAsk  `msgpack:"ta,omitempty"`
	Tail     *Tail     `msgpack:"tl,omitempty"`
	StateAsk *StateAsk `msgpack:"sa,omitempty"`
	State    *StateSet `msgpack:"st,omitempty"`

	OnceAsk   *OnceAsk   `msgpack:"oa,omitempty"`
	OnceReply *OnceReply `msgpack:"or,omitempty"`
	OnceKept  *OnceKept  `msgpack:"ok,omitempty"`
	OnceTaken *OnceTaken `msgpack:"ot,omitempty"`
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
	// Rooms has the summaries of the sender's racks that have changed.
	Rooms []Room `msgpack:"r,omitempty"`
	// Deputised lists the racks that the sender keeps alive as a deputy.
	Deputised []Deputised `msgpack:"d,omitempty"`
}

// Deputised is a rack under a deputy.
type Deputised struct {
	Rack  state.ShardID `msgpack:"r"`
	Epoch worker.Epoch  `msgpack:"e"`
}

// Room is a rack's summary: enough to choose a rack, never to promise a place.
type Room struct {
	Rack  state.ShardID `msgpack:"k"`
	Epoch worker.Epoch  `msgpack:"e"`
	Zone  string        `msgpack:"z"`
	// Free is the sum over the rack's usable workers, Largest the most that one
	// of them has free in each dimension, Capacity the largest VM.
	Free     leverdyke.Resources `msgpack:"f"`
	Largest  leverdyke.Resources `msgpack:"l"`
	Capacity leverdyke.Resources `msgpack:"c"`
	// Yield is what preemption for urgent work could free on one worker.
	Yield    leverdyke.Resources `msgpack:"y"`
	Workers  int                 `msgpack:"w"`
	Services []ServiceRoom       `msgpack:"s,omitempty"`
}

// ServiceRoom says how many requests of a service a rack could still take.
type ServiceRoom struct {
	Service  string `msgpack:"s"`
	Replicas int    `msgpack:"n"`
	Slots    int    `msgpack:"f"`
	// Yield counts further ones for which batches could be pushed aside.
	Yield int `msgpack:"y,omitempty"`
}

// Ask asks a rack's owner to start attempts. It is bound to the rack's epoch:
// an attempt is never asked for again under a later one before that owner has
// told the home all that runs in the rack.
type Ask struct {
	Home      state.ShardID `msgpack:"h"`
	HomeEpoch uint64        `msgpack:"e"`
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"k"`
	// Floor is the lowest attempt that the home still waits for at this rack;
	// it never goes down in a home's epoch. A late copy of an ask for an earlier
	// attempt must have no effect.
	Floor uint64    `msgpack:"f"`
	Items []AskItem `msgpack:"i"`
}

// AskItem is one attempt that is asked for.
type AskItem struct {
	Task worker.Task `msgpack:"t"`
	// Share is the part of its quota that the team uses, from 0 up; it settles
	// who goes first between teams of the same class.
	Share float64 `msgpack:"s"`
	// Age is how long the task has waited.
	Age     time.Duration `msgpack:"a"`
	Waiting float64       `msgpack:"w"`
	Packing float64       `msgpack:"p"`
	// HoldID is set when the attempt takes a place that was held before.
	HoldID uint64 `msgpack:"h,omitempty"`
	// IsStarved means that the job has long found no room anywhere: if there is
	// none here either, a VM is kept for it.
	IsStarved bool `msgpack:"v,omitempty"`
}

// Answer is the rack owner's word on asked attempts.
type Answer struct {
	Home      state.ShardID  `msgpack:"h"`
	Rack      state.ShardID  `msgpack:"r"`
	RackEpoch worker.Epoch   `msgpack:"k"`
	Results   []AnswerResult `msgpack:"i"`
	Room      *Room          `msgpack:"m,omitempty"`
}

// AnswerResult says that an attempt runs, or that it was not started and will
// not be started by this ask.
type AnswerResult struct {
	Key worker.Key `msgpack:"k"`
	// Worker is where it runs; empty when it was refused.
	Worker  worker.ID `msgpack:"w,omitempty"`
	Refused string    `msgpack:"x,omitempty"`
	// Expected is set when the task was refused because others of its job use
	// more than they declare: what it will most likely take.
	Expected *leverdyke.Resources `msgpack:"e,omitempty"`
}

// Deed tells a rack's owner to do something to a home's attempts.
type Deed struct {
	Home      state.ShardID `msgpack:"h"`
	HomeEpoch uint64        `msgpack:"e"`
	Rack      state.ShardID `msgpack:"r"`
	Deed      worker.Action `msgpack:"d"`
	Keys      []worker.Key  `msgpack:"k"`
}

// HomeSync makes the sender the home's only owner at the rack and asks for all
// attempts of the home there.
type HomeSync struct {
	Home      state.ShardID `msgpack:"h"`
	HomeEpoch uint64        `msgpack:"e"`
	Rack      state.ShardID `msgpack:"r"`
}

// News tells a home of its attempts in a rack.
type News struct {
	Home      state.ShardID `msgpack:"h"`
	Rack      state.ShardID `msgpack:"r"`
	RackEpoch worker.Epoch  `msgpack:"k"`
	// IsWhole says that Items has every attempt of the home in the rack that
	// the owner knows of.
	IsWhole bool `msgpack:"w,omitempty"`
	// IsComplete says that no worker of the rack may run an attempt that the
	// owner does not know of.
	IsComplete bool       `msgpack:"c,omitempty"`
	Items      []NewsItem `msgpack:"i"`
}

// NewsItem is the state of one attempt.
type NewsItem struct {
	Key    worker.Key       `msgpack:"k"`
	State  worker.TaskState `msgpack:"s"`
	Worker worker.ID        `msgpack:"w"`
	// IsLost says that the attempt is gone with its worker or its lease.
	IsLost bool `msgpack:"l,omitempty"`
	// IsBlamed says that the worker, not the job, is thought to be at fault.
	IsBlamed bool `msgpack:"b,omitempty"`
}

// NewsAck lets the rack's owner forget attempts that have ended.
type NewsAck struct {
	Home state.ShardID `msgpack:"h"`
	Rack state.ShardID `msgpack:"r"`
	Keys []worker.Key  `msgpack:"k"`
}

// Hold reserves room for several tasks of one all-at-once job until Expiry has
// passed or the places are asked for.
type Hold struct {
	Home      state.ShardID       `msgpack:"h"`
	HomeEpoch uint64              `msgpack:"e"`
	Rack      state.ShardID       `msgpack:"r"`
	RackEpoch worker.Epoch        `msgpack:"k"`
	ID        uint64              `msgpack:"i"`
	Each      leverdyke.Resources `msgpack:"n"`
	Count     int                 `msgpack:"c"`
	Class     leverdyke.Class     `msgpack:"l"`
	Age       time.Duration       `msgpack:"a"`
	Expiry    time.Duration       `msgpack:"x"`
}

// HoldReply says how many places are held.
type HoldReply struct {
	Home  state.ShardID `msgpack:"h"`
	Rack  state.ShardID `msgpack:"r"`
	ID    uint64        `msgpack:"i"`
	Count int           `msgpack:"c"`
	Room  *Room         `msgpack:"m,omitempty"`
}

// Release gives held places back.
type Release struct {
	Home state.ShardID `msgpack:"h"`
	Rack state.ShardID `msgpack:"r"`
	ID   uint64        `msgpack:"i"`
}

// GrantAsk asks a rack's owner for slots of a service's workers.
type GrantAsk struct {
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
	// Refused is set when there is no slot to give.
	Refused string `msgpack:"x,omitempty"`
}

// GrantDone returns a grant of which no request is in progress.
type GrantDone struct {
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

// TailAsk asks a peer for the log's batches after an offset.
type TailAsk struct {
	After int64 `msgpack:"a"`
}

// Tail has batches in order, without gaps, after the offset asked for; it is
// empty when the peer no longer has them.
type Tail struct {
	After   int64       `msgpack:"a"`
	Entries []TailEntry `msgpack:"e"`
}

// TailEntry is one batch as it stands in the log.
type TailEntry struct {
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// StateAsk asks a peer for its whole state.
type StateAsk struct{}

// StateSet is a peer's whole state.
type StateSet struct {
	Data []byte `msgpack:"d"`
}

// OnceAsk asks the node that was first to run a key for its answer.
type OnceAsk struct {
	ID  uint64   `msgpack:"i"`
	Key [16]byte `msgpack:"k"`
}

// OnceReply is the first answer, or says that it is not known.
type OnceReply struct {
	ID      uint64      `msgpack:"i"`
	IsKnown bool        `msgpack:"y,omitempty"`
	Answer  SavedAnswer `msgpack:"a"`
}

// OnceKept gives answers of a node that stops to a peer, for callers' retries.
type OnceKept struct {
	Answers []KeptAnswer `msgpack:"a"`
}

// KeptAnswer is the answer to a request that may not be repeated.
type KeptAnswer struct {
	Key    [16]byte    `msgpack:"k"`
	Answer SavedAnswer `msgpack:"a"`
}

// OnceTaken says that the answers of one OnceKept are kept.
type OnceTaken struct{}

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
