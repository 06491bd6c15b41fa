// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/placement"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	shardID    = state.ShardID("home/r1/0")
	shardEpoch = 2
	rackEpoch  = worker.Epoch(256)
)

var (
	begin = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	large = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32000, Slots: 16}
	racks = []state.ShardID{"rack/r1/k1", "rack/r1/k2"}
)

// oneVMQuota gives every team the capacity of one VM as its quota.
type oneVMQuota struct{}

func (oneVMQuota) Quota(string) (leverdyke.Resources, bool) { return large, true }
func (oneVMQuota) Weights(string) placement.Policy          { return placement.Policy{Waiting: 1} }

// newShardAfterTakeover returns a shard that has just got a new owner, with a
// job of which the previous owner may have started tasks.
func newShardAfterTakeover(spec leverdyke.JobSpec) *jobshard.Shard {
	h := jobshard.NewShard(begin, shardID, shardEpoch, oneVMQuota{}, jobshard.NewShardOptions{})
	infos := []jobshard.RackInfo{}
	for _, id := range racks {
		infos = append(infos, jobshard.RackInfo{ID: id, Epoch: rackEpoch})
	}
	h.SetRacks(begin, infos)
	for _, id := range racks {
		h.OnRackSummary(emptyRackSummary(id))
	}
	h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 1, TaskStates: make([]state.RecordedState, spec.Tasks)}, false)
	return h
}

