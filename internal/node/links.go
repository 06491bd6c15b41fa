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
	outboundFrames = 1024
	dialTimeout    = 2 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 20 * time.Second
	redialPeriod   = 500 * time.Millisecond
	helloTimeout   = 3 * time.Second
)

// Envelope is a message with its sender.
type Envelope struct {
	From Hello
	Message
}

// Observer is told what happens on links. Its methods may be called from many
// goroutines.
type Observer interface {
	// Deliver takes a message that came; it may block until there is room.
	Deliver(e Envelope)
	// BadFrame is told that a link was closed because of its bytes.
	BadFrame(from netip.AddrPort, err error)
	// Counted is told the bytes of each frame sent or received.
	Counted(sent, received int)
}

// Links connects a node with its peers: one outgoing connection to each, and
// any number of incoming ones. It is safe for concurrent use.
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

type outgoing struct {
	links *Links
	node  state.NodeID
	addr  netip.AddrPort
	ring  *boundedqueue.Queue[*Message]
	stop  context.CancelFunc
}

// NewLinks listens at addr. The hello says who this node is.
func NewLinks(addr netip.AddrPort, self Hello, c clock.Service, o Observer) (*Links, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
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
	go links.loop()
	return links, nil
}

// Self returns this node's name.
func (l *Links) Self() state.NodeID { return l.self.Node }

// Close ends all links and waits for their goroutines.
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

// Connect keeps an outgoing link to a peer until Disconnect.
func (l *Links) Connect(peer state.NodeID, addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[peer] != nil || peer == l.self.Node || l.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	o := &outgoing{links: l, node: peer, addr: addr, ring: boundedqueue.NewQueue[*Message](outboundFrames), stop: stop}
	l.peers[peer] = o
	l.wg.Add(1)
	go o.loop(ctx)
}

// Disconnect ends the outgoing link to a peer.
func (l *Links) Disconnect(peer state.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.peers[peer]; o != nil {
		o.stop()
		delete(l.peers, peer)
	}
}

// Send queues a message for a peer. It reports false, and the message is not
// sent, when there is no link or its queue is full.
func (l *Links) Send(peer state.NodeID, m *Message) bool {
	l.mu.Lock()
	o := l.peers[peer]
	l.mu.Unlock()
	return o != nil && o.ring.TryPut(m)
}

func (l *Links) loop() {
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

// runIncoming reads one peer's frames until the link breaks.
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
		l.observer.Counted(0, n)
		l.observer.Deliver(Envelope{From: *hello.Hello, Message: *m})
	}
}

// loop dials, sends what is queued, and dials again when the link breaks.
func (o *outgoing) loop(ctx context.Context) {
	defer o.links.wg.Done()
	for ctx.Err() == nil {
		o.serve(ctx)
		select {
		case <-ctx.Done():
		case <-o.links.clock.After(redialPeriod):
		}
	}
}

func (o *outgoing) serve(ctx context.Context) {
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
		case m := <-o.ring.Items():
			if o.write(c, m) != nil {
				return
			}
		}
	}
}

// dropQueued empties the queue of a peer that cannot be reached: what is sent
// again is newer than what waits.
func (o *outgoing) dropQueued() {
	for {
		select {
		case <-o.ring.Items():
		default:
			return
		}
	}
}

func (o *outgoing) write(c net.Conn, m *Message) error {
	buf, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(buf); err != nil {
		return fmt.Errorf("node: write: %w", err)
	}
	o.links.observer.Counted(len(buf), 0)
	return nil
}
