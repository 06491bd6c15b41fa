// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/await"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/cluster"
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

// inactivePlatform implements what a node needs of the platform for tests in which no task starts.
type inactivePlatform struct{}

func (inactivePlatform) Do(context.Context, *fallback.Request) (*fallback.Response, error) {
	return nil, &fallback.UnsentError{Err: errors.New("not used here")}
}

func (inactivePlatform) Query(context.Context, work.StepID, []order.WorkerID) ([]order.Permit, time.Duration, error) {
	return nil, 0, errors.New("not used here")
}

func (inactivePlatform) Start(context.Context, uint64, *order.Start) (order.StartOutcome, order.WorkerTime) {
	return order.StartUnhealthy, 0
}

func (inactivePlatform) Stop(context.Context, uint64, *order.Stop) (order.WorkerTime, bool) {
	return 0, false
}

func (inactivePlatform) Close() {}

func (inactivePlatform) SetKeptConns(int) {}

func (inactivePlatform) Pace(context.Context, uint64, *order.Pace) error { return nil }

func (inactivePlatform) Poll(context.Context, uint64, *order.Poll) (*order.Listing, order.PollOutcome) {
	return nil, order.PollUnanswered
}

func (inactivePlatform) Workers(context.Context) ([]order.Worker, error) { return nil, nil }

func (inactivePlatform) DrainedZones(context.Context) ([]string, error) { return nil, nil }

func (inactivePlatform) OrderAnswered(string, string, time.Duration) {}

func (inactivePlatform) Appended(string, time.Duration) {}

// config is a fake configuration store and decoder. A configuration is only its version, as JSON.
type config struct {
	mu             sync.Mutex
	data           []byte
	changed        chan struct{}
	appliedVersion uint64
	parseCalls     int
	// isReadRefused makes reads of the configuration fail.
	isReadRefused bool
}

// refuseReads makes the store refuse this node's reads from now on.
func (c *config) refuseReads() {
	c.mu.Lock()
	c.isReadRefused = true
	c.mu.Unlock()
	c.changed <- struct{}{}
}

var errReadRefused = errors.New("the store refuses the read")

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

func (c *config) Parse(data []byte) (*cluster.Configuration, error) {
	c.mu.Lock()
	c.parseCalls++
	c.mu.Unlock()
	version := uint64(0)
	err := json.Unmarshal(data, &version)
	return &cluster.Configuration{Version: version, Policy: order.Policy{Queues: []order.Queue{{Name: "q", Service: "pool"}}}, Apply: func() { c.apply(version) }}, err
}

func (c *config) Wait(ctx context.Context, _ uint64) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.changed:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isReadRefused {
		c.changed <- struct{}{}
		return nil, errReadRefused
	}
	return c.data, nil
}

func (c *config) apply(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedVersion = version
}

func (c *config) parseCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parseCalls
}

func (c *config) applied() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appliedVersion
}

// testNode is a node with a configuration store of its own.
type testNode struct {
	*cluster.Node
	config *config
}

func newNode(t *testing.T, log *fakestore.Log, name, incarnation string) *testNode {
	t.Helper()
	return newNodeWith(t, log, name, incarnation, clock.Real{})
}

func newNodeWith(t *testing.T, log *fakestore.Log, name, incarnation string, clk clock.Service, modify ...func(o *cluster.Options)) *testNode {
	t.Helper()
	addr := closedAddr(t)
	c := newConfig()
	options := cluster.Options{
		Name: name, Zone: "z", LinkAddr: addr, Incarnation: incarnation, Clock: clk, Direct: inactivePlatform{}, PermissionService: inactivePlatform{}, Config: c,
		NewStore: func(fallback.Doer) store.Log { return log },
		NewOwner: func(fallback.Doer) (owner.Workers, owner.List) { return inactivePlatform{}, inactivePlatform{} },
		Log:      func(events.Event, ...any) {}, Metrics: inactivePlatform{}, Strength: 1, RequestTimeout: requestTimeout,
	}
	for _, f := range modify {
		f(&options)
	}
	n, err := cluster.NewNode(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return &testNode{n, c}
}

// requestTimeout is so long that no request times out on a busy machine.
const requestTimeout = time.Hour

func job(id string) *work.Spec {
	return &work.Spec{ID: work.JobID(id), Queue: "q", Steps: []work.Step{{Count: 1, MaxUnavailable: -1}}}
}

// submit submits a job repeatedly until it is accepted.
func (n *testNode) submit(t *testing.T, id string) {
	t.Helper()
	await.True(t, id+" is accepted", func() bool { return n.Submit(t.Context(), job(id)) == nil })
}

// knows reports whether the node returns the state of a job.
func (n *testNode) knows(t *testing.T, id string) bool {
	t.Helper()
	_, ok, err := n.State(t.Context(), work.JobID(id), work.Caller{})
	return err == nil && ok
}

// Guards against requests that only the owner can serve: each node must forward requests to it.
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
		t.Errorf("state at another node: got: %v, %v, want: %v", state, err, work.JobCancelled)
	}
}

