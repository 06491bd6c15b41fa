// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/rack"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	home  = state.ShardID("home/r1/00")
	epoch = worker.Epoch(256)
)

// bench is a rack's owner with its workers, without a network.
type bench struct {
	t       *testing.T
	clock   *clock.Fake
	oracle  *native.Oracle
	rack    *rack.Rack
	workers map[worker.ID]*native.Worker
	names   []worker.ID
	reports map[worker.ID]*worker.Report
	// answers and news are what the home has heard.
	answers map[worker.Key]node.AnswerResult
	news    map[worker.Key]node.NewsItem
	toNode  []node.Message
	events  []rack.Event
	// forgets is what each worker is told to forget with its next sync.
	forgets map[worker.ID][]worker.Key
	decided []rack.Decision
	starts  int
	// isMute keeps starts from reaching the workers.
	isMute  bool
	attempt uint64
}

func newBench(t *testing.T, workers int, capacity leverdyke.Resources) *bench {
	t.Helper()
	b := &bench{
		t: t, clock: clock.NewFake(), oracle: native.NewOracle(), workers: map[worker.ID]*native.Worker{},
		reports: map[worker.ID]*worker.Report{}, answers: map[worker.Key]node.AnswerResult{}, news: map[worker.Key]node.NewsItem{},
		forgets: map[worker.ID][]worker.Key{},
	}
	b.rack = rack.NewRack(b.clock.Now(), "rack/r1/k", epoch, rack.NewRackOptions{})
	list := []vmlist.VM{}
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		b.names = append(b.names, worker.ID(name))
		b.workers[worker.ID(name)] = native.NewWorker(name, capacity, b.clock, b.oracle)
		list = append(list, vmlist.VM{Name: name, Zone: "z", Status: vmlist.StatusLive})
	}
	b.rack.SetWorkers(b.clock.Now(), list)
	b.sync()
	return b
}

// sync lets every worker that is up report, and renews its leases.
func (b *bench) sync() {
	b.t.Helper()
	for _, id := range b.names {
		if b.workers[id].Mode() != native.ModeUp {
			b.rack.OnSilent(id)
			continue
		}
		s := &worker.Sync{Epoch: epoch, TTL: b.rack.TTL(), Forget: b.forgets[id]}
		delete(b.forgets, id)
		if r := b.reports[id]; r != nil {
			s.Incarnation, s.AsOf, s.SinceRevision = r.Incarnation, r.Now, r.Revision
		}
		rep, err := b.workers[id].Sync(s)
		if err != nil {
			b.t.Fatal(err)
		}
		b.reports[id] = rep
		b.rack.OnReport(b.clock.Now(), id, rep)
	}
	b.perform()
}

// perform carries out what the rack has ordered.
func (b *bench) perform() {
	b.t.Helper()
	out := b.rack.Take()
	b.events = append(b.events, out.Events...)
	b.decided = append(b.decided, out.Decisions...)
	for _, o := range out.Starts {
		b.starts++
		if b.isMute {
			continue
		}
		results, err := b.workers[o.Worker].Start(&worker.Start{Epoch: epoch, Incarnation: o.Boot, AsOf: o.AsOf, TTL: b.rack.TTL(), Tasks: o.Tasks})
		if err != nil {
			b.t.Fatal(err)
		}
		b.rack.OnStartResults(b.clock.Now(), o.Worker, results)
	}
	for _, f := range out.Forgets {
		b.forgets[f.Worker] = append(b.forgets[f.Worker], f.Keys...)
	}
	for _, o := range out.Acts {
		if err := b.workers[o.Worker].Act(&worker.Act{Epoch: epoch, Action: o.Deed, Keys: o.Keys}); err != nil {
			b.t.Fatal(err)
		}
	}
	rest := b.rack.Take()
	for _, m := range append(out.ToHome, rest.ToHome...) {
		b.hear(&m.Message)
	}
	for _, m := range append(out.ToNode, rest.ToNode...) {
		b.toNode = append(b.toNode, m.Message)
	}
}

