// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// TestFormsOfJobs plays forms of disturbance about the acknowledgements of jobs and about the kinds of jobs that
// TestForms does not have, with its settings.
func TestFormsOfJobs(t *testing.T) {
	for name, form := range map[string]struct {
		disturb func(f *forms, ctx context.Context)
		options site.Options
	}{
		"all lose power at the day's end":          {disturb: (*forms).endDays},
		"all lose power at the day's end, permits": {(*forms).endDays, site.Options{HasPermissionService: true}},
		"owners end under forwarded submissions":   {disturb: (*forms).killOwnersUnderSubmissions},
		"gangs, checkpoints, times, permits":       {(*forms).disturbJobs, site.Options{HasPermissionService: true}},
	} {
		t.Run(name, func(t *testing.T) { runForm(t, form.options, form.disturb) })
	}
}

// storeTrouble is what the store does around a loss of all nodes.
type storeTrouble string

const (
	storeFine        storeTrouble = "fine"
	storeSlow        storeTrouble = "slow"
	storeBusy        storeTrouble = "busy"
	storeSilent      storeTrouble = "silent"
	storeLosesAnswer storeTrouble = "loses answers"
	storeJustBack    storeTrouble = "just back"
)

// dayEnd is a loss of all nodes, drawn at random.
type dayEnd struct {
	before, after storeTrouble
	// isTimed means that the nodes end delay after the last submission was sent, else at its acknowledgement.
	isTimed bool
	delay   time.Duration
	down    time.Duration
	// storeDown is how long the trouble lasts once the nodes are back, and again how long after that all
	// nodes are lost once more; below 0 they are not.
	storeDown, again time.Duration
	// hasGone means that one node stays away until the question was asked.
	hasGone bool
}

func (f *forms) drawDayEnd() dayEnd {
	pick := func(of ...storeTrouble) storeTrouble { return of[f.rng.IntN(len(of))] }
	ms := func(from, to int) time.Duration { return time.Duration(from+f.rng.IntN(to-from)) * time.Millisecond }
	d := dayEnd{
		before: pick(storeFine, storeSlow, storeLosesAnswer, storeJustBack), after: pick(storeFine, storeSlow, storeBusy, storeSilent, storeLosesAnswer),
		isTimed: f.rng.IntN(3) == 0, delay: ms(5, 400), down: ms(300, 3000), storeDown: ms(0, 1500), again: ms(0, 1200), hasGone: len(f.nodes) > 3 && f.rng.IntN(3) == 0,
	}
	if f.rng.IntN(2) == 0 {
		d.again = -1
	}
	return d
}

// endDays ends one day after the other: all nodes lose power as a submission is acknowledged, and once they
// are back each node is asked for each job.
func (f *forms) endDays(ctx context.Context) {
	cancels := f.startCancellers(ctx)
	f.startJobCallers(ctx)
	for isFirst := true; isFirst || ctx.Err() == nil; isFirst = false {
		d := f.drawDayEnd()
		f.t.Logf("%s %+v", time.Now().Format("15:04:05.000"), d)
		f.endDay(d)
		f.await("the time before the question passes", elapsed(max(time.Duration(newFormSettings().finishSeconds)*time.Second, visibleDelay)))
		f.checkAnswers()
		f.restartEndedNodes()
	}
	cancels.check(f)
}

func (f *forms) endDay(d dayEnd) {
	f.trouble(d.before)
	last := f.submitLast(d)
	f.trouble(d.after)
	pause(f.t.Context(), d.down)
	f.startAll(d.hasGone)
	pause(f.t.Context(), d.storeDown)
	f.Store.SetMode(site.StoreUp)
	if d.again >= 0 {
		pause(f.t.Context(), d.again)
		f.losePower()
		pause(f.t.Context(), d.down/2)
		f.startAll(d.hasGone)
	}
	last()
}

// trouble makes the store respond in a way until its mode is set again.
func (f *forms) trouble(kind storeTrouble) {
	switch kind {
	case storeSlow:
		f.Store.SetMode(site.StoreSlow)
		pause(f.t.Context(), 500*time.Millisecond)
	case storeBusy:
		f.Store.SetMode(site.StoreBusy)
	case storeSilent:
		f.Store.SetMode(site.StoreSilent)
	case storeLosesAnswer:
		f.Store.SetMode(site.StoreUp)
		f.Store.LoseAnswers(1 + f.rng.IntN(4))
	case storeJustBack:
		f.Store.SetMode(site.StoreBusy)
		pause(f.t.Context(), 1500*time.Millisecond)
		f.Store.SetMode(site.StoreUp)
	case storeFine:
		f.Store.SetMode(site.StoreUp)
	}
}

// losePower kills all nodes at once.
func (f *forms) losePower() {
	for _, n := range f.nodes {
		_ = n.Signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		<-n.Done()
	}
}

