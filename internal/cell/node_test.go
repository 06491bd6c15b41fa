// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cell_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/cell"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/fallback"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/standin/relay"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
	"github.com/leverdyke/leverdyke/internal/work"
)

// idle is what a node needs of the platform where nothing is started.
type idle struct{}

func (idle) Do(context.Context, *fallback.Request) (*fallback.Response, error) {
	return nil, &fallback.UnsentError{Err: errors.New("not used here")}
}

func (idle) Ask(context.Context, work.StepID, []order.WorkerID) ([]order.Ticket, time.Duration, error) {
	return nil, 0, errors.New("not used here")
}

func (idle) Start(context.Context, uint64, *order.Start) (order.StartOutcome, order.WorkerTime) {
	return order.StartUnhealthy, 0
}

func (idle) Stop(context.Context, uint64, *order.Stop) (order.WorkerTime, bool) { return 0, false }

func (idle) Close() {}

func (idle) Pace(context.Context, uint64, *order.Pace) error { return nil }

func (idle) Poll(context.Context, uint64, *order.Hold) (*order.Listing, order.HoldOutcome) {
	return nil, order.HoldSilent
}

func (idle) Workers(context.Context) ([]order.Worker, error) { return nil, nil }

func (idle) OrderAnswered(string, string, time.Duration) {}

func (idle) Appended(string, time.Duration) {}

// config is the operators' configuration: a version as JSON.
type config struct {
	mu      sync.Mutex
	data    []byte
	changed chan struct{}
	applied uint64
	parses  int
	// isAway makes the store refuse to tell the configuration.
	isAway bool
}

// turnAway makes the store refuse this node from now on.
func (c *config) turnAway() {
	c.mu.Lock()
	c.isAway = true
	c.mu.Unlock()
	c.changed <- struct{}{}
}

var errTurnedAway = errors.New("turned away")

func newConfig() *config { return &config{changed: make(chan struct{}, 8)} }

func (c *config) set(version uint64) {
	data, err := json.Marshal(version)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.data = data
	c.changed <- struct{}{}
}

func (c *config) Parse(data []byte) (*cell.Configuration, error) {
	c.mu.Lock()
	c.parses++
	c.mu.Unlock()
	version := uint64(0)
	err := json.Unmarshal(data, &version)
	return &cell.Configuration{Version: version, Policy: order.Policy{Queues: []order.Queue{{Name: "q", Service: "pool"}}}, Apply: func() { c.apply(version) }}, err
}

func (c *config) Wait(ctx context.Context, _ uint64) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.changed:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isAway {
		c.changed <- struct{}{}
		return nil, errTurnedAway
	}
	return c.data, nil
}

func (c *config) apply(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = version
}

func (c *config) parsed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parses
}

func (c *config) inForce() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied
}

// testNode is a node with its own configuration reader.
type testNode struct {
	*cell.Node
	config *config
}

func newNode(t *testing.T, log *fakestore.Log, name, life string) *testNode {
	t.Helper()
	return newNodeWith(t, log, name, life, clock.Real{})
}

func newNodeWith(t *testing.T, log *fakestore.Log, name, life string, clk clock.Service, change ...func(o *cell.Options)) *testNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	c := newConfig()
	options := cell.Options{
		Name: name, Zone: "z", LinkAddr: addr, Life: life, Clock: clk, Direct: idle{}, Adviser: idle{}, Config: c,
		NewStore: func(fallback.Doer) store.Log { return log },
		NewOwner: func(fallback.Doer) (owner.Workers, owner.List) { return idle{}, idle{} },
		Log:      func(events.Event, ...any) {}, Metrics: idle{}, Strength: 1, Patience: patience,
	}
	for _, f := range change {
		f(&options)
	}
	n, err := cell.NewNode(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return &testNode{n, c}
}

// patience is so long that no request is given up on a busy machine.
const patience = time.Hour

func job(id string) *work.Spec {
	return &work.Spec{ID: work.JobID(id), Queue: "q", Steps: []work.Step{{Count: 1, MayMiss: -1}}}
}

// submit hands a job in until it is accepted.
func (n *testNode) submit(t *testing.T, id string) {
	t.Helper()
	await.True(t, id+" is accepted", func() bool { return n.Submit(t.Context(), job(id)) == nil })
}

func (n *testNode) knows(t *testing.T, id string) bool {
	t.Helper()
	_, ok, err := n.State(t.Context(), work.JobID(id), work.Caller{})
	return err == nil && ok
}

