// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package logservice is the adapter for the platform's append-only log.
package logservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/netcount"
)

const (
	maxResponseBytes = 8 << 20
	statusTrimmed    = http.StatusGone
	statusThrottled  = http.StatusTooManyRequests
)

var (
	// ErrTrimmed means that the offset asked for is older than the retention.
	ErrTrimmed = errors.New("logservice: the offset has been trimmed")
	// ErrRefused means that the log did not take the append and says so.
	ErrRefused = errors.New("logservice: the log refused the append")
)

// Entry is a record of the log.
type Entry struct {
	// Offset grows from entry to entry; it may skip numbers.
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// Page is what one read returns.
type Page struct {
	// First is the oldest offset that is kept.
	First int64 `msgpack:"f"`
	// Next is the offset that the next append will get.
	Next    int64   `msgpack:"n"`
	Entries []Entry `msgpack:"e"`
}

// Client talks HTTP to the log service. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the log at addr; count, which may be nil, is
// told the bytes on its connections.
func NewClient(addr netip.AddrPort, count netcount.Counter) *Client {
	transport := &http.Transport{DialContext: netcount.Dial(count), MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &Client{baseURL: "http://" + addr.String(), httpClient: &http.Client{Transport: transport}}
}

// Append adds data at the end and returns its offset. ErrRefused means that it
// was not taken; after any other error it may have been.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/append", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("logservice: %w", err)
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("logservice: append: %w", err)
	}
	defer drainAndClose(res.Body)
	if res.StatusCode == statusThrottled {
		return 0, ErrRefused
	}
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("logservice: append: status %d", res.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, 32))
	if err != nil {
		return 0, fmt.Errorf("logservice: append: %w", err)
	}
	offset, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("logservice: append: %w", err)
	}
	return offset, nil
}

// Read returns entries from offset from on. When there are none it waits up to
// wait for one. ErrTrimmed comes with a page whose First is set.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	page := Page{}
	url := fmt.Sprintf("%s/v1/records?from=%d&wait_ms=%d", c.baseURL, from, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return page, fmt.Errorf("logservice: %w", err)
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return page, fmt.Errorf("logservice: read: %w", err)
	}
	defer drainAndClose(res.Body)
	if res.StatusCode != http.StatusOK && res.StatusCode != statusTrimmed {
		return page, fmt.Errorf("logservice: read: status %d", res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return page, fmt.Errorf("logservice: read: %w", err)
	}
	if err := codec.Unmarshal(data, &page); err != nil {
		return Page{}, fmt.Errorf("logservice: read: %w", err)
	}
	if res.StatusCode == statusTrimmed {
		return page, ErrTrimmed
	}
	return page, nil
}

func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 4096))
	_ = body.Close()
}
