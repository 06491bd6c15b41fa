// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package queue orders the waiting work of the teams of one home: class, then
// the teams' shares, then age. It is pure: it has no clock and does no I/O.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
)

// Entry is a job with tasks that wait.
type Entry struct {
	Job   string
	Team  string
	Class leverdyke.Class
	// Need is what one task needs.
	Need leverdyke.Resources
	// Waiting counts the tasks that wait; never negative.
	Waiting int
	// Since is when the entry began to wait.
	Since time.Time
	// Bypassed counts how often a later entry was started in spite of this one
	// since it last started something.
	Bypassed int
}

// Result is what became of an entry in a scan.
type Result string

// The results of trying an entry.
const (
	// Started means that at least one of the entry's tasks found a place.
	Started Result = "started"
	// Blocked means that there is no room for the entry.
	Blocked Result = "blocked"
	// Skipped means that it is not the entry's turn for reasons of its own,
	// such as its team's quota; nobody has to wait for it.
	Skipped Result = "skipped"
)

// Mode says what a blocked entry does to those behind it.
type Mode string

// The modes of scanning.
const (
	// ModeScan goes on past blocked entries, within the bound.
	ModeScan Mode = "scan"
	// ModeBlock stops at the first blocked entry; it is the baseline.
	ModeBlock Mode = "block"
)

// NewQueueOptions sets the bounds. Zero values mean the defaults.
type NewQueueOptions struct {
	// Mode is how to scan; empty means ModeScan.
	Mode Mode
	// MaxBypass is how often an entry may be passed by work that takes what it
	// lacks, before that work has to wait for it; 0 means 64.
	MaxBypass int
	// MaxEntries bounds the queue; 0 means 20,000.
	MaxEntries int
}

const (
	defaultMaxBypass  = 64
	defaultMaxEntries = 20000
)

// Queue holds entries. It belongs to one goroutine.
type Queue struct {
	options NewQueueOptions
	entries map[string]*Entry
	// order has the entries of each class by team, each team's oldest first.
	order map[leverdyke.Class]map[string][]*Entry
}

// NewQueue returns an empty queue.
func NewQueue(options NewQueueOptions) *Queue {
	if options.Mode == "" {
		options.Mode = ModeScan
	}
	if options.MaxBypass == 0 {
		options.MaxBypass = defaultMaxBypass
	}
	if options.MaxEntries == 0 {
		options.MaxEntries = defaultMaxEntries
	}
	return &Queue{options: options, entries: map[string]*Entry{}, order: map[leverdyke.Class]map[string][]*Entry{}}
}

// Len returns how many entries there are.
func (q *Queue) Len() int { return len(q.entries) }

// IsFull reports whether no further job may wait.
func (q *Queue) IsFull() bool { return len(q.entries) >= q.options.MaxEntries }

// Entry returns the entry of a job, or nil.
func (q *Queue) Entry(job string) *Entry { return q.entries[job] }

// Put adds an entry, or sets how many of its tasks wait. An entry keeps its
// place among those of its team by Since.
func (q *Queue) Put(e Entry) {
	if old := q.entries[e.Job]; old != nil {
		old.Waiting = e.Waiting
		return
	}
	added := &e
	q.entries[e.Job] = added
	teams := q.order[e.Class]
	if teams == nil {
		teams = map[string][]*Entry{}
		q.order[e.Class] = teams
	}
	list := teams[e.Team]
	at, _ := slices.BinarySearchFunc(list, added, compareAge)
	teams[e.Team] = slices.Insert(list, at, added)
}

// Remove takes a job out.
func (q *Queue) Remove(job string) {
	e := q.entries[job]
	if e == nil {
		return
	}
	delete(q.entries, job)
	teams := q.order[e.Class]
	teams[e.Team] = slices.DeleteFunc(teams[e.Team], func(o *Entry) bool { return o == e })
	if len(teams[e.Team]) == 0 {
		delete(teams, e.Team)
	}
}

// RemoveAll takes many jobs out in one pass.
func (q *Queue) RemoveAll(jobs []string) {
	removed := make(map[*Entry]bool, len(jobs))
	for _, job := range jobs {
		if e := q.entries[job]; e != nil {
			removed[e] = true
			delete(q.entries, job)
		}
	}
	for _, teams := range q.order {
		for team, list := range teams {
			teams[team] = slices.DeleteFunc(list, func(e *Entry) bool { return removed[e] })
			if len(teams[team]) == 0 {
				delete(teams, team)
			}
		}
	}
}

func compareAge(a, b *Entry) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Job, b.Job))
}

// Scan offers the entries to try, most urgent class first; within a class the
// teams that use the least of their quota first, one entry at a time in turn;
// within a team the oldest first. It returns how many entries were started.
//
// A blocked entry does not stop those behind it, after the scan past exhausted
// entries of vLLM's pull request "[Core] LoRA: V1 Scheduler optimization"
// (decision 0006 has the measurement). An entry that was passed MaxBypass times
// by work that takes what it lacks is not passed by such work again.
func (q *Queue) Scan(share func(team string) float64, try func(*Entry) Result) int {
	started := 0
	atBypassLimit := []*Entry{}
	blocked := []*Entry{}
	for _, class := range []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch} {
		for _, e := range q.scanOrder(class, share) {
			if e.Waiting == 0 || q.mustWait(e, atBypassLimit) {
				continue
			}
			switch try(e) {
			case Started:
				started++
				e.Bypassed = 0
				countBypass(e, blocked)
			case Blocked:
				if q.options.Mode == ModeBlock {
					return started
				}
				blocked = append(blocked, e)
				if e.Bypassed >= q.options.MaxBypass {
					atBypassLimit = append(atBypassLimit, e)
				}
			case Skipped:
			}
		}
	}
	return started
}

// turn lists a class's entries in the order in which they are offered.
func (q *Queue) scanOrder(class leverdyke.Class, share func(team string) float64) []*Entry {
	teams := q.order[class]
	teamNames := make([]string, 0, len(teams))
	shares := make(map[string]float64, len(teams))
	total, longest := 0, 0
	for name, list := range teams {
		teamNames = append(teamNames, name)
		shares[name] = share(name)
		total += len(list)
		longest = max(longest, len(list))
	}
	slices.SortFunc(teamNames, func(a, b string) int { return cmp.Or(cmp.Compare(shares[a], shares[b]), cmp.Compare(a, b)) })
	ordered := make([]*Entry, 0, total)
	for i := range longest {
		for _, name := range teamNames {
			if i < len(teams[name]) {
				ordered = append(ordered, teams[name][i])
			}
		}
	}
	return ordered
}

// mustWait reports whether e would take what an entry lacks that has been
// passed often enough. Nobody is made to wait for a less urgent class.
func (q *Queue) mustWait(e *Entry, atBypassLimit []*Entry) bool {
	for _, w := range atBypassLimit {
		if e.Class.Rank() >= w.Class.Rank() && competes(e, w) {
			return true
		}
	}
	return false
}

// bypass counts that e was started before the blocked entries that it competes
// with.
func countBypass(e *Entry, blocked []*Entry) {
	for _, b := range blocked {
		if competes(e, b) {
			b.Bypassed++
		}
	}
}

// competes reports whether e takes what makes w wait: work without accelerators
// leaves those who wait for one their place, since placing keeps it off such
// VMs while there are others.
func competes(e, w *Entry) bool {
	return w.Need.Accelerators == 0 || e.Need.Accelerators > 0
}
