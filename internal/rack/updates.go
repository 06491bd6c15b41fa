// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// updateRetryPeriod is the delay after which an unacknowledged update about an
// ended attempt is sent again.
const updateRetryPeriod = 2 * time.Second

// OnShardSync makes the sender the job shard's owner in this rack, unless a
// later epoch was seen, and sends it an update with all the shard's attempts,
// now and again when the rack is complete.
func (r *Rack) OnShardSync(m *node.JobShardSync) {
	if !r.acceptShardEpoch(m.JobShard, m.JobShardEpoch) {
		return
	}
	r.syncedShards[m.JobShard] = true
	r.dropSupersededStarts(m.JobShard, m.JobShardEpoch)
	r.sendFullUpdate(m.JobShard)
}

// dropSupersededStarts drops the requests of a job shard's previous owners that
// have not been acted on.
func (r *Rack) dropSupersededStarts(jobShard state.ShardID, epoch uint64) {
	remaining := r.pendingStarts[:0]
	for _, p := range r.pendingStarts {
		if p.request.JobShard != jobShard || p.request.JobShardEpoch >= epoch {
			remaining = append(remaining, p)
		}
	}
	r.pendingStarts = remaining
	r.dropSupersededUrgents(jobShard, epoch)
}

// sendFullUpdate sends a job shard the state of all its attempts in the rack.
func (r *Rack) sendFullUpdate(jobShard state.ShardID) {
	n := &node.AttemptReport{JobShard: jobShard, Rack: r.ID, RackEpoch: r.Epoch, IsFullReport: true, IsInventoryComplete: r.IsComplete()}
	for _, a := range sortedAssignments(r.assignments) {
		if a.task.JobShard == string(jobShard) {
			n.Items = append(n.Items, updateItem(a))
		}
	}
	r.output.ToJobShards = append(r.output.ToJobShards, JobShardMessage{jobShard, node.Message{AttemptReport: n}})
}

// updateItem returns the state of an attempt for an update. An attempt that has
// not ended is reported as running, also while its start order is unacknowledged:
// the worker may have carried the order out, so the job shard must not start the
// task elsewhere. The job shard only distinguishes running from ended attempts.
// Worker is the ID of the VM on which the attempt was placed; each VM runs one
// worker.
func updateItem(a *assignment) node.AttemptStatus {
	s := a.task.State
	if a.phase != phaseEnded {
		s = worker.StateRunning
	}
	return node.AttemptStatus{Key: a.task.Key, State: s, Worker: a.vm.id, IsLost: a.isLost, IsWorkerAtFault: a.isWorkerAtFault}
}

// sendUpdate sends a job shard the state of one attempt, merged into the update
// for the same job shard if there is one.
func (r *Rack) sendUpdate(a *assignment) {
	jobShard := state.ShardID(a.task.JobShard)
	for i := range r.output.ToJobShards {
		m := &r.output.ToJobShards[i]
		if m.JobShard == jobShard && m.Message.AttemptReport != nil && !m.Message.AttemptReport.IsFullReport {
			m.Message.AttemptReport.Items = append(m.Message.AttemptReport.Items, updateItem(a))
			return
		}
	}
	n := &node.AttemptReport{JobShard: jobShard, Rack: r.ID, RackEpoch: r.Epoch, IsInventoryComplete: r.IsComplete(), Items: []node.AttemptStatus{updateItem(a)}}
	r.output.ToJobShards = append(r.output.ToJobShards, JobShardMessage{jobShard, node.Message{AttemptReport: n}})
}

// resendUpdates sends the ends of attempts again that the job shard has not
// acknowledged.
func (r *Rack) resendUpdates(now time.Time) {
	for _, a := range sortedAssignments(r.assignments) {
		if a.phase != phaseEnded || a.task.Holder != "" || now.Sub(a.lastSentAt) < updateRetryPeriod {
			continue
		}
		a.lastSentAt = now
		r.sendUpdate(a)
	}
}

// OnUpdateAck removes the attempts whose end the job shard has recorded, and
// allows their workers to forget them.
func (r *Rack) OnUpdateAck(m *node.AttemptReportAck) {
	forgets := map[worker.ID][]worker.Key{}
	for _, k := range m.Keys {
		a := r.assignments[k]
		if a == nil || a.phase != phaseEnded {
			continue
		}
		r.removeAssignment(a)
		r.closedAttemptsOf(m.JobShard).reasons[k.Attempt] = ""
		forgets[a.vm.id] = append(forgets[a.vm.id], k)
	}
	for _, id := range r.sortedIDs {
		if keys := forgets[id]; len(keys) > 0 {
			r.output.Forgets = append(r.output.Forgets, ForgetOrder{id, keys})
		}
	}
}
