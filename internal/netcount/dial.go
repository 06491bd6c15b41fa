// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package netcount counts the bytes that HTTP connections send and receive, headers
// included, so that the cost of control traffic is measured separately from the traffic of
// callers' requests.
package netcount

import (
	"context"
	"fmt"
	"net"
	"time"
)

const dialTimeout = 2 * time.Second

// Counter is called with the number of bytes sent or received by each read or write of a
// connection. It must be safe for concurrent use.
type Counter func(sent, received int)

// Dial returns a dial function for an HTTP transport. The connections that it opens report
// their bytes to count; if count is nil, they are not counted.
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

// countingConn is a connection that reports the bytes of each read and write to count.
type countingConn struct {
	net.Conn
	count Counter
}

// Read reads from the connection and reports the bytes received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

// Write writes to the connection and reports the bytes sent.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}
