// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Job is a job to submit.
type Job struct {
	ID    string
	Steps []Step
}

// Step is a step of a job.
type Step struct {
	// Tasks is the number of tasks, MilliCPU and MemoryMiB are what each of them needs.
	Tasks               int
	MilliCPU, MemoryMiB int64
	// Duration is how long a task runs; long-running tasks run until they are stopped.
	Duration      time.Duration
	IsLongRunning bool
	// DependsOn has the indexes of the steps that must have succeeded before this one starts.
	DependsOn []int
}

// Outcome is what a caller can tell about its request from the answer.
type Outcome string

// The outcomes.
const (
	// OutcomeAccepted means that the request was accepted, OutcomeRefused that it certainly had no effect.
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	// OutcomeUnknown means that no complete answer arrived, so that the request may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// body encodes the job in the JSON format of the platform.
func (j *Job) body() ([]byte, error) {
	steps := make([]map[string]any, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		steps[i] = map[string]any{"count": s.Tasks, "cpu": s.MilliCPU, "memMb": s.MemoryMiB, "estimatedMs": float64(s.Duration) / float64(time.Millisecond)}
		if s.IsLongRunning {
			steps[i]["perpetual"] = true
		}
		if len(s.DependsOn) > 0 {
			steps[i]["dependsOn"] = s.DependsOn
		}
	}
	data, err := json.Marshal(map[string]any{"spec": "", "steps": steps})
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return data, nil
}

// Submit registers a job with the fake platform and submits it through a node.
func (s *Site) Submit(ctx context.Context, n *Node, j *Job) (Outcome, error) {
	body, err := j.body()
	if err != nil {
		return "", err
	}
	if err := s.RegisterJob(j.ID, body); err != nil {
		return "", err
	}
	status, _, err := n.Do(ctx, http.MethodPost, QueuePrefix+j.ID, body)
	outcome := outcomeOf(status, err)
	if outcome == OutcomeAccepted {
		s.RecordAccepted(j.ID)
	}
	return outcome, nil
}

// Cancel asks a node to cancel a job.
func (n *Node) Cancel(ctx context.Context, id string) Outcome {
	status, _, err := n.Do(ctx, http.MethodDelete, QueuePrefix+id, nil)
	return outcomeOf(status, err)
}

func outcomeOf(status int, err error) Outcome {
	switch {
	case err != nil:
		return OutcomeUnknown
	case status == http.StatusOK:
		return OutcomeAccepted
	}
	return OutcomeRefused
}

// JobState asks a node for the state of a job and reports whether it answered with one. A final state is
// recorded as shown to a caller, after which the oracle expects it to stay.
func (s *Site) JobState(ctx context.Context, n *Node, id string) (string, bool) {
	status, body, err := n.Do(ctx, http.MethodGet, QueuePrefix+id, nil)
	if err != nil || status != http.StatusOK {
		return "", false
	}
	response := struct {
		State string `json:"state"`
	}{}
	if err := json.Unmarshal(body, &response); err != nil {
		s.oracle.addViolation(fmt.Sprintf("the state of %s cannot be decoded: %v", id, err))
		return "", false
	}
	if IsFinal(response.State) {
		s.RecordShownState(id, response.State)
	}
	return response.State, true
}

// Succeeded is the state of a job whose tasks have all succeeded.
const Succeeded = "succeeded"

// IsFinal reports whether a job in that state has ended.
func IsFinal(state string) bool {
	return state == Succeeded || state == "failed" || state == "cancelled"
}