func (b *bench) hear(m *node.Message) {
	if m.Answer != nil {
		for _, r := range m.Answer.Results {
			b.answers[r.Key] = r
		}
	}
	if m.News != nil {
		for _, n := range m.News.Items {
			b.news[n.Key] = n
		}
	}
}

// run lets time pass, a second at a time.
func (b *bench) run(seconds int) {
	b.t.Helper()
	for range seconds {
		b.clock.Advance(time.Second)
		for _, w := range b.workers {
			w.Expire()
		}
		b.rack.SetSole(b.clock.Now())
		b.sync()
		b.rack.Tick(b.clock.Now())
		b.perform()
	}
}

func (b *bench) task(job string, each leverdyke.Resources, class leverdyke.Class) worker.Task {
	b.attempt++
	return worker.Task{
		Key: worker.Key{Task: leverdyke.TaskID{Job: job, Index: int(b.attempt)}, Attempt: b.attempt}, JobShard: string(home), Declared: each, Class: class,
	}
}

func (b *bench) ask(items ...node.AskItem) {
	b.t.Helper()
	b.rack.OnAsk(&node.Ask{Home: home, HomeEpoch: 1, RackEpoch: epoch, Items: items})
	b.rack.Flush(b.clock.Now())
	b.perform()
}

var (
	small = leverdyke.Resources{MilliCPU: 1000, MemoryMiB: 1000, Slots: 1}
	vm    = leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000, Slots: 4}
)

func TestUnansweredStartIsNotOrderedTwice(t *testing.T) {
	b := newBench(t, 1, vm)
	b.isMute = true
	task := b.task("j", small, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: task})
	b.run(3)
	if b.starts != 1 {
		t.Errorf("got: %d starts, want: 1 until the first is known to have failed", b.starts)
	}
	b.rack.OnStartFailed("w0", []worker.Task{task})
	b.run(2)
	if b.starts != 2 {
		t.Errorf("got: %d starts, want: 2", b.starts)
	}
}

func TestAskForAnotherEpochIsRefused(t *testing.T) {
	b := newBench(t, 1, vm)
	task := b.task("j", small, leverdyke.ClassNormal)
	b.rack.OnAsk(&node.Ask{Home: home, HomeEpoch: 1, RackEpoch: epoch - 1, Items: []node.AskItem{{Task: task}}})
	b.rack.Flush(b.clock.Now())
	b.perform()
	if got := b.answers[task.Key]; got.Refused == "" || b.starts != 0 {
		t.Errorf("got: %+v and %d starts, want: refused and none", got, b.starts)
	}
}

func TestLaterHomeShutsTheEarlierOneOut(t *testing.T) {
	b := newBench(t, 1, vm)
	b.rack.OnHomeSync(&node.HomeSync{Home: home, HomeEpoch: 2, Rack: "rack/r1/k"})
	task := b.task("j", small, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: task})
	if got := b.answers[task.Key]; got.Refused == "" || b.starts != 0 {
		t.Errorf("got: %+v and %d starts, want: refused and none", got, b.starts)
	}
}

func TestRefusalHoldsForLateCopies(t *testing.T) {
	b := newBench(t, 1, vm)
	big := b.task("big", leverdyke.Resources{MilliCPU: 5000, Slots: 1}, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: big})
	if got := b.answers[big.Key]; got.Refused == "" {
		t.Fatalf("got: %+v, want: refused", got)
	}
	big.Declared = small
	b.ask(node.AskItem{Task: big})
	if b.starts != 0 {
		t.Errorf("got: %d starts, want: 0", b.starts)
	}
}

func TestReportedUseRaisesTheCharge(t *testing.T) {
	b := newBench(t, 1, vm)
	b.workers["w0"].SetFaults(native.WorkerFaults{UsageFactor: 3})
	b.ask(node.AskItem{Task: b.task("j", small, leverdyke.ClassNormal)})
	b.run(4)
	// The report of its use comes with the next change.
	b.ask(node.AskItem{Task: b.task("other", leverdyke.Resources{MilliCPU: 1, MemoryMiB: 1, Slots: 1}, leverdyke.ClassNormal)})
	b.reports["w0"].Revision = 0
	b.sync()
	room := b.rack.Room(b.clock.Now())
	if got, want := room.Free.MilliCPU, int64(4000-3000-1); got > want {
		t.Errorf("got: %d free, want: at most %d, since the first task uses 3 times what it declared", got, want)
	}
}

