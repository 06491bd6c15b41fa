// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// outagePlay plays a plan while callers submit jobs and ask for their states.
type outagePlay struct {
	*soak
	plan *outagePlan
	wg   sync.WaitGroup
	stop chan struct{}
	// lost is the node whose process was lost last.
	lost *site.Node
}

// Guards against tasks that run twice: a second owner in a row took a list of workers for complete that had as many entries
// as its predecessor, which had just begun, had read.
func TestSiteNothingRunsTwiceAfterTwoOwnersAreLostAsTheStoreReturns(t *testing.T) {
	playOutages(t, 1, twoOwnersLost)
}

// Guards against tasks that run twice: an owner that woke up renewed leases that its successor counted as expired.
func TestSiteNothingRunsTwiceAfterAPausedOwnerWakes(t *testing.T) { playOutages(t, 2, pausedOwner) }

// Guards against tasks that run twice around outages that are drawn anew for each seed. LEVERDYKE_OUTAGE_SEED and
// LEVERDYKE_OUTAGE_SEEDS play other seeds, of these and the plans above.
func TestSiteNothingRunsTwiceAroundDrawnOutages(t *testing.T) { playOutages(t, 1000, drawnOutages) }

// playOutages plays the plans of a seed, or of those that the environment names.
func playOutages(t *testing.T, seed uint64, newPlan func(*rand.Rand) *outagePlan) {
	t.Helper()
	first, count := seed, uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("LEVERDYKE_OUTAGE_SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.ParseUint(os.Getenv("LEVERDYKE_OUTAGE_SEEDS"), 10, 64); err == nil {
		count = n
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playOutagesOf(t, seed, newPlan) })
	}
}

func playOutagesOf(t *testing.T, seed uint64, newPlan func(*rand.Rand) *outagePlan) {
	rng := rand.New(rand.NewPCG(seed, 5))
	p := &outagePlay{stop: make(chan struct{}), plan: newPlan(rng), soak: &soak{rng: rng, version: 1, lastWorkerNumber: 100}}
	p.siteCluster = newSiteCluster(t, p.plan.nodes, site.Options{Workers: p.plan.workers, MilliCPU: soakWorkerMilliCPU, MemoryMiB: soakWorkerMemoryMiB})
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("actions:\n%s", strings.Join(p.actions, "\n"))
		}
	})
	longRunning := p.submitLongRunning()
	p.startPolling(seed)
	p.wg.Add(1)
	go p.runSubmits(rand.New(rand.NewPCG(seed, 6)))
	for i := range p.plan.outages {
		p.playOutage(&p.plan.outages[i])
	}
	p.waitUntil(time.Now().Add(p.plan.settleTime))
	close(p.stop)
	p.wg.Wait()
	p.await("all nodes run", func() bool {
		p.runDueActions(time.Now())
		return len(p.scheduled) == 0
	})
	p.awaitReady(p.nodes...)
	p.awaitAll()
	p.await("each long-running task runs once", func() bool { return p.running() == longRunning })
	t.Logf("%d jobs accepted, %d starts, %d violations", len(p.accepted), p.Starts(), len(p.Violations()))
}

// submitLongRunning submits jobs whose tasks take an eighth of the workers' capacity until the end, and returns how many
// tasks they have.
func (p *outagePlay) submitLongRunning() int {
	const perJob = 4
	step := smallStep(perJob, 0)
	step.Perpetual = true
	count := p.plan.workers
	for range count / perJob {
		p.mustSubmit(step)
	}
	p.accepted = nil
	p.await("the long-running tasks run", func() bool { return p.running() == count })
	return count
}

// runSubmits submits jobs until stop is closed: as many as keep half of the workers' capacity in use.
func (p *outagePlay) runSubmits(rng *rand.Rand) {
	defer p.wg.Done()
	ticker := time.NewTicker(6 * time.Second / time.Duration(p.plan.workers))
	defer ticker.Stop()
	const firstNumber = 1 << 16
	for number := firstNumber; ; number++ {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		id, node := fmt.Sprintf("%016x", number), p.nodes[rng.IntN(len(p.nodes))]
		steps := []jobStep{}
		for i := range 8 {
			step := smallStep(4, float64(300+rng.IntN(900)))
			if i > 0 {
				step.DependsOn = []int{i - 1}
			}
			steps = append(steps, step)
		}
		p.wg.Go(func() { p.submitSteps(node, id, steps) })
	}
}

