// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	fuzzSeed      = 20261202
	fuzzSequences = 25
	fuzzSize      = 30
	settleTime    = 100 * time.Second
)

// system is the cluster under test, together with what it has acknowledged to
// its operators.
type system struct {
	*cluster
	// accepted has the jobs whose submission was acknowledged, cancelled those
	// whose cancellation was.
	accepted  map[string]leverdyke.JobSpec
	cancelled map[string]bool
	version   uint64
	violation string
	nextJob   int
}

// model is the state that gopter passes to commands. What must hold is kept in
// system instead, since it depends on the system's answers.
type model struct{ steps int }

// command is one step of a sequence: a fault, an operator's change, or a period
// of time.
type command struct {
	name string
	do   func(s *system)
}

func (c *command) Run(sut commands.SystemUnderTest) commands.Result {
	s, _ := sut.(*system)
	c.do(s)
	if s.violation != "" {
		return s.violation
	}
	return strings.Join(s.foundViolations(), "; ")
}

func (c *command) NextState(s commands.State) commands.State {
	m, _ := s.(model)
	return model{m.steps + 1}
}

func (c *command) PreCondition(commands.State) bool { return true }

func (c *command) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if text, _ := r.(string); text != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{text}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (c *command) String() string { return c.name }

func (s *system) submitNext(kind string) {
	s.nextJob++
	id := fmt.Sprintf("%s-%03d", kind, s.nextJob)
	spec := batchSpec(id, 3, 2*time.Second)
	switch kind {
	case "service":
		spec = serviceSpec(id, 2)
	case "gang":
		spec.Kind = leverdyke.KindGang
	case "once":
		spec.IsOnce = true
	case "urgent":
		spec.Class = leverdyke.ClassUrgent
	}
	if s.submit(spec) {
		s.accepted[id] = spec
	}
}

// cancelOne cancels the first accepted job, in the order of the jobs' names, that
// has not been cancelled and whose name ends with the last digit of n. It does
// nothing if there is none.
func (s *system) cancelOne(n int) {
	for _, id := range slices.Sorted(maps.Keys(s.accepted)) {
		if s.cancelled[id] || !strings.HasSuffix(id, strconv.Itoa(n%10)) {
			continue
		}
		err := s.append(state.Record{Cancel: &state.Cancel{Job: id}})
		switch {
		case err == nil:
			s.cancelled[id] = true
		case !errors.Is(err, state.ErrNotAppended):
			// The cancellation may still take effect, so that the job may end either
			// way.
			delete(s.accepted, id)
		}
		return
	}
}

// publish changes a document. With isStale the change is based on a version that
// was replaced, and must not be accepted.
func (s *system) publish(isStale bool) {
	base := s.version
	if isStale {
		base--
	}
	err := s.append(state.Record{Publish: &state.Publish{Doc: "office/head", Base: base, Body: []byte("waiting: 1\n")}})
	switch {
	case isStale && err == nil:
		s.violation = fmt.Sprintf("a change based on %d was accepted over %d", base, s.version)
	case err == nil:
		s.version++
	case errors.Is(err, state.ErrConflict) && !isStale:
		// An earlier change whose answer was lost has taken effect.
		s.version++
	}
}

// settle ends all faults, lets the cluster recover, and checks that everything it
// acknowledged holds.
func (s *system) settle() {
	s.heal()
	s.run(settleTime)
	for _, id := range slices.Sorted(maps.Keys(s.accepted)) {
		spec := s.accepted[id]
		if text := s.violationOf(id, &spec); text != "" {
			s.violation = id + ": " + text
			return
		}
	}
	if got := s.ownedCount(); got != s.shardCount() {
		s.violation = fmt.Sprintf("%d shards have an owner, want %d", got, s.shardCount())
	}
	for _, n := range s.nodes {
		if got := n.core.State().Docs["office/head"].Version; got < s.version {
			s.violation = fmt.Sprintf("%s has version %d, want at least %d", n.name(), got, s.version)
		}
	}
}

// violationOf returns what is wrong with an acknowledged job, or "".
func (s *system) violationOf(id string, spec *leverdyke.JobSpec) string {
	j := s.job(id)
	switch {
	case j == nil:
		return "the accepted job is lost"
	case s.cancelled[id]:
		if got := s.running(id); got != 0 {
			return fmt.Sprintf("the job was cancelled, but %d of its tasks run", got)
		}
	case spec.Kind == leverdyke.KindService:
		if got := s.running(id); got != spec.Tasks {
			return fmt.Sprintf("%d of %d tasks run", got, spec.Tasks)
		}
	case spec.IsOnce:
		if got := j.FinalCounts[leverdyke.TaskDone] + j.FinalCounts[leverdyke.TaskUnknown]; got != spec.Tasks {
			return fmt.Sprintf("not all of %d at-most-once tasks have ended: %v", spec.Tasks, j.FinalCounts)
		}
	case j.FinalCounts[leverdyke.TaskDone] != spec.Tasks:
		return fmt.Sprintf("not all of %d tasks have succeeded: %v", spec.Tasks, j.FinalCounts)
	}
	return ""
}

