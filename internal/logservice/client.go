// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package logservice is the HTTP client of the platform's append-only log
// service.
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
	// statusTrimmed is the reply to a read from an offset that is no longer
	// kept; its body is a Page.
	statusTrimmed = http.StatusGone
	// statusThrottled is the reply to an append that exceeds the rate limit; the
	// data was not appended.
	statusThrottled = http.StatusTooManyRequests
)

var (
	// ErrTrimmed means that the requested offset is older than the oldest record
	// that the log still keeps.
	ErrTrimmed = errors.New("logservice: the requested offset has been trimmed from the log")
	// ErrRefused means that the log replied that it did not append the data.
	ErrRefused = errors.New("logservice: the log refused the append because of its rate limit")
)

// Entry is the data of one append.
type Entry struct {
	// Offset is the position in the log. Offsets increase from entry to entry,
	// but not always by one.
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// Page is the result of one read.
type Page struct {
	// First is the oldest offset that the log still keeps.
	First int64 `msgpack:"f"`
	// Next is the offset that the next append will get.
	Next    int64   `msgpack:"n"`
	Entries []Entry `msgpack:"e"`
}

// Client calls the log service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the log service at addr. If count is not nil, it
// is called with the number of bytes sent and received on the connections.
func NewClient(addr netip.AddrPort, count netcount.Counter) *Client {
	transport := &http.Transport{DialContext: netcount.Dial(count), MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &Client{baseURL: "http://" + addr.String(), httpClient: &http.Client{Transport: transport}}
}

// Append appends data to the log and returns its offset. ErrRefused means that
// the data was not appended. After any other error it may or may not have been.
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
		return 0, fmt.Errorf("logservice: append: unexpected status %d", res.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, 32))
	if err != nil {
		return 0, fmt.Errorf("logservice: append: %w", err)
	}
	offset, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("logservice: append: the response is not an offset: %w", err)
	}
	return offset, nil
}

// Read returns entries at and after the offset from. If there are none, the log
// service waits up to wait for one (long poll). With ErrTrimmed, First of the
// page is set, so that the caller can continue there.
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
		return page, fmt.Errorf("logservice: read: unexpected status %d", res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return page, fmt.Errorf("logservice: read: %w", err)
	}
	if err := codec.Unmarshal(data, &page); err != nil {
		return Page{}, fmt.Errorf("logservice: read: cannot decode the page: %w", err)
	}
	if res.StatusCode == statusTrimmed {
		return page, ErrTrimmed
	}
	return page, nil
}

// drainAndClose reads the rest of a short body, so that the connection can be
// reused, and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 4096))
	_ = body.Close()
}
