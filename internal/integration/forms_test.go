// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// forms is a cluster under one form of disturbance, while callers have chains of tasks run and long-running tasks
// run.
type forms struct {
	*siteCluster
	rng        *rand.Rand
	calls      *formCalls
	version    int
	nextWorker int
	nextJob    int
	wg         sync.WaitGroup
	// asked counts the questions of checkAnswers, unsure the submissions without an answer that were repeated.
	asked, unsure atomic.Int64
	refusals      formRefusals
	// mu guards the processes of the nodes where signals are sent to them at any time.
	mu sync.Mutex
}

// formSettings are the sizes of a form. Those of CI are small; environment variables set those of runs by hand.
type formSettings struct {
	nodes, workers, callers int
	seconds, finishSeconds  int
	seed                    int
	maxProcs                int
}

func newFormSettings() formSettings {
	return formSettings{
		nodes: formSetting("NODES", 3), workers: formSetting("WORKERS", 8), callers: formSetting("CALLERS", 4),
		seconds: formSetting("SECONDS", 4), finishSeconds: formSetting("FINISH_SECONDS", 0), seed: formSetting("SEED", 1), maxProcs: formSetting("GOMAXPROCS", 0),
	}
}

// formSetting returns the number in LEVERDYKE_FORMS_NAME, or a default.
func formSetting(name string, byDefault int) int {
	if n, err := strconv.Atoi(os.Getenv("LEVERDYKE_FORMS_" + name)); err == nil {
		return n
	}
	return byDefault
}

// TestForms plays one form of disturbance each. All accepted jobs must stay known, and succeed, and no request may be cut
// beside planned work. LEVERDYKE_FORMS_NODES,
// WORKERS, CALLERS, SECONDS, FINISH_SECONDS (the time from the end of the calls to the question for all jobs), SEED and
// GOMAXPROCS (of the nodes) set the sizes of runs by hand.
func TestForms(t *testing.T) {
	for name, form := range map[string]struct {
		disturb func(f *forms, ctx context.Context)
		options site.Options
		// isPlanned means that there is planned work only, beside which no request may be cut.
		isPlanned bool
	}{
		"late orders":                                  {disturb: (*forms).delayOrders},
		"late orders, permits":                         {disturb: (*forms).delayOrders, options: site.Options{HasPermissionService: true}},
		"all killed after an acknowledgement":          {disturb: (*forms).killAfterAcknowledgement},
		"all killed after one with a slow store":       {disturb: (*forms).killWithSlowStore},
		"hangups, configurations, planned stops":       {disturb: (*forms).overlapPlannedWork, isPlanned: true},
		"workers crash":                                {disturb: (*forms).crashWorkers},
		"workers crash, permits":                       {disturb: (*forms).crashWorkers, options: site.Options{HasPermissionService: true}},
		"workers crash beside a stop of the owner":     {disturb: (*forms).crashBesideStop},
		"owner is lost beside slow permission queries": {disturb: (*forms).loseOwnerBesideSlowQueries, options: withSlowPermission},
		"a fraction of a processor, owner is lost beside slow permission queries": {disturb: (*forms).loseOwnerBesideSlowQueriesUnderQuota, options: withSlowPermission},
		"workers drain and leave":                  {disturb: (*forms).drainWorkers},
		"delegates, workers crash":                 {disturb: (*forms).crashWorkers, options: withDelegates},
		"delegates, nodes are killed":              {disturb: (*forms).killNodes, options: withDelegates},
		"delegates, planned work":                  {disturb: (*forms).overlapPlannedWork, options: withDelegates, isPlanned: true},
		"a fraction of a processor, workers crash": {disturb: (*forms).crashWorkersUnderQuota},
		"a fraction of a processor, planned work":  {disturb: (*forms).overlapPlannedWorkUnderQuota, isPlanned: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := runForm(t, form.options, form.disturb)
			if n := f.calls.cutLate.Load(); form.isPlanned && n > 0 {
				t.Errorf("got: %d requests cut later than %v, want: none", n, lossSlack)
			}
		})
	}
}

// withDelegates has the part of a processor that lets a node talk to one worker.
var withDelegates = site.Options{CPUShare: delegateCPUShare / 2}

func runForm(t *testing.T, o site.Options, disturb func(f *forms, ctx context.Context)) *forms {
	t.Helper()
	settings := newFormSettings()
	o.Workers = settings.workers
	if o.CPUShare > 0 {
		o.CPUShare *= float64(settings.workers/settings.nodes + 2)
	}
	if settings.maxProcs > 0 {
		o.Environment = []string{fmt.Sprintf("GOMAXPROCS=%d", settings.maxProcs)}
	}
	f := &forms{
		siteCluster: newSiteCluster(t, settings.nodes, o), rng: rand.New(rand.NewPCG(uint64(settings.seed), 1)), version: 1, nextWorker: 1000,
		calls: &formCalls{accepted: map[string]time.Time{}, ended: map[string]string{}},
	}
	longRunning := f.submitLongRunning()
	ctx, cancel := context.WithCancel(t.Context())
	f.startCallers(ctx, settings)
	length, stop := context.WithTimeout(ctx, time.Duration(settings.seconds)*time.Second)
	f.awaitAcceptance(length)
	pause(length, time.Second)
	disturb(f, length)
	stop()
	f.restartEndedNodes()
	cancel()
	f.wg.Wait()
	f.await("the time before the question passes", elapsed(time.Duration(settings.finishSeconds)*time.Second))
	f.checkJobs()
	f.await("the long-running tasks run", func() bool { return f.running() == longRunning })
	ofJobs, ofLongRunning := f.Standstills()
	t.Logf("%s: %s\nlongest standstill of a job: %v; of a long-running task: %v", t.Name(), f.calls.report(), ofJobs, ofLongRunning)
	return f
}