func genCommand(commands.State) gopter.Gen {
	return gen.IntRange(0, 1<<20).Map(func(n int) commands.Command { return newCommand(n) })
}

// newCommand returns the command that a random number stands for. n%32 selects
// the kind of command; several numbers may select the same kind, so that it is
// chosen more often. n>>8 is the parameter: it selects the node, the worker, the
// kind of job or the duration. Except in a run command, which prints its duration,
// the parameter follows the name after a slash. The number 31 has no case of its
// own and stands for a run command.
//
// The names are recorded in the sequences of TestSequencesThatBrokeAGuarantee and
// must stay. In them, "cut" means that messages are lost, and "out" and "back" that
// something becomes unavailable and available again.
func newCommand(n int) *command {
	i, kind := n>>8, []string{"batch", "service", "gang", "once", "urgent"}[(n>>8)%5]
	name := func(text string) string { return fmt.Sprintf("%s/%d", text, i) }
	switch n % 32 {
	// Operators' changes.
	case 0, 1, 2, 3:
		return &command{name("submit " + kind), func(s *system) { s.submitNext(kind) }}
	case 4:
		return &command{name("cancel"), func(s *system) { s.cancelOne(i) }}
	case 5, 6:
		return &command{name("publish"), func(s *system) { s.publish(false) }}
	case 7:
		return &command{name("publish stale"), func(s *system) { s.publish(true) }}
	// Faults of nodes. A paused node runs no code until it is woken and keeps its
	// state, so that it may then act on a state that is out of date. A restarted node
	// loses its state.
	case 8, 9:
		return &command{name("kill node"), func(s *system) { s.nodeAt(i).kill() }}
	case 10, 11:
		return &command{name("restart node"), func(s *system) { s.restart(i) }}
	case 12, 13:
		return &command{name("pause node"), func(s *system) { s.nodeAt(i).isPaused = true }}
	case 14, 15:
		return &command{name("wake node"), func(s *system) { s.nodeAt(i).isPaused = false }}
	// Faults of single links: all messages from one sender to one receiver are lost
	// until "heal cuts" or "settle". The other direction still works, and so do the
	// other links of both. A node that is cut from the log can neither append to it nor
	// read it. "cut node from worker" loses what one node sends to the worker, "cut
	// worker's answers" what the worker sends to one node.
	case 16, 17:
		return &command{name("cut nodes"), func(s *system) { s.block(s.nodeAt(i).name(), s.nodeAt(i/3+1).name()) }}
	case 18:
		return &command{name("cut node from log"), func(s *system) { s.block(s.nodeAt(i).name(), "log") }}
	case 19:
		return &command{name("cut node from worker"), func(s *system) { s.block(s.nodeAt(i).name(), string(s.names[i/3%len(s.names)])) }}
	case 20:
		return &command{name("cut worker's answers"), func(s *system) { s.block(string(s.names[i/3%len(s.names)]), s.nodeAt(i).name()) }}
	// Faults of the log: it is unavailable to all nodes until "log back"; or the next
	// three appends take effect, but their replies are lost.
	case 21:
		return &command{name("log out"), func(s *system) { s.isLogUnavailable = true }}
	case 22:
		return &command{name("log back"), func(s *system) { s.isLogUnavailable = false }}
	case 23:
		return &command{name("lose replies"), func(s *system) { s.loseReplies = 3 }}
	// Faults of a worker. One that dies loses its tasks. "worker cut" partitions a
	// worker from all nodes, in both directions, while its tasks continue to run.
	// "worker back" ends each fault of the worker.
	case 24:
		return &command{name("worker dies"), func(s *system) { s.setWorkerMode(i, native.ModeDead) }}
	case 25:
		return &command{name("worker cut"), func(s *system) { s.setWorkerMode(i, native.ModePartitioned) }}
	case 26:
		return &command{name("worker back"), func(s *system) { s.setWorkerMode(i, native.ModeUp) }}
	case 27:
		return &command{name("heal cuts"), func(s *system) { s.blockedLinks = map[[2]string]bool{} }}
	// Ends all faults and checks the guarantees.
	case 28:
		return &command{name("settle"), (*system).settle}
	// The tasks of a worker use three times the resources that their jobs declare.
	case 30:
		return &command{name("worker's tasks use thrice"), func(s *system) {
			s.workers[s.names[i%len(s.names)]].SetFaults(native.WorkerFaults{Mode: native.ModeUp, UsageFactor: 3})
		}}
	// The messages by which nodes let workers drop ended attempts are lost until
	// "settle", so that workers keep reporting these attempts.
	case 29:
		return &command{name("lose words to forget"), func(s *system) { s.areForgetsLost = true }}
	}
	d := time.Duration(i%12+1) * time.Second
	return &command{"run " + d.String(), func(s *system) { s.run(d) }}
}

