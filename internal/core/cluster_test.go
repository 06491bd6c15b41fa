// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	step           = 50 * time.Millisecond
	testLease      = 6 * time.Second
	testSyncPeriod = 500 * time.Millisecond
	region         = "r1"
)

// cluster is a cluster of real cores under a fake clock, with a simulated
// network, log and workers.
type cluster struct {
	clock   *clock.Fake
	log     *native.Log
	oracle  *native.Oracle
	workers map[worker.ID]*native.Worker
	names   []worker.ID
	vms     []vmlist.VM
	nodes   []*fakeNode
	rng     *rand.Rand
	// blockedLinks has the pairs of names, sender and receiver, between which all
	// messages are lost. The log is a receiver named "log".
	blockedLinks map[[2]string]bool
	// silentLinks has the pairs of nodes, sender and receiver, of links that are open but deliver
	// nothing until the sender replaces them.
	silentLinks map[[2]state.NodeID]bool
	// loseReplies is the number of further appends that take effect but whose
	// replies are lost.
	loseReplies      int
	isLogUnavailable bool
	// areForgetsLost means that owners' messages to forget ended attempts do not
	// reach the workers, so that workers keep reporting these attempts.
	areForgetsLost bool
	violations     []string
	// inFlightCallbacks has the callbacks of the batches that were passed to the
	// log and have not been applied yet.
	inFlightCallbacks map[batchID][]func(error)
}

type clusterOptions struct {
	nodes, racks, workers int
	capacity              leverdyke.Resources
	snapshotEvery         int64
	seed                  uint64
}

func newCluster(o clusterOptions) *cluster {
	cl := &cluster{
		clock: clock.NewFake(), oracle: native.NewOracle(), workers: map[worker.ID]*native.Worker{},
		rng: rand.New(rand.NewPCG(o.seed, 1)), blockedLinks: map[[2]string]bool{}, silentLinks: map[[2]state.NodeID]bool{},
	}
	if o.capacity == (leverdyke.Resources{}) {
		o.capacity = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4096, Slots: 4}
	}
	if o.snapshotEvery == 0 {
		o.snapshotEvery = 1 << 30
	}
	cl.log = native.NewLog(cl.clock, 0)
	for r := range o.racks {
		for n := range o.workers {
			name := fmt.Sprintf("k%d-w%d", r, n)
			cl.workers[worker.ID(name)] = native.NewWorker(name, o.capacity, cl.clock, cl.oracle)
			cl.names = append(cl.names, worker.ID(name))
			cl.vms = append(cl.vms, vmlist.VM{
				Name: name, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(r), byte(n)}), 80), Region: region,
				Zone: fmt.Sprintf("z%d", r%2), Rack: fmt.Sprintf("k%d", r), Status: vmlist.StatusLive,
			})
		}
	}
	for i := range o.nodes {
		n := &fakeNode{cluster: cl, index: i, snapshotEvery: o.snapshotEvery, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7101)}
		cl.nodes = append(cl.nodes, n)
		n.start()
	}
	return cl
}

// run advances the clock in steps, runs all nodes after each, and checks the
// documents' versions.
func (cl *cluster) run(d time.Duration) {
	for range int(d / step) {
		cl.clock.Advance(step)
		for _, name := range cl.names {
			cl.workers[name].Expire()
		}
		for _, n := range cl.nodes {
			n.step()
		}
		cl.checkVersions()
	}
}

// checkVersions records a violation if a running process has an older version of
// a document than it had before.
func (cl *cluster) checkVersions() {
	for _, n := range cl.nodes {
		if n.core == nil {
			continue
		}
		for name, d := range n.core.State().Docs {
			if d.Version < n.seen[name] {
				cl.violations = append(cl.violations, fmt.Sprintf("%s went back from version %d to %d", name, n.seen[name], d.Version))
			}
			n.seen[name] = d.Version
		}
	}
}

func (cl *cluster) isBlocked(from, to string) bool { return cl.blockedLinks[[2]string{from, to}] }

func (cl *cluster) block(from, to string) { cl.blockedLinks[[2]string{from, to}] = true }

// heal ends all faults: it restarts killed nodes and workers, resumes paused
// nodes, and makes the log and all links available.
func (cl *cluster) heal() {
	cl.blockedLinks = map[[2]string]bool{}
	cl.isLogUnavailable = false
	cl.areForgetsLost = false
	cl.loseReplies = 0
	for _, name := range cl.names {
		cl.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeUp})
	}
	for _, n := range cl.nodes {
		n.isPaused = false
		if n.core == nil {
			n.start()
		}
	}
}

