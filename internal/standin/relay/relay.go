// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package relay is a TCP proxy on loopback for tests of broken connections. On request it silences the open
// connections: they stay open, but what arrives on them is discarded. New connections work.
package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Relay forwards connections to one address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	conns []net.Conn
	// silenced is how many of conns, counted from the first, are silenced. Of the first halfSilenced only what
	// clients send is discarded.
	silenced, halfSilenced int
	// droppedReads counts the reads from silenced connections, whose data was discarded.
	droppedReads int
	isClosed     bool
	wg           sync.WaitGroup
}

// bufferBytes is the size of the buffer of each direction of a connection.
const bufferBytes = 4 << 10

// NewRelay listens on loopback and forwards connections to target. Nothing needs to listen there yet: a
// connection that cannot be forwarded is closed.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: l, target: target}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.listener.Addr().String()) }

// Silence silences all connections that are open now, until they are closed.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = len(r.conns)
}

// SilenceClients discards what clients send on the connections that are open now, until these are closed. What the
// target sends still arrives.
func (r *Relay) SilenceClients() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.halfSilenced = len(r.conns)
}

// DroppedReads returns how many reads from silenced connections returned data, which was discarded.
func (r *Relay) DroppedReads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedReads
}

// Close closes the listener and all connections, and waits until their goroutines have ended.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.isClosed = true
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		r.forward(client, server)
	}
}

// forward starts copying between the two ends of a connection, or closes both if the relay is closed.
func (r *Relay) forward(client, server net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		_, _ = client.Close(), server.Close()
		return
	}
	i := len(r.conns)
	r.conns = append(r.conns, client, server)
	r.wg.Add(2)
	go r.copyData(client, server, i, true)
	go r.copyData(server, client, i, false)
}

// copyData copies from one end to the other. Once the pair whose first index in conns is i has been silenced, it
// discards what it reads.
func (r *Relay) copyData(from, to net.Conn, i int, isFromClient bool) {
	defer r.wg.Done()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !r.shouldDrop(i, isFromClient) {
			_, _ = to.Write(buf[:n])
		}
	}
}

// shouldDrop reports whether the pair whose first index in conns is i is silenced in that direction, and if so counts
// the read.
func (r *Relay) shouldDrop(i int, isFromClient bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i >= r.silenced && (i >= r.halfSilenced || !isFromClient) {
		return false
	}
	r.droppedReads++
	return true
}
