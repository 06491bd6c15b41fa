// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// fault injects one random fault.
func (s *soak) fault() {
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	lasts := time.Duration(300+s.rng.IntN(4000)) * time.Millisecond
	if s.hasBlackouts && s.rng.IntN(blackoutShare) == 0 {
		s.blackout()
		return
	}
	if s.hasSilences && s.rng.IntN(silenceShare) == 0 {
		s.silence()
		return
	}
	if s.hasSlowStore && s.rng.IntN(slowShare) == 0 {
		s.slowStore(lasts)
		return
	}
	if s.hasCrashes && s.rng.IntN(crashShare) == 0 {
		s.handInCrashing()
		return
	}
	if s.hasCrashes && s.rng.IntN(crashShare) == 0 {
		s.resizeWorker(lasts)
		return
	}
	if s.hasRestarts && s.rng.IntN(restartShare) == 0 {
		s.restartWorkers()
		return
	}
	if s.customers != nil && s.rng.IntN(customerShare) == 0 {
		s.changeCustomers()
		return
	}
	if s.hasLateOrders && s.rng.IntN(lateShare) == 0 {
		s.holdUpOrders()
		return
	}
	if s.hasSickWorkers && s.rng.IntN(sickShare) == 0 {
		s.failLasting(lasts)
		return
	}
	switch s.rng.IntN(10) {
	case 0:
		s.restart(node, syscall.SIGKILL, lasts/2)
	case 1:
		s.restart(node, syscall.SIGTERM, lasts/4)
	case 2:
		s.note("pause %s for %v", node.Name, lasts)
		if node.Signal(syscall.SIGSTOP) == nil {
			s.until(lasts, func() { _ = node.Signal(syscall.SIGCONT) })
		}
	case 3:
		mode := []site.StoreMode{site.StoreBusy, site.StoreSilent}[s.rng.IntN(2)]
		s.note("store %s for %v", mode, lasts)
		s.Store.SetMode(mode)
		s.until(lasts, func() { s.Store.SetMode(site.StoreUp) })
	case 4:
		n := 1 + s.rng.IntN(4)
		s.note("store loses %d answers", n)
		s.Store.LoseAnswers(n)
	case 5:
		s.crashWorker()
	case 6:
		w := s.liveWorker()
		s.note("worker does not answer the next starts")
		w.DropStartAnswers(1 + s.rng.IntN(4))
	case 7:
		s.version += 1 + s.rng.IntN(3)
		s.Configure(s.version)
		_ = node.Signal(syscall.SIGHUP)
	default:
		s.toxic(lasts)
	}
}

// blackout plays an outage of the store in which workers drain and leave and, at any
// moment of it or just after, all nodes lose power at once. Others may begin before
// it is over.
func (s *soak) blackout() {
	mode := []site.StoreMode{site.StoreBusy, site.StoreSilent}[s.rng.IntN(2)]
	lasts := s.between(1500*time.Millisecond, 4*time.Second)
	s.note("blackout: store %s for %v", mode, lasts)
	s.Store.SetMode(mode)
	s.until(lasts, func() { s.Store.SetMode(site.StoreUp) })
	for range 1 + s.rng.IntN(4) {
		drains := s.between(0, lasts)
		leaves := drains + s.between(0, time.Second)
		s.until(drains, func() {
			w := s.liveWorker()
			s.note("blackout: a worker drains, and leaves %v later", leaves-drains)
			w.Drain()
			s.until(leaves-drains, func() { s.replaceWorker(w) })
		})
	}
	s.until(s.between(lasts/2, lasts+500*time.Millisecond), func() {
		s.note("blackout: all nodes lose power")
		back := s.between(300*time.Millisecond, 1500*time.Millisecond)
		for _, n := range s.nodes {
			s.restart(n, syscall.SIGKILL, back)
		}
	})
}

// resizeWorker takes room from a worker for a while.
func (s *soak) resizeWorker(lasts time.Duration) {
	w := s.liveWorker()
	milliCPU, memoryMiB := int64(500*s.rng.IntN(8)), int64(200*s.rng.IntN(20))
	s.note("a worker has %d, %d of room for %v", milliCPU, memoryMiB, lasts)
	w.Resize(milliCPU, memoryMiB)
	s.until(lasts, func() { w.Resize(soakCPU, soakMemory) })
}

// restartWorkers lets some workers start again under their IDs, one after the other, each with
// a clock that is behind or ahead of that before. Some do so again soon.
func (s *soak) restartWorkers() {
	for range 1 + s.rng.IntN(4) {
		s.until(s.between(0, 2*time.Second), func() { s.startAgain(s.liveWorker()) })
	}
}

