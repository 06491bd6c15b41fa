// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestPromisesHoldInAnyWorld plays random jobs with lost and late orders, cut and
// crashed workers, an unreachable store and takeovers, and checks from outside.
func TestPromisesHoldInAnyWorld(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("no promise is broken and all jobs end", prop.ForAll(
		func(seed uint64) (bool, error) { return keepsPromises(playRandomDay(seed), seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// A seed plays the same each time, or what it shows once could not be traced: nothing of the
// engine goes by the order of a built-in map.
func TestASeedPlaysTheSameEachTime(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(uint64) *world{
		"days": playRandomDay, "workers that start again": simulateRestarts, "rooms that change": simulateResizing, "crashes": simulateCrashes,
	} {
		for seed := range uint64(3) {
			first, second := play(seed).trace, play(seed).trace
			for i := range min(len(first), len(second)) {
				if first[i] != second[i] {
					t.Errorf("%s, seed %d, action %d: got: %+v, want: %+v", name, seed, i, second[i], first[i])
					break
				}
			}
			if len(first) != len(second) {
				t.Errorf("%s, seed %d: got: %d actions, want: %d", name, seed, len(second), len(first))
			}
		}
	}
}

// keepsPromises reports whether no promise was broken and all jobs have ended.
func keepsPromises(w *world, seed uint64) (bool, error) {
	if len(w.broken) > 0 {
		return false, fmt.Errorf("seed %d: %s (and %d more)", seed, w.broken[0], len(w.broken)-1)
	}
	for _, id := range w.order {
		if s := state(w, id); !s.IsFinal() {
			return false, fmt.Errorf("seed %d: job %s is %s at the end", seed, id, s)
		}
	}
	return true, nil
}

// playRandomDay plays 40 s of troubles and then lets all end.
func playRandomDay(seed uint64) *world {
	w := newWorld(seed)
	w.addWorkers(6, room)
	w.run(time.Second)
	for i := range 40 {
		w.submit(fmt.Sprintf("j%02d", i), step(1+w.rng.IntN(6), time.Duration(100+w.rng.IntN(2500))*time.Millisecond), step(1+w.rng.IntN(3), 300*time.Millisecond))
		w.trouble(i)
		w.run(time.Second)
	}
	w.heal()
	w.run(40 * time.Second)
	return w
}

// heal ends all troubles.
func (w *world) heal() {
	w.lostShare, w.failShare, w.isOut, w.refusedShare = 0, 0, false, 0
	for _, m := range w.each() {
		m.isCut = false
	}
}

// trouble does something to the world, or ends it.
func (w *world) trouble(i int) {
	ids := w.living()
	if len(ids) == 0 {
		return
	}
	m := w.workers[ids[w.rng.IntN(len(ids))]]
	switch w.rng.IntN(10) {
	case 0:
		w.lostShare, w.lateShare = 0.1*w.rng.Float64(), w.rng.Float64()
	case 1:
		w.lostShare = 0
	case 2:
		m.isCut = true
	case 3, 4:
		for _, o := range w.each() {
			o.isCut = false
		}
	case 5:
		w.crash(m.entry.ID, fmt.Sprintf("x%02d", i))
	case 6:
		w.takeOver()
	case 7:
		w.isOut, w.runsAhead = !w.isOut, w.rng.IntN(2) == 0
	case 8:
		w.failShare = 0.1 * w.rng.Float64()
	case 9:
		w.storeDelay, w.refusedShare = time.Duration(w.rng.IntN(300))*time.Millisecond, 0.2*w.rng.Float64()
	}
}
