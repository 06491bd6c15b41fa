// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/journal"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const outAfter = 1500 * time.Millisecond

// fakeNode is a node's process without sockets. A paused one does nothing, and
// does all that waits when it wakes up.
type fakeNode struct {
	world         *world
	index         int
	addr          netip.AddrPort
	incarnation   uint64
	snapshotEvery int64
	core          *core.Core
	router        *router.Router
	isPaused      bool
	inbox         []node.Envelope
	links         []*fakeLink
	// next is the offset to read.
	next    int64
	vmsAt   time.Time
	pending []pendingRecord
	// flight is the batch that was handed to the log, dones its callbacks.
	flight       *state.Batch
	dones        []func(error)
	seq          uint64
	failingSince time.Time
	// later has the callbacks to run as events of the core.
	later []func()
	// seen has the versions of the documents that this process had in force.
	seen map[string]uint64
}

type pendingRecord struct {
	record state.Record
	done   func(error)
	at     time.Time
}

type noMeter struct{}

func (noMeter) Waited(string, leverdyke.Class, time.Duration) {}
func (noMeter) Decided(time.Duration)                         {}
func (noMeter) Started()                                      {}
func (noMeter) OwnerChanged()                                 {}

func (n *fakeNode) name() string { return fmt.Sprintf("n%d", n.index) }

func (n *fakeNode) id() state.NodeID { return state.NodeID(n.addr.String()) }

func (n *fakeNode) hello() node.Hello {
	return node.Hello{Node: n.id(), Incarnation: n.incarnation, Zone: fmt.Sprintf("z%d", n.index%2), Region: region}
}

// start starts the process, or a later one in its place.
func (n *fakeNode) start() {
	n.incarnation++
	n.inbox, n.links, n.pending, n.flight, n.dones, n.later = nil, nil, nil, nil, nil, nil
	n.next, n.seq, n.failingSince, n.vmsAt, n.isPaused = 0, 0, time.Time{}, time.Time{}, false
	n.seen = map[string]uint64{}
	zone := n.hello().Zone
	n.router = router.NewRouter(router.NewRouterOptions{Zone: zone, Clock: n.world.clock})
	n.core = core.NewCore(n, core.NewCoreOptions{
		Self: state.Owner{Node: n.id(), Incarnation: n.incarnation}, Link: n.addr, Operators: n.addr, Region: region, Zone: zone,
		Lease: worldLease, SnapshotEvery: n.snapshotEvery, Router: n.router,
		Meter: noMeter{}, Peers: n.peers(),
	})
}

func (n *fakeNode) peers() []netip.AddrPort {
	list := []netip.AddrPort{}
	for _, o := range n.world.nodes {
		if o != n {
			list = append(list, o.addr)
		}
	}
	return list
}

// kill ends the process.
func (n *fakeNode) kill() {
	n.core = nil
	n.links = nil
}

func (n *fakeNode) step() {
	if n.core == nil || n.isPaused {
		return
	}
	// Links first: a process that wakes up sends before it has read the log.
	for _, l := range n.links {
		l.step()
	}
	n.deliver()
	n.append()
	n.read()
	n.listVMs()
	n.core.Tick()
	n.core.Perform()
}

func (n *fakeNode) deliver() {
	inbox := n.inbox
	n.inbox = nil
	for i := range inbox {
		n.core.OnMessage(&inbox[i])
		n.core.Perform()
	}
	later := n.later
	n.later = nil
	for _, f := range later {
		f()
	}
}

func (n *fakeNode) hasLog() bool { return !n.world.isLogOut && !n.world.isCut(n.name(), "log") }

// append does what the journal's writer does: one batch at a time, sent again
// until the log has answered or the batch was read.
func (n *fakeNode) append() {
	now := n.world.clock.Now()
	if n.flight == nil {
		n.fill(now)
	}
	if n.flight == nil {
		return
	}
	if !n.hasLog() {
		if n.failingSince.IsZero() {
			n.failingSince = now
		}
		return
	}
	data, err := n.flight.Encode()
	if err != nil {
		panic(err)
	}
	if _, ok := n.world.log.Append(data); !ok {
		return
	}
	if n.world.loseReplies > 0 {
		n.world.loseReplies--
		if n.failingSince.IsZero() {
			n.failingSince = now
		}
		return
	}
	n.failingSince = time.Time{}
	n.flight = nil
}

func (n *fakeNode) fill(now time.Time) {
	for _, p := range n.pending {
		if now.Sub(p.at) > 3*time.Second {
			n.later = append(n.later, func() { p.done(state.ErrNotTaken) })
			continue
		}
		if n.flight == nil {
			n.seq++
			n.flight = &state.Batch{Node: n.id(), Incarnation: n.incarnation, Seq: n.seq, Millis: now.UnixMilli()}
			n.dones = nil
		}
		n.flight.Records = append(n.flight.Records, p.record)
		n.dones = append(n.dones, p.done)
	}
	n.pending = nil
	if n.flight != nil {
		n.world.inFlight(n)
	}
}