// newPair returns an owner, which has job "a", and a node that follows it.
func newPair(t *testing.T, log *fakestore.Log) (first, second *testNode) {
	t.Helper()
	first = newNode(t, log, "n0", "1")
	first.submit(t, "a")
	second = newNode(t, log, "n1", "1")
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	return first, second
}

// checkOwner checks that the newest owner record in the store is that of a node.
func checkOwner(t *testing.T, log *fakestore.Log, want string) {
	t.Helper()
	if r, _, err := owner.ReadRecord(t.Context(), log); err != nil || r == nil || r.Node != want {
		t.Errorf("owner: got: %+v, %v, want: %s", r, err, want)
	}
}

// Guards against a shard that stays without an owner, and against lost jobs, when the owner's
// process ends without a handover.
func TestAnotherNodeTakesOverWhenTheOwnerEnds(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newPair(t, log)
	first.Close()
	await.True(t, "the job is known after the owner's end", func() bool { return second.knows(t, "a") })
	second.submit(t, "b")
}

// Guards against requests that fail after the owner left as planned, at the next owner or at the
// node that is leaving.
func TestRequestsAreServedAfterThePlannedStopOfAnOwner(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newPair(t, log)
	first.Leave(t.Context())
	second.submit(t, "b")
	await.True(t, "the leaving node forwards requests", func() bool { return first.knows(t, "b") })
	if first.IsReady() {
		t.Error("the leaving node: got: ready, want: not ready")
	}
}

// Guards against requests that are refused between two owners: they were refused with a retry delay
// of a second, even in a planned stop, instead of waiting for the next owner.
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

// delayedTickClock delivers ticks with a period below 50 ms five times too rarely, as for a process
// that is kept from running from time to time.
type delayedTickClock struct{ clock.Real }

func (c delayedTickClock) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	if period < 50*time.Millisecond {
		period *= 5
	}
	return c.Real.Subscribe(period)
}

// stoppedClock always returns the same time, so that peerFetchDelay never passes and no node
// fetches a configuration from a peer.
type stoppedClock struct{ clock.Real }

func (stoppedClock) Now() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

// Guards against configurations that are sent over links without need: one of 1,500 routes was sent
// from the owner to each follower and back from each, which delayed the owner's heartbeats.
func TestAConfigurationReadFromTheStoreIsNotFetchedFromAPeer(t *testing.T) {
	log := fakestore.NewLog()
	// A follower would defer its first read of the configuration, under this clock for good.
	readsAtOnce := func(o *cluster.Options) { o.NeedsStoreConfig = true }
	first, second := newNodeWith(t, log, "n0", "1", stoppedClock{}, readsAtOnce), newNodeWith(t, log, "n1", "1", stoppedClock{}, readsAtOnce)
	first.submit(t, "a")
	second.submit(t, "b")
	first.config.set(6)
	second.config.set(6)
	// A node without a configuration would fetch it from its peer.
	await.True(t, "both have a configuration", func() bool { return first.config.applied() == 6 && second.config.applied() == 6 })
	parsed := first.config.parseCount() + second.config.parseCount()
	first.config.set(7)
	await.True(t, "the second node knows that a peer has a newer configuration", second.HasNewerPeer)
	second.config.set(7)
	await.True(t, "both have read it", func() bool { return first.config.applied() == 7 && second.config.applied() == 7 })
	if got := first.config.parseCount() + second.config.parseCount() - parsed; got != 2 {
		t.Errorf("configurations decoded: got: %d, want: 2, one at each node", got)
	}
}

