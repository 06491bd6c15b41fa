// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// batchTask returns a task with a run time, as everything but a service has.
func (b *bench) batchTask(job string, each leverdyke.Resources, class leverdyke.Class, run time.Duration) worker.Task {
	t := b.task(job, each, class)
	t.RunTime = run
	return t
}

// starve asks for a task that needs a whole VM, and has waited so long.
func (b *bench) starve(job string, class leverdyke.Class, age time.Duration) worker.Task {
	b.t.Helper()
	t := b.batchTask(job, leverdyke.Resources{MilliCPU: 4000, MemoryMiB: 1000, Slots: 1}, class, time.Hour)
	b.ask(node.StartItem{Task: t, Age: age, IsStarved: true})
	return t
}

func TestVMIsKeptForAStarvedTask(t *testing.T) {
	for name, c := range map[string]struct {
		isStarved bool
		class     leverdyke.Class
		run       time.Duration
		isTaken   bool
	}{
		"another task waits":         {true, leverdyke.ClassNormal, time.Hour, false},
		"a less urgent one waits":    {true, leverdyke.ClassBatch, time.Hour, false},
		"a more urgent one does not": {true, leverdyke.ClassUrgent, time.Hour, true},
		"a service does not":         {true, leverdyke.ClassNormal, 0, true},
		"nothing is kept without":    {false, leverdyke.ClassNormal, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, vm)
			for range 4 {
				b.ask(node.StartItem{Task: b.batchTask("small", small, leverdyke.ClassNormal, 3*time.Second)})
			}
			if c.isStarved {
				b.starve("large", leverdyke.ClassNormal, 20*time.Second)
			}
			b.run(4)
			other := b.batchTask("other", small, c.class, c.run)
			b.ask(node.StartItem{Task: other})
			if got := b.answers[other.Key].Worker != ""; got != c.isTaken {
				t.Errorf("got: %+v, want: taken %v", b.answers[other.Key], c.isTaken)
			}
			if got := b.rack.Room(b.clock.Now()).Largest.Slots == 0; got != c.isStarved {
				t.Errorf("got: the room of a kept VM is told %v, want: %v", !got, !c.isStarved)
			}
		})
	}
}

func TestStarvedTaskGetsTheVMThatIsKept(t *testing.T) {
	b := newBench(t, 2, vm)
	for range 8 {
		b.ask(node.StartItem{Task: b.batchTask("small", small, leverdyke.ClassNormal, 3*time.Second)})
	}
	b.starve("large", leverdyke.ClassNormal, 20*time.Second)
	// A younger one waits for the older.
	b.starve("younger", leverdyke.ClassNormal, 15*time.Second)
	b.run(4)
	large := b.starve("large", leverdyke.ClassNormal, 24*time.Second)
	if got := b.answers[large.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started", got)
	}
	younger := b.starve("younger", leverdyke.ClassNormal, 19*time.Second)
	if got := b.answers[younger.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started on the other VM, which is empty", got)
	}
}

func TestKeptVMIsGivenBackWithoutFurtherAsks(t *testing.T) {
	b := newBench(t, 1, vm)
	for range 4 {
		b.ask(node.StartItem{Task: b.batchTask("small", small, leverdyke.ClassNormal, 2*time.Second)})
	}
	b.starve("large", leverdyke.ClassNormal, 20*time.Second)
	b.run(6)
	other := b.batchTask("other", small, leverdyke.ClassNormal, time.Hour)
	b.ask(node.StartItem{Task: other})
	if got := b.answers[other.Key]; got.Worker == "" {
		t.Errorf("got: %+v, want: started, since nobody asked again", got)
	}
}