// submitSteps submits a job at a node, which may be down.
func (p *outagePlay) submitSteps(n *site.Node, id string, steps []jobStep) {
	body, err := json.Marshal(map[string]any{"spec": "", "steps": steps})
	if err != nil {
		p.t.Error(err)
		return
	}
	if err := p.RegisterJob(id, body); err != nil {
		p.t.Error(err)
		return
	}
	if status, _, err := n.Do(p.t.Context(), http.MethodPost, site.QueuePrefix+id, body); err != nil || status != http.StatusOK {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted = append(p.accepted, id)
	p.unfinished = append(p.unfinished, id)
}

// playOutage lets jobs begin, and plays one outage with its losses of owners.
func (p *outagePlay) playOutage(o *outage) {
	p.waitUntil(time.Now().Add(p.plan.settleTime))
	p.logAction("store %s for %v, entries lapse, %d workers leave", o.mode, o.length, o.leaving)
	for range o.leaving {
		w := p.liveWorker()
		w.Drain()
		p.schedule(p.randomDuration(0, maxLeaveTime), func() { p.replaceWorker(w) })
	}
	p.Store.SetMode(o.mode)
	returnAt := time.Now().Add(o.length)
	hasReturned := false
	for _, loss := range o.losses {
		if loss.at >= 0 && !hasReturned {
			p.endOutage(o, returnAt)
			hasReturned = true
		}
		p.waitUntil(returnAt.Add(loss.at))
		p.loseOwner(loss)
	}
	if !hasReturned {
		p.endOutage(o, returnAt)
	}
}

// endOutage ends an outage at a time. The workers' entries come back in the next seconds.
func (p *outagePlay) endOutage(o *outage, at time.Time) {
	p.waitUntil(at)
	p.LapseEntries()
	p.Store.SetMode(site.StoreUp)
	for _, w := range p.Workers() {
		delay := p.randomDuration(0, o.maxEntryDelay)
		if o.lateEntryOdds > 0 && p.rng.IntN(o.lateEntryOdds) == 0 {
			delay = o.maxEntryDelay + o.lateEntryDelay
		}
		w.RestoreEntry(delay)
	}
	p.logAction("the store is back")
}

// ownerWait bounds the wait for a new owner after the last one was lost.
const ownerWait = 3 * time.Second

// loseOwner ends or pauses the process that owns the shard. If no new one has taken over since the last
// loss, it waits for that.
func (p *outagePlay) loseOwner(loss ownerLoss) {
	node := p.owner()
	for until := time.Now().Add(ownerWait); node == p.lost && time.Now().Before(until); node = p.owner() {
		p.waitUntil(time.Now().Add(10 * time.Millisecond))
	}
	if node.HasEnded() {
		p.logAction("no owner is left")
		return
	}
	p.lost = node
	p.logAction("the owner, %s, is %s", node.Name, loss.kind)
	switch loss.kind {
	case lossKilled:
		p.signal(node, syscall.SIGKILL)
		p.schedule(loss.downtime, func() { p.startOnceEnded(node) })
	case lossStopped:
		p.signal(node, syscall.SIGTERM)
		p.schedule(loss.downtime, func() { p.startOnceEnded(node) })
	case lossPaused:
		p.signal(node, syscall.SIGSTOP)
		// Another loss may have ended the process meanwhile.
		p.schedule(loss.downtime, func() { _ = node.Signal(syscall.SIGCONT) })
	}
}

// startOnceEnded starts a node again as soon as its process has ended.
func (p *outagePlay) startOnceEnded(n *site.Node) {
	if !n.HasEnded() {
		p.schedule(10*time.Millisecond, func() { p.startOnceEnded(n) })
		return
	}
	if err := n.Start(); err != nil {
		p.t.Error(err)
	}
}

// waitUntil waits for a time and meanwhile runs the actions that are due.
func (p *outagePlay) waitUntil(at time.Time) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for now := time.Now(); now.Before(at); now = <-ticker.C {
		p.runDueActions(now)
	}
}