// startAll starts all nodes, but for the last if one is gone.
func (f *forms) startAll(hasGone bool) {
	for i, n := range f.nodes {
		if !hasGone || i < len(f.nodes)-1 {
			f.start(n)
		}
	}
}

// submitLast submits a job and makes all nodes lose power. It returns a function that repeats the submission
// until it is accepted, if it was not.
func (f *forms) submitLast(d dayEnd) func() {
	f.nextJob++
	id := fmt.Sprintf("d%015x", f.nextJob)
	body := f.register(id, taskChain(3, 200)...)
	caller := &formCaller{calls: f.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(f.rng.Uint64(), 1))}
	ctx, cancel := context.WithTimeout(f.t.Context(), 8*time.Second)
	defer cancel()
	if !d.isTimed {
		accepted := caller.submit(ctx, f.Site, id, body)
		f.losePower()
		f.t.Logf("%s %s accepted by %s: %v", time.Now().Format("15:04:05.000"), id, caller.node.Name, accepted)
		return func() { f.submitAgain(accepted, id, body) }
	}
	accepted := make(chan bool, 1)
	go func() {
		status, _ := caller.do(http.MethodPost, site.QueuePrefix+id, body)
		if status == http.StatusOK {
			f.RecordAccepted(id)
			f.calls.accept(id)
		}
		accepted <- status == http.StatusOK
	}()
	pause(f.t.Context(), d.delay)
	f.losePower()
	isAccepted := <-accepted
	f.t.Logf("%s %s accepted before: %v", time.Now().Format("15:04:05.000"), id, isAccepted)
	return func() { f.submitAgain(isAccepted, id, body) }
}

// submitAgain repeats a submission until it is accepted.
func (f *forms) submitAgain(isAccepted bool, id string, body []byte) {
	if isAccepted {
		return
	}
	caller := &formCaller{calls: f.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(1, 1))}
	defer caller.disconnect()
	ctx, cancel := context.WithTimeout(f.t.Context(), 15*time.Second)
	defer cancel()
	if !caller.submit(ctx, f.Site, id, body) {
		f.t.Errorf("job %s: got: not accepted within 15 s, want: accepted", id)
	}
}

func (f *forms) register(id string, steps ...jobStep) []byte {
	body, err := json.Marshal(map[string]any{"spec": "", "steps": steps})
	if err != nil {
		f.t.Error(err)
	}
	if err := f.RegisterJob(id, body); err != nil {
		f.t.Error(err)
	}
	return body
}

// checkAnswers asks each running node for each job that was accepted longer than visibleDelay ago. It must
// answer at once with a state that is right.
func (f *forms) checkAnswers() {
	ids := []string{}
	f.calls.mu.Lock()
	for id, at := range f.calls.accepted {
		if time.Since(at) > visibleDelay {
			ids = append(ids, id)
		}
	}
	f.calls.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, n := range f.nodes {
		if n.HasEnded() {
			continue
		}
		caller := &formCaller{calls: f.calls, nodes: []*site.Node{n}, rng: rand.New(rand.NewPCG(1, 1))}
		wg.Go(func() {
			defer caller.disconnect()
			for _, id := range ids {
				f.checkAnswer(caller, id)
			}
		})
	}
}

func (f *forms) checkAnswer(caller *formCaller, id string) {
	status, body := caller.do(http.MethodGet, site.QueuePrefix+id, nil)
	f.asked.Add(1)
	if status != http.StatusOK {
		f.t.Errorf("%s job %s at %s: got: status %d, want: 200", time.Now().Format("15:04:05.000"), id, caller.node.Name, status)
		return
	}
	state, err := site.ParseJobState(body)
	if err != nil || state == "failed" || state == "cancelled" {
		f.t.Errorf("%s job %s at %s: got: state %q (%v), want: any but failed and cancelled", time.Now().Format("15:04:05.000"), id, caller.node.Name, state, err)
	}
}

// formCancels are callers who cancel their jobs soon after these were accepted.
type formCancels struct {
	calls *formCalls
	wg    sync.WaitGroup

	mu           sync.Mutex
	acknowledged []string
}

// startCancellers starts callers who cancel their jobs until ctx is done.
func (f *forms) startCancellers(ctx context.Context) *formCancels {
	c := &formCancels{calls: &formCalls{accepted: map[string]time.Time{}, ended: map[string]string{}}}
	for i := range 2 + newFormSettings().callers/8 {
		caller := &formCaller{calls: c.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(f.rng.Uint64(), uint64(i)))}
		c.wg.Go(func() {
			defer caller.disconnect()
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("c%07x%08x", i, k)
				body := f.register(id, taskChain(8, 250)...)
				if caller.submit(ctx, f.Site, id, body) {
					pause(ctx, time.Duration(caller.rng.IntN(600))*time.Millisecond)
					c.cancel(f, caller, id)
				}
			}
		})
	}
	return c
}