// inFlight remembers the callbacks of a batch until it is folded.
func (w *world) inFlight(n *fakeNode) {
	if n.world.flights == nil {
		w.flights = map[flightID][]func(error){}
	}
	w.flights[flightID{n.index, n.incarnation, n.seq}] = n.dones
}

type flightID struct {
	index            int
	incarnation, seq uint64
}

func (n *fakeNode) read() {
	t := &journal.Tailed{SentAt: n.world.clock.Now()}
	if !n.hasLog() || n.world.isCut("log", n.name()) {
		t.Err = fmt.Errorf("out")
		n.core.OnTailed(t)
		return
	}
	page, isTrimmed, _ := n.world.log.Page(n.next)
	if isTrimmed {
		n.recover(page.First, t)
		return
	}
	t.Entries = page.Entries
	if k := len(page.Entries); k > 0 {
		n.next = max(n.next, page.Entries[k-1].Offset+1)
	}
	t.IsCaughtUp = n.next >= page.Next
	n.core.OnTailed(t)
	n.core.Perform()
}

// recover starts at the first whole snapshot, as the journal's reader does.
func (n *fakeNode) recover(first int64, t *journal.Tailed) {
	found := state.Assembler{}
	page, _, _ := n.world.log.Page(first)
	for _, e := range page.Entries {
		b, err := state.DecodeBatch(e.Data)
		if err != nil {
			continue
		}
		for _, r := range b.Records {
			if r.Chunk == nil || t.State != nil {
				continue
			}
			s, err := found.Add(state.Owner{Node: b.Node, Incarnation: b.Incarnation}, r.Chunk)
			if err == nil && s != nil && s.Applied >= first-1 {
				t.State = s
			}
		}
	}
	if t.State == nil {
		n.world.violations = append(n.world.violations, "no whole snapshot is in the log")
		return
	}
	t.Entries = page.Entries
	t.IsCaughtUp = true
	n.next = page.Next
	n.core.OnTailed(t)
	n.core.Perform()
}

func (n *fakeNode) listVMs() {
	now := n.world.clock.Now()
	if now.Sub(n.vmsAt) >= 2*time.Second {
		n.vmsAt = now
		n.core.OnVMs(slices.Clone(n.world.vms))
	}
}

func (n *fakeNode) Now() time.Time { return n.world.clock.Now() }

func (n *fakeNode) Send(to state.NodeID, m *node.Message) bool {
	for _, o := range n.world.nodes {
		if o.id() != to {
			continue
		}
		if o.core == nil || n.world.isCut(n.name(), o.name()) {
			return true
		}
		// Over the wire, so that nothing is shared and all fields are carried.
		buf, err := node.AppendFrame(nil, m)
		if err != nil {
			panic(err)
		}
		copied, _, err := node.ReadFrame(newReader(buf))
		if err != nil {
			panic(err)
		}
		o.inbox = append(o.inbox, node.Envelope{From: n.hello(), Message: *copied})
		return true
	}
	return false
}

func (n *fakeNode) Connect(state.NodeID, netip.AddrPort) {}
func (n *fakeNode) Disconnect(state.NodeID)              {}

func (n *fakeNode) Append(r state.Record, done func(error)) bool {
	if n.IsAppendOut() {
		return false
	}
	n.pending = append(n.pending, pendingRecord{r, done, n.world.clock.Now()})
	return true
}

func (n *fakeNode) Folded(seq uint64, out state.Outcome) {
	id := flightID{n.index, n.incarnation, seq}
	dones := n.world.flights[id]
	delete(n.world.flights, id)
	if n.flight != nil && n.flight.Seq <= seq {
		n.flight = nil
		n.failingSince = time.Time{}
	}
	for i, done := range dones {
		if out.Err != nil {
			done(out.Err)
			continue
		}
		done(out.Results[i])
	}
}

// Passed settles the batches that a peer's state already has.
func (n *fakeNode) Passed(seq uint64) {
	for s := uint64(1); s <= seq; s++ {
		n.Folded(s, state.Outcome{Err: state.ErrUnseen})
	}
}

func (n *fakeNode) IsAppendOut() bool {
	return !n.failingSince.IsZero() && n.world.clock.Now().Sub(n.failingSince) > outAfter
}

func (n *fakeNode) SkipTo(offset int64) { n.next = max(n.next, offset+1) }

func (n *fakeNode) AnswerOnce(state.NodeID, *node.OnceAsk) {}

func (n *fakeNode) KeepAnswers([]node.KeptAnswer) {}

func (n *fakeNode) OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, _ netip.AddrPort) core.WorkerLink {
	l := &fakeLink{node: n, rack: rack, epoch: epoch, id: id}
	n.links = append(n.links, l)
	return l
}
