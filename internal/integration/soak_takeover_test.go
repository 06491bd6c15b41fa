// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against jobs that stand still after a takeover, although nothing holds their next task back.
func TestSoakTakeover(t *testing.T) {
	runTakeovers(t, 1, 322, 328, 802, 807, 909, 1200, 1600, 1646, 1700, 1800)
}

// Guards against the same with nodes that reach two workers each.
func TestSoakTakeoverWithFewWorkersANode(t *testing.T) { runTakeovers(t, firstDelegateSeed) }

func runTakeovers(t *testing.T, seeds ...uint64) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSoak(t, seed, 2*time.Second, true) })
	}
}

// calmTime is how long the platform has been undisturbed when jobs must not stand still any more.
const calmTime = 4 * time.Second

// checkTakeover crashes a worker and ends the owner in calm. Jobs that have nothing on that worker must finish before the
// worker's own task, which has to wait for its lease, starts again. It ends the long-running jobs first, so that one task
// can take a whole worker. With customers it does nothing, as a limit may hold that task back.
func (s *soak) checkTakeover(longRunning []string) {
	if s.customers != nil {
		return
	}
	s.endPendingFaults()
	// TestSiteDoubtAboutAnEarlierOwnerDelaysNoLaterJob covers an owner that is not certain yet.
	s.await("the owner knows what earlier ones have started", s.isOwnerCertain)
	s.await("the platform is calm", elapsed(calmTime))
	for _, id := range longRunning {
		s.cancelAnywhere(id)
	}
	s.await("nothing runs", func() bool { return s.running() == 0 })
	lost := s.mustSubmit(jobStep{Count: 1, CPU: soakWorkerMilliCPU, MemMb: soakWorkerMemoryMiB, EstimatedMs: 600_000})
	s.await("a task takes a whole worker", func() bool { return s.workerOf(lost) != nil })
	elsewhere := []string{}
	for range 4 {
		elsewhere = append(elsewhere, s.mustSubmit(taskChain(6, 300)...))
	}
	for _, id := range elsewhere {
		s.await("job "+id+" has started", func() bool { return s.HasStarted(id) })
	}
	crash := []func(*site.Worker){(*site.Worker).Crash, (*site.Worker).CrashSilently}[s.rng.IntN(2)]
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.rng.IntN(2)]
	s.logAction("a worker crashes, then %v to the owner", signal)
	owner := s.owner()
	crash(s.workerOf(lost))
	s.loseOwner(signal)
	for _, id := range elsewhere {
		s.await("job "+id+" is succeeded", func() bool {
			s.startIfEnded(owner)
			return s.state(id) == "succeeded"
		})
	}
	if s.workerOf(lost) != nil {
		s.t.Error("jobs that have nothing on the crashed worker: got: waited for its lease, want: finished before")
	}
}

// isOwnerCertain reports whether the owner has logged that no task can run where it does not know, or was certain of that
// when it claimed the shard.
func (s *soak) isOwnerCertain() bool {
	isCertain := false
	for line := range strings.Lines(s.owner().Log()) {
		switch {
		case strings.Contains(line, `event="LD0300"`):
			isCertain = strings.Contains(line, "placements=true")
		case strings.Contains(line, `event="LD0468"`):
			isCertain = true
		}
	}
	return isCertain
}

// startIfEnded starts a node again once its process has ended, as the platform does.
func (s *soak) startIfEnded(n *site.Node) {
	s.t.Helper()
	if !n.HasEnded() {
		return
	}
	if err := n.Start(); err != nil {
		s.t.Error(err)
	}
}

// endPendingFaults takes back what was to happen to the next calls of workers and the store.
func (s *soak) endPendingFaults() {
	s.Store.LoseAnswers(0)
	for _, w := range s.liveWorkers() {
		w.DropStartAnswers(0)
		w.DelayStarts(0, 0)
	}
}

// cancelAnywhere cancels a job at the first node that acknowledges it.
func (s *soak) cancelAnywhere(id string) {
	s.t.Helper()
	s.await("job "+id+" is cancelled", func() bool {
		return slices.ContainsFunc(s.nodes, func(n *site.Node) bool {
			status, _, err := n.DoWithKey(s.t.Context(), s.keyFor(id), http.MethodDelete, site.QueuePrefix+id, nil)
			return err == nil && status == http.StatusOK
		})
	})
	s.RecordCancel(id)
}