func TestUrgentWorkPushesBatchesAsideButNotOnceOnly(t *testing.T) {
	b := newBench(t, 1, vm)
	for i := range 4 {
		task := b.task("batch", small, leverdyke.ClassBatch)
		task.IsOnce = i < 3
		b.ask(node.AskItem{Task: task})
	}
	urgent := b.task("urgent", leverdyke.Resources{MilliCPU: 500, MemoryMiB: 500, Slots: 1}, leverdyke.ClassUrgent)
	b.ask(node.AskItem{Task: urgent})
	b.run(1)
	if got := b.answers[urgent.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started", got)
	}
	second := b.task("urgent", small, leverdyke.ClassUrgent)
	b.ask(node.AskItem{Task: second})
	b.run(3)
	if got := b.answers[second.Key]; got.Refused == "" {
		t.Errorf("got: %+v, want: refused, since what is left may not be repeated", got)
	}
	if got := b.oracle.Report(); got.OverCommits != 0 {
		t.Errorf("got: %d over-commits, want: 0", got.OverCommits)
	}
}

func TestThrottlingComesBeforeStoppingAndIsTakenBack(t *testing.T) {
	b := newBench(t, 1, vm)
	batch := b.task("batch", leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 100, Slots: 1}, leverdyke.ClassBatch)
	b.ask(node.AskItem{Task: batch})
	urgent := b.task("urgent", small, leverdyke.ClassUrgent)
	urgent.RunTime = 3 * time.Second
	b.ask(node.AskItem{Task: urgent})
	b.run(1)
	if got := b.answers[urgent.Key]; got.Worker == "" {
		t.Fatalf("got: %+v, want: started", got)
	}
	if got := b.workers["w0"].Running("batch"); got != 1 {
		t.Errorf("got: %d batch tasks running, want: 1, throttled", got)
	}
	b.run(8)
	if got := b.rack.Room(b.clock.Now()).Free.MilliCPU; got != 0 {
		t.Errorf("got: %d free, want: 0: the batch has its processors back", got)
	}
	if got := b.oracle.Report(); got.OverCommits != 0 {
		t.Errorf("got: over-commits %v, want: none", got.Violations)
	}
}

func TestWorkerThatFailsEverythingIsSetAsideAndProbed(t *testing.T) {
	b := newBench(t, 3, vm)
	b.workers["w0"].SetFaults(native.WorkerFaults{IsFailingAll: true})
	place := func(seconds int) int {
		for i := range seconds {
			task := b.task(fmt.Sprintf("job-%d-%d", b.attempt, i), small, leverdyke.ClassNormal)
			task.RunTime = time.Second
			b.ask(node.AskItem{Task: task, Waiting: 1})
			b.run(1)
		}
		return b.workers["w0"].Starts()
	}
	early := place(15)
	if early > 4 {
		t.Errorf("got: %d tasks on the failing worker, want: at most 4", early)
	}
	b.workers["w0"].SetFaults(native.WorkerFaults{})
	if got := place(60); got < early+3 {
		t.Errorf("got: %d tasks after it was mended, want: more than %d", got, early+2)
	}
}

// A worker that was probed with a service got nothing else for as long as the service ran.
func TestAWorkerProbedWithAServiceIsUsedAgain(t *testing.T) {
	b := newBench(t, 2, vm)
	b.workers["w0"].SetFaults(native.WorkerFaults{IsFailingAll: true})
	place := func(prefix string, n int, takes time.Duration) {
		for i := range n {
			task := b.task(fmt.Sprintf("%s-%d", prefix, i), small, leverdyke.ClassNormal)
			task.RunTime = takes
			b.ask(node.AskItem{Task: task, Waiting: 1})
			b.run(1)
		}
	}
	place("failing", 12, time.Second)
	b.workers["w0"].SetFaults(native.WorkerFaults{})
	early := b.workers["w0"].Starts()
	b.run(60)
	place("service", 8, time.Hour)
	b.run(12)
	place("more", 8, time.Hour)
	if got := b.workers["w0"].Starts() - early; got < 3 {
		t.Errorf("tasks on the worker since it was mended: got: %d, want: more than its probe", got)
	}
}

