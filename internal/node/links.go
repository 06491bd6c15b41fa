// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	// outboundFrames is the capacity of the queue of messages to one peer.
	outboundFrames = 1024
	dialTimeout    = 2 * time.Second
	writeTimeout   = 5 * time.Second
	// idleTimeout closes an incoming connection that delivers no frame.
	idleTimeout  = 20 * time.Second
	redialPeriod = 500 * time.Millisecond
	// helloTimeout closes an incoming connection that does not send its Hello.
	helloTimeout = 3 * time.Second
)

// Envelope is a received message with the Hello of its sender.
type Envelope struct {
	From Hello
	Message
}

// Observer receives the messages and events of links. Its methods may be called
// from several goroutines at once.
type Observer interface {
	// Deliver accepts a received message. It may block until the receiver's queue
	// has space; meanwhile nothing more is read from that link.
	Deliver(e Envelope)
	// BadFrame reports that a link was closed because the peer sent a malformed
	// frame, or no valid Hello.
	BadFrame(from netip.AddrPort, err error)
	// CountBytes reports the length in bytes of a frame sent or received; the
	// other count is 0.
	CountBytes(sent, received int)
}

// Links connects a node with its peers. It sends over one outgoing connection to
// each peer and receives over any number of incoming ones. It is safe for
// concurrent use.
type Links struct {
	self     Hello
	clock    clock.Service
	observer Observer
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	peers map[state.NodeID]*outgoing
	conns map[net.Conn]bool
}

// outgoing is the link to one peer: a queue of messages and the connection over
// which they are sent.
type outgoing struct {
	links *Links
	node  state.NodeID
	addr  netip.AddrPort
	queue *boundedqueue.Queue[*Message]
	stop  context.CancelFunc
}

// NewLinks listens at addr. It sends self to every peer that it connects to; an
// empty self.Node is replaced by the address of the listener.
func NewLinks(addr netip.AddrPort, self Hello, c clock.Service, o Observer) (*Links, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("node: cannot listen for peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	self.Version = ProtocolVersion
	if self.Node == "" {
		self.Node = state.NodeID(l.Addr().String())
	}
	links := &Links{
		self: self, clock: c, observer: o, listener: l, ctx: ctx, cancel: cancel,
		peers: map[state.NodeID]*outgoing{}, conns: map[net.Conn]bool{},
	}
	links.wg.Add(1)
	go links.acceptLoop()
	return links, nil
}

// Self returns this node's name.
func (l *Links) Self() state.NodeID { return l.self.Node }

// Close closes the listener and all links, and waits until their goroutines have
// ended.
func (l *Links) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.mu.Lock()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Connect opens an outgoing link to a peer and dials it again whenever the
// connection breaks, until Disconnect. It does nothing if there is such a link.
func (l *Links) Connect(peer state.NodeID, addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[peer] != nil || peer == l.self.Node || l.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	o := &outgoing{links: l, node: peer, addr: addr, queue: boundedqueue.NewQueue[*Message](outboundFrames), stop: stop}
	l.peers[peer] = o
	l.wg.Add(1)
	go o.redialLoop(ctx)
}

// Disconnect closes the outgoing link to a peer.
func (l *Links) Disconnect(peer state.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.peers[peer]; o != nil {
		o.stop()
		delete(l.peers, peer)
	}
}

// Send queues a message for a peer. It returns false, and the message is dropped,
// if there is no link to the peer or its queue is full. A queued message may still
// be lost when the connection breaks.
func (l *Links) Send(peer state.NodeID, m *Message) bool {
	l.mu.Lock()
	o := l.peers[peer]
	l.mu.Unlock()
	return o != nil && o.queue.TryPut(m)
}

// acceptLoop starts a goroutine for each incoming connection until the listener is
// closed.
func (l *Links) acceptLoop() {
	defer l.wg.Done()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.track(c) {
			return
		}
		l.wg.Add(1)
		go l.runIncoming(c)
	}
}

// track registers a connection, so that Close can close it. If Links is closed
// already, track closes the connection and returns false.
func (l *Links) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Links) untrack(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// runIncoming reads the Hello and then the messages of one peer until the
// connection breaks or delivers a malformed frame.
func (l *Links) runIncoming(c net.Conn) {
	defer l.wg.Done()
	defer l.untrack(c)
	from, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	r := bufio.NewReaderSize(c, 2048)
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, _, err := ReadFrame(r)
	if err != nil || hello.Hello == nil || hello.Hello.Version != ProtocolVersion {
		l.observer.BadFrame(from, errors.Join(ErrFrame, err))
		return
	}
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		m, n, err := ReadFrame(r)
		if errors.Is(err, ErrFrame) {
			l.observer.BadFrame(from, err)
			return
		}
		if err != nil {
			return
		}
		l.observer.CountBytes(0, n)
		l.observer.Deliver(Envelope{From: *hello.Hello, Message: *m})
	}
}

// redialLoop dials the peer, sends the queued messages, and dials again after
// redialPeriod when the connection breaks.
func (o *outgoing) redialLoop(ctx context.Context) {
	defer o.links.wg.Done()
	for ctx.Err() == nil {
		o.dialAndSend(ctx)
		select {
		case <-ctx.Done():
		case <-o.links.clock.After(redialPeriod):
		}
	}
}

// dialAndSend opens one connection, sends the Hello, and then sends the queued
// messages until a write fails or ctx is done.
func (o *outgoing) dialAndSend(ctx context.Context) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", o.addr.String())
	if err != nil {
		o.dropQueued()
		return
	}
	if !o.links.track(c) {
		return
	}
	defer o.links.untrack(c)
	if o.write(c, &Message{Hello: &o.links.self}) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.queue.Items():
			if o.write(c, m) != nil {
				return
			}
		}
	}
}

// dropQueued empties the queue of a peer that cannot be reached. Senders repeat
// what still matters, with newer contents than the queued messages have.
func (o *outgoing) dropQueued() {
	for {
		select {
		case <-o.queue.Items():
		default:
			return
		}
	}
}

// write sends a message as one frame. It fails if the frame cannot be written
// within writeTimeout; the connection cannot be used after that, as a part of the
// frame may have been sent.
func (o *outgoing) write(c net.Conn, m *Message) error {
	buf, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(buf); err != nil {
		return fmt.Errorf("node: cannot write frame to peer: %w", err)
	}
	o.links.observer.CountBytes(len(buf), 0)
	return nil
}