func (s *system) nodeAt(i int) *fakeNode { return s.nodes[i%len(s.nodes)] }

func (s *system) restart(i int) {
	n := s.nodeAt(i)
	n.kill()
	n.start()
}

func (s *system) setWorkerMode(i int, m native.Mode) {
	s.workers[s.names[i%len(s.names)]].SetFaults(native.WorkerFaults{Mode: m})
}

// replay runs commands given by the names that a failed run prints.
func replay(t *testing.T, names ...string) {
	t.Helper()
	s := newSystem(t)
	for _, name := range names {
		if got := namedCommand(t, name).Run(s); got != "" {
			t.Errorf("%s: got: %v, want: no guarantee broken", name, got)
			return
		}
	}
}

func namedCommand(t *testing.T, name string) *command {
	t.Helper()
	_, text, _ := strings.Cut(name, "/")
	i, _ := strconv.Atoi(text)
	if d, ok := strings.CutPrefix(name, "run "); ok {
		d, err := time.ParseDuration(d)
		if err != nil {
			t.Fatal(err)
		}
		return &command{name, func(s *system) { s.run(d) }}
	}
	for k := range 32 {
		if c := newCommand(i<<8 | k); c.name == name {
			return c
		}
	}
	t.Fatalf("there is no command %q", name)
	return nil
}

func newSystem(t *testing.T) *system {
	t.Helper()
	cl := newCluster(clusterOptions{nodes: 3, racks: 3, workers: 2, seed: 1, snapshotEvery: 40})
	cl.run(5 * time.Second)
	cl.publishDefaults(t)
	return &system{cluster: cl, accepted: map[string]leverdyke.JobSpec{}, cancelled: map[string]bool{}, version: 1}
}

// Replays sequences found by random runs in which the cluster once broke a
// guarantee.
func TestSequencesOfPastFaultsBreakNoGuarantee(t *testing.T) {
	for name, sequence := range map[string][]string{
		"a start that was ordered twice, refused and then accepted": {
			"worker cut/20", "run 7s", "cut node from log/509", "submit urgent/934", "pause node/1321", "run 3s", "worker dies/3039", "settle/4019",
		},
		"a job accepted by a node that lags behind the log": {
			"cut node from log/363", "cut node from log/2062", "restart node/3879", "pause node/310", "submit urgent/1504", "run 12s", "wake node/3991",
			"submit once/1163", "restart node/2022", "run 9s", "settle/2013",
		},
		"an all-at-once job in a job shard that knows no rack": {
			"submit gang/2197", "cut worker's answers/2167", "kill node/3906", "submit gang/3032", "run 5s", "pause node/2986", "kill node/3533", "run 9s", "settle/1845",
		},
	} {
		t.Run(name, func(t *testing.T) { replay(t, sequence...) })
	}
}

// Drives a cluster through random faults and changes, and compares what runs with
// what the cluster has acknowledged.
func TestFaultsInAnyOrderBreakNoGuarantee(t *testing.T) {
	seed, sequences := int64(fuzzSeed), fuzzSequences
	if text := os.Getenv("LEVERDYKE_FUZZ_SEED"); text != "" {
		seed, _ = strconv.ParseInt(text, 10, 64)
	}
	if text := os.Getenv("LEVERDYKE_FUZZ_SEQUENCES"); text != "" {
		sequences, _ = strconv.Atoi(text)
	}
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(seed))
	parameters.MinSuccessfulTests = sequences
	parameters.MinSize, parameters.MaxSize = fuzzSize, fuzzSize+10
	properties := gopter.NewProperties(parameters)
	properties.Property("no guarantee is broken", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSystem(t) },
		InitialStateGen:        gen.Const(model{}),
		GenCommandFunc:         genCommand,
	}))
	properties.TestingRun(t)
}
