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

// appendFailingAfter is how long appends must have been failing before
// IsAppendFailing reports it.
const appendFailingAfter = 1500 * time.Millisecond

// fakeNode is a node's process without sockets. While it is paused it does
// nothing; when it resumes it first handles everything that has queued up.
type fakeNode struct {
	// connects counts the links that the node was asked to open.
	connects      int
	cluster       *cluster
	index         int
	addr          netip.AddrPort
	incarnation   uint64
	snapshotEvery int64
	core          *core.Core
	router        *router.Router
	isPaused      bool
	inbox         []node.Envelope
	links         []*fakeLink
	// next is the offset of the log at which the next read begins.
	next    int64
	vmsAt   time.Time
	pending []pendingRecord
	// inFlightBatch is the batch that is being appended, callbacks are those of
	// its records.
	inFlightBatch *state.Batch
	callbacks     []func(error)
	seq           uint64
	failingSince  time.Time
	// deferred has the callbacks to run as later events of the core.
	deferred []func()
	// seen has the newest version of each document that this process has had.
	seen map[string]uint64
}

type pendingRecord struct {
	record state.Record
	done   func(error)
	at     time.Time
}

type discardMeter struct{}

func (discardMeter) Waited(string, leverdyke.Class, time.Duration) {}
func (discardMeter) Decided(time.Duration)                         {}
func (discardMeter) Started()                                      {}
func (discardMeter) OwnerChanged()                                 {}

func (n *fakeNode) name() string { return fmt.Sprintf("n%d", n.index) }

func (n *fakeNode) id() state.NodeID { return state.NodeID(n.addr.String()) }

func (n *fakeNode) hello() node.Hello {
	return node.Hello{Node: n.id(), Incarnation: n.incarnation, Zone: fmt.Sprintf("z%d", n.index%2), Region: region}
}

// start starts the node's process, as a new incarnation with an empty state.
func (n *fakeNode) start() {
	n.incarnation++
	n.inbox, n.links, n.pending, n.inFlightBatch, n.callbacks, n.deferred = nil, nil, nil, nil, nil, nil
	n.next, n.seq, n.failingSince, n.vmsAt, n.isPaused = 0, 0, time.Time{}, time.Time{}, false
	n.seen = map[string]uint64{}
	zone := n.hello().Zone
	n.router = router.NewRouter(router.NewRouterOptions{Zone: zone, Clock: n.cluster.clock})
	n.core = core.NewCore(n, core.NewCoreOptions{
		Self: state.Process{Node: n.id(), Incarnation: n.incarnation}, Link: n.addr, Operators: n.addr, Region: region, Zone: zone,
		Lease: testLease, SnapshotEvery: n.snapshotEvery, Router: n.router,
		Meter: discardMeter{}, Peers: n.peers(),
	})
}

