// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package netcount counts the bytes of connections, headers and all, so that
// what control costs is known apart from what callers' requests carry.
package netcount

import (
	"context"
	"fmt"
	"net"
	"time"
)

const dialTimeout = 2 * time.Second

// Counter is told the bytes that were sent or received; it must be safe for
// concurrent use.
type Counter func(sent, received int)

// Dial returns a dial function for an HTTP transport whose connections tell
// count; nil means that nobody counts.
func Dial(count Counter) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("netcount: %w", err)
		}
		if count == nil {
			return c, nil
		}
		return &countingConn{c, count}, nil
	}
}

type countingConn struct {
	net.Conn
	count Counter
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}
