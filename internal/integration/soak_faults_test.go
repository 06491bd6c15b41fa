// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// injectFault injects one random fault. Every kind that a seed has draws from the random numbers, so
// that the sequence of faults of a seed depends on the order of these checks.
func (s *soak) injectFault() {
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := time.Duration(300+s.rng.IntN(4000)) * time.Millisecond
	if s.hasBlackouts && s.rng.IntN(blackoutOdds) == 0 {
		s.injectBlackout()
		return
	}
	if s.hasSilences && s.rng.IntN(silenceOdds) == 0 {
		s.silenceConnections()
		return
	}
	if s.hasSlowStore && s.rng.IntN(slowStoreOdds) == 0 {
		s.injectSlowStore(duration)
		return
	}
	if s.hasCrashes && s.rng.IntN(crashOdds) == 0 {
		s.submitCrashingJob()
		return
	}
	if s.hasCrashes && s.rng.IntN(crashOdds) == 0 {
		s.resizeWorker(duration)
		return
	}
	if s.hasRestarts && s.rng.IntN(restartOdds) == 0 {
		s.restartWorkers()
		return
	}
	if s.customers != nil && s.rng.IntN(customerChangeOdds) == 0 {
		s.changeCustomers()
		return
	}
	if s.hasDelayedOrders && s.rng.IntN(delayedOrderOdds) == 0 {
		s.delayOrders()
		return
	}
	if s.hasDegradedWorkers && s.rng.IntN(degradedWorkerOdds) == 0 {
		s.failLongRunning(duration)
		return
	}
	switch s.rng.IntN(10) {
	case 0:
		s.restartNode(node, syscall.SIGKILL, duration/2)
	case 1:
		s.restartNode(node, syscall.SIGTERM, duration/4)
	case 2:
		s.logAction("pause %s for %v", node.Name, duration)
		if node.Signal(syscall.SIGSTOP) == nil {
			s.schedule(duration, func() { _ = node.Signal(syscall.SIGCONT) })
		}
	case 3:
		mode := []site.StoreMode{site.StoreBusy, site.StoreSilent}[s.rng.IntN(2)]
		s.logAction("store %s for %v", mode, duration)
		s.Store.SetMode(mode)
		s.schedule(duration, func() { s.Store.SetMode(site.StoreUp) })
	case 4:
		n := 1 + s.rng.IntN(4)
		s.logAction("store loses %d answers", n)
		s.Store.LoseAnswers(n)
	case 5:
		s.crashWorker()
	case 6:
		w := s.liveWorker()
		s.logAction("worker does not answer the next starts")
		w.DropStartAnswers(1 + s.rng.IntN(4))
	case 7:
		s.version += 1 + s.rng.IntN(3)
		s.Configure(s.version)
		_ = node.Signal(syscall.SIGHUP)
	default:
		s.injectToxic(duration)
	}
}

// injectBlackout injects an outage of the store in which workers drain and leave. At a random moment
// in the second half of the outage, or up to 500 ms after it, all nodes lose power at once. Other
// blackouts may begin before it ends.
func (s *soak) injectBlackout() {
	mode := []site.StoreMode{site.StoreBusy, site.StoreSilent}[s.rng.IntN(2)]
	duration := s.randomDuration(1500*time.Millisecond, 4*time.Second)
	s.logAction("blackout: store %s for %v", mode, duration)
	s.Store.SetMode(mode)
	s.schedule(duration, func() { s.Store.SetMode(site.StoreUp) })
	for range 1 + s.rng.IntN(4) {
		drainAfter := s.randomDuration(0, duration)
		leaveAfter := drainAfter + s.randomDuration(0, time.Second)
		s.schedule(drainAfter, func() {
			w := s.liveWorker()
			s.logAction("blackout: a worker drains, and leaves %v later", leaveAfter-drainAfter)
			w.Drain()
			s.schedule(leaveAfter-drainAfter, func() { s.replaceWorker(w) })
		})
	}
	s.schedule(s.randomDuration(duration/2, duration+500*time.Millisecond), func() {
		s.logAction("blackout: all nodes lose power")
		downtime := s.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
		for _, n := range s.nodes {
			s.restartNode(n, syscall.SIGKILL, downtime)
		}
	})
}

// resizeWorker reduces the capacity of a worker for a while.
func (s *soak) resizeWorker(duration time.Duration) {
	w := s.liveWorker()
	milliCPU, memoryMiB := int64(500*s.rng.IntN(8)), int64(200*s.rng.IntN(20))
	s.logAction("a worker has a capacity of %d milli-CPU, %d MiB for %v", milliCPU, memoryMiB, duration)
	w.Resize(milliCPU, memoryMiB)
	s.schedule(duration, func() { w.Resize(soakWorkerMilliCPU, soakWorkerMemoryMiB) })
}

