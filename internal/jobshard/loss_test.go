// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package jobshard_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/jobshard"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// loseEveryAttempt reports each attempt of the job's task as lost with its
// worker as soon as its start is requested, for one hour, and returns how many
// attempts there were.
func loseEveryAttempt(h *jobshard.Shard) int {
	n := 0
	for now := begin; now.Before(begin.Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		h.Tick(now)
		for _, m := range h.TakeOutput().ToRack {
			if m.Message.StartRequest == nil {
				continue
			}
			for _, item := range m.Message.StartRequest.Items {
				n++
				lost := node.AttemptStatus{Key: item.Task.Key, State: worker.StateStopped, Worker: "w1", IsLost: true}
				h.OnAttemptReport(now, &node.AttemptReport{JobShard: shardID, Rack: m.Rack, RackEpoch: rackEpoch, Items: []node.AttemptStatus{lost}})
			}
		}
	}
	return n
}

// A task that crashes its worker must not be started on one worker after the
// other without end. A crashed worker reports no failure, so that losses have to
// count too.
func TestTaskLostWithEveryWorkerIsAbandoned(t *testing.T) {
	for kind, want := range map[leverdyke.Kind]struct{ least, most int }{
		leverdyke.KindBatch: {10, 10},
		// A service is never abandoned; in the end it starts every other minute.
		leverdyke.KindService: {20, 60},
	} {
		h := jobshard.NewShard(begin, shardID, shardEpoch, oneVMQuota{}, jobshard.NewShardOptions{})
		infos := []jobshard.RackInfo{}
		for _, id := range racks {
			infos = append(infos, jobshard.RackInfo{ID: id, Epoch: rackEpoch})
		}
		h.SetRacks(begin, infos)
		for _, id := range racks {
			h.OnRackSummary(emptyRackSummary(id))
			h.OnAttemptReport(begin, fullReport(id))
		}
		spec := jobSpec(kind)
		h.AddJob(begin, spec.ID, &state.Job{Spec: spec, Number: 1, TaskStates: make([]state.RecordedState, spec.Tasks)}, true)
		if got := loseEveryAttempt(h); got < want.least || got > want.most {
			t.Errorf("%s: starts in an hour: got: %d, want: %d to %d", kind, got, want.least, want.most)
		}
	}
}