// cancel repeats the cancellation of a job until it is acknowledged.
func (c *formCancels) cancel(f *forms, caller *formCaller, id string) {
	for f.t.Context().Err() == nil {
		status, _ := caller.do(http.MethodDelete, site.QueuePrefix+id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			f.RecordCancel(id)
			c.mu.Lock()
			c.acknowledged = append(c.acknowledged, id)
			c.mu.Unlock()
			return
		}
		if status != 0 {
			caller.disconnect()
		}
		pause(f.t.Context(), pollInterval)
	}
}

// check waits until all nodes show all cancelled jobs as ended, and none as failed.
func (c *formCancels) check(f *forms) {
	c.wg.Wait()
	for _, id := range c.acknowledged {
		for _, n := range f.nodes {
			state := ""
			f.await("job "+id+" is shown as ended by "+n.Name, func() bool {
				ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
				defer cancel()
				state = f.stateAt(ctx, n, id)
				return isFinal(state)
			})
			if state == "failed" {
				f.t.Errorf("job %s at %s: got: failed, want: cancelled or succeeded", id, n.Name)
			}
		}
	}
	f.t.Logf("cancelled: %d, asked: %d", len(c.acknowledged), f.asked.Load())
}

// killOwnersUnderSubmissions kills the owner while other nodes forward submissions to it. The callers repeat
// them at other nodes.
func (f *forms) killOwnersUnderSubmissions(ctx context.Context) {
	cancels := f.startCancellers(ctx)
	for i := 1; ctx.Err() == nil; i++ {
		f.killOwnerUnderSubmissions()
		if i%3 == 0 {
			pause(ctx, visibleDelay+500*time.Millisecond)
			f.checkAnswers()
		}
	}
	cancels.check(f)
	f.refusals.check(f)
}

func (f *forms) killOwnerUnderSubmissions() {
	owner := f.owner()
	// Kills come up to within after the submissions, so that some are before and some after the append.
	within, mode := 8*time.Millisecond, storeFine
	switch f.rng.IntN(4) {
	case 0:
		within, mode = 900*time.Millisecond, storeSlow
	case 1:
		within, mode = 60*time.Millisecond, storeLosesAnswer
	}
	f.trouble(mode)
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		if n != owner {
			f.submitThrough(&wg, n)
		}
	}
	pause(f.t.Context(), time.Duration(f.rng.Int64N(int64(within))))
	owner.Kill()
	f.t.Logf("%s %s killed, store %s", time.Now().Format("15:04:05.000"), owner.Name, mode)
	pause(f.t.Context(), time.Duration(f.rng.IntN(1500))*time.Millisecond)
	f.Store.SetMode(site.StoreUp)
	f.start(owner)
	wg.Wait()
	f.awaitReady(owner)
}

// submitThrough submits a job through one node. After no answer it is repeated at any node until it is accepted;
// after a refusal the caller gives up half of the time, and nothing of the job may run.
func (f *forms) submitThrough(wg *sync.WaitGroup, n *site.Node) {
	f.nextJob++
	id := fmt.Sprintf("f%015x", f.nextJob)
	givesUp := f.rng.IntN(2) == 0
	body := f.register(id, taskChain(3, 200)...)
	first := &formCaller{calls: f.calls, nodes: []*site.Node{n}, rng: rand.New(rand.NewPCG(f.rng.Uint64(), 1))}
	wg.Go(func() {
		defer first.disconnect()
		status, _ := first.do(http.MethodPost, site.QueuePrefix+id, body)
		switch status {
		case http.StatusOK:
			f.RecordAccepted(id)
			f.calls.accept(id)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			f.refusals.add(id, givesUp)
			if givesUp {
				return
			}
		default:
			f.unsure.Add(1)
		}
		f.submitAgain(false, id, body)
	})
}

// formRefusals are submissions that were refused. It is safe for concurrent use.
type formRefusals struct {
	mu       sync.Mutex
	repeated int
	givenUp  []string
}

func (r *formRefusals) add(id string, givesUp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if givesUp {
		r.givenUp = append(r.givenUp, id)
	} else {
		r.repeated++
	}
}

// check checks that nothing of a job has run whose only submission was refused.
func (r *formRefusals) check(f *forms) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.givenUp {
		if f.HasStarted(id) {
			f.t.Errorf("job %s: got: started, want: never, as its submission was refused", id)
		}
	}
	f.t.Logf("refused and given up: %d, refused and repeated: %d, repeated without an answer: %d", len(r.givenUp), r.repeated, f.unsure.Load())
}

