// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package vmlist is the adapter for the platform's list of VMs. The list lags behind
// the real state of the VMs.
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

// Status is the platform's status of a VM.
type Status string

// The statuses of a VM. A VM that was in the list and no longer is counts as removed.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
	StatusRemoved Status = "gone"
)

// VM is an entry of the list.
type VM struct {
	// Name is unique and is never reused for another VM.
	Name string `json:"name"`
	// Addr is the address at which a worker VM accepts commands, or at which an entry
	// VM accepts links from other nodes. Entry VMs run the scheduler's nodes.
	Addr   netip.AddrPort `json:"addr"`
	Region string         `json:"region"`
	Zone   string         `json:"zone"`
	// Rack is empty for an entry VM.
	Rack   string `json:"rack,omitempty"`
	Status Status `json:"status"`
}

// Client reads the list over HTTP. Only one goroutine may use it.
type Client struct {
	url string
	// etag is the ETag of the last list; the platform answers 304 while it is current.
	etag       string
	httpClient *http.Client
}

// NewClient returns a client for the platform's VM list service at addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{url: "http://" + addr.String() + "/v1/vms", httpClient: &http.Client{}}
}

// List returns the list, or nil if it has not changed since the last successful call.
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
		return nil, fmt.Errorf("vmlist: unexpected HTTP status %d", res.StatusCode)
	}
	vms := []VM{}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	c.etag = res.Header.Get("Etag")
	return vms, nil
}
