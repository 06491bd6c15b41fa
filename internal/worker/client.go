// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/leverdyke/leverdyke/internal/netcount"
)

const (
	// EpochHeader is the response header in which a worker that refuses a command as
	// fenced names the epoch that it obeys.
	EpochHeader = "Worker-Epoch"
	// GrantHeader is the request header that names the grant of slots under which a
	// request is sent.
	GrantHeader   = "Worker-Grant"
	maxReplyBytes = 4 << 20
)

// Client sends commands to one worker over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a client for the worker at addr.
func NewClient(addr netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr.String(), client: &http.Client{Transport: transport}}
}

// NewTransport returns the HTTP transport that all clients of a node share. counter
// counts the bytes sent and received on its connections; it may be nil.
func NewTransport(counter netcount.Counter) *http.Transport {
	return &http.Transport{DialContext: netcount.Dial(counter), MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, WriteBufferSize: 1024, ReadBufferSize: 1024, DisableCompression: true}
}

// Sync renews the leases of the worker's tasks and returns the worker's report. A
// *FencedError means that the worker obeys a higher epoch than that of s.
func (c *Client) Sync(ctx context.Context, s *Sync) (*Report, error) {
	r := &Report{}
	return r, c.post(ctx, "/v1/sync", s, r)
}

// Start makes the worker start attempts. After an error other than *FencedError each
// of them may have been started. Sending the same command again is safe, since a
// worker starts an attempt only once.
func (c *Client) Start(ctx context.Context, s *Start) ([]StartResult, error) {
	results := []StartResult{}
	return results, c.post(ctx, "/v1/start", s, &results)
}

// Act makes the worker carry out an action on running tasks. The reply only confirms
// that the command arrived; the following reports show its effect.
func (c *Client) Act(ctx context.Context, a *Act) error {
	return c.post(ctx, "/v1/act", a, nil)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	req.Header["User-Agent"] = nil
	res, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("worker: %s: %w", path, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("worker: %s: %w", path, err)
	}
	return decodeReply(res, path, body, out)
}

func decodeReply(res *http.Response, path string, body []byte, out any) error {
	if res.StatusCode == http.StatusConflict {
		epoch, err := strconv.ParseUint(res.Header.Get(EpochHeader), 10, 64)
		if err != nil {
			return fmt.Errorf("worker: %s: refused with status 409, but its Worker-Epoch header is no number: %w", path, err)
		}
		return &FencedError{Seen: Epoch(epoch)}
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("worker: %s: unexpected HTTP status %d", path, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("worker: %s: %w", path, err)
	}
	return nil
}
