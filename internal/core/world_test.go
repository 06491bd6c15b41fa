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
	step       = 50 * time.Millisecond
	worldLease = 6 * time.Second
	worldSync  = 500 * time.Millisecond
	region     = "r1"
)

// world is a cell of real cores under a fake clock, with a fake network.
type world struct {
	clock   *clock.Fake
	log     *native.Log
	oracle  *native.Oracle
	workers map[worker.ID]*native.Worker
	names   []worker.ID
	vms     []vmlist.VM
	nodes   []*fakeNode
	rng     *rand.Rand
	// cuts has the pairs of names between which nothing passes, one way.
	cuts map[[2]string]bool
	// loseReplies is how many appends take effect without an answer.
	loseReplies int
	isLogOut    bool
	// isLosingForgets keeps the words to forget from the workers.
	isLosingForgets bool
	violations      []string
	// flights has the callbacks of the batches that were handed to the log.
	flights map[flightID][]func(error)
}

type worldOptions struct {
	nodes, racks, workers int
	capacity              leverdyke.Resources
	snapshotEvery         int64
	seed                  uint64
}

func newWorld(o worldOptions) *world {
	w := &world{
		clock: clock.NewFake(), oracle: native.NewOracle(), workers: map[worker.ID]*native.Worker{},
		rng: rand.New(rand.NewPCG(o.seed, 1)), cuts: map[[2]string]bool{},
	}
	if o.capacity == (leverdyke.Resources{}) {
		o.capacity = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4096, Slots: 4}
	}
	if o.snapshotEvery == 0 {
		o.snapshotEvery = 1 << 30
	}
	w.log = native.NewLog(w.clock, 0)
	for r := range o.racks {
		for n := range o.workers {
			name := fmt.Sprintf("k%d-w%d", r, n)
			w.workers[worker.ID(name)] = native.NewWorker(name, o.capacity, w.clock, w.oracle)
			w.names = append(w.names, worker.ID(name))
			w.vms = append(w.vms, vmlist.VM{
				Name: name, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(r), byte(n)}), 80), Region: region,
				Zone: fmt.Sprintf("z%d", r%2), Rack: fmt.Sprintf("k%d", r), Status: vmlist.StatusLive,
			})
		}
	}
	for i := range o.nodes {
		n := &fakeNode{world: w, index: i, snapshotEvery: o.snapshotEvery, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7101)}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// run lets time pass in steps, and checks after each one.
func (w *world) run(d time.Duration) {
	for range int(d / step) {
		w.clock.Advance(step)
		for _, name := range w.names {
			w.workers[name].Expire()
		}
		for _, n := range w.nodes {
			n.step()
		}
		w.checkVersions()
	}
}

// checkVersions notes a document that went back at a running process.
func (w *world) checkVersions() {
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		for name, d := range n.core.State().Docs {
			if d.Version < n.seen[name] {
				w.violations = append(w.violations, fmt.Sprintf("%s went back from %d to %d", name, n.seen[name], d.Version))
			}
			n.seen[name] = d.Version
		}
	}
}

func (w *world) isCut(from, to string) bool { return w.cuts[[2]string{from, to}] }

func (w *world) cut(from, to string) { w.cuts[[2]string{from, to}] = true }

// heal ends all faults but the death of VMs.
func (w *world) heal() {
	w.cuts = map[[2]string]bool{}
	w.isLogOut = false
	w.isLosingForgets = false
	w.loseReplies = 0
	for _, name := range w.names {
		w.workers[name].SetFaults(native.WorkerFaults{Mode: native.ModeUp})
	}
	for _, n := range w.nodes {
		n.isPaused = false
		if n.core == nil {
			n.start()
		}
	}
}

// submit appends a job through the first node that takes it, and reports
// whether one did.
func (w *world) submit(spec leverdyke.JobSpec) bool {
	return w.append(state.Record{Submit: &state.Submit{Spec: spec}}) == nil
}

// append puts a record through a running node and waits for its fate; it
// returns an error when none came.
func (w *world) append(r state.Record) error {
	for _, n := range w.nodes {
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
			w.run(step)
		}
		return fmt.Errorf("no answer")
	}
	return fmt.Errorf("no node")
}

// running counts the live attempts of a job by worker.
func (w *world) running(job string) int {
	count := 0
	for _, name := range w.names {
		count += w.workers[name].Running(job)
	}
	return count
}

// runningNow counts the running tasks by the oracle, which no epoch disturbs.
func (w *world) runningNow() int { return w.oracle.Report().Running }

func (w *world) job(id string) *state.Job {
	for _, n := range w.nodes {
		if n.core != nil {
			return n.core.State().Jobs[id]
		}
	}
	return nil
}

// check fails the test if anything that must always hold did not.
func (w *world) check(t *testing.T) {
	t.Helper()
	for _, v := range w.problems() {
		t.Error(v)
	}
}

func (w *world) problems() []string {
	list := append([]string{}, w.violations...)
	r := w.oracle.Report()
	if r.OverCommits+r.DoubleRuns+r.Repeated+r.StartsOnLeaving > 0 {
		list = append(list, r.Violations...)
	}
	return list
}