// emptyRackSummary returns the summary of a rack with one worker that runs
// nothing.
func emptyRackSummary(rack state.ShardID) *node.RackSummary {
	return &node.RackSummary{Rack: rack, Epoch: rackEpoch, Workers: 1, Free: large, Largest: large, Capacity: large}
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

// fullReport returns a rack's full report on the shard's attempts.
func fullReport(rack state.ShardID, items ...node.AttemptStatus) *node.AttemptReport {
	return &node.AttemptReport{JobShard: shardID, Rack: rack, RackEpoch: rackEpoch, IsFullReport: true, IsInventoryComplete: true, Items: items}
}

func endedAttempt(attempt uint64, s worker.TaskState) node.AttemptStatus {
	return node.AttemptStatus{Key: key(attempt), State: s, Worker: "w1"}
}

// sentToRacks is what a shard has sent to the racks: the attempts requested and
// the ends acknowledged.
type sentToRacks struct {
	requested, acked []worker.Key
}

// runTicks calls Tick for four seconds and returns what the shard sent.
func runTicks(h *jobshard.Shard) sentToRacks {
	s := sentToRacks{}
	for i := range 40 {
		h.Tick(begin.Add(time.Duration(i) * 100 * time.Millisecond))
		for _, m := range h.TakeOutput().ToRack {
			if m.Message.StartRequest != nil {
				for _, item := range m.Message.StartRequest.Items {
					s.requested = append(s.requested, item.Task.Key)
				}
			}
			if m.Message.AttemptReportAck != nil {
				s.acked = append(s.acked, m.Message.AttemptReportAck.Keys...)
			}
		}
	}
	return s
}

// A worker lists an ended attempt until it receives the order to forget it, and
// that order is lost if its sender fails. The end of an old attempt must
// therefore not start a task of which a later attempt runs on another rack.
func TestEndOfOldAttemptDoesNotStartAnotherAttempt(t *testing.T) {
	old, current := endedAttempt(3, worker.StateStopped), node.AttemptStatus{Key: key(9), State: worker.StateRunning, Worker: "w2"}
	for name, order := range map[string][]*node.AttemptReport{
		"the end first":   {fullReport(racks[0], old), fullReport(racks[1], current)},
		"the end last":    {fullReport(racks[1], current), fullReport(racks[0], old)},
		"both of a rack":  {fullReport(racks[0], old, current), fullReport(racks[1])},
		"failed, not old": {fullReport(racks[0], endedAttempt(3, worker.StateFailed)), fullReport(racks[1], current)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newShardAfterTakeover(jobSpec(leverdyke.KindService))
			requested := []worker.Key{}
			acked := map[worker.Key]bool{}
			for _, n := range order {
				h.OnAttemptReport(begin, n)
				s := runTicks(h)
				requested = append(requested, s.requested...)
				for _, k := range s.acked {
					acked[k] = true
				}
			}
			if len(requested) > 0 {
				t.Errorf("got: %v requested, want: nothing while attempt 9 runs", requested)
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

// A task that starts before the last rack has reported could run twice, since
// that rack may run a later attempt of it.
func TestUncertainTaskStartsOnlyAfterAllRacksReported(t *testing.T) {
	h := newShardAfterTakeover(jobSpec(leverdyke.KindService))
	h.OnAttemptReport(begin, fullReport(racks[0], endedAttempt(3, worker.StateStopped)))
	if got := runTicks(h).requested; len(got) > 0 {
		t.Errorf("got: %v requested, want: nothing before the other rack has reported", got)
	}
	h.OnAttemptReport(begin, fullReport(racks[1], endedAttempt(5, worker.StateStopped)))
	s := runTicks(h)
	want := fmt.Sprint([]worker.Key{key(shardEpoch<<24 | 1)})
	if got := fmt.Sprint(s.requested[:1]); got != want {
		t.Errorf("got: %v, want: %v", got, want)
	}
	if got := len(s.acked); got != 2 {
		t.Errorf("got: %d ends acknowledged, want: 2", got)
	}
}

// An end after which no other attempt can have started is applied when the
// first rack reports it, without waiting for the other racks.
func TestFinalEndIsAppliedOnFirstReport(t *testing.T) {
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
			h := newShardAfterTakeover(c.spec)
			h.OnAttemptReport(begin, fullReport(racks[0], endedAttempt(3, c.end)))
			if got := h.Status("deeds").Tasks[0].State; got != c.want {
				t.Errorf("got: %v, want: %v", got, c.want)
			}
		})
	}
}

// A rack that refuses a task because the job's tasks use more than they declare
// may still have capacity for others. It must be asked for other jobs at once,
// and for this job when it reports more free capacity.
func TestRefusalForExpectedUsageDoesNotBlockOtherJobs(t *testing.T) {
	h := newShardAfterTakeover(jobSpec(leverdyke.KindBatch))
	h.EndJobs([]string{"deeds"})
	for _, n := range racks {
		h.OnAttemptReport(begin, fullReport(n))
	}
	add := func(id string) {
		spec := jobSpec(leverdyke.KindBatch)
		spec.ID = id
		h.AddJob(begin, id, &state.Job{Spec: spec, Number: 2, TaskStates: make([]state.RecordedState, 1)}, true)
	}
	requestsAt := func(at time.Duration) map[string]state.ShardID {
		h.Tick(begin.Add(at))
		list := map[string]state.ShardID{}
		for _, m := range h.TakeOutput().ToRack {
			if a := m.Message.StartRequest; a != nil {
				list[a.Items[0].Task.Key.Task.Job] = a.Rack
				if a.Items[0].Task.Key.Task.Job == "hungry" {
					expected := leverdyke.Resources{MilliCPU: 500, MemoryMiB: 40000, Slots: 1}
					h.OnStartReply(begin.Add(at), &node.StartReply{JobShard: shardID, Rack: a.Rack, RackEpoch: rackEpoch, Results: []node.StartResult{
						{Key: a.Items[0].Task.Key, RefusalReason: "no room", ExpectedUsage: &expected},
					}})
				}
			}
		}
		return list
	}
	add("hungry")
	if got := requestsAt(0); got["hungry"] == "" {
		t.Fatalf("got: %v, want: its start is requested", got)
	}
	add("modest")
	if got := requestsAt(10 * time.Millisecond); got["modest"] == "" || got["hungry"] != "" {
		t.Errorf("got: %v, want: the start of modest alone, at once", got)
	}
	more := leverdyke.Resources{MilliCPU: 64000, MemoryMiB: 64000, Slots: 64}
	h.OnRackSummary(&node.RackSummary{Rack: racks[1], Epoch: rackEpoch, Workers: 1, Free: more, Largest: more, Capacity: more})
	if got := requestsAt(20 * time.Millisecond); got["hungry"] != racks[1] {
		t.Errorf("got: %v, want: requested from the rack with more free capacity", got)
	}
}

// A service stays where it is placed. Placed too early, it would not be spread
// over racks whose summaries are still missing; so it waits for them, up to a
// limit. Tasks of batch jobs do not wait, since they end.
func TestServiceWaitsForSummariesOfAllRacks(t *testing.T) {
	const tasks = 2
	for name, c := range map[string]struct {
		kind leverdyke.Kind
		// reportedAt is when the second rack sends its summary; 0 means never.
		reportedAt, want time.Duration
		isSpread         bool
	}{
		"a service":                       {leverdyke.KindService, time.Second, time.Second, true},
		"a service, and a silent rack":    {leverdyke.KindService, 0, 2 * time.Second, false},
		"a batch takes what is there now": {leverdyke.KindBatch, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := jobshard.NewShard(begin, shardID, shardEpoch, oneVMQuota{}, jobshard.NewShardOptions{})
			h.SetRacks(begin, []jobshard.RackInfo{{ID: racks[0], Epoch: rackEpoch}, {ID: racks[1], Epoch: rackEpoch}})
			h.OnRackSummary(emptyRackSummary(racks[0]))
			if c.reportedAt == 0 {
				// Its capacity is known from a previous owner, so that the job does not wait
				// for that.
				h.OnRackSummary(&node.RackSummary{Rack: racks[1], Epoch: rackEpoch, Capacity: large})
				h.SetRacks(begin, []jobshard.RackInfo{{ID: racks[1], Epoch: rackEpoch + 1}})
			}
			spec := jobSpec(c.kind)
			spec.Tasks = tasks
			h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 1, TaskStates: make([]state.RecordedState, tasks)}, true)
			requested, first := map[state.ShardID]int{}, time.Duration(-1)
			for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
				if c.reportedAt > 0 && at == c.reportedAt {
					h.OnRackSummary(emptyRackSummary(racks[1]))
				}
				h.Tick(begin.Add(at))
				for _, m := range h.TakeOutput().ToRack {
					if m.Message.StartRequest == nil {
						continue
					}
					if first < 0 {
						first = at
					}
					requested[m.Rack]++
				}
			}
			// A shard scans its queue four times a second.
			if late := first - c.want; late < 0 || late > 250*time.Millisecond {
				t.Errorf("got: first requested after %v, want: %v", first, c.want)
			}
			if got := len(requested) == len(racks); got != c.isSpread {
				t.Errorf("got: requested from %v, want: spread %v", requested, c.isSpread)
			}
		})
	}
}