// startJobCallers starts callers whose jobs have gangs, tasks that keep their progress, and times.
func (f *forms) startJobCallers(ctx context.Context) {
	gang := jobStep{Count: 4, CPU: 2500, MemMb: 100, EstimatedMs: 700, GangScheduled: true, Checkpointing: true}
	plainGang := jobStep{Count: 6, CPU: 1500, MemMb: 100, EstimatedMs: 400, GangScheduled: true}
	keeps := jobStep{Count: 3, CPU: 500, MemMb: 100, EstimatedMs: 2500, Checkpointing: true}
	after := jobStep{Count: 2, CPU: 300, MemMb: 100, EstimatedMs: 200, DependsOn: []int{0}}
	for k, step := range []jobStep{gang, plainGang, keeps, smallStep(2, 300)} {
		for i := range max(newFormSettings().callers/8, 1) {
			caller := &formCaller{calls: f.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(f.rng.Uint64(), uint64(k)))}
			f.wg.Go(func() {
				defer caller.disconnect()
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("e%x%06x%08x", k, i, n)
					body := f.register(id, step, after)
					if !step.GangScheduled && !step.Checkpointing {
						body = f.registerTimed(id, step, after)
					}
					if caller.submit(ctx, f.Site, id, body) {
						caller.follow(ctx, f.Site, id)
						caller.repeat(f.Site, id, body)
					}
				}
			})
		}
	}
}

// repeat repeats the submission of a job that has ended at another node. It must not run again.
func (c *formCaller) repeat(s *site.Site, id string, body []byte) {
	c.disconnect()
	c.do(http.MethodPost, site.QueuePrefix+id, body)
	c.ask(s, id)
}

// registerTimed is register for a job that runs three times.
func (f *forms) registerTimed(id string, steps ...jobStep) []byte {
	body, err := json.Marshal(map[string]any{
		"spec": "", "steps": steps, "repeatCount": 3, "startAtMs": time.Now().Add(700 * time.Millisecond).UnixMilli(), "intervalMs": 900,
	})
	if err != nil {
		f.t.Error(err)
	}
	if err := f.RegisterJob(id, body); err != nil {
		f.t.Error(err)
	}
	return body
}

// disturbJobs has gangs, tasks that keep their progress and jobs with times run beside disturbances that it draws, two
// at a time.
func (f *forms) disturbJobs(ctx context.Context) {
	f.startJobCallers(ctx)
	cancels := f.startCancellers(ctx)
	for i := 1; ctx.Err() == nil; i++ {
		names := ""
		for range 2 {
			names += " " + f.disturbAtRandom(ctx)
			pause(ctx, time.Duration(f.rng.IntN(600))*time.Millisecond)
		}
		f.t.Logf("%s%s", time.Now().Format("15:04:05.000"), names)
		pause(ctx, time.Duration(f.rng.IntN(2500))*time.Millisecond)
		f.Store.SetMode(site.StoreUp)
		f.SetPermissionMode(site.StoreUp)
		f.restartEndedNodes()
		if i%4 == 0 {
			pause(ctx, disturbancePeriod)
			f.checkAnswers()
		}
	}
	cancels.check(f)
	f.t.Logf("ends of members of gangs: %v", f.GangEnds())
}

// disturbAtRandom causes one disturbance and returns its name.
func (f *forms) disturbAtRandom(ctx context.Context) string {
	modes := []site.StoreMode{site.StoreSlow, site.StoreBusy, site.StoreSilent}
	workers := f.busyWorkers(3)
	kinds := []string{"kill", "stop", "crash", "silent-crash", "crash-at-end", "lost-answers", "late", "permits", "store", "freeze"}
	kind := kinds[f.rng.IntN(len(kinds))]
	switch kind {
	case "kill":
		f.owner().Kill()
	case "stop":
		f.stop(f.owner())
	case "crash":
		workers[0].Crash()
		f.addWorkers(1)
	case "silent-crash":
		workers[0].CrashSilently()
		f.addWorkers(1)
	case "crash-at-end":
		workers[0].CrashAtEnd()
		f.addWorkers(1)
	case "lost-answers":
		for _, w := range workers {
			w.DropStartAnswers(1 + f.rng.IntN(3))
			w.DropEndAnswers(1 + f.rng.IntN(3))
		}
	case "late":
		workers[0].DelayStarts(2, time.Duration(500+f.rng.IntN(3000))*time.Millisecond)
	case "permits":
		f.SetPermissionMode(modes[f.rng.IntN(len(modes))])
	case "store":
		f.Store.SetMode(modes[f.rng.IntN(len(modes))])
	case "freeze":
		owner := f.owner()
		_ = owner.Signal(syscall.SIGSTOP)
		pause(ctx, time.Duration(500+f.rng.IntN(3500))*time.Millisecond)
		_ = owner.Signal(syscall.SIGCONT)
	}
	return kind
}
