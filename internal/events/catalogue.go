// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package events has the numbered events that the programs log, and the queue through which
// log lines are written. docs/EVENTS.md lists the events for operators; a test checks that
// it has the same numbers, levels and texts.
package events

import (
	"fmt"

	"k8s.io/klog/v2"
)

// Event is a kind of event.
type Event struct {
	// Number identifies the event in logs and alerts. The number of an event that is no
	// longer logged is not given to another one.
	Number int
	// Name is a short text, which is the message of the log line.
	Name string
	// Level is the severity of the event.
	Level Level
}

// Level is the severity of an event.
type Level string

// The levels.
const (
	LevelInfo    Level = "info"
	LevelWarning Level = "warning"
	LevelError   Level = "error"
)

// The events. The hundreds of a number name the part of the program: 100 the node and its
// peers, 200 the log and the store, 300 ownership and configuration, 400 tasks, jobs,
// requests and workers.
var (
	NodeStarted       = add(100, "node started", LevelInfo)
	NodeJoined        = add(101, "node joined the cell", LevelInfo)
	NodeDraining      = add(102, "node drains", LevelInfo)
	NodeStopped       = add(103, "node stopped", LevelInfo)
	NodePaused        = add(104, "node was paused", LevelWarning)
	NodeReplaced      = add(105, "a later process has this node's name", LevelError)
	SettingsReloaded  = add(106, "settings read again", LevelInfo)
	SettingsInvalid   = add(107, "settings cannot be read", LevelError)
	PeerSuspected     = add(110, "peer is silent", LevelWarning)
	PeerRecovered     = add(111, "peer is heard again", LevelInfo)
	PeerEnded         = add(112, "peer has ended", LevelInfo)
	FewPeersReachable = add(113, "this node hears few peers and asks them through the log", LevelWarning)
	BadFrame          = add(120, "link closed because of its bytes", LevelWarning)
	LogLinesDropped   = add(130, "lines of the log were dropped", LevelWarning)

	LogUnavailable  = add(200, "log does not answer", LevelError)
	LogRecovered    = add(201, "log answers again", LevelInfo)
	BadRecord       = add(202, "record cannot be read", LevelError)
	SnapshotTaken   = add(203, "snapshot written", LevelInfo)
	SnapshotRead    = add(204, "state taken from a snapshot", LevelInfo)
	StateFromPeer   = add(205, "state taken from a peer", LevelWarning)
	RecordsFromPeer = add(206, "records taken from a peer", LevelInfo)

	ShardOwned            = add(300, "shard owned", LevelInfo)
	ShardDropped          = add(301, "shard no longer owned", LevelInfo)
	ShardDeputy           = add(302, "rack kept alive as a deputy", LevelWarning)
	RackReportComplete    = add(303, "rack has told all that runs", LevelInfo)
	RackFenced            = add(304, "workers obey another owner", LevelWarning)
	JobShardSynced        = add(305, "home knows all that runs", LevelInfo)
	ClaimRefused          = add(306, "claim came too late", LevelInfo)
	HandedOver            = add(307, "shard handed over", LevelInfo)
	OwnerFollowed         = add(308, "node follows the owner", LevelInfo)
	OwnerPaused           = add(325, "owner was paused", LevelWarning)
	OwnerTooSlow          = add(312, "owner is too slow and hands over", LevelWarning)
	OwnerStaysTooSlow     = add(326, "owner is too slow, and goes on", LevelWarning)
	PreviousAttemptsEnded = add(465, "what an earlier owner started on a worker is over", LevelInfo)
	UncertaintyEnded      = add(468, "no task can run where nobody knows any more", LevelInfo)
	OwnerTotals           = add(466, "totals of the owner", LevelInfo)
	ConsentRequested      = add(498, "owner asks for consent to run ahead of the store", LevelInfo)
	WriteBehindChanged    = add(309, "owner runs ahead of the store, or no longer", LevelWarning)
	DelegatesChanged      = add(314, "number of nodes that carry for the owner changes", LevelInfo)
	DelegateLost          = add(319, "node that carried orders is lost", LevelInfo)
	DelegateFailed        = add(315, "node does not carry orders", LevelWarning)
	WorkersMoved          = add(490, "workers move between delegates", LevelInfo)
	LearnedIgnored        = add(491, "digest of what owners learned is not used", LevelWarning)
	LearnedRestored       = add(492, "digest of what owners learned is used", LevelInfo)
	ZoneDrainsFailed      = add(316, "drained availability zones are not read", LevelWarning)
	WorkersListed         = add(317, "list of workers read for the first time", LevelInfo)
	PreviousOwnerStopped  = add(318, "previous owner cannot act any more", LevelInfo)
	VMListFailed          = add(310, "list of VMs does not answer", LevelWarning)
	ConfigInForce         = add(320, "document in force", LevelInfo)
	ConfigUnreadable      = add(321, "document in the log cannot be read", LevelError)
	ConfigUnavailable     = add(322, "configuration is not read", LevelWarning)
	ConfigPartlyInvalid   = add(324, "configuration has entries that are not in force", LevelWarning)
	ConfigRecovered       = add(323, "configuration is read again", LevelInfo)

	TaskPlaced             = add(400, "task placed", LevelInfo)
	TaskRouted             = add(401, "task sent to a rack", LevelInfo)
	TaskStarted            = add(402, "task started", LevelInfo)
	RequestRouted          = add(403, "request routed", LevelInfo)
	RequestRefused         = add(404, "request refused", LevelInfo)
	RequestInterrupted     = add(405, "request broke off", LevelWarning)
	TaskPreempted          = add(410, "task pushed aside", LevelInfo)
	TaskFateUnknown        = add(411, "task may have run and is not run again", LevelError)
	TaskOverdue            = add(412, "task runs that should have ended", LevelError)
	TaskRunsTwice          = add(413, "two attempts of a task were seen", LevelError)
	JobCannotRun           = add(420, "job can never run", LevelWarning)
	JobFailed              = add(421, "job failed", LevelWarning)
	JobAccepted            = add(422, "job accepted", LevelInfo)
	JobCancelled           = add(423, "job cancelled", LevelInfo)
	GangRestarted          = add(424, "all-at-once job has to start again", LevelWarning)
	WorkerLost             = add(430, "worker's leases have lapsed", LevelWarning)
	WorkerEjected          = add(431, "worker set aside", LevelWarning)
	WorkerProbed           = add(432, "worker is tried again", LevelInfo)
	WorkerReadmitted       = add(433, "worker is in use again", LevelInfo)
	WorkerSilent           = add(434, "worker does not answer", LevelWarning)
	WorkerLeaving          = add(435, "worker is leaving", LevelInfo)
	ZoneDrained            = add(438, "availability zone is drained", LevelInfo)
	ZoneReturned           = add(439, "availability zone is in use again", LevelInfo)
	WorkerOverused         = add(436, "worker is used beyond what it has, and nothing can be pushed off", LevelWarning)
	WorkerSlow             = add(437, "worker is slow", LevelWarning)
	SpeculativeCopyStarted = add(464, "copy of a task started", LevelInfo)
	RequestRunElsewhere    = add(440, "request was run by another node", LevelInfo)
	ResponsesSentToPeer    = add(441, "answers for retries given to a peer", LevelInfo)

	StepPlaced             = add(450, "tasks of a step placed", LevelInfo)
	StepBlockedByLimit     = add(475, "limit of a customer holds a step back", LevelInfo)
	StartUnacknowledged    = add(451, "order to start was not answered", LevelWarning)
	StartRefused           = add(452, "worker refused a start", LevelWarning)
	AttemptEnded           = add(453, "attempt ended without success", LevelInfo)
	AttemptMissing         = add(454, "worker no longer knows an attempt", LevelWarning)
	AttemptStalled         = add(455, "attempt stands still", LevelWarning)
	JobEnded               = add(456, "job is over", LevelInfo)
	PermissionQueryFailed  = add(457, "nobody told which workers may run a step", LevelWarning)
	WorkerUnlisted         = add(460, "worker is no longer in the list", LevelInfo)
	IncarnationEnded       = add(461, "worker's life is over", LevelInfo)
	TaskCrashes            = add(472, "task crashes its workers and is given up", LevelWarning)
	WorkerResized          = add(473, "room of a worker changes", LevelInfo)
	WorkerRestarted        = add(474, "worker has started again under its ID", LevelInfo)
	AttemptEndedWithWorker = add(471, "attempt ended with its worker", LevelInfo)
	WorkerConnsRefused     = add(496, "workers refuse connections", LevelWarning)
	SilentWorkerAnswers    = add(497, "worker that was handed on as silent answers", LevelInfo)
	LateSuccess            = add(495, "run ended as done after it was given up", LevelWarning)
	WorkerLeft             = add(467, "worker has left as planned", LevelInfo)
	PreviousAttemptsKnown  = add(462, "all that an earlier owner started is known", LevelInfo)
	CancelAnswered         = add(470, "cancelling of a job answered", LevelInfo)
	TasksWaited            = add(477, "tasks have waited", LevelInfo)
	JobsServed             = add(493, "jobs were served", LevelInfo)
	AttemptTooSlow         = add(484, "attempt is too slow", LevelInfo)
	WorkLost               = add(480, "work was thrown away", LevelInfo)
	PermissionsQueried     = add(486, "permissions were queried", LevelInfo)
	PermissionChannels     = add(487, "channels to the permission service", LevelInfo)
	TaskNotRunning         = add(479, "nothing of a task that lasts runs", LevelWarning)
	JobStandsStill         = add(499, "nothing of a job runs although workers have room", LevelWarning)
	JobWaits               = add(500, "nothing of a job runs", LevelInfo)
	WorkersBySpeed         = add(482, "workers by speed", LevelInfo)
	KeyRefused             = add(478, "call carries no key that is in force", LevelInfo)
	JobOfOtherCustomer     = add(476, "job of another customer was asked for", LevelWarning)
	JobRefused             = add(458, "job refused", LevelWarning)
	PaceFailed             = add(459, "worker was not told the pace of a task", LevelWarning)
	JobsLoaded             = add(463, "jobs read from the store", LevelInfo)
	UnexpectedOffset       = add(217, "records in the store that the owner does not know", LevelError)
	SavedStatesNotStored   = add(218, "saved states of a job are too long for the store", LevelWarning)
	StoreFailed            = add(216, "platform's store did not do what was asked", LevelWarning)
	CallersLimited         = add(520, "callers meet a limit", LevelWarning)
	VMListRecovered        = add(311, "list of VMs answers again", LevelInfo)
)

// catalogue has every event that add has created.
var catalogue []Event

// add creates an event and adds it to the catalogue.
func add(number int, name string, level Level) Event {
	e := Event{number, name, level}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns a copy of the list of all events, in the order of their declaration.
func Catalogue() []Event { return append([]Event{}, catalogue...) }

// Log writes an event to the log, with its number as the key "event" and then the given keys
// and values, which alternate.
func Log(e Event, keysAndValues ...any) {
	fields := append([]any{"event", fmt.Sprintf("LD%04d", e.Number)}, keysAndValues...)
	switch e.Level {
	case LevelError:
		klog.ErrorSDepth(1, nil, e.Name, fields...)
	case LevelWarning, LevelInfo:
		klog.InfoSDepth(1, e.Name, fields...)
	}
}