// submit submits a job through the first node that runs and has joined, and
// reports whether the job was accepted.
func (cl *cluster) submit(spec leverdyke.JobSpec) bool {
	return cl.append(state.Record{Submit: &state.Submit{Spec: spec}}) == nil
}

// append appends a record through the first node that runs and has joined, and
// waits for the result; it returns an error if none arrives.
func (cl *cluster) append(r state.Record) error {
	for _, n := range cl.nodes {
		if n.core == nil || n.isPaused || !n.core.IsJoined() {
			continue
		}
		var result error
		isDone := false
		n.core.Append(r, func(err error) { result, isDone = err, true })
		for range 100 {
			if isDone {
				return result
			}
			cl.run(step)
		}
		return fmt.Errorf("no result of the append within 100 steps")
	}
	return fmt.Errorf("no node runs and has joined")
}

// running returns the number of running attempts of a job, as the workers report
// them.
func (cl *cluster) running(job string) int {
	count := 0
	for _, name := range cl.names {
		count += cl.workers[name].Running(job)
	}
	return count
}

// runningCount returns the number of running tasks according to the oracle,
// which observes the workers directly, whichever epoch they obey.
func (cl *cluster) runningCount() int { return cl.oracle.Report().Running }

func (cl *cluster) job(id string) *state.Job {
	for _, n := range cl.nodes {
		if n.core != nil {
			return n.core.State().Jobs[id]
		}
	}
	return nil
}

// checkInvariants fails the test if an invariant has been violated.
func (cl *cluster) checkInvariants(t *testing.T) {
	t.Helper()
	for _, v := range cl.foundViolations() {
		t.Error(v)
	}
}

// foundViolations returns the violations of invariants: those recorded by the
// cluster, and those by the oracle, such as a task that ran twice at once.
func (cl *cluster) foundViolations() []string {
	list := append([]string{}, cl.violations...)
	r := cl.oracle.Report()
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving > 0 {
		list = append(list, r.Violations...)
	}
	return list
}

// waitUntilReady runs the cluster until every shard has an owner.
func (cl *cluster) waitUntilReady(t *testing.T) {
	t.Helper()
	for range 400 {
		cl.run(step)
		if cl.ownedCount() == cl.shardCount() {
			cl.run(time.Second)
			return
		}
	}
	t.Fatalf("got: %d shards with an owner, want: %d", cl.ownedCount(), cl.shardCount())
}

// shardCount returns the number of shards: the racks and the 16 job shards.
func (cl *cluster) shardCount() int {
	racks := map[string]bool{}
	for _, vm := range cl.vms {
		racks[vm.Rack] = true
	}
	return len(racks) + 16
}

// ownedCount returns how many shards the running nodes own by their own account.
func (cl *cluster) ownedCount() int {
	count := 0
	for _, n := range cl.nodes {
		if n.core != nil {
			v := n.core.View()
			count += len(v.Racks) + len(v.JobShards)
		}
	}
	return count
}

// newReadyClusterOf returns a cluster in which every shard has an owner and the
// team filings may run jobs.
func newReadyClusterOf(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	cl := newCluster(o)
	cl.waitUntilReady(t)
	cl.publishDefaults(t)
	return cl
}

// mustSubmit fails the test unless the job is accepted.
func (cl *cluster) mustSubmit(t *testing.T, s leverdyke.JobSpec) {
	t.Helper()
	if !cl.submit(s) {
		t.Fatalf("%s: got: refused, want: accepted", s.ID)
	}
}

// publishDefaults publishes the documents of an office and of the team filings.
func (cl *cluster) publishDefaults(t *testing.T) {
	t.Helper()
	for _, d := range [][2]string{
		{"office/head", "waiting: 0.8\npacking: 0.2\n"},
		{"team/filings", "office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 10, slots: 100}\n"},
	} {
		if err := cl.append(state.Record{Publish: &state.Publish{Doc: d[0], Body: []byte(d[1])}}); err != nil {
			t.Fatalf("publish %s: got: %v, want: nil", d[0], err)
		}
	}
}

func batchSpec(id string, tasks int, runTime time.Duration) leverdyke.JobSpec {
	return leverdyke.JobSpec{
		ID: id, Team: "filings", Region: region, Kind: leverdyke.KindBatch, Class: leverdyke.ClassNormal, Tasks: tasks,
		Each: leverdyke.Resources{MilliCPU: 500, MemoryMiB: 256, Slots: 1}, RunTime: runTime,
	}
}