// A worker that was out of reach while the home acknowledged the loss of its
// attempt must forget the attempt all the same: to a later owner, its end would
// be news.
func TestEndOfALostAttemptIsForgottenWhenItsWorkerIsBack(t *testing.T) {
	b := newBench(t, 1, vm)
	task := b.task("j", small, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: task})
	b.run(1)
	b.workers["w0"].SetFaults(native.WorkerFaults{Mode: native.ModeCut})
	b.run(30)
	if got := b.news[task.Key]; !got.IsLost {
		t.Fatalf("got: %+v, want: lost", got)
	}
	b.rack.OnNewsAck(&node.NewsAck{Home: home, Keys: []worker.Key{task.Key}})
	// The word to forget goes with the link of an owner that is replaced.
	b.rack.Take()
	b.workers["w0"].SetFaults(native.WorkerFaults{})
	b.run(3)
	rep, err := b.workers["w0"].Sync(&worker.Sync{Epoch: epoch})
	if err != nil {
		t.Fatal(err)
	}
	if len(rep.Tasks) != 0 {
		t.Errorf("got: %+v in its list, want: nothing", rep.Tasks)
	}
}

func TestHoldIsAllThereIsAndExpires(t *testing.T) {
	b := newBench(t, 2, vm)
	hold := &node.Hold{Home: home, HomeEpoch: 1, Rack: "rack/r1/k", RackEpoch: epoch, ID: 9, Each: small, Count: 20, Expiry: 5 * time.Second}
	b.rack.OnHold(b.clock.Now(), hold)
	out := b.rack.Take()
	if got := out.ToHome[0].Message.HoldReply.Count; got != 8 {
		t.Fatalf("got: %d places, want: 8", got)
	}
	task := b.task("small", small, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: task})
	if got := b.answers[task.Key]; got.Refused == "" {
		t.Errorf("got: %+v, want: refused while all is held", got)
	}
	gang := b.task("gang", small, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: gang, HoldID: 9})
	if got := b.answers[gang.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started on a held place", got)
	}
	b.run(6)
	late := b.task("gang", small, leverdyke.ClassNormal)
	b.ask(node.AskItem{Task: late, HoldID: 9})
	if got := b.answers[late.Key]; got.Refused == "" {
		t.Errorf("got: %+v, want: refused after the hold's expiry", got)
	}
}

func TestGrantsAreGivenOnServicesWorkersAndTakenBack(t *testing.T) {
	b := newBench(t, 2, vm)
	replica := b.task("service", small, leverdyke.ClassNormal)
	replica.Service, replica.Request = "s", leverdyke.Resources{MilliCPU: 100, Slots: 1}
	b.ask(node.AskItem{Task: replica})
	b.rack.OnGrantAsk(b.clock.Now(), "n1", &node.GrantAsk{Service: "s", Slots: 9})
	b.perform()
	b.run(1)
	if len(b.toNode) != 1 || b.toNode[0].Grant.Slots != 3 {
		t.Fatalf("got: %+v, want: one grant of 3 slots", b.toNode)
	}
	b.rack.OnGrantAsk(b.clock.Now(), "n2", &node.GrantAsk{Service: "s", Slots: 1})
	b.perform()
	if got := b.toNode[1].Grant.Refused; got == "" {
		t.Error("got: a grant, want: refused, since no slot is left")
	}
	b.rack.DropHolder(b.clock.Now(), func(n state.NodeID) bool { return n == "n1" })
	b.perform()
	b.run(2)
	if got := b.rack.Room(b.clock.Now()).Free.Slots; got != 7 {
		t.Errorf("got: %d slots free, want: 7 after the holder is gone", got)
	}
}

