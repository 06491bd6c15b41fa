// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package home_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/home"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	homeID    = state.ShardID("home/r1/0")
	homeEpoch = 2
	rackEpoch = worker.Epoch(256)
)

var (
	begin = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	large = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32000, Slots: 16}
	racks = []state.ShardID{"rack/r1/k1", "rack/r1/k2"}
)

// openPolicies lets every team use as much as one VM has.
type openPolicies struct{}

func (openPolicies) Quota(string) (leverdyke.Resources, bool) { return large, true }
func (openPolicies) Weights(string) placement.Policy          { return placement.Policy{Waiting: 1} }

// newMovedHome returns a home that has just moved, with a job of one task that
// its earlier owner may have started.
func newMovedHome(spec leverdyke.JobSpec) *home.Home {
	h := home.NewHome(begin, homeID, homeEpoch, openPolicies{}, home.NewHomeOptions{})
	infos := []home.RackInfo{}
	for _, id := range racks {
		infos = append(infos, home.RackInfo{ID: id, Epoch: rackEpoch})
	}
	h.SetRacks(begin, infos)
	for _, id := range racks {
		h.OnRoom(roomOf(id))
	}
	h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 1, Marks: make([]state.Mark, spec.Tasks)}, false)
	return h
}

// roomOf is the summary of a rack with one empty worker.
func roomOf(rack state.ShardID) *node.Room {
	return &node.Room{Rack: rack, Epoch: rackEpoch, Workers: 1, Free: large, Largest: large, Capacity: large}
}

func jobSpec(kind leverdyke.Kind) leverdyke.JobSpec {
	return leverdyke.JobSpec{
		ID: "deeds", Team: "filings", Region: "r1", Kind: kind, Class: leverdyke.ClassNormal, Tasks: 1,
		Each: leverdyke.Resources{MilliCPU: 500, MemoryMiB: 256, Slots: 1},
	}
}

func key(attempt uint64) worker.Key {
	return worker.Key{Task: leverdyke.TaskID{Job: "deeds"}, Attempt: attempt}
}

// whole is a rack's whole word on the home's attempts.
func whole(rack state.ShardID, items ...node.NewsItem) *node.News {
	return &node.News{Home: homeID, Rack: rack, RackEpoch: rackEpoch, IsWhole: true, IsComplete: true, Items: items}
}

func ended(attempt uint64, s worker.TaskState) node.NewsItem {
	return node.NewsItem{Key: key(attempt), State: s, Worker: "w1"}
}

// sent is what a home has sent to the racks.
type sent struct {
	asked, acked []worker.Key
}

// drain lets the home decide for some seconds and returns what it sent.
func drain(h *home.Home) sent {
	s := sent{}
	for i := range 40 {
		h.Tick(begin.Add(time.Duration(i) * 100 * time.Millisecond))
		for _, m := range h.Take().ToRack {
			if m.Message.Ask != nil {
				for _, item := range m.Message.Ask.Items {
					s.asked = append(s.asked, item.Task.Key)
				}
			}
			if m.Message.NewsAck != nil {
				s.acked = append(s.acked, m.Message.NewsAck.Keys...)
			}
		}
	}
	return s
}

// A worker keeps an ended attempt until it is told to forget it, and the word to
// forget may be lost with whoever had to give it. The end of an old attempt says
// nothing of the attempt that followed it on another rack.
func TestEndOfAnOldAttemptDoesNotStartAnother(t *testing.T) {
	old, current := ended(3, worker.StateStopped), node.NewsItem{Key: key(9), State: worker.StateRunning, Worker: "w2"}
	for name, order := range map[string][]*node.News{
		"the end first":   {whole(racks[0], old), whole(racks[1], current)},
		"the end last":    {whole(racks[1], current), whole(racks[0], old)},
		"both of a rack":  {whole(racks[0], old, current), whole(racks[1])},
		"failed, not old": {whole(racks[0], ended(3, worker.StateFailed)), whole(racks[1], current)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newMovedHome(jobSpec(leverdyke.KindService))
			asked := []worker.Key{}
			acked := map[worker.Key]bool{}
			for _, n := range order {
				h.OnNews(begin, n)
				s := drain(h)
				asked = append(asked, s.asked...)
				for _, k := range s.acked {
					acked[k] = true
				}
			}
			if len(asked) > 0 {
				t.Errorf("got: %v asked for, want: nothing while attempt 9 runs", asked)
			}
			if !acked[key(3)] {
				t.Errorf("got: %v acknowledged, want: %v", acked, key(3))
			}
			if got := h.Status("deeds").Tasks[0]; got.Worker != "w2" || got.State != leverdyke.TaskRunning {
				t.Errorf("got: %+v, want: running on w2", got)
			}
		})
	}
}

