// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package listen runs the HTTP servers of a process.
package listen

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
)

// maxServers bounds the servers of a Group. It is also the capacity of the channel of
// failures, so a server that fails never blocks on it.
const maxServers = 8

// Group runs HTTP servers until they are closed. Only Failed is safe for concurrent use.
type Group struct {
	failed chan error
	count  int
}

// NewGroup returns a Group without servers.
func NewGroup() *Group { return &Group{failed: make(chan error, maxServers)} }

// Failed returns a channel that receives the error of each server that stopped without
// having been closed.
func (g *Group) Failed() <-chan error { return g.failed }

// Open starts listening at addr and serves s in a new goroutine. Its error means that the
// address cannot be listened at; a later failure is sent to the channel of Failed. It
// panics if the group has maxServers servers already. The server accepts connections from the
// listener that wrap returns, if it is not nil.
func (g *Group) Open(s *http.Server, addr netip.AddrPort, wrap func(net.Listener) net.Listener) error {
	if g.count++; g.count > maxServers {
		panic("listen: too many servers")
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if wrap != nil {
		l = wrap(l)
	}
	go g.run(s, l)
	return nil
}

// run serves until the server is closed or fails.
func (g *Group) run(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.failed <- fmt.Errorf("listen: %s: %w", l.Addr(), err)
	}
}