// ready waits until every shard has an owner.
func (w *world) ready(t *testing.T) {
	t.Helper()
	for range 400 {
		w.run(step)
		if w.owned() == w.shards() {
			w.run(time.Second)
			return
		}
	}
	t.Fatalf("got: %d shards with an owner, want: %d", w.owned(), w.shards())
}

func (w *world) shards() int {
	racks := map[string]bool{}
	for _, vm := range w.vms {
		racks[vm.Rack] = true
	}
	return len(racks) + 16
}

func (w *world) owned() int {
	count := 0
	for _, n := range w.nodes {
		if n.core != nil {
			v := n.core.View()
			count += len(v.Racks) + len(v.Homes)
		}
	}
	return count
}

// newReadyWorldOf returns a cell in which every shard has an owner and one team
// may run jobs.
func newReadyWorldOf(t *testing.T, o worldOptions) *world {
	t.Helper()
	w := newWorld(o)
	w.ready(t)
	w.publishBasics(t)
	return w
}

// mustSubmit fails the test unless the job is accepted.
func (w *world) mustSubmit(t *testing.T, s leverdyke.JobSpec) {
	t.Helper()
	if !w.submit(s) {
		t.Fatalf("%s: got: refused, want: accepted", s.ID)
	}
}

// publishBasics brings an office and a team into force.
func (w *world) publishBasics(t *testing.T) {
	t.Helper()
	for _, d := range [][2]string{
		{"office/head", "waiting: 0.8\npacking: 0.2\n"},
		{"team/filings", "office: head\nquota: {milli_cpu: 100000, memory_mib: 100000, accelerators: 10, slots: 100}\n"},
	} {
		if err := w.append(state.Record{Publish: &state.Publish{Doc: d[0], Body: []byte(d[1])}}); err != nil {
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

// ownerOf returns the node that owns a shard by its own word, or nil.
func (w *world) ownerOf(shard string) *fakeNode {
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		v := n.core.View()
		if slices.Contains(v.Racks, shard) || slices.Contains(v.Homes, shard) {
			return n
		}
	}
	return nil
}

func TestCellRunsJobsOfEveryKind(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 2, workers: 2, seed: 1})
	gang := batchSpec("gang", 5, 2*time.Second)
	gang.Kind = leverdyke.KindGang
	once := batchSpec("once", 2, time.Second)
	once.IsOnce = true
	for _, s := range []leverdyke.JobSpec{serviceSpec("service", 2), batchSpec("batch", 6, time.Second), gang, once} {
		w.mustSubmit(t, s)
	}
	w.run(20 * time.Second)
	for _, c := range []struct {
		job  string
		want int
	}{{"batch", 6}, {"gang", 5}, {"once", 2}} {
		if got := w.job(c.job).Final[leverdyke.TaskDone]; got != c.want {
			t.Errorf("%s: got: %d done, want: %d", c.job, got, c.want)
		}
	}
	if got := w.runningNow(); got != 2 {
		t.Errorf("the service: got: %d running, want: 2", got)
	}
	w.check(t)
}

func TestKeysAreBounded(t *testing.T) {
	w := newWorld(worldOptions{nodes: 1, racks: 1, workers: 1, seed: 3})
	w.ready(t)
	c := w.nodes[0].core
	claim := func(n int) idempotency.ClaimOutcome {
		fate := idempotency.ClaimOutcome("")
		c.ClaimKey(idempotency.Key{byte(n >> 16), byte(n >> 8), byte(n)}, func(r core.KeyResult) { fate = r.Fate })
		for range 20 {
			if fate != "" {
				break
			}
			w.run(step)
		}
		return fate
	}
	if got := claim(0); got != idempotency.ClaimWon {
		t.Errorf("the first: got: %v, want: %v", got, idempotency.ClaimWon)
	}
	for i := range state.MaxKeys {
		c.State().Keys[idempotency.Key{0xff, byte(i >> 8), byte(i)}] = state.Owner{}
	}
	if got := claim(1); got != idempotency.ClaimNotRecorded {
		t.Errorf("one too many: got: %v, want: %v", got, idempotency.ClaimNotRecorded)
	}
	if got := claim(0); got != idempotency.ClaimLost {
		t.Errorf("a remembered one: got: %v, want: %v", got, idempotency.ClaimLost)
	}
}

func TestServicesSpreadOverZonesRacksAndVMs(t *testing.T) {
	w := newReadyWorldOf(t, worldOptions{nodes: 3, racks: 4, workers: 2, seed: 2})
	for _, tasks := range []int{2, 4, 8} {
		id := fmt.Sprint("service-", tasks)
		if !w.submit(serviceSpec(id, tasks)) {
			t.Fatal("got: refused, want: accepted")
		}
		w.run(5 * time.Second)
		zones, racks, vms := map[string]int{}, map[string]int{}, 0
		for _, vm := range w.vms {
			n := w.workers[worker.ID(vm.Name)].Running(id)
			zones[vm.Zone] += n
			racks[vm.Rack] += n
			vms = max(vms, n)
		}
		if zones["z0"] != tasks/2 || zones["z1"] != tasks/2 || vms > 1 {
			t.Errorf("%d tasks: got: %v, %v, at most %d on a VM, want: half in each zone, at most 1 on a VM", tasks, zones, racks, vms)
		}
	}
	w.check(t)
}

var _ core.Outside = (*fakeNode)(nil)