func TestAnyNodeServesAnyCaller(t *testing.T) {
	log := fakestore.NewLog()
	nodes := []*testNode{}
	for i := range 3 {
		nodes = append(nodes, newNode(t, log, fmt.Sprintf("n%d", i), "1"))
	}
	for i, n := range nodes {
		n.submit(t, fmt.Sprintf("j%d", i))
	}
	for _, n := range nodes {
		for i := range 3 {
			id := fmt.Sprintf("j%d", i)
			await.True(t, id+" is known everywhere", func() bool { return n.knows(t, id) })
		}
		if count, err := n.Pending(t.Context(), "q"); err != nil || count != 3 {
			t.Errorf("pending: got: %d, %v, want: 3", count, err)
		}
	}
	if ok, err := nodes[0].Cancel(t.Context(), "j2", work.Caller{}); err != nil || !ok {
		t.Errorf("cancel: got: %v, %v, want: done", ok, err)
	}
	if state, _, err := nodes[1].State(t.Context(), "j2", work.Caller{}); err != nil || state != work.JobCancelled {
		t.Errorf("state elsewhere: got: %v, %v, want: %v", state, err, work.JobCancelled)
	}
}

// newPair returns the owner of job "a" and a node that follows it.
func newPair(t *testing.T, log *fakestore.Log) (first, second *testNode) {
	t.Helper()
	first = newNode(t, log, "n0", "1")
	first.submit(t, "a")
	second = newNode(t, log, "n1", "1")
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	return first, second
}

// wantOwner checks which node owns the shard by the store's word.
func wantOwner(t *testing.T, log *fakestore.Log, want string) {
	t.Helper()
	if r, _, err := owner.ReadRecord(t.Context(), log); err != nil || r == nil || r.Node != want {
		t.Errorf("owner: got: %+v, %v, want: %s", r, err, want)
	}
}

func TestAnotherNodeGoesOnAfterTheOwnersEnd(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newPair(t, log)
	first.Close()
	await.True(t, "the job is known after the owner's end", func() bool { return second.knows(t, "a") })
	second.submit(t, "b")
}

func TestAPlannedStopLeavesNoGap(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newPair(t, log)
	first.Leave(t.Context())
	second.submit(t, "b")
	await.True(t, "the leaving node passes requests on", func() bool { return first.knows(t, "b") })
	if first.IsReady() {
		t.Error("the leaving node: got: ready, want: not ready")
	}
}

// A request that came between two owners was refused with a second to come back,
// also in a planned stop.
func TestARequestWaitsForTheNextOwner(t *testing.T) {
	for name, end := range map[string]func(n *testNode){
		"planned stop": func(n *testNode) { n.Leave(t.Context()) },
		"end":          func(n *testNode) { n.Close() },
	} {
		log := fakestore.NewLog()
		first, second := newPair(t, log)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			end(first)
		}()
		for i := range 50 {
			if err := second.Submit(t.Context(), job(fmt.Sprintf("b%d", i))); err != nil {
				t.Errorf("%s: request %d: got: %v, want: served", name, i, err)
			}
		}
		<-ended
		if err := second.Submit(t.Context(), job("c")); err != nil {
			t.Errorf("%s: afterwards: got: %v, want: served", name, err)
		}
	}
}

// slowClock ticks five times too rarely where ticks are close, as a process sees
// it that is kept from running now and then.
type slowClock struct{ clock.Real }

func (c slowClock) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	if period < 50*time.Millisecond {
		period *= 5
	}
	return c.Real.Subscribe(period)
}

// stillClock shows the same time always: no node takes long to read the store.
type stillClock struct{ clock.Real }

func (stillClock) Now() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

// A configuration of 1,500 routes went over the owner's link to each follower and
// back from each, so that its beats came late.
func TestAConfigurationInTheStoreCrossesNoLink(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newNodeWith(t, log, "n0", "1", stillClock{}), newNodeWith(t, log, "n1", "1", stillClock{})
	first.submit(t, "a")
	second.submit(t, "b")
	first.config.set(7)
	await.True(t, "the second node hears of it", second.IsBehind)
	second.config.set(7)
	await.True(t, "both have read it", func() bool { return first.config.inForce() == 7 && second.config.inForce() == 7 })
	if got := first.config.parsed() + second.config.parsed(); got != 2 {
		t.Errorf("configurations read: got: %d, want: 2, one at each node", got)
	}
}

// An owner that hands over to nodes that the store turns away leaves the shard
// without an owner for seconds.
func TestNothingIsHandedToANodeThatTheStoreTurnsAway(t *testing.T) {
	log := fakestore.NewLog()
	first := newNode(t, log, "n0", "1")
	first.submit(t, "a")
	second, third := newNode(t, log, "n1", "1"), newNode(t, log, "n2", "1")
	for _, n := range []*testNode{second, third} {
		await.True(t, "the others serve", func() bool { return n.knows(t, "a") })
	}
	second.config.turnAway()
	await.True(t, "the owner knows who is turned away", func() bool { return slices.Equal(first.Heirs(), []string{"n2"}) })
	first.Leave(t.Context())
	wantOwner(t, log, "n2")
}