// submitLongRunning submits jobs of two long-running tasks each, and returns the number of their tasks.
func (f *forms) submitLongRunning() int {
	f.t.Helper()
	step := smallStep(2, 0)
	step.Perpetual = true
	jobs := max(len(f.Workers())/4, 1)
	for range jobs {
		f.mustSubmit(step)
	}
	f.accepted = nil
	f.await("the long-running tasks run", func() bool { return f.running() == 2*jobs })
	return 2 * jobs
}

// startCallers starts callers who each have one job at a time run: half of them chains, the others wide steps or tasks
// that take most of a worker.
func (f *forms) startCallers(ctx context.Context, settings formSettings) {
	f.t.Helper()
	after := jobStep{Count: 2, CPU: 500, MemMb: 200, EstimatedMs: 300, DependsOn: []int{0}}
	large := []jobStep{{Count: 1, CPU: 3500, MemMb: 2000, EstimatedMs: 500}, after}
	wide := []jobStep{smallStep(12, 400), after}
	bodies := [][]byte{}
	for _, steps := range [][]jobStep{taskChain(8, 250), taskChain(8, 250), wide, large} {
		body, err := json.Marshal(map[string]any{"spec": "", "steps": steps})
		if err != nil {
			f.t.Fatal(err)
		}
		bodies = append(bodies, body)
	}
	for i := range settings.callers {
		body := bodies[i%len(bodies)]
		caller := &formCaller{calls: f.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(uint64(settings.seed), uint64(100+i)))}
		f.wg.Go(func() { caller.run(ctx, f.Site, fmt.Sprintf("a%07x", i), body) })
	}
}

// checkJobs asks each node for each accepted job. All must be known to each, and succeed in the end.
func (f *forms) checkJobs() {
	f.t.Helper()
	ids := []string{}
	f.calls.mu.Lock()
	for id := range f.calls.accepted {
		ids = append(ids, id)
	}
	f.calls.mu.Unlock()
	for _, n := range f.nodes {
		caller := &formCaller{calls: f.calls, nodes: []*site.Node{n}, rng: f.rng}
		for _, id := range ids {
			caller.ask(f.Site, id)
		}
		caller.disconnect()
	}
	for _, id := range ids {
		f.awaitState(id, "succeeded")
	}
	for _, u := range f.calls.unknown {
		f.t.Errorf("job %s: got: unknown, want: known", u)
	}
	if n := f.calls.timedOut.Load(); n > 0 {
		f.t.Logf("%d requests without an answer", n)
	}
}

// every calls act again and again until ctx is done, with pauses of d.
func (f *forms) every(ctx context.Context, d time.Duration, act func()) {
	for ctx.Err() == nil {
		act()
		pause(ctx, d)
	}
}

// disturbancePeriod is the time between two disturbances, so that there is calm between them.
const disturbancePeriod = 12 * time.Second

// busyWorkers returns the live workers on which tasks run, or all live ones if there are fewer than n, in random order.
func (f *forms) busyWorkers(n int) []*site.Worker {
	live := f.liveWorkers()
	busy := slices.DeleteFunc(slices.Clone(live), func(w *site.Worker) bool { return w.Running() == 0 })
	if len(busy) < n {
		busy = live
	}
	f.rng.Shuffle(len(busy), func(i, j int) { busy[i], busy[j] = busy[j], busy[i] })
	return busy
}

// delayOrders makes half of the busy workers carry out their next orders seconds later.
func (f *forms) delayOrders(ctx context.Context) {
	f.every(ctx, 2*time.Second, func() {
		for i, w := range f.busyWorkers(2) {
			if i%2 == 0 {
				w.DelayStarts(1+f.rng.IntN(6), time.Duration(1000+f.rng.IntN(4000))*time.Millisecond)
			}
		}
	})
}

// killAll kills all nodes at once and starts them again.
func (f *forms) killAll(ctx context.Context) {
	for _, n := range f.nodes {
		_ = n.Signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		<-n.Done()
	}
	pause(ctx, 300*time.Millisecond)
	for _, n := range f.nodes {
		f.start(n)
	}
}