// Guards against a handover to nodes whose reads the store refuses: these cannot claim the shard,
// which is then without an owner for seconds.
func TestTheShardIsNotHandedToANodeThatCannotReadTheStore(t *testing.T) {
	log := fakestore.NewLog()
	first := newNode(t, log, "n0", "1")
	first.submit(t, "a")
	second, third := newNode(t, log, "n1", "1"), newNode(t, log, "n2", "1")
	for _, n := range []*testNode{second, third} {
		await.True(t, "the others serve", func() bool { return n.knows(t, "a") })
	}
	second.config.refuseReads()
	await.True(t, "the owner knows which node cannot read from the store", func() bool { return slices.Equal(first.Successors(), []string{"n2"}) })
	first.Leave(t.Context())
	checkOwner(t, log, "n2")
}

// manualClock returns a time that only tests advance; its ticks are those of the real clock.
type manualClock struct {
	clock.Real
	offset atomic.Int64
}

func (c *manualClock) Now() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(c.offset.Load()))
}

// TimeOfDay returns the same time as Now.
func (c *manualClock) TimeOfDay() time.Time { return c.Now() }

// Guards against followers that stay with an owner that has been replaced: they asked the store
// about it in a busy loop until the link timed out, and served no requests for 0.9 s.
func TestAFollowerLeavesAnOwnerThatWasReplaced(t *testing.T) {
	log := fakestore.NewLog()
	claims := []owner.Record{{Node: "a", Incarnation: "1", Epoch: 1}, {Node: "b", Incarnation: "1", Epoch: 2}}
	for i := range claims {
		if _, err := owner.AppendRecord(t.Context(), log, &claims[i], uint64(i)); err != nil {
			t.Fatal(err)
		}
	}
	clk := &manualClock{}
	n := newNodeWith(t, log, "n0", "1", clk)
	localEnd, remoteEnd := net.Pipe()
	t.Cleanup(func() { _ = remoteEnd.Close() })
	go func() { _, _ = io.Copy(io.Discard, remoteEnd) }()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		n.FollowOverLink(link.NewConn(localEnd, n), &claims[0])
	}()
	await.True(t, "the follower has a link", n.IsFollowing)
	// Longer than ownerSilenceTimeout, shorter than maxLinkSilence.
	clk.offset.Store(int64(800 * time.Millisecond))
	await.True(t, "the follower looks for the next owner", func() bool {
		select {
		case <-returned:
			return true
		default:
			return false
		}
	})
}

// Guards against requests that are refused while the owner is alive: they were refused for 0.9 s
// when the link to the owner broke without a reset.
func TestASilentLinkIsReplacedWhileTheOwnerLives(t *testing.T) {
	log := fakestore.NewLog()
	ownerRelay := newRelayedOwner(t, log)
	clk := &manualClock{}
	second := newNodeWith(t, log, "n1", "1", clk)
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	ownerRelay.Silence()
	await.True(t, "heartbeats are dropped", func() bool { return ownerRelay.DroppedReads() >= 3 })
	// Longer than ownerSilenceTimeout, shorter than maxLinkSilence.
	clk.offset.Store(int64(800 * time.Millisecond))
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
	checkOwner(t, log, "n0")
}

// newRelayedOwner returns an owner, which has job "a" and whose followers link to it through the relay.
func newRelayedOwner(t *testing.T, log *fakestore.Log) *relay.Relay {
	t.Helper()
	var ownerRelay *relay.Relay
	first := newNodeWith(t, log, "n0", "1", clock.Real{}, func(o *cluster.Options) {
		var err error
		if ownerRelay, err = relay.NewRelay(o.LinkAddr); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ownerRelay.Close)
		o.AdvertiseAddr = ownerRelay.Addr()
	})
	first.submit(t, "a")
	return ownerRelay
}

// requestTimers is a clock on which the timers of requests fire by hand.
type requestTimers struct {
	manualClock
	mu     sync.Mutex
	timers []chan time.Time
}

