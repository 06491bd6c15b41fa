// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/standin"
)

const (
	mixedRacks       = 6
	mixedWorkers     = 4
	mixedMeanRunTime = 4 * time.Second
	mixedDuration    = 40 * time.Second
	mixedClients     = 24
	mixedMilliCPU    = 16000
)

// mixedJob is a job of one task, and the time after the start of the measurement at which it is submitted.
type mixedJob struct {
	at   time.Duration
	body string
}

// mixedJobs returns jobs whose demand for processors is, on average, load times the capacity: a tenth are
// urgent, half are normal, and the rest are large batch jobs.
func mixedJobs(load float64) []mixedJob {
	r := rand.New(rand.NewSource(1))
	jobs := []mixedJob{}
	capacity := float64(mixedRacks * mixedWorkers * mixedMilliCPU)
	// The mean demand of the three classes below, in thousandths of a processor.
	const mean = 0.1*1000 + 0.5*2500 + 0.4*8000
	rate := load * capacity / (mean * mixedMeanRunTime.Seconds())
	for at := time.Duration(0); at < mixedDuration; at += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		class, cpu := leverdyke.ClassBatch, 4000+r.Intn(8000)
		switch x := r.Float64(); {
		case x < 0.1:
			class, cpu = leverdyke.ClassUrgent, 1000
		case x < 0.6:
			class, cpu = leverdyke.ClassNormal, 1000+r.Intn(3000)
		}
		run := time.Duration(r.ExpFloat64() * float64(mixedMeanRunTime)).Round(time.Millisecond)
		jobs = append(jobs, mixedJob{at, fmt.Sprintf("kind: batch\nclass: %s\ntasks: 1\neach: {milli_cpu: %d, memory_mib: %d}\nrun_time: %s\n",
			class, cpu, cpu/2, max(run, 10*time.Millisecond))})
	}
	return jobs
}

// mixed measures how long tasks of each class wait at several loads, with three nodes.
func mixed(binary string) error {
	fmt.Println("| offered load | jobs, refused | urgent p50 / p99 / p99.9 / max | normal | batch | mean processors used (%) | processor a node (% of a core) | control bytes/s a node |\n|---|---|---|---|---|---|---|---|")
	for _, load := range []float64{0.7, 0.9, 1.2} {
		err := withCluster(binary, options{nodes: 3, racks: mixedRacks, workers: mixedWorkers, settings: "appends_per_second: 30\n"}, func(c *standin.Cluster) error {
			return printMixed(c, load)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func printMixed(c *standin.Cluster, load float64) error {
	jobs := mixedJobs(load)
	refused := atomic.Int64{}
	cpu, control, began := totalCPUSeconds(c), totalControlBytes(c), time.Now()
	next := make(chan int, len(jobs))
	wg := sync.WaitGroup{}
	for range mixedClients {
		wg.Go(func() {
			for i := range next {
				if submit(c, fmt.Sprintf("j%05d", i), jobs[i].body) != nil {
					refused.Add(1)
				}
			}
		})
	}
	used, samples, sampledAt := 0.0, 0, began
	for i := range jobs {
		time.Sleep(time.Until(began.Add(jobs[i].at)))
		next <- i
		// Skip the first quarter of the time, in which the cluster is still filling up.
		if jobs[i].at > mixedDuration/4 && time.Since(sampledAt) > time.Second {
			sampledAt = time.Now()
			used += usedFraction(c)
			samples++
		}
	}
	close(next)
	wg.Wait()
	seconds := time.Since(began).Seconds()
	nodes := float64(len(c.Nodes))
	fmt.Printf("| %.1f | %d, %d | %s | %s | %s | %.0f | %.1f | %.0f |\n", load, len(jobs), refused.Load(),
		waits(c, "urgent"), waits(c, "normal"), waits(c, "batch"), 100*used/float64(max(samples, 1)),
		100*(totalCPUSeconds(c)-cpu)/seconds/nodes, (totalControlBytes(c)-control)/seconds/nodes)
	if r := c.Platform.Oracle.Report(); r.OverCommits+r.DoubleRuns > 0 {
		return fmt.Errorf("%v", r.Violations)
	}
	return nil
}

// usedFraction returns the fraction of the processors of all workers that is in use.
func usedFraction(c *standin.Cluster) float64 {
	list, err := c.Client().Workers(context.Background())
	if err != nil {
		return 0
	}
	free, capacity := int64(0), int64(0)
	for _, w := range list {
		free += w.Free.MilliCPU
		capacity += w.Capacity.MilliCPU
	}
	return 1 - float64(free)/float64(max(capacity, 1))
}
