// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package vmlist is the adapter for the platform's list of VMs, which lags.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

const maxListBytes = 4 << 20

// Status is what the platform says of a VM.
type Status string

// The statuses of a VM. A VM that the list had and has no more is gone.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
	StatusRemoved Status = "gone"
)

// VM is an entry of the list.
type VM struct {
	// Name is unique and is never used for another VM.
	Name string `json:"name"`
	// Addr is where a worker takes commands; for an entry VM, where it takes
	// links from other nodes.
	Addr   netip.AddrPort `json:"addr"`
	Region string         `json:"region"`
	Zone   string         `json:"zone"`
	// Rack is empty for an entry VM.
	Rack   string `json:"rack,omitempty"`
	Status Status `json:"status"`
}

// Client reads the list over HTTP. It is safe for concurrent use.
type Client struct {
	url        string
	etag       string
	httpClient *http.Client
}

// NewClient returns a client for the list at addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{url: "http://" + addr.String() + "/v1/vms", httpClient: &http.Client{}}
}

// List returns the list, or nil when it has not changed since the last call.
// It is for one goroutine.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("vmlist: status %d", res.StatusCode)
	}
	vms := []VM{}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	c.etag = res.Header.Get("Etag")
	return vms, nil
}