func serviceSpec(id string, tasks int) leverdyke.JobSpec {
	s := batchSpec(id, tasks, 0)
	s.Kind = leverdyke.KindService
	return s
}

// ownerOf returns the node that considers itself the owner of a shard, or nil.
func (cl *cluster) ownerOf(shard string) *fakeNode {
	for _, n := range cl.nodes {
		if n.core == nil {
			continue
		}
		v := n.core.View()
		if slices.Contains(v.Racks, shard) || slices.Contains(v.JobShards, shard) {
			return n
		}
	}
	return nil
}

func TestClusterRunsJobsOfEveryKind(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 3, racks: 2, workers: 2, seed: 1})
	gang := batchSpec("gang", 5, 2*time.Second)
	gang.Kind = leverdyke.KindGang
	onceJob := batchSpec("once", 2, time.Second)
	onceJob.IsOnce = true
	for _, s := range []leverdyke.JobSpec{serviceSpec("service", 2), batchSpec("batch", 6, time.Second), gang, onceJob} {
		cl.mustSubmit(t, s)
	}
	cl.run(20 * time.Second)
	for _, c := range []struct {
		job  string
		want int
	}{{"batch", 6}, {"gang", 5}, {"once", 2}} {
		if got := cl.job(c.job).FinalCounts[leverdyke.TaskDone]; got != c.want {
			t.Errorf("%s: got: %d done, want: %d", c.job, got, c.want)
		}
	}
	if got := cl.runningCount(); got != 2 {
		t.Errorf("the service: got: %d running, want: 2", got)
	}
	cl.checkInvariants(t)
}

// When MaxIdempotencyKeys idempotency keys are remembered, a further one must be refused
// without an append, while a remembered one is still recognised.
func TestNumberOfKeysIsBounded(t *testing.T) {
	cl := newCluster(clusterOptions{nodes: 1, racks: 1, workers: 1, seed: 3})
	cl.waitUntilReady(t)
	c := cl.nodes[0].core
	claim := func(n int) idempotency.ClaimOutcome {
		fate := idempotency.ClaimOutcome("")
		c.ClaimKey(idempotency.Key{byte(n >> 16), byte(n >> 8), byte(n)}, func(r core.KeyResult) { fate = r.Fate })
		for range 20 {
			if fate != "" {
				break
			}
			cl.run(step)
		}
		return fate
	}
	if got := claim(0); got != idempotency.ClaimWon {
		t.Errorf("the first: got: %v, want: %v", got, idempotency.ClaimWon)
	}
	for i := range state.MaxIdempotencyKeys {
		c.State().IdempotencyKeys[idempotency.Key{0xff, byte(i >> 8), byte(i)}] = state.Process{}
	}
	if got := claim(1); got != idempotency.ClaimNotRecorded {
		t.Errorf("one too many: got: %v, want: %v", got, idempotency.ClaimNotRecorded)
	}
	if got := claim(0); got != idempotency.ClaimLost {
		t.Errorf("a remembered one: got: %v, want: %v", got, idempotency.ClaimLost)
	}
}

// A service whose tasks share a zone, a rack or a VM loses too many of them when
// that fails.
func TestServicesSpreadOverZonesRacksAndVMs(t *testing.T) {
	cl := newReadyClusterOf(t, clusterOptions{nodes: 3, racks: 4, workers: 2, seed: 2})
	for _, tasks := range []int{2, 4, 8} {
		id := fmt.Sprint("service-", tasks)
		if !cl.submit(serviceSpec(id, tasks)) {
			t.Fatal("got: refused, want: accepted")
		}
		cl.run(5 * time.Second)
		zones, racks, vms := map[string]int{}, map[string]int{}, 0
		for _, vm := range cl.vms {
			n := cl.workers[worker.ID(vm.Name)].Running(id)
			zones[vm.Zone] += n
			racks[vm.Rack] += n
			vms = max(vms, n)
		}
		if zones["z0"] != tasks/2 || zones["z1"] != tasks/2 || vms > 1 {
			t.Errorf("%d tasks: got: %v, %v, at most %d on a VM, want: half in each zone, at most 1 on a VM", tasks, zones, racks, vms)
		}
	}
	cl.checkInvariants(t)
}

var _ core.Environment = (*fakeNode)(nil)