// A grant whose holder never got it, or whose return was lost, comes back by the
// holder's answer to a check.
func TestHoldersAreAskedWhetherTheyHaveTheirGrants(t *testing.T) {
	b := newBench(t, 1, vm)
	replica := b.task("service", small, leverdyke.ClassNormal)
	replica.Service, replica.Request = "s", leverdyke.Resources{MilliCPU: 100, Slots: 1}
	b.ask(node.AskItem{Task: replica})
	b.rack.OnGrantAsk(b.clock.Now(), "n1", &node.GrantAsk{Service: "s", Slots: 2})
	b.perform()
	b.run(1)
	grant := b.toNode[0].Grant.Key
	b.toNode = nil
	b.run(11)
	if len(b.toNode) != 2 || b.toNode[0].GrantCheck == nil || b.toNode[0].GrantCheck.Keys[0] != grant {
		t.Fatalf("got: %+v, want: two checks of the grant in 11 s", b.toNode)
	}
	b.rack.OnGrantDone(b.clock.Now(), "n1", &node.GrantDone{Key: grant})
	b.perform()
	b.run(2)
	if got := b.rack.Room(b.clock.Now()).Free.Slots; got != 3 {
		t.Errorf("got: %d slots free, want: 3 after the holder said that it lacks the grant", got)
	}
}

func TestGrantsOfALeavingWorkerAreTakenBack(t *testing.T) {
	for name, leave := range map[string]func(b *bench){
		"by its own word": func(b *bench) { b.workers["w0"].Leave() },
		"by the list": func(b *bench) {
			b.rack.SetWorkers(b.clock.Now(), []vmlist.VM{{Name: "w0", Status: vmlist.StatusLeaving}})
		},
		"by the operator":     func(b *bench) { b.rack.SetDrained(func(worker.ID) bool { return true }) },
		"for comparison, not": nil,
	} {
		b := newBench(t, 1, vm)
		replica := b.task("service", small, leverdyke.ClassNormal)
		replica.Service, replica.Request = "s", leverdyke.Resources{MilliCPU: 100, Slots: 1}
		b.ask(node.AskItem{Task: replica})
		b.rack.OnGrantAsk(b.clock.Now(), "n1", &node.GrantAsk{Service: "s", Slots: 2})
		b.perform()
		b.run(1)
		grant := b.toNode[0].Grant.Key
		finish, _ := b.workers["w0"].Begin(grant, "")
		if leave != nil {
			leave(b)
		}
		b.run(2)
		_, refused := b.workers["w0"].Begin(grant, "")
		if got, want := refused != "", leave != nil; got != want {
			t.Errorf("%s: got: new requests refused %v, want: %v", name, got, want)
		}
		if got := b.workers["w0"].Running(grant.Task.Job); got != 1 {
			t.Errorf("%s: got: %d grants that count, want: 1 until its request has ended", name, got)
		}
		finish()
		if got, want := b.workers["w0"].Running(grant.Task.Job), 0; leave != nil && got != want {
			t.Errorf("%s: got: %d grants after the last request, want: %d", name, got, want)
		}
	}
}

// TestNeverOverCapacity asks for tasks of random sizes and classes, ends some,
// and compares with the workers' own books.
func TestNeverOverCapacity(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(2))
	properties := gopter.NewProperties(parameters)
	properties.Property("no VM holds more than it has", prop.ForAll(func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		b := newBench(t, 3, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 4000, Accelerators: int64(r.Intn(2)), Slots: 4})
		classes := []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch}
		for range 40 {
			each := leverdyke.Resources{MilliCPU: int64(r.Intn(3000) + 1), MemoryMiB: int64(r.Intn(3000) + 1), Accelerators: int64(r.Intn(10) / 9), Slots: 1}
			task := b.task(fmt.Sprint("j", r.Intn(5)), each, classes[r.Intn(3)])
			task.RunTime = time.Duration(r.Intn(5)+1) * time.Second
			task.IsOnce = r.Intn(4) == 0
			b.ask(node.AskItem{Task: task, Waiting: r.Float64(), Packing: r.Float64()})
			b.run(r.Intn(2))
		}
		return b.oracle.Report().OverCommits == 0
	}, gen.Int64()))
	properties.TestingRun(t)
}
