// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package queue_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/queue"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(job, team string, class leverdyke.Class, age int) queue.Entry {
	return queue.Entry{Job: job, Team: team, Class: class, Waiting: 1, Since: epoch.Add(-time.Duration(age) * time.Second)}
}

// scanOrder returns the job IDs in the order in which Scan tries the entries.
func scanOrder(q *queue.Queue, shares map[string]float64) string {
	text := ""
	q.Scan(func(team string) float64 { return shares[team] }, func(e *queue.Entry) queue.Result {
		text += e.Job + " "
		return queue.Skipped
	})
	return text
}

func TestOrderIsClassThenShareThenAge(t *testing.T) {
	q := queue.NewQueue(queue.NewQueueOptions{})
	for _, e := range []queue.Entry{
		entry("a-young", "a", leverdyke.ClassNormal, 1), entry("a-old", "a", leverdyke.ClassNormal, 9),
		entry("b-old", "b", leverdyke.ClassNormal, 8), entry("c-batch", "c", leverdyke.ClassBatch, 99),
		entry("c-urgent", "c", leverdyke.ClassUrgent, 0),
	} {
		q.Put(e)
	}
	if got, want := scanOrder(q, map[string]float64{"a": 0.5, "b": 0.1}), "c-urgent b-old a-old a-young c-batch "; got != want {
		t.Errorf("got: %s, want: %s", got, want)
	}
}

// A large entry that stays blocked must not be starved by small entries behind it,
// for which the free capacity suffices. After MaxBypass bypasses the small entries
// of the same or a less urgent class wait until it has started. Entries of a more
// urgent class never wait for it.
func TestBlockedEntryIsBypassedAtMostMaxBypassTimes(t *testing.T) {
	q := queue.NewQueue(queue.NewQueueOptions{MaxBypass: 3})
	big := entry("big", "a", leverdyke.ClassNormal, 100)
	big.Need = leverdyke.Resources{MilliCPU: 100}
	q.Put(big)
	bypassed := 0
	for i := range 10 {
		small := entry(fmt.Sprint("small", i), "b", leverdyke.ClassNormal, 1)
		small.Need = leverdyke.Resources{MilliCPU: 1}
		q.Put(small)
		q.Scan(func(string) float64 { return 0 }, func(e *queue.Entry) queue.Result {
			if e.Job == "big" {
				return queue.Blocked
			}
			bypassed++
			e.Waiting = 0
			return queue.Started
		})
	}
	if bypassed != 3 {
		t.Errorf("got: bypassed %d times, want: 3", bypassed)
	}
	urgent := entry("urgent", "b", leverdyke.ClassUrgent, 0)
	q.Put(urgent)
	isOffered := false
	q.Scan(func(string) float64 { return 0 }, func(e *queue.Entry) queue.Result {
		isOffered = isOffered || e.Job == "urgent"
		return queue.Blocked
	})
	if !isOffered {
		t.Error("got: urgent work waits for less urgent work, want: it is tried")
	}
}

// Work that needs no accelerator must not wait for an entry that lacks one, even
// after MaxBypass bypasses: it runs on other VMs.
func TestWorkWithoutAcceleratorsIsNotHeldBackByWorkThatNeedsThem(t *testing.T) {
	q := queue.NewQueue(queue.NewQueueOptions{MaxBypass: 1})
	needsAccelerator := entry("needy", "a", leverdyke.ClassNormal, 100)
	needsAccelerator.Need = leverdyke.Resources{Accelerators: 1}
	q.Put(needsAccelerator)
	for i := range 5 {
		q.Put(entry(fmt.Sprint("plain", i), "b", leverdyke.ClassNormal, 1))
	}
	started := q.Scan(func(string) float64 { return 0 }, func(e *queue.Entry) queue.Result {
		if e.Need.Accelerators > 0 {
			return queue.Blocked
		}
		return queue.Started
	})
	if started != 5 {
		t.Errorf("got: %d started, want: 5", started)
	}
}

// Guards RemoveAll, which the cancellation of many jobs at once uses, against
// leaving given jobs in the queue or removing others.
func TestRemoveAllRemovesOnlyTheGivenJobs(t *testing.T) {
	q := queue.NewQueue(queue.NewQueueOptions{})
	removed := []string{}
	for i := range 6000 {
		e := entry(fmt.Sprintf("j%04d", i), fmt.Sprint("t", i%130), leverdyke.ClassBatch, i)
		q.Put(e)
		if i < 5000 {
			removed = append(removed, e.Job)
		}
	}
	q.RemoveAll(removed)
	if got := q.Len(); got != 1000 {
		t.Errorf("got: %d entries, want: 1000", got)
	}
	for _, job := range removed {
		if q.Entry(job) != nil {
			t.Fatalf("got: %s is in the queue, want: removed", job)
		}
	}
}

// Puts the same random entries in two orders and compares the orders in which
// they are scanned, so that decisions are reproducible.
func TestOrderDoesNotDependOnInsertionOrder(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(4))
	properties := gopter.NewProperties(parameters)
	properties.Property("same order", prop.ForAll(func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		classes := []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch}
		list := []queue.Entry{}
		for i := range 50 {
			list = append(list, entry(fmt.Sprint("j", i), fmt.Sprint("t", r.Intn(9)), classes[r.Intn(3)], r.Intn(20)))
		}
		shares := map[string]float64{}
		for i := range 9 {
			shares[fmt.Sprint("t", i)] = float64(r.Intn(3))
		}
		a, b := queue.NewQueue(queue.NewQueueOptions{}), queue.NewQueue(queue.NewQueueOptions{})
		for i := range list {
			a.Put(list[i])
			b.Put(list[len(list)-1-i])
		}
		return scanOrder(a, shares) == scanOrder(b, shares)
	}, gen.Int64()))
	properties.TestingRun(t)
}

func BenchmarkRemoveAll5000(b *testing.B) {
	removed := []string{}
	for i := range 5000 {
		removed = append(removed, fmt.Sprintf("j%04d", i))
	}
	for b.Loop() {
		b.StopTimer()
		q := queue.NewQueue(queue.NewQueueOptions{})
		for i, job := range removed {
			q.Put(entry(job, fmt.Sprint("t", i%130), leverdyke.ClassBatch, i))
		}
		b.StartTimer()
		q.RemoveAll(removed)
	}
}
