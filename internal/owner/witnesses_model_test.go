// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// Guards against tasks that run twice: an owner relies on the stored placements while an earlier one has started, or still
// starts, something ahead of the store. Owners follow one another in one store; records, requests, answers, withdrawals and
// greetings are delayed, lost or overtake one another; owners never learn that they are none any more unless the store tells them.
func TestNoOwnerReliesOnPlacementsWhileAnEarlierOneRunsAhead(t *testing.T) {
	relied, reliedLater, starts := 0, 0, 0
	for seed := range uint64(20_000) {
		m := newOwnersModel(seed)
		for range 200 {
			m.step()
		}
		relied, reliedLater, starts = relied+m.ruledOut, reliedLater+m.laterRuledOut, starts+m.starts
		if m.fault != "" {
			t.Errorf("seed %d: got: %s, want: no reliance while another owner runs ahead", seed, m.fault)
		}
	}
	if relied < 500 || reliedLater < 500 || starts < 500 {
		t.Errorf("schedules: got: %d ruled out, %d for later jobs, %d starts, want: at least 500 of each", relied, reliedLater, starts)
	}
}

// modelRecord is the newest record in the store.
type modelRecord struct {
	epoch uint64
	flag  bool
	q     witness.Quorum
	later owner.LaterJobs
}

// modelStarts counts starts that are not in the store, by the epoch in which their jobs were accepted.
type modelStarts map[uint64]int

// since returns how many are of jobs accepted in an epoch from since on.
func (s modelStarts) since(since uint64) int {
	sum := 0
	for epoch, n := range s {
		if epoch >= since {
			sum += n
		}
	}
	return sum
}

func (s modelStarts) add(other modelStarts) {
	for epoch, n := range other {
		s[epoch] += n
	}
}

// modelOwner is one owner, which may have been superseded without knowing it.
type modelOwner struct {
	proc                                      int
	epoch                                     uint64
	gate                                      *owner.WriteBehindGate
	survey, laterSurvey                       *witness.Survey
	isInherited, isLoaded, hasEnded, isFenced bool
	// ahead are its own starts, reports those of earlier owners of which workers have told it.
	ahead, reports modelStarts
	// previousLater is what the previous owner's record tells of later jobs. The owner is not in doubt about jobs accepted
	// in an epoch from laterSince on, and relies on what is stored of those from reliesFrom on.
	previousLater          owner.LaterJobs
	laterSince, reliesFrom uint64
	links                  []string
	recordOffset           uint64
	process                string
	// isOld means that it is of a version without witnesses.
	isOld         bool
	canRelyAtLoad bool
}

// ownersModel has owners in a row that share one store, and the processes that are their witnesses.
type ownersModel struct {
	rng        *rand.Rand
	now        time.Time
	ledgers    map[string]*witness.Ledger
	procs      []string
	owners     []*modelOwner
	newest     modelRecord
	end, fence uint64
	messages   []func()
	fault      string
	// hasEnded has the processes that have ended.
	hasEnded                        map[string]bool
	ruledOut, laterRuledOut, starts int
}

func newOwnersModel(seed uint64) *ownersModel {
	m := &ownersModel{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1e9, 0), ledgers: map[string]*witness.Ledger{}, hasEnded: map[string]bool{}}
	for i := range 2 + m.rng.IntN(4) {
		m.procs = append(m.procs, fmt.Sprint("p", i))
		m.ledgers[m.procs[i]] = &witness.Ledger{}
	}
	m.claim()
	return m
}

func (m *ownersModel) send(f func()) { m.messages = append(m.messages, f) }

func (m *ownersModel) deliver() {
	if len(m.messages) == 0 {
		return
	}
	// Old messages remain for long now and then.
	i := m.rng.IntN(len(m.messages))
	f := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	if m.rng.IntN(8) > 0 {
		f()
	}
}