// After returns a timer that fires by hand if it is one of a request.
func (c *requestTimers) After(d time.Duration) <-chan time.Time {
	if d != requestTimeout {
		return c.manualClock.After(d)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := make(chan time.Time, 1)
	c.timers = append(c.timers, timer)
	return timer
}

// count returns how many timers have not fired.
func (c *requestTimers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// fire lets all timers that were made so far fire.
func (c *requestTimers) fire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, timer := range c.timers {
		timer <- c.Now()
	}
	c.timers = nil
}

// Guards against queries that fail although the owner is alive: those in flight on a link that fell
// silent failed when it was replaced more than the request timeout after they had arrived.
func TestRequestsOnASilentLinkAreSentAgainOverTheNextLink(t *testing.T) {
	log := fakestore.NewLog()
	ownerRelay := newRelayedOwner(t, log)
	clk := &requestTimers{}
	second := newNodeWith(t, log, "n1", "1", clk)
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	ownerRelay.Silence()
	const queries = 20
	answers := make(chan error, queries)
	for range queries {
		go func() {
			_, _, err := second.State(t.Context(), "a", work.Caller{})
			answers <- err
		}()
	}
	await.True(t, "queries and heartbeats are dropped", func() bool { return ownerRelay.DroppedReads() >= 5 })
	clk.fire()
	// Longer than ownerSilenceTimeout, shorter than maxLinkSilence.
	clk.offset.Store(int64(800 * time.Millisecond))
	for range queries {
		if err := <-answers; err != nil {
			t.Errorf("query: got: %v, want: an answer", err)
		}
	}
}

// Guards against a follower that hears its owner while nothing that it sends arrives: its requests
// waited until their deadlines, for as long as the connection was open.
func TestALinkThatIsSilentTowardsTheOwnerIsReplaced(t *testing.T) {
	log := fakestore.NewLog()
	ownerRelay := newRelayedOwner(t, log)
	second := newNode(t, log, "n1", "1")
	await.True(t, "the second node serves", func() bool { return second.knows(t, "a") })
	ownerRelay.SilenceClients()
	answers := make(chan error, 1)
	go func() {
		_, _, err := second.State(t.Context(), "a", work.Caller{})
		answers <- err
	}()
	await.True(t, "a query is answered", func() bool {
		select {
		case err := <-answers:
			return err == nil
		default:
			return false
		}
	})
	checkOwner(t, log, "n0")
}

// Guards against an owner that keeps the shard although its process is kept from running.
func TestASlowOwnerHandsOver(t *testing.T) {
	log := fakestore.NewLog()
	first := newNodeWith(t, log, "n0", "1", delayedTickClock{})
	first.submit(t, "a")
	second := newNode(t, log, "n1", "1")
	await.True(t, "the second node owns the jobs", func() bool {
		r, _, err := owner.ReadRecord(t.Context(), log)
		return err == nil && r != nil && r.Node == "n1" && second.knows(t, "a")
	})
}

// Guards against requests that hang, or are answered as if they might have run, when the store is
// down and there is no owner.
func TestANodeWithoutAnOwnerRefusesRequests(t *testing.T) {
	log := fakestore.NewLog()
	log.SetDown(true)
	n := newNode(t, log, "n0", "1")
	err := n.Submit(t.Context(), job("a"))
	e := &leverdyke.Error{}
	if !errors.As(err, &e) || e.Verdict != leverdyke.VerdictNotRun || e.RetryAfterSeconds == 0 {
		t.Errorf("got: %v, want: %v with a retry delay", err, leverdyke.VerdictNotRun)
	}
}

// Guards against nodes that miss a configuration because they cannot read it from the store, and
// against an older version that replaces a newer one.
func TestConfigurationSpreadsThroughPeersAndItsVersionNeverFalls(t *testing.T) {
	log := fakestore.NewLog()
	first, second := newNode(t, log, "n0", "1"), newNode(t, log, "n1", "1")
	first.submit(t, "a")
	second.submit(t, "b")
	first.config.set(7)
	await.True(t, "both have the configuration", func() bool { return first.config.applied() == 7 && second.config.applied() == 7 })
	second.config.set(9)
	await.True(t, "both have the next", func() bool { return first.config.applied() == 9 && second.config.applied() == 9 })
	first.config.set(8)
	second.submit(t, "c")
	if got := first.config.applied(); got != 9 {
		t.Errorf("after an older one: got: %d, want: 9", got)
	}
}

// Guards against a configuration that is compressed again for each peer that fetches it: with 27
// followers and 820 KB, this would take the owner half a second.
func TestAConfigurationIsCompressedOnce(t *testing.T) {
	log := fakestore.NewLog()
	first := newNode(t, log, "n0", "1")
	first.submit(t, "a")
	first.config.set(7)
	await.True(t, "the configuration is active", func() bool { return first.config.applied() == 7 })
	one, two := first.Compressed(), first.Compressed()
	if len(one) == 0 || &one[0] != &two[0] {
		t.Error("got: compressed again, want: compressed once")
	}
}
