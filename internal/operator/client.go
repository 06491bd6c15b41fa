// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/leverdyke/leverdyke"
)

// ProblemError is a node's refusal.
type ProblemError struct {
	Problem
	Status int
}

// Error returns the text of the error.
func (e *ProblemError) Error() string {
	text := e.Title
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return fmt.Sprintf("operator: %s (%s)", text, e.Verdict)
}

// Client asks the nodes of a cell, one after the other until one answers. Its
// changes may be sent again: a submit by its ID, a publish by its base.
type Client struct {
	nodes  []string
	client *http.Client
	// progress is told what the client waits for; nil means nobody.
	progress func(text string)
}

const (
	maxRounds  = 5
	retryDelay = 500 * time.Millisecond
)

// NewClient returns a client for the operators' addresses of some nodes.
func NewClient(nodes []string, timeout time.Duration, progress func(text string)) *Client {
	if progress == nil {
		progress = func(string) {}
	}
	return &Client{nodes: nodes, client: &http.Client{Timeout: timeout}, progress: progress}
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, request *SubmitRequest) (*SubmitReply, error) {
	result := &SubmitReply{}
	return result, c.doWithRetries(ctx, http.MethodPost, "/v1/jobs", request, result)
}

// Jobs lists the jobs.
func (c *Client) Jobs(ctx context.Context) ([]Job, error) {
	result := []Job{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/jobs", nil, &result)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (*Job, error) {
	result := &Job{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/jobs/"+id, nil, result)
}

// Cancel cancels jobs.
func (c *Client) Cancel(ctx context.Context, ids []string) (*CancelReply, error) {
	result := &CancelReply{}
	return result, c.doWithRetries(ctx, http.MethodPost, "/v1/cancel", CancelRequest{ids}, result)
}

// Publish replaces a document. After a lost reply, sending it again may find
// its own change in force: that is a success.
func (c *Client) Publish(ctx context.Context, doc string, request *PublishRequest) (*Doc, error) {
	result := &Doc{}
	err := c.doWithRetries(ctx, http.MethodPut, "/v1/docs/"+doc, request, result)
	problem := &ProblemError{}
	if errors.As(err, &problem) && problem.IsConflict {
		current, getErr := c.Doc(ctx, doc)
		if getErr == nil && current.Version == request.Base+1 && current.Body == request.Body && current.Author == request.Author {
			return current, nil
		}
	}
	return result, err
}

// Docs lists the documents in force.
func (c *Client) Docs(ctx context.Context) ([]Doc, error) {
	result := []Doc{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/docs", nil, &result)
}

// Doc returns one document.
func (c *Client) Doc(ctx context.Context, name string) (*Doc, error) {
	result := &Doc{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/docs/"+name, nil, result)
}

// Nodes returns what every member says of itself.
func (c *Client) Nodes(ctx context.Context) ([]Status, error) {
	result := []Status{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/nodes", nil, &result)
}

// Retire says that a node's process has ended and does not come back.
func (c *Client) Retire(ctx context.Context, node string) error {
	return c.doWithRetries(ctx, http.MethodPost, "/v1/retire", RetireRequest{node}, &RetireRequest{})
}

// Workers lists the workers as their owners see them.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	result := []Worker{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/workers", nil, &result)
}

// do tries the nodes in turn. A refusal that another node would give as well
// ends it; what may pass is tried again.
func (c *Client) doWithRetries(ctx context.Context, method, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	var lastErr error
	for attempt := range maxRounds {
		for _, node := range c.nodes {
			lastErr = c.tryNode(ctx, method, node, path, body, result)
			if lastErr == nil || isPermanent(lastErr) || ctx.Err() != nil {
				return lastErr
			}
			c.progress(fmt.Sprintf("%s: %v", node, lastErr))
		}
		if attempt == maxRounds-1 {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
	return lastErr
}

func isPermanent(err error) bool {
	problem := &ProblemError{}
	return errors.As(err, &problem) && problem.Status < http.StatusInternalServerError
}

func (c *Client) tryNode(ctx context.Context, method, node, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		problem := &ProblemError{Status: res.StatusCode}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(&problem.Problem); err != nil {
			problem.Title = res.Status
			problem.Verdict = leverdyke.VerdictMayHaveRun
		}
		return problem
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(result); err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	return nil
}
