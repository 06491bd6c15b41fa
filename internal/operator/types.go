// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package operator is the adapter for operators: the HTTP interface that a
// node offers them, and the client that the command line uses.
package operator

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/home"
	"github.com/leverdyke/leverdyke/internal/rack"
)

// SubmitRequest asks for a job. The client makes the ID, so that a submit that
// is sent again is the same job.
type SubmitRequest struct {
	ID string `json:"id"`
	// File names the job file in errors; Body is its text.
	File string `json:"file"`
	Body string `json:"body"`
}

// SubmitReply says that a job is accepted: it is in the log.
type SubmitReply struct {
	ID string `json:"id"`
	// Offset is where the job stands in the log.
	Offset int64 `json:"offset"`
}

// CancelRequest cancels jobs, all in one pass.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// CancelReply says how many jobs were cancelled.
type CancelReply struct {
	Cancelled int `json:"cancelled"`
}

// RetireRequest says that a node's process has ended and does not come back.
type RetireRequest struct {
	Node string `json:"node"`
}

// PublishRequest replaces a document whose version is still Base.
type PublishRequest struct {
	Base   uint64 `json:"base"`
	File   string `json:"file"`
	Body   string `json:"body"`
	Author string `json:"author"`
}

// Doc is a document as it is in force at the node that answers.
type Doc struct {
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Offset  int64     `json:"offset"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Body    string    `json:"body,omitempty"`
	History []Version `json:"history,omitempty"`
}

// Version is an earlier version of a document.
type Version struct {
	Version uint64    `json:"version"`
	Offset  int64     `json:"offset"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
}

// Job is a job as the log knows it, with what its home adds.
type Job struct {
	Spec        leverdyke.JobSpec           `json:"spec"`
	Offset      int64                       `json:"offset"`
	At          time.Time                   `json:"at"`
	IsEnded     bool                        `json:"ended"`
	IsCancelled bool                        `json:"cancelled"`
	Final       map[leverdyke.TaskState]int `json:"final"`
	Failures    int                         `json:"failures"`
	Reason      string                      `json:"reason,omitempty"`
	JobShard    string                      `json:"home"`
	// Live is what the home's owner knows; nil when the job has ended or the
	// owner did not answer.
	Live *home.JobStatus `json:"live,omitempty"`
}

// Status is what a node says of itself.
type Status struct {
	Node        string `json:"node"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Applied is the offset of the log that is in force at the node.
	Applied          int64    `json:"applied"`
	IsReady          bool     `json:"ready"`
	IsLogUnavailable bool     `json:"log_out"`
	IsJoined         bool     `json:"joined"`
	Racks            []string `json:"racks"`
	JobShards        []string `json:"homes"`
	Running          int      `json:"running"`
	Waiting          int      `json:"waiting_jobs"`
	Suspects         []string `json:"suspects"`
	Requests         int      `json:"requests_in_progress"`
	Operators        string   `json:"operators"`
	// Problem is set in place of all else when the node did not answer.
	Problem string `json:"problem,omitempty"`
}

// Worker is a worker as its owner sees it.
type Worker = rack.WorkerStatus

// Problem is the body of an error.
type Problem struct {
	Title   string            `json:"title"`
	Detail  string            `json:"detail"`
	Verdict leverdyke.Verdict `json:"verdict"`
	// IsConflict means that a document has changed since the base version.
	IsConflict bool `json:"conflict,omitempty"`
	// IsInvalid means that the file is at fault.
	IsInvalid bool `json:"invalid,omitempty"`
}
