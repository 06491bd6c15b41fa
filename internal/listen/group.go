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

// maxServers is how many servers a Group takes: so many failures it can hold.
const maxServers = 8

// Group is servers that run until they are closed. It is not safe for concurrent
// use, but for Failed.
type Group struct {
	failed chan error
	count  int
}

// NewGroup returns a Group without servers.
func NewGroup() *Group { return &Group{failed: make(chan error, maxServers)} }

// Failed returns a channel that receives the error of a server that ended by
// itself.
func (g *Group) Failed() <-chan error { return g.failed }

// Open lets a server listen at addr.
func (g *Group) Open(s *http.Server, addr netip.AddrPort) error {
	if g.count++; g.count > maxServers {
		panic("listen: too many servers")
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go g.run(s, l)
	return nil
}

// run serves until the server is closed.
func (g *Group) run(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.failed <- fmt.Errorf("listen: %s: %w", l.Addr(), err)
	}
}