// Ends that the log does not accept are kept in memory. Without a limit on
// starts they would grow until the node runs out of memory. When the log
// accepts ends again, the remaining tasks have to start.
func TestUnrecordedEndsAreBounded(t *testing.T) {
	const tasks, bound = 2000, 1000
	h := newShardAfterTakeover(jobSpec(leverdyke.KindService))
	for _, id := range racks {
		h.OnAttemptReport(begin, fullReport(id))
	}
	spec := jobSpec(leverdyke.KindBatch)
	spec.ID, spec.Tasks = "batch", tasks
	h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 2, TaskStates: make([]state.RecordedState, tasks)}, true)
	started := 0
	now := begin
	run := func(seconds int, result error) {
		for range 10 * seconds {
			now = now.Add(100 * time.Millisecond)
			h.Tick(now)
			out := h.TakeOutput()
			for _, r := range out.Records {
				h.OnRecordResult(now, r.Token, result)
			}
			for _, m := range out.ToRack {
				if m.Message.StartRequest == nil {
					continue
				}
				h.OnRackSummary(emptyRackSummary(m.Rack))
				for _, item := range m.Message.StartRequest.Items {
					k := item.Task.Key
					h.OnStartReply(now, &node.StartReply{JobShard: shardID, Rack: m.Rack, RackEpoch: rackEpoch, Results: []node.StartResult{{Key: k, Worker: "w"}}})
					if k.Task.Job == "batch" {
						started++
						h.OnAttemptReport(now, &node.AttemptReport{JobShard: shardID, Rack: m.Rack, RackEpoch: rackEpoch, Items: []node.AttemptStatus{{Key: k, State: worker.StateSucceeded, Worker: "w"}}})
					}
				}
			}
		}
	}
	run(120, state.ErrNotAppended)
	if started < bound || started > bound+64 {
		t.Errorf("without the log: got: %d started, want: %d and the starts already requested", started, bound)
	}
	run(120, nil)
	if started != tasks {
		t.Errorf("with the log: got: %d started, want: %d", started, tasks)
	}
}