// startAgain lets a worker start again under its ID, unless it has ended meanwhile.
func (s *soak) startAgain(w *site.Worker) {
	after := s.between(300*time.Millisecond, 1500*time.Millisecond)
	clock := s.between(0, 200*time.Hour)
	s.note("worker %s starts again %v later, its clock shows %v then", w.ID(), after, clock)
	w.Restart(after, clock)
}

// holdUpOrders lets a worker carry out the next orders to start seconds later, without an answer.
// It may start again meanwhile.
func (s *soak) holdUpOrders() {
	w := s.liveWorker()
	n, held := 1+s.rng.IntN(4), s.between(2*time.Second, 5*time.Second)
	s.note("worker %s carries out the next %d starts %v later", w.ID(), n, held)
	w.DelayStarts(n, held)
	if s.rng.IntN(2) == 0 {
		return
	}
	s.until(s.between(0, 2*time.Second), func() { s.startAgain(w) })
}

// failLasting lets a worker fail the tasks that last which it runs, and all that it starts for a
// while.
func (s *soak) failLasting(lasts time.Duration) {
	w := s.liveWorker()
	s.note("worker %s fails tasks that last for %v", w.ID(), lasts)
	w.SetFailsLongRunning(true)
	w.FailLongRunning()
	s.until(lasts, func() { w.SetFailsLongRunning(false) })
}

// slowStore plays a store that is slow while nodes are killed or stopped, one
// or two of three nodes.
func (s *soak) slowStore(lasts time.Duration) {
	s.note("store slow for %v", lasts)
	s.Store.SetMode(site.StoreSlow)
	s.until(lasts, func() { s.Store.SetMode(site.StoreUp) })
	for range 1 + s.rng.IntN(2) {
		node := s.nodes[s.rng.IntN(len(s.nodes))]
		sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.rng.IntN(2)]
		s.until(s.between(0, lasts), func() { s.restart(node, sig, 500*time.Millisecond) })
	}
}

// between returns a random time of at least a and less than b.
func (s *soak) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

// replaceWorker ends a worker, unless it has ended meanwhile; another takes its place.
func (s *soak) replaceWorker(w *site.Worker) {
	if w.IsDead() {
		return
	}
	w.Crash()
	s.born++
	if _, err := s.AddWorker(s.born); err != nil {
		s.t.Error(err)
	}
}

// restart ends a node's process, if it runs, and starts it again.
func (s *soak) restart(n *site.Node, sig syscall.Signal, after time.Duration) {
	s.note("%v to %s, back after %v", sig, n.Name, after)
	if s.restarting[n] {
		// It is on its way out already: one more signal, and no second start.
		_ = n.Signal(sig)
		return
	}
	_ = n.Signal(syscall.SIGCONT)
	if n.Signal(sig) != nil {
		return
	}
	n.ClockShift = time.Duration(s.rng.IntN(2*maxClockShift)-maxClockShift) * time.Millisecond
	s.note("the clock of %s is then %v ahead", n.Name, n.ClockShift)
	s.restarting[n] = true
	s.until(after, func() {
		delete(s.restarting, n)
		_ = n.Signal(syscall.SIGCONT)
		if sig == syscall.SIGTERM {
			<-n.Done()
		} else {
			n.Kill()
		}
		if err := n.Start(); err != nil {
			s.t.Error(err)
		}
	})
}

func (s *soak) liveWorker() *site.Worker {
	for {
		all := s.Workers()
		if w := all[s.rng.IntN(len(all))]; !w.IsDead() {
			return w
		}
	}
}

// crashWorker ends a worker's life; another worker takes its place.
func (s *soak) crashWorker() {
	s.note("a worker crashes")
	s.replaceWorker(s.liveWorker())
}

// toxic harms a random proxy: delays it, resets it, or silences one direction.
func (s *soak) toxic(lasts time.Duration) {
	s.mu.Lock()
	names := []string{}
	for name := range s.proxies {
		names = append(names, name)
	}
	s.mu.Unlock()
	slices.Sort(names)
	name := names[s.rng.IntN(len(names))]
	fault := []string{"latency", "silence", "close"}[s.rng.IntN(3)]
	stream := []string{"upstream", "downstream"}[s.rng.IntN(2)]
	kind := map[string]string{"latency": "latency", "silence": "timeout", "close": "timeout"}[fault]
	attributes := map[string]string{"latency": `{"latency":300,"jitter":200}`, "silence": `{"timeout":0}`, "close": `{"timeout":10}`}[fault]
	s.note("%s on %s, %s, for %v", fault, name, stream, lasts)
	p := s.proxies[name]
	id := fmt.Sprintf("%s-%s-%d", kind, stream, len(s.actions))
	text := fmt.Sprintf(`{"name":"%s","type":"%s","stream":"%s","attributes":%s}`, id, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		s.t.Error(err)
		return
	}
	s.until(lasts, func() {
		if err := p.Toxics.RemoveToxic(id); err != nil {
			s.t.Error(err)
		}
	})
}
