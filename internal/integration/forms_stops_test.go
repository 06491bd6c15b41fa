// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// TestStopForms plays one form of planned stop each beside callers of every kind. No request may be cut later than
// lossSlack after its last byte was sent. LEVERDYKE_FORMS_NODES, CALLERS (of each kind), SECONDS and SEED set the sizes
// of runs by hand; with QUOTA, each form is also played under a processor quota.
func TestStopForms(t *testing.T) {
	for name, stop := range map[string]func(f *forms, ctx context.Context){
		"the owner stops":                           (*forms).stopOwner,
		"repeated signals":                          (*forms).stopWithRepeatedSignals,
		"a stop right after the start":              (*forms).stopAfterStart,
		"all stop at once":                          (*forms).stopAll,
		"hangups, configurations, planned stops":    (*forms).overlapPlannedWork,
		"the owner stops while the store is slow":   (*forms).stopOwnerWithSlowStore,
		"the owner stops while the store is silent": (*forms).stopOwnerWithSilentStore,
		"the owner stops beside paused nodes":       (*forms).stopOwnerBesidePausedNodes,
	} {
		t.Run(name, func(t *testing.T) { runStopForm(t, stop) })
		if formSetting("QUOTA", 0) > 0 {
			t.Run(name+", a fraction of a processor", func(t *testing.T) { runStopForm(t, underQuota(stop)) })
		}
	}
}

// underQuota returns a form that plays under a processor quota.
func underQuota(stop func(f *forms, ctx context.Context)) func(f *forms, ctx context.Context) {
	return func(f *forms, ctx context.Context) {
		f.underQuota(ctx, func(ctx context.Context) { stop(f, ctx) })
	}
}

func runStopForm(t *testing.T, stop func(f *forms, ctx context.Context)) {
	t.Helper()
	settings := newFormSettings()
	f := &forms{
		siteCluster: newSiteCluster(t, settings.nodes, site.Options{Workers: settings.workers}), rng: rand.New(rand.NewPCG(uint64(settings.seed), 1)), version: 1, nextWorker: 1000,
		calls: &formCalls{accepted: map[string]time.Time{}, ended: map[string]string{}},
	}
	ctx, cancel := context.WithCancel(t.Context())
	for i, send := range stopCallers {
		for j := range formSetting("CALLERS", 1) {
			caller := &stopCaller{
				formCaller: formCaller{calls: f.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(uint64(settings.seed), uint64(1000*i+j)))},
				site:       f.Site, number: 1000*i + j,
			}
			f.wg.Go(func() { caller.run(ctx, send) })
		}
	}
	length, end := context.WithTimeout(ctx, time.Duration(settings.seconds)*time.Second)
	pause(length, 500*time.Millisecond)
	for isFirst := true; isFirst || length.Err() == nil; isFirst = false {
		stop(f, length)
		f.restartEndedNodes()
	}
	end()
	cancel()
	f.wg.Wait()
	t.Logf("%s: %s", t.Name(), f.calls.report())
	if n := f.calls.cutLate.Load(); n > 0 {
		t.Errorf("got: %d requests cut later than %v, want: none", n, lossSlack)
	}
	if n := f.calls.unanswered.Load(); n > 0 {
		t.Errorf("got: %d connections without any answer, want: none", n)
	}
}

// stopOwner stops the owner as planned and starts it again.
func (f *forms) stopOwner(context.Context) {
	owner := f.owner()
	f.stop(owner)
	f.start(owner)
	f.awaitReady(owner)
}

// stopWithRepeatedSignals sends hangups and further requests to stop to a node that stops.
func (f *forms) stopWithRepeatedSignals(context.Context) {
	owner := f.owner()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		f.every(ctx, time.Millisecond, func() { f.send(owner, syscall.SIGHUP) })
	})
	wg.Go(func() {
		f.every(ctx, 700*time.Millisecond, func() { f.send(owner, syscall.SIGTERM) })
	})
	f.stop(owner)
	cancel()
	wg.Wait()
	f.start(owner)
	f.awaitReady(owner)
}

// stopAfterStart stops a node as soon as it has started, and again soon after the next start.
func (f *forms) stopAfterStart(ctx context.Context) {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	for _, isReady := range []bool{false, true} {
		f.stop(n)
		f.start(n)
		for isReady && ctx.Err() == nil && !n.IsReady(ctx) {
			pause(ctx, time.Millisecond)
		}
		if !isReady {
			pause(ctx, time.Duration(f.rng.IntN(100))*time.Millisecond)
		}
	}
	f.stop(n)
	f.start(n)
	f.awaitReady(n)
}

// stopAll stops all nodes at once and starts them again.
func (f *forms) stopAll(context.Context) {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { f.stop(n) })
	}
	wg.Wait()
	for _, n := range f.nodes {
		f.start(n)
	}
	f.awaitReady(f.nodes...)
}

func (f *forms) stopOwnerWithSlowStore(ctx context.Context) {
	f.stopOwnerWithStore(ctx, site.StoreSlow)
}

func (f *forms) stopOwnerWithSilentStore(ctx context.Context) {
	f.stopOwnerWithStore(ctx, site.StoreSilent)
}

// stopOwnerWithStore stops the owner while the store responds in another way.
func (f *forms) stopOwnerWithStore(ctx context.Context, m site.StoreMode) {
	owner := f.owner()
	f.Store.SetMode(m)
	pause(ctx, time.Duration(f.rng.IntN(1000))*time.Millisecond)
	f.stop(owner)
	f.Store.SetMode(site.StoreUp)
	f.start(owner)
	f.awaitReady(f.nodes...)
}

// stopOwnerBesidePausedNodes stops the owner while no other node can take over.
func (f *forms) stopOwnerBesidePausedNodes(context.Context) {
	owner := f.owner()
	others := slices.DeleteFunc(slices.Clone(f.nodes), func(n *site.Node) bool { return n == owner })
	for _, n := range others {
		f.send(n, syscall.SIGSTOP)
	}
	f.stop(owner)
	for _, n := range others {
		f.send(n, syscall.SIGCONT)
	}
	f.start(owner)
	f.awaitReady(f.nodes...)
}