func (n *fakeNode) peers() []netip.AddrPort {
	list := []netip.AddrPort{}
	for _, o := range n.cluster.nodes {
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
	// Links come first: a process that resumes sends queued orders before it has
	// read the log.
	for _, l := range n.links {
		l.step()
	}
	n.deliver()
	n.append()
	n.read()
	n.listVMs()
	n.core.Tick()
	n.core.ProcessOutputs()
}

func (n *fakeNode) deliver() {
	inbox := n.inbox
	n.inbox = nil
	for i := range inbox {
		n.core.OnMessage(&inbox[i])
		n.core.ProcessOutputs()
	}
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (n *fakeNode) isLogReachable() bool {
	return !n.cluster.isLogUnavailable && !n.cluster.isBlocked(n.name(), "log")
}

// append does what the journal's writer does: it appends one batch at a time,
// and retries until the log has answered or the batch was read from the log.
func (n *fakeNode) append() {
	now := n.cluster.clock.Now()
	if n.inFlightBatch == nil {
		n.buildBatch(now)
	}
	if n.inFlightBatch == nil {
		return
	}
	if !n.isLogReachable() {
		if n.failingSince.IsZero() {
			n.failingSince = now
		}
		return
	}
	data, err := n.inFlightBatch.Encode()
	if err != nil {
		panic(err)
	}
	if _, ok := n.cluster.log.Append(data); !ok {
		return
	}
	if n.cluster.loseReplies > 0 {
		n.cluster.loseReplies--
		if n.failingSince.IsZero() {
			n.failingSince = now
		}
		return
	}
	n.failingSince = time.Time{}
	n.inFlightBatch = nil
}

// buildBatch makes a batch of the pending records. Those that have waited for
// more than 3 s fail.
func (n *fakeNode) buildBatch(now time.Time) {
	for _, p := range n.pending {
		if now.Sub(p.at) > 3*time.Second {
			n.deferred = append(n.deferred, func() { p.done(state.ErrNotAppended) })
			continue
		}
		if n.inFlightBatch == nil {
			n.seq++
			n.inFlightBatch = &state.Batch{Node: n.id(), Incarnation: n.incarnation, Seq: n.seq, Millis: now.UnixMilli()}
			n.callbacks = nil
		}
		n.inFlightBatch.Records = append(n.inFlightBatch.Records, p.record)
		n.callbacks = append(n.callbacks, p.done)
	}
	n.pending = nil
	if n.inFlightBatch != nil {
		n.cluster.recordInFlight(n)
	}
}

// recordInFlight remembers the callbacks of a batch until it is applied.
func (cl *cluster) recordInFlight(n *fakeNode) {
	if n.cluster.inFlightCallbacks == nil {
		cl.inFlightCallbacks = map[batchID][]func(error){}
	}
	cl.inFlightCallbacks[batchID{n.index, n.incarnation, n.seq}] = n.callbacks
}

type batchID struct {
	index            int
	incarnation, seq uint64
}

func (n *fakeNode) read() {
	t := &journal.ReadResult{SentAt: n.cluster.clock.Now()}
	if !n.isLogReachable() || n.cluster.isBlocked("log", n.name()) {
		t.Err = fmt.Errorf("out")
		n.core.OnLogRead(t)
		return
	}
	page, isTrimmed, _ := n.cluster.log.Page(n.next)
	if isTrimmed {
		n.recover(page.First, t)
		return
	}
	t.Entries = page.Entries
	if k := len(page.Entries); k > 0 {
		n.next = max(n.next, page.Entries[k-1].Offset+1)
	}
	t.IsCaughtUp = n.next >= page.Next
	n.core.OnLogRead(t)
	n.core.ProcessOutputs()
}

// recover starts from the first complete snapshot in the log, as the journal's
// reader does when the log has dropped the offset that it would read next.
func (n *fakeNode) recover(firstOffset int64, t *journal.ReadResult) {
	found := state.Assembler{}
	page, _, _ := n.cluster.log.Page(firstOffset)
	for _, e := range page.Entries {
		b, err := state.DecodeBatch(e.Data)
		if err != nil {
			continue
		}
		for _, r := range b.Records {
			if r.Chunk == nil || t.State != nil {
				continue
			}
			s, err := found.Add(state.Process{Node: b.Node, Incarnation: b.Incarnation}, r.Chunk)
			if err == nil && s != nil && s.Applied >= firstOffset-1 {
				t.State = s
			}
		}
	}
	if t.State == nil {
		n.cluster.violations = append(n.cluster.violations, "the log has no complete snapshot")
		return
	}
	t.Entries = page.Entries
	t.IsCaughtUp = true
	n.next = page.Next
	n.core.OnLogRead(t)
	n.core.ProcessOutputs()
}

func (n *fakeNode) listVMs() {
	now := n.cluster.clock.Now()
	if now.Sub(n.vmsAt) >= 2*time.Second {
		n.vmsAt = now
		n.core.OnVMs(slices.Clone(n.cluster.vms))
	}
}

func (n *fakeNode) Now() time.Time { return n.cluster.clock.Now() }

func (n *fakeNode) Send(to state.NodeID, m *node.Message) bool {
	for _, o := range n.cluster.nodes {
		if o.id() != to {
			continue
		}
		if o.core == nil || n.cluster.isBlocked(n.name(), o.name()) || n.cluster.silentLinks[[2]state.NodeID{n.id(), to}] {
			return true
		}
		// Encoded and decoded, so that the nodes share no memory and a field that
		// the encoding drops is noticed.
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

func (n *fakeNode) Connect(state.NodeID, netip.AddrPort) { n.connects++ }

func (n *fakeNode) Disconnect(peer state.NodeID) {
	delete(n.cluster.silentLinks, [2]state.NodeID{n.id(), peer})
}

func (n *fakeNode) Append(r state.Record, done func(error)) bool {
	if n.IsAppendFailing() {
		return false
	}
	n.pending = append(n.pending, pendingRecord{r, done, n.cluster.clock.Now()})
	return true
}

func (n *fakeNode) BatchApplied(seq uint64, outcome state.Outcome) {
	id := batchID{n.index, n.incarnation, seq}
	callbacks := n.cluster.inFlightCallbacks[id]
	delete(n.cluster.inFlightCallbacks, id)
	if n.inFlightBatch != nil && n.inFlightBatch.Seq <= seq {
		n.inFlightBatch = nil
		n.failingSince = time.Time{}
	}
	for i, done := range callbacks {
		if outcome.Err != nil {
			done(outcome.Err)
			continue
		}
		done(outcome.Results[i])
	}
}

// BatchesSkipped ends the wait for batches that are part of a peer's state.
func (n *fakeNode) BatchesSkipped(seq uint64) {
	for s := uint64(1); s <= seq; s++ {
		n.BatchApplied(s, state.Outcome{Err: state.ErrOutcomeUnknown})
	}
}

func (n *fakeNode) IsAppendFailing() bool {
	return !n.failingSince.IsZero() && n.cluster.clock.Now().Sub(n.failingSince) > appendFailingAfter
}

func (n *fakeNode) SkipTo(offset int64) { n.next = max(n.next, offset+1) }

func (n *fakeNode) AnswerKeyQuery(state.NodeID, *node.SavedAnswerRequest) {}

func (n *fakeNode) StoreAnswers([]node.KeyedAnswer) {}

func (n *fakeNode) OpenWorker(rack state.ShardID, epoch worker.Epoch, id worker.ID, _ netip.AddrPort) core.WorkerLink {
	l := &fakeLink{node: n, rack: rack, epoch: epoch, id: id}
	n.links = append(n.links, l)
	return l
}