// awaitAcceptance waits until one more job is accepted.
func (f *forms) awaitAcceptance(ctx context.Context) {
	count := func() int {
		f.calls.mu.Lock()
		defer f.calls.mu.Unlock()
		return len(f.calls.accepted)
	}
	for before := count(); ctx.Err() == nil && count() == before; {
		pause(ctx, time.Millisecond)
	}
}

func (f *forms) killAfterAcknowledgement(ctx context.Context) {
	f.every(ctx, disturbancePeriod/4, func() {
		f.awaitAcceptance(ctx)
		f.killAll(ctx)
	})
}

func (f *forms) killWithSlowStore(ctx context.Context) {
	f.every(ctx, disturbancePeriod/4, func() {
		f.Store.SetMode(site.StoreSlow)
		pause(ctx, time.Second)
		f.awaitAcceptance(ctx)
		f.killAll(ctx)
		f.Store.SetMode(site.StoreUp)
	})
	f.Store.SetMode(site.StoreUp)
}

// overlapPlannedWork sends hangups and publishes configurations while one node after the other is stopped as planned.
func (f *forms) overlapPlannedWork(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		f.every(ctx, 100*time.Millisecond, func() {
			for _, n := range f.nodes {
				if n.IsReady(ctx) {
					f.send(n, syscall.SIGHUP)
				}
			}
		})
	})
	wg.Go(func() {
		f.every(ctx, 300*time.Millisecond, func() {
			f.version++
			f.Configure(f.version)
		})
	})
	for i := 0; ctx.Err() == nil; i++ {
		n := f.nodes[i%len(f.nodes)]
		f.stop(n)
		f.start(n)
		for ctx.Err() == nil && !n.IsReady(ctx) {
			pause(ctx, pollInterval)
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// crashWorkers crashes two workers each time, and adds as many. The entry of one stays for a while.
func (f *forms) crashWorkers(ctx context.Context) {
	f.every(ctx, disturbancePeriod, func() {
		workers := f.busyWorkers(2)
		workers[0].Crash()
		workers[1].CrashSilently()
		f.addWorkers(2)
	})
}

// killNodes kills a random node each time and starts it again.
func (f *forms) killNodes(ctx context.Context) {
	f.every(ctx, disturbancePeriod, func() {
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		n.Kill()
		pause(ctx, 300*time.Millisecond)
		f.start(n)
	})
}

// crashBesideStop crashes a worker and stops the owner as planned soon after.
func (f *forms) crashBesideStop(ctx context.Context) {
	f.every(ctx, disturbancePeriod, func() {
		f.busyWorkers(1)[0].CrashSilently()
		f.addWorkers(1)
		pause(ctx, 300*time.Millisecond)
		owner := f.owner()
		f.stop(owner)
		f.start(owner)
	})
}

// drainWorkers makes a worker drain and end seconds later, each time.
func (f *forms) drainWorkers(ctx context.Context) {
	f.every(ctx, disturbancePeriod/4, func() {
		w := f.busyWorkers(1)[0]
		w.Drain()
		f.addWorkers(1)
		pause(ctx, 2*time.Second)
		w.Crash()
	})
}

// quotaPeriod and quotaRunning are the period of a processor quota and the part of it in which a node runs.
const (
	quotaPeriod  = 100 * time.Millisecond
	quotaRunning = 40 * time.Millisecond
)

// underQuota lets each node run for a part of each period only, as a processor quota does, while act runs.
func (f *forms) underQuota(ctx context.Context, act func(ctx context.Context)) {
	quota, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { f.throttle(quota, n) })
	}
	act(ctx)
	stop()
	wg.Wait()
}

// throttle stops and continues a node in each period. It does not count as a disturbance.
func (f *forms) throttle(ctx context.Context, n *site.Node) {
	for ctx.Err() == nil {
		f.send(n, syscall.SIGSTOP)
		pause(ctx, quotaPeriod-quotaRunning)
		f.send(n, syscall.SIGCONT)
		pause(ctx, quotaRunning)
	}
}

func (f *forms) crashWorkersUnderQuota(ctx context.Context) { f.underQuota(ctx, f.crashWorkers) }

func (f *forms) overlapPlannedWorkUnderQuota(ctx context.Context) {
	f.underQuota(ctx, f.overlapPlannedWork)
}

// send sends a signal that does not count as a disturbance.
func (f *forms) send(n *site.Node, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = n.SignalUncounted(sig)
}

func (f *forms) start(n *site.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := n.Start(); err != nil {
		f.t.Error(err)
	}
}

// stop stops a node as planned, and kills it as the platform does if that takes longer than stopGrace.
func (f *forms) stop(n *site.Node) {
	_ = n.Signal(syscall.SIGTERM)
	select {
	case <-n.Done():
	case <-time.After(stopGrace):
		f.t.Logf("%s has not stopped within %v", n.Name, stopGrace)
		n.Kill()
	}
}

// stopGrace is how long the platform waits for the end of a process that it has sent a SIGTERM.
const stopGrace = 6 * time.Second

func (f *forms) addWorkers(n int) {
	for range n {
		f.nextWorker++
		if _, err := f.AddWorker(f.nextWorker); err != nil {
			f.t.Error(err)
		}
	}
}
