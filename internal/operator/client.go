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
	rounds     = 5
	roundPause = 500 * time.Millisecond
)

// NewClient returns a client for the operators' addresses of some nodes.
func NewClient(nodes []string, timeout time.Duration, progress func(text string)) *Client {
	if progress == nil {
		progress = func(string) {}
	}
	return &Client{nodes: nodes, client: &http.Client{Timeout: timeout}, progress: progress}
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, r *SubmitRequest) (*SubmitReply, error) {
	out := &SubmitReply{}
	return out, c.do(ctx, http.MethodPost, "/v1/jobs", r, out)
}

// Jobs lists the jobs.
func (c *Client) Jobs(ctx context.Context) ([]Job, error) {
	out := []Job{}
	return out, c.do(ctx, http.MethodGet, "/v1/jobs", nil, &out)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (*Job, error) {
	out := &Job{}
	return out, c.do(ctx, http.MethodGet, "/v1/jobs/"+id, nil, out)
}

// Cancel cancels jobs.
func (c *Client) Cancel(ctx context.Context, ids []string) (*CancelReply, error) {
	out := &CancelReply{}
	return out, c.do(ctx, http.MethodPost, "/v1/cancel", CancelRequest{ids}, out)
}

// Publish replaces a document. After a lost reply, sending it again may find
// its own change in force: that is a success.
func (c *Client) Publish(ctx context.Context, doc string, r *PublishRequest) (*Doc, error) {
	out := &Doc{}
	err := c.do(ctx, http.MethodPut, "/v1/docs/"+doc, r, out)
	p := &ProblemError{}
	if errors.As(err, &p) && p.IsConflict {
		now, getErr := c.Doc(ctx, doc)
		if getErr == nil && now.Version == r.Base+1 && now.Body == r.Body && now.Author == r.Author {
			return now, nil
		}
	}
	return out, err
}

// Docs lists the documents in force.
func (c *Client) Docs(ctx context.Context) ([]Doc, error) {
	out := []Doc{}
	return out, c.do(ctx, http.MethodGet, "/v1/docs", nil, &out)
}

// Doc returns one document.
func (c *Client) Doc(ctx context.Context, name string) (*Doc, error) {
	out := &Doc{}
	return out, c.do(ctx, http.MethodGet, "/v1/docs/"+name, nil, out)
}

// Nodes returns what every member says of itself.
func (c *Client) Nodes(ctx context.Context) ([]Status, error) {
	out := []Status{}
	return out, c.do(ctx, http.MethodGet, "/v1/nodes", nil, &out)
}

// Retire says that a node's process has ended and does not come back.
func (c *Client) Retire(ctx context.Context, node string) error {
	return c.do(ctx, http.MethodPost, "/v1/retire", RetireRequest{node}, &RetireRequest{})
}

// Workers lists the workers as their owners see them.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	out := []Worker{}
	return out, c.do(ctx, http.MethodGet, "/v1/workers", nil, &out)
}

// do tries the nodes in turn. A refusal that another node would give as well
// ends it; what may pass is tried again.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	var last error
	for round := range rounds {
		for _, node := range c.nodes {
			last = c.try(ctx, method, node, path, body, out)
			if last == nil || isFinal(last) || ctx.Err() != nil {
				return last
			}
			c.progress(fmt.Sprintf("%s: %v", node, last))
		}
		if round == rounds-1 {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(roundPause):
		}
	}
	return last
}

func isFinal(err error) bool {
	p := &ProblemError{}
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError
}

func (c *Client) try(ctx context.Context, method, node, path string, body []byte, out any) error {
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
		p := &ProblemError{Status: res.StatusCode}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(&p.Problem); err != nil {
			p.Title = res.Status
			p.Verdict = leverdyke.VerdictMayHaveRun
		}
		return p
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(out); err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	return nil
}