func TestTaskThatRunsNowhereStartsOnceAllRacksHaveTold(t *testing.T) {
	h := newMovedHome(jobSpec(leverdyke.KindService))
	h.OnNews(begin, whole(racks[0], ended(3, worker.StateStopped)))
	if got := drain(h).asked; len(got) > 0 {
		t.Errorf("got: %v asked for, want: nothing before the other rack has told", got)
	}
	h.OnNews(begin, whole(racks[1], ended(5, worker.StateStopped)))
	s := drain(h)
	want := fmt.Sprint([]worker.Key{key(homeEpoch<<24 | 1)})
	if got := fmt.Sprint(s.asked[:1]); got != want {
		t.Errorf("got: %v, want: %v", got, want)
	}
	if got := len(s.acked); got != 2 {
		t.Errorf("got: %d ends acknowledged, want: 2", got)
	}
}

// An end that nothing can follow is taken from whichever rack tells it first.
func TestEndsThatNothingCanFollowAreTakenAtOnce(t *testing.T) {
	done := jobSpec(leverdyke.KindBatch)
	once := jobSpec(leverdyke.KindBatch)
	once.IsOnce = true
	for name, c := range map[string]struct {
		spec leverdyke.JobSpec
		end  worker.TaskState
		want leverdyke.TaskState
	}{
		"done":                        {done, worker.StateSucceeded, leverdyke.TaskDone},
		"failed, not to be repeated":  {once, worker.StateFailed, leverdyke.TaskFailed},
		"stopped, not to be repeated": {once, worker.StateStopped, leverdyke.TaskUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			h := newMovedHome(c.spec)
			h.OnNews(begin, whole(racks[0], ended(3, c.end)))
			if got := h.Status("deeds").Tasks[0].State; got != c.want {
				t.Errorf("got: %v, want: %v", got, c.want)
			}
		})
	}
}

// A rack that refuses a task because its job uses more than it declares is not
// full: it is asked for other jobs at once, and for this one when it has more.
func TestRefusalForUseShutsNoRackForOtherJobs(t *testing.T) {
	h := newMovedHome(jobSpec(leverdyke.KindBatch))
	h.EndJobs([]string{"deeds"})
	for _, n := range racks {
		h.OnNews(begin, whole(n))
	}
	add := func(id string) {
		spec := jobSpec(leverdyke.KindBatch)
		spec.ID = id
		h.AddJob(begin, id, &state.Job{Spec: spec, Number: 2, Marks: make([]state.Mark, 1)}, true)
	}
	asks := func(at time.Duration) map[string]state.ShardID {
		h.Tick(begin.Add(at))
		list := map[string]state.ShardID{}
		for _, m := range h.Take().ToRack {
			if a := m.Message.Ask; a != nil {
				list[a.Items[0].Task.Key.Task.Job] = a.Rack
				if a.Items[0].Task.Key.Task.Job == "hungry" {
					expected := leverdyke.Resources{MilliCPU: 500, MemoryMiB: 40000, Slots: 1}
					h.OnAnswer(begin.Add(at), &node.Answer{Home: homeID, Rack: a.Rack, RackEpoch: rackEpoch, Results: []node.AnswerResult{
						{Key: a.Items[0].Task.Key, Refused: "no room", Expected: &expected},
					}})
				}
			}
		}
		return list
	}
	add("hungry")
	if got := asks(0); got["hungry"] == "" {
		t.Fatalf("got: %v, want: it is asked for", got)
	}
	add("modest")
	if got := asks(10 * time.Millisecond); got["modest"] == "" || got["hungry"] != "" {
		t.Errorf("got: %v, want: the modest one alone, at once", got)
	}
	more := leverdyke.Resources{MilliCPU: 64000, MemoryMiB: 64000, Slots: 64}
	h.OnRoom(&node.Room{Rack: racks[1], Epoch: rackEpoch, Workers: 1, Free: more, Largest: more, Capacity: more})
	if got := asks(20 * time.Millisecond); got["hungry"] != racks[1] {
		t.Errorf("got: %v, want: asked for where there is room for it", got)
	}
}