func (m *ownersModel) claim() {
	p := m.rng.IntN(len(m.procs))
	for _, o := range m.owners {
		if o.proc == p {
			o.hasEnded = true
		}
	}
	previous := m.newest
	r := &owner.Record{Epoch: m.end + 1, MayHaveUnpersisted: m.end > 0 && previous.flag}
	isOld := m.rng.IntN(10) == 0
	if r.MayHaveUnpersisted && !isOld {
		r.Witnesses, r.LaterJobs = previous.q, previous.later
	}
	m.newest = modelRecord{r.Epoch, r.MayHaveUnpersisted, r.Witnesses, r.LaterJobs}
	o := &modelOwner{proc: p, process: m.procs[p], isOld: isOld, epoch: r.Epoch, gate: owner.NewWriteBehindGateFrom(r), recordOffset: m.end, isInherited: r.MayHaveUnpersisted, canRelyAtLoad: !r.MayHaveUnpersisted}
	o.ahead, o.reports, o.previousLater, o.laterSince, o.reliesFrom = modelStarts{}, modelStarts{}, previous.later, r.Epoch, r.Epoch
	m.end++
	if r.MayHaveUnpersisted && !isOld {
		o.survey, o.laterSurvey = witness.NewSurvey(previous.q), witness.NewSurvey(previous.later.Witnesses)
	}
	m.owners = append(m.owners, o)
	m.testify(o, m.procs[p])
}

func (m *ownersModel) testify(o *modelOwner, process string) {
	c := m.ledgers[process].Testify(o.epoch)
	m.send(func() {
		if o.hasEnded {
			return
		}
		if process != o.process && !slices.Contains(o.links, process) {
			o.links = append(o.links, process)
		}
		if o.survey != nil {
			o.survey.Testified(process, c)
		}
		if o.laterSurvey != nil {
			o.laterSurvey.Testified(process, c)
		}
	})
}

// restart replaces a process by one that knows nothing.
func (m *ownersModel) restart(p int) {
	for _, o := range m.owners {
		if o.process == m.procs[p] {
			o.hasEnded = true
		}
	}
	m.hasEnded[m.procs[p]] = true
	m.procs[p] += "'"
	m.ledgers[m.procs[p]] = &witness.Ledger{}
}

// rely makes an owner rely on what is stored of all jobs that were accepted in an epoch from since on.
func (m *ownersModel) rely(o *modelOwner, since uint64) {
	o.reliesFrom = since
	for _, e := range m.owners {
		if n := e.ahead.since(since) + e.reports.since(since); e.epoch < o.epoch && n > 0 && !e.isFenced {
			m.fault = fmt.Sprintf("owner %d relies on jobs since %d, owner %d has started %d ahead", o.epoch, since, e.epoch, n)
		}
	}
}

// relyOnAll makes an owner rely on what is stored of all jobs.
func (m *ownersModel) relyOnAll(o *modelOwner) {
	o.isInherited, o.survey = false, nil
	m.rely(o, 0)
}

func (m *ownersModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(400)) * time.Millisecond)
	o := m.owners[m.rng.IntN(len(m.owners))]
	if m.rng.IntN(2) == 0 {
		o = m.owners[len(m.owners)-1]
	}
	switch n := m.rng.IntN(40); {
	case n == 0:
		m.claim()
		return
	case n < 6:
		// A process links to the owner that the newest record names.
		w := m.procs[m.rng.IntN(len(m.procs))]
		if newest := m.owners[len(m.owners)-1]; newest.process != w {
			m.testify(newest, w)
		}
		return
	case n < 14:
		m.deliver()
		return
	case n == 14 && m.rng.IntN(8) == 0:
		m.restart(m.rng.IntN(len(m.procs)))
		return
	}
	if o.hasEnded {
		return
	}
	if !o.isLoaded {
		if m.fence > o.epoch {
			o.hasEnded = true
			return
		}
		m.fence, o.isLoaded = o.epoch, true
		if o.canRelyAtLoad {
			m.relyOnAll(o)
		}
		return
	}
	switch n := m.rng.IntN(12); {
	case n < 4:
		m.cycle(o)
	case n < 7:
		m.heartbeat(o)
	case n < 9:
		// All that is known is persisted, unless a later owner has fenced this one.
		if m.fence == o.epoch {
			o.ahead, o.reports = modelStarts{}, modelStarts{}
		} else {
			o.hasEnded = true
		}
	case n == 9 && o.isInherited && m.rng.IntN(3) == 0:
		// All workers have told what they run, and take no orders of earlier owners any more.
		o.isInherited, o.survey = false, nil
		for _, e := range m.owners {
			if e.epoch < o.epoch && !e.isFenced {
				e.isFenced = true
				o.reports.add(e.ahead)
				o.reports.add(e.reports)
			}
		}
	}
}

