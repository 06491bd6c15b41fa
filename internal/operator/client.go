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

// ProblemError is an error response of a node.
type ProblemError struct {
	Problem
	// Status is the HTTP status of the response.
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

// Client sends requests to the nodes of a cluster, one node after the other until one
// answers. Requests that change something are idempotent, so it may send them again: a job
// is identified by its ID, and a published document by its base version.
type Client struct {
	nodes  []string
	client *http.Client
	// progress is called with the reason why a node is skipped.
	progress func(text string)
}

// The client tries all nodes up to maxRounds times, and waits for retryDelay in between.
const (
	maxRounds  = 5
	retryDelay = 500 * time.Millisecond
)

// NewClient returns a client that uses the given operators' addresses of nodes. The timeout
// applies to each request to one node. progress is called with the reason each time that a
// node is skipped; it may be nil.
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

// Publish replaces a document. If a response was lost, the repeated request conflicts with
// the change that the first one made. Publish recognizes its own change by version,
// text and author, and returns it as a success.
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

// Doc returns one document, with its text.
func (c *Client) Doc(ctx context.Context, name string) (*Doc, error) {
	result := &Doc{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/docs/"+name, nil, result)
}

// Nodes returns the status of every member of the cluster.
func (c *Client) Nodes(ctx context.Context) ([]Status, error) {
	result := []Status{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/nodes", nil, &result)
}

// Retire states that the process of a node has ended and will not come back.
func (c *Client) Retire(ctx context.Context, node string) error {
	return c.doWithRetries(ctx, http.MethodPost, "/v1/retire", RetireRequest{node}, &RetireRequest{})
}

// Workers lists the workers, as the owners of their racks report them.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	result := []Worker{}
	return result, c.doWithRetries(ctx, http.MethodGet, "/v1/workers", nil, &result)
}

// doWithRetries sends a request to one node after the other until one succeeds. It returns
// at once on an error that another node would return as well, and retries after any other.
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

// isPermanent reports whether an error is a response with a status below 500, which the
// other nodes would give as well.
func isPermanent(err error) bool {
	problem := &ProblemError{}
	return errors.As(err, &problem) && problem.Status < http.StatusInternalServerError
}

// tryNode sends a request to one node. If an error response cannot be decoded, its verdict
// is that the request may have run.
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