// A service stays where it is placed: it waits for the racks over which it could
// be spread to tell their room, but not for ever. Tasks that end do not wait.
func TestServiceWaitsForTheRoomOfAllRacks(t *testing.T) {
	const tasks = 2
	for name, c := range map[string]struct {
		kind leverdyke.Kind
		// toldAt is when the second rack tells its room; 0 means never.
		toldAt, want time.Duration
		isSpread     bool
	}{
		"a service":                       {leverdyke.KindService, time.Second, time.Second, true},
		"a service, and a silent rack":    {leverdyke.KindService, 0, 2 * time.Second, false},
		"a batch takes what is there now": {leverdyke.KindBatch, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := home.NewHome(begin, homeID, homeEpoch, openPolicies{}, home.NewHomeOptions{})
			h.SetRacks(begin, []home.RackInfo{{ID: racks[0], Epoch: rackEpoch}, {ID: racks[1], Epoch: rackEpoch}})
			h.OnRoom(roomOf(racks[0]))
			if c.toldAt == 0 {
				// Known from an earlier owner, so that the job is not held back by that.
				h.OnRoom(&node.Room{Rack: racks[1], Epoch: rackEpoch, Capacity: large})
				h.SetRacks(begin, []home.RackInfo{{ID: racks[1], Epoch: rackEpoch + 1}})
			}
			spec := jobSpec(c.kind)
			spec.Tasks = tasks
			h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 1, Marks: make([]state.Mark, tasks)}, true)
			asked, first := map[state.ShardID]int{}, time.Duration(-1)
			for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
				if c.toldAt > 0 && at == c.toldAt {
					h.OnRoom(roomOf(racks[1]))
				}
				h.Tick(begin.Add(at))
				for _, m := range h.Take().ToRack {
					if m.Message.Ask == nil {
						continue
					}
					if first < 0 {
						first = at
					}
					asked[m.Rack]++
				}
			}
			// A home scans four times a second.
			if late := first - c.want; late < 0 || late > 250*time.Millisecond {
				t.Errorf("got: first asked after %v, want: %v", first, c.want)
			}
			if got := len(asked) == len(racks); got != c.isSpread {
				t.Errorf("got: asked at %v, want: spread %v", asked, c.isSpread)
			}
		})
	}
}

// While the log takes no ends, only so many tasks are started whose ends have
// to be kept; when it takes them again, the rest follows.
func TestEndsThatWaitForTheLogAreBounded(t *testing.T) {
	const tasks, bound = 2000, 1000
	h := newMovedHome(jobSpec(leverdyke.KindService))
	for _, id := range racks {
		h.OnNews(begin, whole(id))
	}
	spec := jobSpec(leverdyke.KindBatch)
	spec.ID, spec.Tasks = "batch", tasks
	h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 2, Marks: make([]state.Mark, tasks)}, true)
	started := 0
	now := begin
	play := func(seconds int, fate error) {
		for range 10 * seconds {
			now = now.Add(100 * time.Millisecond)
			h.Tick(now)
			out := h.Take()
			for _, r := range out.Records {
				h.OnRecorded(now, r.Token, fate)
			}
			for _, m := range out.ToRack {
				if m.Message.Ask == nil {
					continue
				}
				h.OnRoom(roomOf(m.Rack))
				for _, item := range m.Message.Ask.Items {
					k := item.Task.Key
					h.OnAnswer(now, &node.Answer{Home: homeID, Rack: m.Rack, RackEpoch: rackEpoch, Results: []node.AnswerResult{{Key: k, Worker: "w"}}})
					if k.Task.Job == "batch" {
						started++
						h.OnNews(now, &node.News{Home: homeID, Rack: m.Rack, RackEpoch: rackEpoch, Items: []node.NewsItem{{Key: k, State: worker.StateSucceeded, Worker: "w"}}})
					}
				}
			}
		}
	}
	play(120, state.ErrNotTaken)
	if started < bound || started > bound+64 {
		t.Errorf("without the log: got: %d started, want: %d and what was asked for at once", started, bound)
	}
	play(120, nil)
	if started != tasks {
		t.Errorf("with the log: got: %d started, want: %d", started, tasks)
	}
}
