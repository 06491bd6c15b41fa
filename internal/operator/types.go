// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package operator has the HTTP API that a node offers to operators, and the client of that
// API which the command line uses.
package operator

import (
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/rack"
)

// SubmitRequest submits a job. The client chooses the ID, so that a request that is sent
// again does not create a second job.
type SubmitRequest struct {
	ID string `json:"id"`
	// File is the name of the job file, for errors; Body is its text.
	File string `json:"file"`
	Body string `json:"body"`
}

// SubmitReply acknowledges that a job is accepted, which means that it is in the log.
type SubmitReply struct {
	ID string `json:"id"`
	// Offset is the offset of the job's record in the log.
	Offset int64 `json:"offset"`
}

// CancelRequest cancels jobs, with one append to the log for all of them.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// CancelReply has the number of jobs that were cancelled.
type CancelReply struct {
	Cancelled int `json:"cancelled"`
}

// RetireRequest states that the process of a node has ended and will not come back.
type RetireRequest struct {
	Node string `json:"node"`
}

// PublishRequest replaces a document, provided that its version in force is still Base. A
// document that does not exist yet has the version 0.
type PublishRequest struct {
	Base   uint64 `json:"base"`
	File   string `json:"file"`
	Body   string `json:"body"`
	Author string `json:"author"`
}

// Doc is the version of a document that is in force at the node that answers.
type Doc struct {
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Offset  int64     `json:"offset"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Body    string    `json:"body,omitempty"`
	History []Version `json:"history,omitempty"`
}

// Version is the metadata of an earlier version of a document.
type Version struct {
	Version uint64    `json:"version"`
	Offset  int64     `json:"offset"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
}

// Job is the state of a job according to the log, and what the owner of its job shard adds
// to it.
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
	// Live is the current state of the job's tasks, which only the owner of its job shard
	// knows. It is nil if the job has ended or the owner did not answer.
	Live *jobshard.JobStatus `json:"live,omitempty"`
}

// Status is the state of a node as it reports it itself.
type Status struct {
	Node        string `json:"node"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Applied is the offset up to which the node has applied the log.
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
	// Problem says why the node's status could not be fetched. Only it and Operators are set
	// then.
	Problem string `json:"problem,omitempty"`
}

// Worker is the state of a worker according to the owner of its rack.
type Worker = rack.WorkerStatus

// Problem is the body of an error response.
type Problem struct {
	Title   string            `json:"title"`
	Detail  string            `json:"detail"`
	Verdict leverdyke.Verdict `json:"verdict"`
	// IsConflict means that the document has changed since the base version of the request.
	IsConflict bool `json:"conflict,omitempty"`
	// IsInvalid means that the request or the file that it carries is invalid.
	IsInvalid bool `json:"invalid,omitempty"`
}
