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

// system is the cell under test with what was promised to its operators.
type system struct {
	*world
	// accepted has the jobs that were said to be accepted, cancelled those that
	// were said to be cancelled.
	accepted  map[string]leverdyke.JobSpec
	cancelled map[string]bool
	version   uint64
	isWrong   string
	nextJob   int
}

// model is the oracle's state; the promises themselves are kept beside the
// system, since only its answers say what was accepted.
type model struct{ steps int }

// command is one step: a fault, an operator's change, or time that passes.
type command struct {
	name string
	do   func(s *system)
}

func (c *command) Run(sut commands.SystemUnderTest) commands.Result {
	s, _ := sut.(*system)
	c.do(s)
	if s.isWrong != "" {
		return s.isWrong
	}
	return strings.Join(s.problems(), "; ")
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

func (s *system) cancelOne(n int) {
	for _, id := range slices.Sorted(maps.Keys(s.accepted)) {
		if s.cancelled[id] || !strings.HasSuffix(id, strconv.Itoa(n%10)) {
			continue
		}
		err := s.append(state.Record{Cancel: &state.Cancel{Job: id}})
		switch {
		case err == nil:
			s.cancelled[id] = true
		case !errors.Is(err, state.ErrNotTaken):
			// It may take effect later: nothing is promised of the job.
			delete(s.accepted, id)
		}
		return
	}
}

// publish changes a document; a change on a version that was replaced must
// never be accepted.
func (s *system) publish(isStale bool) {
	base := s.version
	if isStale {
		base--
	}
	err := s.append(state.Record{Publish: &state.Publish{Doc: "office/head", Base: base, Body: []byte("waiting: 1\n")}})
	switch {
	case isStale && err == nil:
		s.isWrong = fmt.Sprintf("a change based on %d was accepted over %d", base, s.version)
	case err == nil:
		s.version++
	case errors.Is(err, state.ErrConflict) && !isStale:
		// An earlier change whose answer did not come took effect.
		s.version++
	}
}

// settle ends all faults and looks whether all promises are kept.
func (s *system) settle() {
	s.heal()
	s.run(settleTime)
	for _, id := range slices.Sorted(maps.Keys(s.accepted)) {
		spec := s.accepted[id]
		if text := s.broken(id, &spec); text != "" {
			s.isWrong = id + ": " + text
			return
		}
	}
	if got := s.owned(); got != s.shards() {
		s.isWrong = fmt.Sprintf("%d shards have an owner, want %d", got, s.shards())
	}
	for _, n := range s.nodes {
		if got := n.core.State().Docs["office/head"].Version; got < s.version {
			s.isWrong = fmt.Sprintf("%s has version %d, want at least %d", n.name(), got, s.version)
		}
	}
}

func (s *system) broken(id string, spec *leverdyke.JobSpec) string {
	j := s.job(id)
	switch {
	case j == nil:
		return "an accepted job is lost"
	case s.cancelled[id]:
		if got := s.running(id); got != 0 {
			return fmt.Sprintf("it was cancelled, and %d tasks run", got)
		}
	case spec.Kind == leverdyke.KindService:
		if got := s.running(id); got != spec.Tasks {
			return fmt.Sprintf("%d of %d tasks run", got, spec.Tasks)
		}
	case spec.IsOnce:
		if got := j.Final[leverdyke.TaskDone] + j.Final[leverdyke.TaskUnknown]; got != spec.Tasks {
			return fmt.Sprintf("of %d once-only tasks: %v", spec.Tasks, j.Final)
		}
	case j.Final[leverdyke.TaskDone] != spec.Tasks:
		return fmt.Sprintf("of %d tasks: %v", spec.Tasks, j.Final)
	}
	return ""
}

func genCommand(commands.State) gopter.Gen {
	return gen.IntRange(0, 1<<20).Map(func(n int) commands.Command { return newCommand(n) })
}

// newCommand makes a command out of a number.
func newCommand(n int) *command {
	i, kind := n>>8, []string{"batch", "service", "gang", "once", "urgent"}[(n>>8)%5]
	name := func(text string) string { return fmt.Sprintf("%s/%d", text, i) }
	switch n % 32 {
	case 0, 1, 2, 3:
		return &command{name("submit " + kind), func(s *system) { s.submitNext(kind) }}
	case 4:
		return &command{name("cancel"), func(s *system) { s.cancelOne(i) }}
	case 5, 6:
		return &command{name("publish"), func(s *system) { s.publish(false) }}
	case 7:
		return &command{name("publish stale"), func(s *system) { s.publish(true) }}
	case 8, 9:
		return &command{name("kill node"), func(s *system) { s.pick(i).kill() }}
	case 10, 11:
		return &command{name("restart node"), func(s *system) { s.restart(i) }}
	case 12, 13:
		return &command{name("pause node"), func(s *system) { s.pick(i).isPaused = true }}
	case 14, 15:
		return &command{name("wake node"), func(s *system) { s.pick(i).isPaused = false }}
	case 16, 17:
		return &command{name("cut nodes"), func(s *system) { s.cut(s.pick(i).name(), s.pick(i/3+1).name()) }}
	case 18:
		return &command{name("cut node from log"), func(s *system) { s.cut(s.pick(i).name(), "log") }}
	case 19:
		return &command{name("cut node from worker"), func(s *system) { s.cut(s.pick(i).name(), string(s.names[i/3%len(s.names)])) }}
	case 20:
		return &command{name("cut worker's answers"), func(s *system) { s.cut(string(s.names[i/3%len(s.names)]), s.pick(i).name()) }}
	case 21:
		return &command{name("log out"), func(s *system) { s.isLogOut = true }}
	case 22:
		return &command{name("log back"), func(s *system) { s.isLogOut = false }}
	case 23:
		return &command{name("lose replies"), func(s *system) { s.loseReplies = 3 }}
	case 24:
		return &command{name("worker dies"), func(s *system) { s.fault(i, native.ModeDead) }}
	case 25:
		return &command{name("worker cut"), func(s *system) { s.fault(i, native.ModePartitioned) }}
	case 26:
		return &command{name("worker back"), func(s *system) { s.fault(i, native.ModeUp) }}
	case 27:
		return &command{name("heal cuts"), func(s *system) { s.cuts = map[[2]string]bool{} }}
	case 28:
		return &command{name("settle"), (*system).settle}
	case 30:
		return &command{name("worker's tasks use thrice"), func(s *system) {
			s.workers[s.names[i%len(s.names)]].SetFaults(native.WorkerFaults{Mode: native.ModeUp, UsageFactor: 3})
		}}
	case 29:
		return &command{name("lose words to forget"), func(s *system) { s.isLosingForgets = true }}
	}
	d := time.Duration(i%12+1) * time.Second
	return &command{"run " + d.String(), func(s *system) { s.run(d) }}
}

func (s *system) pick(i int) *fakeNode { return s.nodes[i%len(s.nodes)] }

func (s *system) restart(i int) {
	n := s.pick(i)
	n.kill()
	n.start()
}

func (s *system) fault(i int, m native.Mode) {
	s.workers[s.names[i%len(s.names)]].SetFaults(native.WorkerFaults{Mode: m})
}

// replay runs commands by their names, as a failed run prints them.
func replay(t *testing.T, names ...string) {
	t.Helper()
	s := newSystem(t)
	for _, name := range names {
		if got := namedCommand(t, name).Run(s); got != "" {
			t.Errorf("%s: got: %v, want: no promise broken", name, got)
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
	w := newWorld(worldOptions{nodes: 3, racks: 3, workers: 2, seed: 1, snapshotEvery: 40})
	w.run(5 * time.Second)
	w.publishBasics(t)
	return &system{world: w, accepted: map[string]leverdyke.JobSpec{}, cancelled: map[string]bool{}, version: 1}
}

// TestSequencesThatOnceBrokeAPromise has what random runs found.
func TestSequencesThatOnceBrokeAPromise(t *testing.T) {
	for name, sequence := range map[string][]string{
		"a start that was ordered twice, refused and then taken": {
			"worker cut/20", "run 7s", "cut node from log/509", "submit urgent/934", "pause node/1321", "run 3s", "worker dies/3039", "settle/4019",
		},
		"a job that was accepted by a node that lagged": {
			"cut node from log/363", "cut node from log/2062", "restart node/3879", "pause node/310", "submit urgent/1504", "run 12s", "wake node/3991",
			"submit once/1163", "restart node/2022", "run 9s", "settle/2013",
		},
		"an all-at-once job at a home that knows no rack": {
			"submit gang/2197", "cut worker's answers/2167", "kill node/3906", "submit gang/3032", "run 5s", "pause node/2986", "kill node/3533", "run 9s", "settle/1845",
		},
	} {
		t.Run(name, func(t *testing.T) { replay(t, sequence...) })
	}
}

// TestFaultsInAnyOrderBreakNoPromise drives a cell through random faults and
// changes, and compares what runs with what was promised.
func TestFaultsInAnyOrderBreakNoPromise(t *testing.T) {
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
	properties.Property("no promise is broken", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSystem(t) },
		InitialStateGen:        gen.Const(model{}),
		GenCommandFunc:         genCommand,
	}))
	properties.TestingRun(t)
}