// steppedClock shows the time that it was set to, and ticks as the machine's.
type steppedClock struct {
	clock.Real
	ahead atomic.Int64
}

func (c *steppedClock) Now() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(c.ahead.Load()))
}

// TimeOfDay goes with Now.
func (c *steppedClock) TimeOfDay() time.Time { return c.Now() }

// Followers of an owner that had been replaced asked the store about it without a
// pause until the link was given up, and served nobody for 0.9 s.
func TestAFollowerLeavesAnOwnerThatWasReplaced(t *testing.T) {
	log := fakestore.NewLog()
	claims := []owner.Record{{Node: "a", Incarnation: "1", Epoch: 1}, {Node: "b", Incarnation: "1", Epoch: 2}}
	for i := range claims {
		if _, err := owner.AppendRecord(t.Context(), log, &claims[i], uint64(i)); err != nil {
			t.Fatal(err)
		}
	}
	clk := &steppedClock{}
	n := newNodeWith(t, log, "n0", "1", clk)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.Stay(link.NewConn(near, n), &claims[0])
	}()
	await.True(t, "the follower has a link", n.IsFollowing)
	// Longer than three beats, shorter than the time after which a link is given up.
	clk.ahead.Store(int64(800 * time.Millisecond))
	await.True(t, "the follower looks for the next owner", func() bool {
		select {
		case <-left:
			return true
		default:
			return false
		}
	})
}

// Requests were refused for 0.9 s when the link to a living owner went silent
// without a reset.
func TestASilentLinkIsReplacedWhileTheOwnerLives(t *testing.T) {
	log := fakestore.NewLog()
	var way *relay.Relay
	first := newNodeWith(t, log, "n0", "1", clock.Real{}, func(o *cell.Options) {
		var err error
		if way, err = relay.NewRelay(o.LinkAddr); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		o.AdvertiseAddr = way.Addr()
	})
	first.submit(t, "a")
	clk := &steppedClock{}
	second := newNodeWith(t, log, "n1", "1", clk)
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	way.Silence()
	await.True(t, "beats are dropped", func() bool { return way.Dropped() >= 3 })
	// Longer than three beats, shorter than the time after which a link is given up.
	clk.ahead.Store(int64(800 * time.Millisecond))
	served := make(chan error, 1)
	go func() { served <- second.Submit(t.Context(), job("b")) }()
	await.True(t, "a request is served", func() bool {
		select {
		case err := <-served:
			return err == nil
		default:
			return false
		}
	})
	wantOwner(t, log, "n0")
}

func TestASlowOwnerHandsOver(t *testing.T) {
	log := fakestore.NewLog()
	first := newNodeWith(t, log, "n0", "1", slowClock{})
	first.submit(t, "a")
	second := newNode(t, log, "n1", "1")
	await.True(t, "the second node owns the jobs", func() bool {
		r, _, err := owner.ReadRecord(t.Context(), log)
		return err == nil && r != nil && r.Node == "n1" && second.knows(t, "a")
	})
}

func TestANodeWithoutAnOwnerRefuses(t *testing.T) {
	log := fakestore.NewLog()
	log.SetDown(true)
	n := newNode(t, log, "n0", "1")
	err := n.Submit(t.Context(), job("a"))
	e := &leverdyke.Error{}
	if !errors.As(err, &e) || e.Verdict != leverdyke.VerdictNotRun || e.RetryAfterSeconds == 0 {
		t.Errorf("got: %v, want: %v with a time to come back", err, leverdyke.VerdictNotRun)
	}
}

func TestConfigurationComesByPeersAndNeverGoesBack(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newNode(t, log, "n0", "1"), newNode(t, log, "n1", "1")
	first.submit(t, "a")
	second.submit(t, "b")
	first.config.set(7)
	await.True(t, "both have the configuration", func() bool { return first.config.inForce() == 7 && second.config.inForce() == 7 })
	second.config.set(9)
	await.True(t, "both have the next", func() bool { return first.config.inForce() == 9 && second.config.inForce() == 9 })
	first.config.set(8)
	second.submit(t, "c")
	if got := first.config.inForce(); got != 9 {
		t.Errorf("after an older one: got: %d, want: 9", got)
	}
}

// Each of 27 followers fetched 820 KB; to compress it for each would cost the
// owner half a second.
func TestAConfigurationIsPackedOnce(t *testing.T) {
	log := fakestore.NewLog()
	first := newNode(t, log, "n0", "1")
	first.submit(t, "a")
	first.config.set(7)
	await.True(t, "it is in force", func() bool { return first.config.inForce() == 7 })
	one, two := first.Packed(), first.Packed()
	if len(one) == 0 || &one[0] != &two[0] {
		t.Error("got: packed again, want: packed once")
	}
}
