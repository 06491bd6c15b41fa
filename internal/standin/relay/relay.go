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
	to       netip.AddrPort

	mu    sync.Mutex
	conns []net.Conn
	// silenced is how many of conns carry nothing more.
	silenced int
	// dropped counts what was read of silenced connections.
	dropped  int
	isClosed bool
	wg       sync.WaitGroup
}

// pieceBytes is how much a relay passes on at a time.
const pieceBytes = 4 << 10

// NewRelay listens on loopback and passes connections on to an address, which need
// not listen yet.
func NewRelay(to netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: l, to: to}
	r.wg.Add(1)
	go r.run()
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
func (r *Relay) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
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

func (r *Relay) run() {
	defer r.wg.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		r.pass(near, far)
	}
}

// pass begins to pass bytes on between two ends, unless the relay is closed.
func (r *Relay) pass(near, far net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		_, _ = near.Close(), far.Close()
		return
	}
	i := len(r.conns)
	r.conns = append(r.conns, near, far)
	r.wg.Add(2)
	go r.runCopy(near, far, i)
	go r.runCopy(far, near, i)
}

// runCopy passes bytes on until the i-th connection is silenced; then it drops them.
func (r *Relay) runCopy(from, to net.Conn, i int) {
	defer r.wg.Done()
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !r.drops(i) {
			_, _ = to.Write(buf[:n])
		}
	}
}

// drops reports whether the i-th connection is silenced, and counts what it drops.
func (r *Relay) drops(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i >= r.silenced {
		return false
	}
	r.dropped++
	return true
}
