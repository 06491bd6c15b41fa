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
	// EpochHeader carries the fencing epoch of a refusal.
	EpochHeader = "Worker-Epoch"
	// GrantHeader carries the grant under which a request is sent.
	GrantHeader   = "Worker-Grant"
	maxReplyBytes = 4 << 20
)

// Client talks HTTP to one worker. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the worker at addr.
func NewClient(addr netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr.String(), client: &http.Client{Transport: transport}}
}

// NewTransport returns the transport that all clients of a node share; count,
// which may be nil, is told the bytes on its connections.
func NewTransport(count netcount.Counter) *http.Transport {
	return &http.Transport{DialContext: netcount.Dial(count), MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, WriteBufferSize: 1024, ReadBufferSize: 1024, DisableCompression: true}
}

// Sync renews and reports. FencedError means that the epoch is too low.
func (c *Client) Sync(ctx context.Context, s *Sync) (*Report, error) {
	r := &Report{}
	return r, c.post(ctx, "/v1/sync", s, r)
}

// Start starts attempts. After an error other than FencedError, each may have
// been started; the same command may be sent again.
func (c *Client) Start(ctx context.Context, s *Start) ([]StartResult, error) {
	results := []StartResult{}
	return results, c.post(ctx, "/v1/start", s, &results)
}

// Act does a deed to running tasks; the next report shows what became of it.
func (c *Client) Act(ctx context.Context, a *Act) error {
	return c.post(ctx, "/v1/act", a, nil)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
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
		seen, err := strconv.ParseUint(res.Header.Get(EpochHeader), 10, 64)
		if err != nil {
			return fmt.Errorf("worker: %s: refused without an epoch: %w", path, err)
		}
		return &FencedError{Seen: Epoch(seen)}
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("worker: %s: status %d", path, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("worker: %s: %w", path, err)
	}
	return nil
}
