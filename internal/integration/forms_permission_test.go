// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// withSlowPermission has workers of the size, and a second queue with the permission queries, of the platform's
// sites. Some tasks fail once, estimates are off, and clocks differ.
var withSlowPermission = site.Options{
	HasPermissionService: true, MilliCPU: 36_000, MemoryMiB: 73_000, FailureShare: 0.05, StepSpread: 0.5, TaskSpread: 0.15, ClockDrift: 0.02,
	SlowPermission: &site.SlowPermission{Base: 400 * time.Millisecond, PerWorker: 5700 * time.Microsecond, Share: 0.35},
}

// formKind is what the jobs of a queue are like that arrive at random: means of what is drawn, and limits.
type formKind struct {
	prefix string
	// perSecond is the rate of arrivals beside 48 workers.
	perSecond                    float64
	steps, maxSteps              float64
	width, widthSpread, maxWidth float64
	milliCPU, memoryMiB          float64
	run, maxRun                  time.Duration
	gangShare                    float64
}

var formKinds = []formKind{
	{
		prefix: site.QueuePrefix, perSecond: 12.4, steps: 1.6, maxSteps: 4, width: 6, widthSpread: 0.8, maxWidth: 36, milliCPU: 2500, memoryMiB: 4700,
		run: 800 * time.Millisecond, maxRun: 2 * time.Second,
	},
	{
		prefix: site.SlowQueuePrefix, perSecond: 1.36, steps: 2, maxSteps: 5, width: 13, widthSpread: 0.6, maxWidth: 64, milliCPU: 5500, memoryMiB: 7800,
		run: 4800 * time.Millisecond, maxRun: 12 * time.Second, gangShare: 0.08,
	},
}

// drawLogNormal draws from a log-normal distribution of the given mean, cut off at limit.
func drawLogNormal(rng *rand.Rand, mean, sigma, limit float64) float64 {
	return min(mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), limit)
}

// draw draws the steps of a job, each of which depends on the one before.
func (k *formKind) draw(rng *rand.Rand) []jobStep {
	cpu, mem := int(drawLogNormal(rng, k.milliCPU, 0.45, 3*k.milliCPU)), int(drawLogNormal(rng, k.memoryMiB, 0.6, 3*k.memoryMiB))
	steps := []jobStep{}
	for i := range max(int(math.Round(drawLogNormal(rng, k.steps, 0.4, k.maxSteps))), 1) {
		s := jobStep{
			Count: max(int(math.Round(drawLogNormal(rng, k.width, k.widthSpread, k.maxWidth))), 1), CPU: cpu, MemMb: mem,
			EstimatedMs: drawLogNormal(rng, float64(k.run.Milliseconds()), 0.5, float64(k.maxRun.Milliseconds())), GangScheduled: rng.Float64() < k.gangShare,
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		steps = append(steps, s)
	}
	return steps
}

// startArrivals lets jobs of a kind arrive at random until arrivals is done, whose callers ask for their states until
// these have ended. LEVERDYKE_FORMS_LOAD is in percent of the usual rate.
func (f *forms) startArrivals(ctx, arrivals context.Context, k *formKind, name string) {
	settings := newFormSettings()
	rng := rand.New(rand.NewPCG(uint64(settings.seed), uint64(len(k.prefix))))
	interval := float64(time.Second) / (k.perSecond * float64(settings.workers) / 48 * float64(formSetting("LOAD", 100)) / 100)
	f.wg.Go(func() {
		for n := 0; ; n++ {
			pause(arrivals, time.Duration(rng.ExpFloat64()*interval))
			if arrivals.Err() != nil {
				return
			}
			id := fmt.Sprintf("%s%08x", name, n)
			body, err := json.Marshal(map[string]any{"spec": "", "steps": k.draw(rng)})
			if err != nil {
				f.t.Error(err)
				return
			}
			caller := &formCaller{calls: f.calls, nodes: f.nodes, rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), prefix: k.prefix}
			f.wg.Go(func() { f.runArrival(ctx, caller, id, body) })
		}
	})
}

func (f *forms) runArrival(ctx context.Context, caller *formCaller, id string, body []byte) {
	defer caller.disconnect()
	register := f.RegisterJob
	if caller.prefix == site.SlowQueuePrefix {
		register = f.RegisterSlowJob
	}
	if err := register(id, body); err != nil {
		f.t.Error(err)
		return
	}
	if caller.submit(ctx, f.Site, id, body) {
		caller.follow(ctx, f.Site, id)
	}
}

// loseOwnerBesideSlowQueries kills the owner, which stays away, while jobs of both queues arrive. None arrive in the
// last fifth of the time.
func (f *forms) loseOwnerBesideSlowQueries(ctx context.Context) {
	fifth := time.Duration(newFormSettings().seconds) * time.Second / 5
	arrivals, stop := context.WithTimeout(ctx, 4*fifth)
	defer stop()
	for i := range formKinds {
		f.startArrivals(ctx, arrivals, &formKinds[i], fmt.Sprintf("c%07x", i))
	}
	pause(ctx, fifth)
	f.owner().Kill()
	<-ctx.Done()
}

func (f *forms) loseOwnerBesideSlowQueriesUnderQuota(ctx context.Context) {
	f.underQuota(ctx, f.loseOwnerBesideSlowQueries)
}
