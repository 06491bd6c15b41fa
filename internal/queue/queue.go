// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package queue orders the waiting jobs of the teams of one job shard: by
// class, then by how much of its quota each team uses, then by age. It does no
// I/O and reads no clock.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
)

// Entry is a queued job, which may have tasks waiting to be placed.
type Entry struct {
	Job   string
	Team  string
	Class leverdyke.Class
	// Need is the resources that one task needs.
	Need leverdyke.Resources
	// Waiting is the number of tasks that wait to be placed; never negative.
	Waiting int
	// Since is when the job began to wait.
	Since time.Time
	// Bypassed counts how often, since a task of this entry was last started,
	// an entry that is behind it in the scan and competes for the same resources
	// was started while this one was blocked.
	Bypassed int
}

// Result is the outcome of trying to start tasks of an entry in a scan.
type Result string

// The possible results.
const (
	// Started means that at least one of the entry's tasks was placed.
	Started Result = "started"
	// Blocked means that there is not enough free capacity for any task of the
	// entry.
	Blocked Result = "blocked"
	// Skipped means that the entry may not start now for reasons of its own,
	// such as its team's quota. No other entry is held back for it.
	Skipped Result = "skipped"
)

// Mode says whether a blocked entry holds back those behind it.
type Mode string

// The modes of scanning.
const (
	// ModeScan continues past blocked entries, up to MaxBypass times for each.
	ModeScan Mode = "scan"
	// ModeBlock stops at the first blocked entry (head-of-line blocking). It is the
	// baseline to which ModeScan is compared.
	ModeBlock Mode = "block"
)

// NewQueueOptions sets the mode and the bounds of a queue. Zero values mean the
// defaults.
type NewQueueOptions struct {
	// Mode is the mode of scanning; empty means ModeScan.
	Mode Mode
	// MaxBypass is how often an entry may be bypassed by entries that compete
	// for the resources it lacks, before those have to wait for it; 0 means 64.
	MaxBypass int
	// MaxEntries is the number of entries from which on the queue counts as
	// full; 0 means 20,000.
	MaxEntries int
}

const (
	defaultMaxBypass  = 64
	defaultMaxEntries = 20000
)

// Queue holds the waiting entries. It is not safe for concurrent use.
type Queue struct {
	options NewQueueOptions
	entries map[string]*Entry
	// order has the entries by class and team, each team's oldest first.
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

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.entries) }

// IsFull reports whether the queue has MaxEntries entries, so that no further
// job should be accepted.
func (q *Queue) IsFull() bool { return len(q.entries) >= q.options.MaxEntries }

// Entry returns the entry of a job, or nil.
func (q *Queue) Entry(job string) *Entry { return q.entries[job] }

// Put adds an entry, or updates the number of waiting tasks if the job is
// already queued. Entries of a team and class are ordered by Since, so that an
// entry that is removed and put back returns to its position.
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

// Remove removes a job's entry, if there is one.
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

// RemoveAll removes the entries of many jobs in one pass over the queue, instead
// of one search of a team's list for each job.
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

// Scan passes the entries to try, the most urgent class first. Within a class it
// takes one entry of each team at a time (round robin), the teams that use the
// smallest share of their quota first; within a team the oldest entry comes
// first. The parameter share returns the part of its quota that a team uses.
// Scan returns how many entries were started.
//
// In ModeScan a blocked entry does not hold back those behind it. This follows
// the scan past exhausted entries of vLLM's pull request "[Core] LoRA: V1
// Scheduler optimization"; decision 0006 has the measurement. So that a large
// entry is not starved, an entry that was bypassed MaxBypass times by entries
// that compete for the resources it lacks is not bypassed by such entries again.
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

// scanOrder lists a class's entries in the order in which Scan tries them.
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

// mustWait reports whether e competes with an entry that has reached its bypass
// limit. No entry is made to wait for one of a less urgent class.
func (q *Queue) mustWait(e *Entry, atBypassLimit []*Entry) bool {
	for _, w := range atBypassLimit {
		if e.Class.Rank() >= w.Class.Rank() && competes(e, w) {
			return true
		}
	}
	return false
}

// countBypass counts, for each blocked entry that e competes with, that e was
// started before it.
func countBypass(e *Entry, blocked []*Entry) {
	for _, b := range blocked {
		if competes(e, b) {
			b.Bypassed++
		}
	}
}

// competes reports whether starting e can take resources that w waits for. Work
// without accelerators does not compete with work that needs them, because
// placement avoids VMs with accelerators for it while others have free capacity.
func competes(e, w *Entry) bool {
	return w.Need.Accelerators == 0 || e.Need.Accelerators > 0
}