// cycle is a cycle of the loop; heartbeats come before or after it.
func (m *ownersModel) cycle(o *modelOwner) {
	if o.survey != nil && o.survey.IsRuledOut() {
		m.ruledOut++
		m.relyOnAll(o)
	}
	if o.laterSurvey != nil && o.laterSurvey.IsRuledOut() {
		o.laterSurvey, o.laterSince = nil, o.previousLater.Since
		if o.isInherited {
			m.laterRuledOut++
			m.rely(o, o.laterSince)
		}
	}
	hasUnpersisted := o.ahead.since(0)+o.reports.since(0) > 0 || o.isInherited
	isSlow := m.rng.IntN(2) == 0
	var candidates []string
	if !o.isOld && m.rng.IntN(5) > 0 {
		candidates = slices.Clone(o.links)
		m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:m.rng.IntN(len(candidates)+1)]
		slices.Sort(candidates)
	}
	o.gate.UpdateLaterJobs(hasUnpersisted, o.ahead.since(0) > 0, o.laterSince, candidates)
	decision := o.gate.Decide(m.now, isSlow, hasUnpersisted, m.rng.IntN(2) == 0, candidates)
	for _, w := range decision.Asked {
		if slices.Contains(o.links, w) {
			m.send(func() {
				if !m.hasEnded[w] && m.ledgers[w].GiveConsent(o.epoch, decision.Round) {
					m.send(func() { o.gate.Given(w, decision.Round) })
				}
			})
		}
	}
	if decision.IsWithdrawn {
		for _, w := range o.links {
			m.send(func() {
				if !m.hasEnded[w] {
					m.ledgers[w].WithdrawConsent(o.epoch, decision.WithdrawnRound)
				}
			})
		}
	}
	if !decision.IsWriteBehind {
		return
	}
	if o.isFenced || m.rng.IntN(2) == 0 {
		return
	}
	m.starts++
	jobEpoch := m.acceptedIn(o)
	o.ahead[jobEpoch]++
	for _, s := range m.owners {
		if s.epoch > o.epoch && s.reliesFrom <= jobEpoch {
			m.fault = fmt.Sprintf("owner %d starts a job of %d ahead, owner %d relies on stored placements since %d", o.epoch, jobEpoch, s.epoch, s.reliesFrom)
		}
	}
}

// acceptedIn draws the epoch in which a job was accepted of which an owner may start tasks.
func (m *ownersModel) acceptedIn(o *modelOwner) uint64 {
	epochs := []uint64{}
	for _, e := range m.owners {
		if e.epoch <= o.epoch && (!o.isInherited || e.epoch >= o.laterSince) {
			epochs = append(epochs, e.epoch)
		}
	}
	return epochs[m.rng.IntN(len(epochs))]
}

// heartbeat sends one record; its outcome may be unknown, and it may land late.
func (m *ownersModel) heartbeat(o *modelOwner) {
	flag, q, later := o.gate.Next()
	at := o.recordOffset + 1
	land := func() bool {
		if m.end != at {
			return false
		}
		m.newest = modelRecord{o.epoch, flag, q, later}
		m.end++
		return true
	}
	switch m.rng.IntN(6) {
	case 0:
		m.send(func() { land() })
	case 1:
		land()
	default:
		if land() {
			o.recordOffset = at
			o.gate.RecordPersisted(flag, q, later)
			return
		}
		if m.newest.epoch != o.epoch {
			o.hasEnded = true
			return
		}
		o.recordOffset = m.end - 1
		o.gate.RecordPersisted(m.newest.flag, m.newest.q, m.newest.later)
	}
}