// restartWorkers restarts up to four random workers under their IDs at random times of the next two
// seconds. The same worker may be restarted more than once.
func (s *soak) restartWorkers() {
	for range 1 + s.rng.IntN(4) {
		s.schedule(s.randomDuration(0, 2*time.Second), func() { s.restartWorker(s.liveWorker()) })
	}
}

// restartWorker restarts a worker under its ID, unless it has crashed meanwhile. Its clock then shows
// a random reading, behind or ahead of that of the previous incarnation.
func (s *soak) restartWorker(w *site.Worker) {
	after := s.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
	clock := s.randomDuration(0, 200*time.Hour)
	s.logAction("worker %s restarts after %v, its clock then shows %v", w.ID(), after, clock)
	w.Restart(after, clock)
}

// delayOrders makes a worker execute its next start orders seconds later, without an answer. In half
// of the cases the worker restarts meanwhile.
func (s *soak) delayOrders() {
	w := s.liveWorker()
	n, delay := 1+s.rng.IntN(4), s.randomDuration(2*time.Second, 5*time.Second)
	s.logAction("worker %s executes the next %d starts %v later", w.ID(), n, delay)
	w.DelayStarts(n, delay)
	if s.rng.IntN(2) == 0 {
		return
	}
	s.schedule(s.randomDuration(0, 2*time.Second), func() { s.restartWorker(w) })
}

// failLongRunning makes a worker fail the long-running tasks that it runs, and all that it starts for
// a while.
func (s *soak) failLongRunning(duration time.Duration) {
	w := s.liveWorker()
	s.logAction("worker %s fails long-running tasks for %v", w.ID(), duration)
	w.SetFailsLongRunning(true)
	w.FailLongRunning()
	s.schedule(duration, func() { w.SetFailsLongRunning(false) })
}

// injectSlowStore makes the store slow for a while, in which one or two of the three nodes are killed
// or stopped as planned.
func (s *soak) injectSlowStore(duration time.Duration) {
	s.logAction("store slow for %v", duration)
	s.Store.SetMode(site.StoreSlow)
	s.schedule(duration, func() { s.Store.SetMode(site.StoreUp) })
	for range 1 + s.rng.IntN(2) {
		node := s.nodes[s.rng.IntN(len(s.nodes))]
		sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.rng.IntN(2)]
		s.schedule(s.randomDuration(0, duration), func() { s.restartNode(node, sig, 500*time.Millisecond) })
	}
}

// randomDuration returns a random duration of at least a and less than b.
func (s *soak) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

// replaceWorker crashes a worker and adds a new one, unless the worker has crashed meanwhile. If the
// permission service lets the one run all steps, it lets the other: else no worker that may run a step
// could be left.
func (s *soak) replaceWorker(w *site.Worker) {
	if w.IsDead() {
		return
	}
	w.Crash()
	s.lastWorkerNumber++
	if site.MayRunAllSteps(strconv.Itoa(s.lastWorkerNumber)) != site.MayRunAllSteps(w.ID()) {
		s.lastWorkerNumber++
	}
	if _, err := s.AddWorker(s.lastWorkerNumber); err != nil {
		s.t.Error(err)
	}
}

// restartNode ends a node's process with a signal, if it runs, and starts it again after a while with
// a time of day that differs from the machine's.
func (s *soak) restartNode(n *site.Node, sig syscall.Signal, after time.Duration) {
	s.logAction("%v to %s, restarted after %v", sig, n.Name, after)
	if s.restarting[n] {
		// The node is already ending and will be started again: send the signal, but schedule no second
		// start.
		_ = n.Signal(sig)
		return
	}
	_ = n.Signal(syscall.SIGCONT)
	if n.Signal(sig) != nil {
		return
	}
	n.ClockShift = time.Duration(s.rng.IntN(2*maxClockShiftMs)-maxClockShiftMs) * time.Millisecond
	s.logAction("the clock of %s is then %v ahead", n.Name, n.ClockShift)
	s.restarting[n] = true
	s.schedule(after, func() {
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

// crashWorker crashes a random worker and adds a new one.
func (s *soak) crashWorker() {
	s.logAction("a worker crashes")
	s.replaceWorker(s.liveWorker())
}

// injectToxic adds a fault to one direction of a random proxy: it delays data, drops it silently, or
// closes the connections.
func (s *soak) injectToxic(duration time.Duration) {
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
	s.logAction("%s on %s, %s, for %v", fault, name, stream, duration)
	p := s.proxies[name]
	id := fmt.Sprintf("%s-%s-%d", kind, stream, len(s.actions))
	text := fmt.Sprintf(`{"name":"%s","type":"%s","stream":"%s","attributes":%s}`, id, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		s.t.Error(err)
		return
	}
	s.schedule(duration, func() {
		if err := p.Toxics.RemoveToxic(id); err != nil {
			s.t.Error(err)
		}
	})
}
