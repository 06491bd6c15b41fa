// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package relay passes connections on over loopback until it is told to silence
// those that are open: they stay open, carry nothing more, and new ones work.
package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Relay passes connections on to one address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	conns []net.Conn
	// silenced is how many of conns carry nothing more.
	silenced int
	// dropped counts what was read of silenced connections.
	droppedReads int
	isClosed     bool
	wg           sync.WaitGroup
}

// pieceBytes is how much a relay passes on at a time.
const bufferBytes = 4 << 10

// NewRelay listens on loopback and passes connections on to an address, which need
// not listen yet.
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

// Addr returns where the relay listens.
func (r *Relay) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.listener.Addr().String()) }

// Silence makes all connections that are open now carry nothing more, for good.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = len(r.conns)
}

// Dropped returns how many times something was read of a silenced connection.
func (r *Relay) DroppedReads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedReads
}

// Close ends the relay with its connections.
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

// pass begins to pass bytes on between two ends, unless the relay is closed.
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
	go r.copyData(client, server, i)
	go r.copyData(server, client, i)
}

// runCopy passes bytes on until the i-th connection is silenced; then it drops them.
func (r *Relay) copyData(from, to net.Conn, i int) {
	defer r.wg.Done()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !r.shouldDrop(i) {
			_, _ = to.Write(buf[:n])
		}
	}
}

// drops reports whether the i-th connection is silenced, and counts what it drops.
func (r *Relay) shouldDrop(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i >= r.silenced {
		return false
	}
	r.droppedReads++
	return true
}
